#pragma once

/**
 * @file
 * The targets that one daemon believes in.
 */

#include "carobtide/fleet/target.hpp"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace carobtide {

/** What a heartbeat changed. */
enum class HeartbeatEffect : std::uint8_t
{
  /**
   * Ignored: older than what is known, from a process that was replaced, or of
   * another service than the one that this process was known to serve.
   */
  Stale,
  /** Shows that the target lives, nothing else. */
  Refreshed,
  /** New, or another phase, address or set of models than before. */
  Changed,
};

/** Timeouts and bounds of a directory. */
struct TargetDirectoryOptions
{
  /** A target not heard of for this long is silent: three heartbeats. */
  Duration mSilenceTimeout = std::chrono::milliseconds(3600);
  /**
   * Silent targets, and the records that say that one is gone, are kept this
   * long, so that a heartbeat delayed by a partition is known as stale.
   */
  Duration mRetention = std::chrono::seconds(60);
  /**
   * A target that is heard of keeps its address against those of other
   * services. For directories that hear of targets themselves: others are told
   * both that one has ended and that another one has its address.
   */
  bool mKeepsAddresses = false;
  /** Most records; further targets are not taken. */
  std::size_t mMaxTargets = 20'000;
};

/**
 * Holds the newest heartbeat of each target and numbers the changes.
 *
 * Answers: heartbeats that arrive late, twice or out of order; an address that
 * another process took over; targets that leave without saying so; heartbeats
 * of another writer that name another service for a known process. A target
 * that drains stays draining for the rest of its incarnation, one that is gone
 * stays gone, and its service stays the same, whatever arrives later from the
 * same incarnation. With mKeepsAddresses also heartbeats that claim the address
 * of a target that serves: only a process of the same service takes it at once,
 * as after a restart; one of another service once the target is silent or gone.
 *
 * One call may change other targets than the one that it names, as a process
 * that takes an address over ends the one that had it. What derives state from
 * the directory passes all of TakeUpdated on.
 *
 * Thread safety: none; the owner guards it.
 */
class TargetDirectory
{
public:
  explicit TargetDirectory(TargetDirectoryOptions aOptions = {});

  /**
   * The services that exist: targets of others neither hold nor take an
   * address. None: not known yet, all count.
   */
  void SetServices(std::set<ServiceName> aServices);

  /** Takes a heartbeat that came directly or through another daemon. */
  HeartbeatEffect OnHeartbeat(Instant aNow, const Heartbeat& aHeartbeat);

  /** A process of a target said that it will leave. True if this was news. */
  bool OnDraining(const TargetName& aTarget, Incarnation aIncarnation);

  /**
   * A process of a target stated a limit. True if this was news. The limit
   * holds for the rest of the incarnation, or until another one replaces it.
   */
  bool OnLimit(const TargetName& aTarget, Incarnation aIncarnation,
               const RateLimit& aLimit);

  /**
   * A target said that it leaves for good. A zero incarnation stands for the
   * one known. True if this was news.
   */
  bool OnLeave(Instant aNow, const TargetName& aTarget,
               Incarnation aIncarnation);

  /**
   * The targets that were heard of, changed or forgotten since the last call,
   * whichever call did it; each once, in the order of the first. Find tells
   * their state now, null for a forgotten one.
   */
  std::vector<TargetName> TakeUpdated();

  /** Marks silent targets and forgets old records; the names marked now. */
  std::vector<TargetName> Expire(Instant aNow);

  /** Forgets the targets that were gone before a time. */
  void ForgetGone(Instant aBefore);

  /** The number of the last change. */
  std::uint64_t Change() const { return mChange; }

  /** True if a watcher at this change may have missed a forgotten record. */
  bool HasForgottenSince(std::uint64_t aChange) const
  {
    return aChange < mForgottenChange;
  }

  /** Records that changed after a change number. */
  std::vector<FleetRecord> ChangedSince(std::uint64_t aChange) const;

  /**
   * The number of the last change that matters for routing: a target started,
   * left, fell silent, or changed its phase, address, service, slots or limit.
   * Its models do not count: routing daemons know them from the leader.
   */
  std::uint64_t RoutingChange() const { return mRoutingChange; }

  /**
   * Records whose routing state changed after a change number, without the
   * lists that only planning uses.
   */
  std::vector<FleetRecord> RoutingChangedSince(std::uint64_t aChange) const;

  /** Null if unknown. Valid until the next call that changes something. */
  const FleetRecord* Find(const TargetName& aTarget) const;

  std::vector<const FleetRecord*> All() const;

private:
  struct Entry
  {
    FleetRecord mRecord;
    Instant mHeardAt;
    std::uint64_t mChange = 0;
    std::uint64_t mRoutingChange = 0;
  };

  bool IsStale(const Heartbeat& aHeartbeat) const;
  /** Marks older processes at an address as gone; false if one keeps it. */
  bool TakeAddress(const Heartbeat& aHeartbeat);
  /** True if a target keeps its address against a newer heartbeat. */
  bool KeepsAddress(const FleetRecord& aRecord,
                    const Heartbeat& aHeartbeat) const;
  bool IsService(const ServiceName& aService) const;
  void MarkUpdated(const TargetName& aTarget);
  void MarkChanged(Entry& aEntry);
  void MarkRoutingChanged(Entry& aEntry);

  TargetDirectoryOptions mOptions;
  /** See SetServices. */
  std::set<ServiceName> mServices;
  std::unordered_map<TargetName, Entry> mEntries;
  std::uint64_t mChange = 0;
  std::uint64_t mRoutingChange = 0;
  std::uint64_t mForgottenChange = 0;
  /** See TakeUpdated. */
  std::vector<TargetName> mUpdated;
  std::unordered_set<TargetName> mIsUpdated;
};

} // namespace carobtide
