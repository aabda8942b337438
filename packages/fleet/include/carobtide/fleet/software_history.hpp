#pragma once

/**
 * @file
 * Which software versions of each service have served lately.
 */

#include "carobtide/fleet/stream_messages.hpp"
#include "carobtide/fleet/target.hpp"

#include <map>

namespace carobtide {

/**
 * Remembers the software versions of each service for as long as a stream that
 * one of them began may be open.
 *
 * Answers: a stream is taken up whose beginning no daemon was told of.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class SoftwareHistory
{
public:
  /** How often the targets that serve are observed; far below any window. */
  static constexpr Duration kObserveInterval = std::chrono::seconds(1);

  /** The owner is up to date now. Longer gaps start the history anew. */
  void OnContact(Instant aNow);

  /** A target of this service and version serves. */
  void Observe(Instant aNow, const ServiceName& aService,
               const SoftwareVersion& aSoftware);
  /** The same with a target's last heartbeat, unless it is gone. */
  void Observe(Instant aNow, const Heartbeat& aLast);

  /** Sets how long a stream may be open, resumptions included. */
  void SetWindow(Duration aWindow) { mWindow = aWindow; }
  Duration Window() const { return mWindow; }

  SoftwareSeen Seen(Instant aNow, const ServiceName& aService) const;

  /** True if several versions have served within the window. */
  bool IsMixed(Instant aNow, const ServiceName& aService) const;

private:
  /** Twice the time within which a watch is answered. */
  static constexpr Duration kMaxContactGap = std::chrono::milliseconds(2000);

  Duration mWindow = std::chrono::seconds(60);
  std::map<ServiceName, std::map<SoftwareVersion, Instant>> mServedAt;
  /** Start of the time without a gap. */
  Instant mSince;
  Instant mContactAt;
};

} // namespace carobtide
