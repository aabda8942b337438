#pragma once

/**
 * @file
 * Classes of work by priority and expected length, and how many of a target's
 * slots each class may take.
 */

#include "carobtide/base.hpp"
#include "carobtide/bundle.hpp"

#include <cstdint>

namespace carobtide {

/** Work as it is queued, most urgent first. */
enum class WorkClass : std::uint8_t
{
  ShortInteractive,
  LongInteractive,
  ShortStandard,
  LongStandard,
  Batch,
};

inline constexpr EnumTable<WorkClass, 5> kWorkClasses{ { {
  { WorkClass::ShortInteractive, "short-interactive" },
  { WorkClass::LongInteractive, "long-interactive" },
  { WorkClass::ShortStandard, "short-standard" },
  { WorkClass::LongStandard, "long-standard" },
  { WorkClass::Batch, "batch" },
} } };

/** Number of work classes, for tables indexed by class. */
inline constexpr std::size_t kWorkClassCount = 5;

/** The class of a piece of work. */
constexpr WorkClass ClassifyWork(PriorityClass aPriority, bool aIsLong)
{
  switch (aPriority) {
    case PriorityClass::Interactive:
      return aIsLong ? WorkClass::LongInteractive : WorkClass::ShortInteractive;
    case PriorityClass::Standard:
      return aIsLong ? WorkClass::LongStandard : WorkClass::ShortStandard;
    default:
      return WorkClass::Batch;
  }
}

/** The priority that a class belongs to. */
constexpr PriorityClass PriorityOf(WorkClass aClass)
{
  switch (aClass) {
    case WorkClass::ShortInteractive:
    case WorkClass::LongInteractive:
      return PriorityClass::Interactive;
    case WorkClass::ShortStandard:
    case WorkClass::LongStandard:
      return PriorityClass::Standard;
    default:
      return PriorityClass::Batch;
  }
}

/** True for work that runs many times longer than the rest. */
constexpr bool IsLong(WorkClass aClass)
{
  return aClass == WorkClass::LongInteractive ||
         aClass == WorkClass::LongStandard;
}

/** Attempts in flight on one target, as this daemon knows them. */
struct SlotUse
{
  std::uint32_t mSlots = 1;
  std::uint32_t mOwn = 0;
  std::uint32_t mOwnLong = 0;
  std::uint32_t mOthers = 0;
  std::uint32_t mOthersLong = 0;
};

/**
 * Shares of a target's slots.
 *
 * Thread safety: immutable; safe from any thread.
 */
struct SlotRules
{
  /** Share that long work may take. */
  double mLongShare = 0.3;
  /** Share kept for short interactive work. */
  double mShortReserve = 0.2;
  /**
   * Share of the slots that short interactive work may exceed them by. The
   * engine puts it ahead of other work, whichever daemon sent that.
   */
  double mInteractiveOvercommit = 0.25;
  /** Daemons that share the targets; each is entitled to an equal part. */
  std::uint32_t mDaemons = 1;

  /** Slots that a class may fill, counting all work on the target. */
  std::uint32_t Limit(WorkClass aClass, std::uint32_t aSlots) const;

  /** Slots that long work may fill; at least one. */
  std::uint32_t LongLimit(std::uint32_t aSlots) const;

  /**
   * True if one more attempt of the class may go out. A daemon may always
   * fill its equal part, whatever the others hold, so that none is starved;
   * the target is therefore overcommitted by at most one part per daemon.
   */
  bool HasRoom(WorkClass aClass, const SlotUse& aUse) const;
};

} // namespace carobtide
