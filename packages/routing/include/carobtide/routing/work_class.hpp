#pragma once

/**
 * @file
 * Work classes by priority and expected length, and the slots of a target that
 * each class may use.
 */

#include "carobtide/base.hpp"
#include "carobtide/bundle.hpp"

#include <cstdint>

namespace carobtide {

/** Class of a request in the queue, most urgent first. */
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

/** Number of work classes. */
inline constexpr std::size_t kWorkClassCount = 5;

/** The class of a request. */
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

/** The priority of a class. */
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

/** True for classes of long work; batch work is not divided by length. */
constexpr bool IsLong(WorkClass aClass)
{
  return aClass == WorkClass::LongInteractive ||
         aClass == WorkClass::LongStandard;
}

/** Attempts in flight on a target: this daemon's, and those peers report. */
struct SlotUse
{
  std::uint32_t mSlots = 1;
  std::uint32_t mOwn = 0;
  std::uint32_t mOwnLong = 0;
  std::uint32_t mOthers = 0;
  std::uint32_t mOthersLong = 0;
};

/**
 * Limits on the slots of a target that each class may use.
 *
 * Thread safety: immutable; safe from any thread.
 */
struct SlotRules
{
  /** Maximum share of the slots for long work. */
  double mLongShare = 0.3;
  /** Share of the slots reserved for short interactive work. */
  double mShortReserve = 0.2;
  /**
   * Short interactive requests that may be sent above the slots, as a share of
   * the slots. The engine runs them before other work of any daemon.
   */
  double mInteractiveOvercommit = 0.25;
  /** Number of daemons that share the targets, in equal shares. */
  std::uint32_t mDaemons = 1;

  /** Attempts of all classes on a target up to which a class may add one. */
  std::uint32_t Limit(WorkClass aClass, std::uint32_t aSlots) const;

  /** Attempts of long work on a target up to which one may be added; >= 1. */
  std::uint32_t LongLimit(std::uint32_t aSlots) const;

  /**
   * True if one more attempt of the class may be sent. A daemon may always fill
   * its equal share, whatever the others use, so that none is starved, except
   * with batch work. This overcommits the target by at most one share per
   * daemon.
   */
  bool HasRoom(WorkClass aClass, const SlotUse& aUse) const;
};

} // namespace carobtide
