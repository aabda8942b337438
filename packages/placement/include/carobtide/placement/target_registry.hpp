#pragma once

/**
 * @file
 * The targets that announced themselves.
 */

#include "carobtide/placement/announcement.hpp"

#include <map>
#include <vector>

namespace carobtide {

/** Whether a target may get new work. */
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

/** What the registry knows of a target. */
struct TargetRecord
{
  Announcement mAnnouncement;
  Instant mHeardAt;
  /** When its figures were taken, by this process's clock. */
  Instant mLoadAsOf;
  TargetState mState = TargetState::Live;
  /** Earlier incarnations, the latest last; their reports are ignored. */
  std::vector<Incarnation> mReplaced;
};

/** What an announcement changed. */
enum class TargetChange : std::uint8_t
{
  /** Older than one already known, or from an incarnation replaced. */
  Ignored,
  /** Known, only figures changed. */
  Refreshed,
  /** New target, new incarnation, other residents, state or address. */
  Changed,
  /** Two live processes claim one name; the earlier one is kept. */
  NameConflict,
};

/**
 * Registry of targets by name.
 *
 * Thread safety: none; the owner guards it.
 */
class TargetRegistry
{
public:
  explicit TargetRegistry(Duration aTimeout = std::chrono::seconds(3));

  /** Takes an announcement, from the target or forwarded by a peer. */
  TargetChange Apply(Instant aNow, const Announcement& aAnnouncement);

  /**
   * Marks silent targets and forgets those long silent; returns the names
   * whose state changed.
   */
  std::vector<TargetName> Expire(Instant aNow);

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
