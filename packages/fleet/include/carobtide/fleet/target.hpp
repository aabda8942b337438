#pragma once

/**
 * @file
 * What a target says of itself.
 */

#include "carobtide/base.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace carobtide {

/** Identifies one process of a target. Thread safety: any thread. */
std::uint64_t ProcessHash(const TargetName& aTarget, Incarnation aIncarnation);

/**
 * Bounds a time in microseconds that another daemon states: differences of two
 * do not overflow. Thread safety: any thread.
 */
inline std::int64_t BoundClock(std::int64_t aMicros)
{
  constexpr std::int64_t kMaxMicros = std::int64_t{ 1 } << 60U;
  return std::clamp(aMicros, -kMaxMicros, kMaxMicros);
}

/** A model in a target's memory, with its adapters. */
struct HeldModel
{
  ModelName mName;
  std::uint32_t mVersion = 0;
  std::vector<AdapterName> mAdapters;

  bool operator==(const HeldModel&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mVersion, mAdapters);
  }
};

/** A model that an engine is loading, or will load next. */
struct LoadingModel
{
  ModelName mName;
  /** When it should serve, in microseconds of a steady clock. */
  std::int64_t mReadyMicros = 0;

  Instant ReadyAt() const { return Instant(Duration(mReadyMicros)); }

  bool operator==(const LoadingModel&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mReadyMicros);
    mReadyMicros = BoundClock(mReadyMicros);
  }
};

/** Whether a target takes new work. */
enum class TargetPhase : std::uint8_t
{
  Ready,
  /** Leaves soon: finishes what it has, takes nothing new. */
  Draining,
  /** Left, or replaced by another process at its address. */
  Gone,
};

inline constexpr EnumTable<TargetPhase, 3> kTargetPhases{ { {
  { TargetPhase::Ready, "ready" },
  { TargetPhase::Draining, "draining" },
  { TargetPhase::Gone, "gone" },
} } };

/** One heartbeat of a target. */
struct Heartbeat
{
  TargetName mTarget;
  /** Start of the process in Unix milliseconds; grows with each start. */
  Incarnation mIncarnation;
  /** Grows with each heartbeat of one incarnation. */
  std::uint64_t mSequence = 0;
  ServiceName mService;
  /** Empty if the target does not state it. */
  SoftwareVersion mSoftware;
  Endpoint mAddress;
  FailureDomain mFailureDomain;
  std::uint32_t mSlots = 1;
  TargetPhase mPhase = TargetPhase::Ready;
  /** True if the target is a model engine. */
  bool mEngine = false;
  std::vector<HeldModel> mModels;
  /** Models whose weights it can load from its host memory and disk. */
  std::vector<ModelName> mInHostMemory;
  std::vector<ModelName> mOnDisk;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget, mIncarnation, mSequence, mService, mSoftware, mAddress,
             mFailureDomain, mSlots, mPhase, mEngine, mModels, mInHostMemory,
             mOnDisk);
  }
};

/**
 * Requests a second that a process of a target takes from all daemons together,
 * as its answers state it. A daemon that hears another rate than it knows gives
 * it the next version.
 */
struct RateLimit
{
  static constexpr double kNone = std::numeric_limits<double>::infinity();

  double mPerSecond = kNone;
  std::uint64_t mVersion = 0;

  bool IsNone() const { return mPerSecond == kNone; }

  /** True if it is newer; of two with one version the lower rate holds. */
  bool Replaces(const RateLimit& aOther) const
  {
    return mVersion != aOther.mVersion ? mVersion > aOther.mVersion
                                       : mPerSecond < aOther.mPerSecond;
  }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPerSecond, mVersion);
    // Also true for what is not a number.
    if (!(mPerSecond > 0)) {
      mPerSecond = kNone;
    }
    constexpr std::uint64_t kMaxVersion = std::uint64_t{ 1 } << 60U;
    mVersion = std::min(mVersion, kMaxVersion);
  }
};

/** A target as a directory holds it. */
struct FleetRecord
{
  Heartbeat mLast;
  /** Not heard of for longer than the silence timeout. */
  bool mSilent = false;
  RateLimit mLimit;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLast, mSilent, mLimit);
  }
};

} // namespace carobtide
