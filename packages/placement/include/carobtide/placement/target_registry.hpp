#pragma once

/**
 * @file
 * Registry of the targets that sent announcements.
 */

#include "carobtide/placement/announcement.hpp"

#include <map>
#include <vector>

namespace carobtide {

/** Liveness of a target; only live ones get new work. */
enum class TargetState : std::uint8_t
{
  Live,
  Leaving,
  /** No announcement within the timeout. */
  Silent,
};

inline constexpr EnumTable<TargetState, 3> kTargetStates{ { {
  { TargetState::Live, "live" },
  { TargetState::Leaving, "leaving" },
  { TargetState::Silent, "silent" },
} } };

/** Latest known state of a target. */
struct TargetRecord
{
  Announcement mAnnouncement;
  Instant mHeardAt;
  /** When its load figures were measured, by this process's clock. */
  Instant mLoadAsOf;
  TargetState mState = TargetState::Live;
  /** Earlier incarnations, latest last; their announcements are ignored. */
  std::vector<Incarnation> mReplaced;
};

/** Effect of an announcement on the registry. */
enum class TargetChange : std::uint8_t
{
  /** Outdated, or sent by a replaced incarnation. */
  Ignored,
  /** Only load figures changed. */
  Refreshed,
  /** New target or incarnation, or anything else than load changed. */
  Changed,
  /** Two live processes use the same name; the earlier one is kept. */
  NameConflict,
};

/**
 * Targets by name.
 *
 * Thread safety: none; the caller must synchronize access.
 */
class TargetRegistry
{
public:
  /** `aTimeout` is the time without announcement until a target is silent. */
  explicit TargetRegistry(Duration aTimeout = std::chrono::seconds(3));

  /** Applies an announcement from the target or forwarded by a peer. */
  TargetChange Apply(Instant aNow, const Announcement& aAnnouncement);

  /**
   * Marks targets as silent after the timeout and removes those silent for ten
   * minutes. Returns the names of both.
   */
  std::vector<TargetName> Expire(Instant aNow);

  /** The record of a target; null if it is unknown. */
  const TargetRecord* Find(const TargetName& aName) const;
  const std::map<TargetName, TargetRecord>& All() const { return mTargets; }

private:
  static TargetChange Refresh(Instant aNow, TargetRecord& aRecord,
                              const Announcement& aAnnouncement);
  TargetChange Replace(Instant aNow, TargetRecord& aRecord,
                       const Announcement& aAnnouncement) const;

  Duration mTimeout;
  std::map<TargetName, TargetRecord> mTargets;
};

} // namespace carobtide
