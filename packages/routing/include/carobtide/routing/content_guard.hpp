#pragma once

/**
 * @file
 * Keeps content that crashes targets away from them, on one routing daemon.
 */

#include "carobtide/fleet.hpp"
#include "carobtide/routing/crash_detector.hpp"
#include "carobtide/routing/part_history.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace carobtide {

/** The digests by which a request, or a part of it, is recognized. */
class Fingerprints
{
public:
  static constexpr std::size_t kMaxParts = 16;

  explicit Fingerprints(const Digest& aContent = {}) { mDigests[0] = aContent; }

  /** Adds a part that requests may share; ignored beyond kMaxParts. */
  void AddPart(const Digest& aDigest)
  {
    if (mCount <= kMaxParts) {
      mDigests[mCount++] = aDigest;
    }
  }
  const Digest& Content() const { return mDigests[0]; }
  std::span<const Digest> Parts() const { return All().subspan(1); }
  std::span<const Digest> All() const { return { mDigests.data(), mCount }; }

private:
  std::array<Digest, kMaxParts + 1> mDigests{};
  std::size_t mCount = 1;
};

/** One process of a target. */
struct TargetProcess
{
  TargetName mTarget;
  Incarnation mIncarnation;
  auto operator<=>(const TargetProcess&) const = default;
};

/** What changed in the blocked content, for the log. */
struct GuardChanges
{
  /** Processes that crashed with requests of this daemon in flight. */
  std::vector<TargetProcess> mCrashed;
  TallyResult mBlocks;
};

/** Counters since construction, for metrics. */
struct GuardStats
{
  std::uint64_t mCrashes = 0;
  std::uint64_t mReportsDropped = 0;
};

/**
 * Collects what was in flight at crashes of targets, reports it to the control
 * daemons and looks up whether a request is blocked. The control daemons count
 * the crashes that all routing daemons report (CrashTally); this daemon counts
 * its own, in case it is cut off from them.
 *
 * The whole content of a request always counts. A part that requests share
 * counts unless this daemon has seen it answered lately (PartHistory), and once
 * for all sends that were under way when its last crash became known: targets
 * that fail together are one event to it.
 *
 * Answers: a request that crashes each target that runs it, comes again under
 * other ids at any daemon, and would take all targets of its service down; a
 * prompt part that does so in requests that are alike in nothing else, beside
 * sound requests that share their other parts.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class ContentGuard
{
public:
  /** Reports in a burst, and each second after it. */
  static constexpr double kMaxReportBurst = 600;
  static constexpr double kReportsPerSecond = 60;

  /**
   * A connection was lost with a request in flight that was sent at aSentAt.
   * True if the target should be probed: once for all requests that it lost at
   * that time.
   */
  bool OnConnectionLost(Instant aNow, const TargetProcess& aProcess,
                        Instant aSentAt, const Fingerprints& aContent);

  /**
   * Bytes of an answer arrived, or the target accepted a connection. True if
   * the process may have crashed all the same: this may have been under way
   * before, and counts only CrashDetector::kStaleEvidenceWindow after the loss.
   */
  bool OnAlive(Instant aNow, const TargetProcess& aProcess);

  /** Nothing listens any more at the target's address. */
  void OnDead(Instant aNow, const TargetProcess& aProcess);

  /** The newest state of a target: another incarnation replaced the known. */
  void OnTarget(Instant aNow, const RoutedTarget& aState);

  /** A target answered a request in full. */
  void OnWhole(Instant aNow, const Fingerprints& aContent);

  /** What a control daemon has blocked or lifted. */
  void OnBlockChanges(Instant aNow, const BlockChanges& aChanges);

  /** Drops what is over. Call several times a second. */
  void Expire(Instant aNow);

  /** When the last block of this content ends; nothing if there is none. */
  std::optional<Instant> BlockedUntil(Instant aNow,
                                      const Fingerprints& aContent) const;

  /** True if targets crashed with this content in flight at this daemon. */
  bool IsSuspect(const Fingerprints& aContent) const;

  /** Returns and clears what the control daemons have to know. */
  CrashNotice TakeNotice();

  /** All blocks, for a control daemon that knows none. */
  CrashNotice AllBlocks(Instant aNow) const;

  /** Returns and clears what changed. */
  GuardChanges TakeChanges() { return std::exchange(mChanges, {}); }

  const GuardStats& Stats() const { return mStats; }
  std::size_t Blocks() const { return mBlocks.Size(); }

private:
  std::optional<TargetIndex> Find(const TargetProcess& aProcess) const;
  void Take(Instant aNow, const CrashDecision& aDecision);
  void Apply(Instant aNow, const TallyResult& aResult);
  void Block(Instant aNow, const Digest& aFingerprint);
  /** Tells the other daemons that content is sound. */
  void Clear(Instant aNow, const Digest& aFingerprint);
  void Lift(Instant aNow, const Digest& aFingerprint);
  bool TakeReportToken(Instant aNow);

  CrashDetector mDetector;
  CrashTally mTally;
  BlockList mBlocks;
  PartHistory mParts;
  /** Processes with a pending decision. */
  std::map<TargetProcess, TargetIndex> mPending;
  TargetIndex mNextIndex = 0;
  std::uint64_t mNextLost = 1;
  CrashNotice mNotice;
  GuardChanges mChanges;
  GuardStats mStats;
  double mReportTokens = kMaxReportBurst;
  Instant mTokensAt;
};

} // namespace carobtide
