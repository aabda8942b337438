#pragma once

/**
 * @file
 * Announcements of a stand-in target as JSON, with lagged load reports. No
 * I/O.
 */

#include "carobtide/placement/announcement.hpp"
#include "carobtide/placement/order.hpp"

#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carobtide {

/** Renders an announcement as the daemons read it. */
std::string RenderAnnouncement(const Announcement& aAnnouncement);

/** Reads the body of POST /orders. Malformed on any fault. */
Result<Order> ParseOrder(std::string_view aBody);

/** A prefix of a prompt that entered or left an engine's cache. */
struct PrefixEvent
{
  std::uint64_t mPrefixHash = 0;
  bool mEvicted = false;
};

/** Renders the body of POST /targets/cache-events. */
std::string RenderCacheEvents(const TargetName& aTarget,
                              const std::vector<PrefixEvent>& aEvents);

/**
 * Keeps recent load figures and hands out those of some time ago.
 *
 * Thread safety: none. Times passed in never decrease.
 */
class LoadLag
{
public:
  explicit LoadLag(Duration aLag);

  void Record(Instant aNow, const LoadReport& aLoad);

  /** The newest figures at least as old as the lag, with their age. */
  LoadReport Report(Instant aNow);

private:
  Duration mLag;
  std::deque<std::pair<Instant, LoadReport>> mHistory;
};

} // namespace carobtide
