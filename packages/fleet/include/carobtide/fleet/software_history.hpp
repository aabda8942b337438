#pragma once

/**
 * @file
 * Which software versions of each service have served lately.
 */

#include "carobtide/fleet/stream_messages.hpp"
#include "carobtide/fleet/target.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace carobtide {

/**
 * Remembers the software versions of each service for as long as a stream that
 * one of them began may be open.
 *
 * Answers: a stream is taken up whose beginning no daemon was told of; all
 * daemons start anew while a version ends.
 *
 * Ages are taken on the clock of this process. What comes from a record or from
 * other daemons has no known age and counts as seen at that moment.
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

  /** A target of this service and version serves. True if that is news. */
  bool Observe(Instant aNow, const ServiceName& aService,
               const SoftwareVersion& aSoftware);
  /** The same with a target's last heartbeat, unless it is gone. */
  bool Observe(Instant aNow, const Heartbeat& aLast);

  /** Sets how long a stream may be open, resumptions included. */
  void SetWindow(Duration aWindow) { mWindow = aWindow; }
  Duration Window() const { return mWindow; }

  SoftwareSeen Seen(Instant aNow, const ServiceName& aService) const;

  /**
   * No version served before, or all that did were observed: the history is
   * complete from here on, pauses of this process included. For daemons of
   * which a majority is asked: what one misses in a pause the others have seen.
   */
  void SetComplete() { mIsComplete = true; }

  /** Takes what was kept over a restart. */
  void Restore(Instant aNow, const SoftwareRecord& aRecord);

  /** What has to be kept over a restart. */
  SoftwareRecord Record(Instant aNow) const;

  /** True if several versions have served within the window. */
  bool IsMixed(Instant aNow, const ServiceName& aService) const;

  /** Twice the time within which a watch is answered. */
  static constexpr Duration kMaxContactGap = std::chrono::milliseconds(2000);

private:
  bool IsComplete(Instant aNow) const;
  std::vector<SoftwareVersion> VersionsWithin(
    Instant aNow, const std::map<SoftwareVersion, Instant>& aServedAt) const;

  Duration mWindow = std::chrono::seconds(60);
  std::map<ServiceName, std::map<SoftwareVersion, Instant>> mServedAt;
  /** Start of the time without a gap. */
  Instant mSince;
  Instant mContactAt;
  /** See SetComplete. */
  bool mIsComplete = false;
};

/**
 * Tells when a control daemon without a record has learned from the others what
 * has served: for each service a majority of all of them, itself counted as one
 * that knows nothing, has answered. Those that know no whole window do not, but
 * for daemons of older builds, which know no better until all are replaced.
 *
 * Answers: VMs that are replaced one after the other, in less than a window.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class SoftwareCatchUp
{
public:
  /** aDaemons counts the control daemons, this one included. */
  SoftwareCatchUp(const std::vector<ServiceName>& aServices,
                  std::size_t aDaemons);

  /** A control daemon's answer; each is given once for each service. */
  void OnReply(const ServiceName& aService);

  bool IsDone() const;

private:
  std::size_t mDaemons = 0;
  /** Daemons that answered. */
  std::map<ServiceName, std::size_t> mAnswers;
};

} // namespace carobtide
