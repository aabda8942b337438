#pragma once

/**
 * @file
 * Load reports of routing daemons, and their totals. Targets are named by a
 * hash and figures are packed, because these are the most frequent messages
 * between daemons.
 */

#include "carobtide/fleet/target.hpp"

#include <cstdint>
#include <limits>
#include <vector>

namespace carobtide {

/** Identifies one incarnation of a target in load messages. */
using TargetKey = std::uint32_t;

/** Key of an incarnation; two of them share a key in rare cases. */
TargetKey KeyOf(const TargetName& aTarget, Incarnation aIncarnation);

/** Requests in flight at a target. */
struct TargetLoad
{
  std::uint32_t mInFlight = 0;
  /**
   * Time that the engine should need to prefill the prompts of those that have
   * not had their first byte.
   */
  Duration mPrefillTime{ 0 };
  /** Recent requests to it, see TargetLimit; 0 without a limit. */
  double mRecentSends = 0;
};

/** A target's load as it is transmitted: eight bytes. */
struct PackedLoad
{
  /** Unit of mPrefillTicks. */
  static constexpr Duration kPrefillTick = std::chrono::microseconds(250);

  TargetKey mTarget = 0;
  std::uint16_t mInFlight = 0;
  std::uint16_t mPrefillTicks = 0;

  static PackedLoad Pack(TargetKey aTarget, const TargetLoad& aLoad);
  TargetLoad Unpack() const;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget, mInFlight, mPrefillTicks);
  }
};

/** Recent requests to a target that has stated a limit: six bytes. */
struct PackedSends
{
  /** Units of mRecentTicks in one request. */
  static constexpr double kTicksPerSend = 256;

  TargetKey mTarget = 0;
  std::uint16_t mRecentTicks = 0;

  static PackedSends Pack(TargetKey aTarget, double aRecent);
  double Unpack() const { return mRecentTicks / kTicksPerSend; }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget, mRecentTicks);
  }
};

/**
 * Loads of all targets whose keys lie in a range. A target in the range that is
 * not listed has no load, and has been sent nothing lately.
 */
struct LoadSection
{
  TargetKey mFirst = 0;
  TargetKey mLast = std::numeric_limits<TargetKey>::max();
  std::vector<PackedLoad> mLoads;
  /** Of targets that have stated a limit only. */
  std::vector<PackedSends> mSends;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFirst, mLast, mLoads, mSends);
  }
};

/** Largest number of entries in one section; a section fits one datagram. */
inline constexpr std::size_t kMaxSectionLoads = 150;

/** Splits entries into sections that cover the whole range of keys. */
std::vector<LoadSection> MakeSections(std::vector<PackedLoad> aLoads,
                                      std::vector<PackedSends> aSends = {});

/** Part of the load of a routing daemon, or of all those of one home. */
struct InFlightReport
{
  Endpoint mFrom;
  /** True if the sender is a home that reports the sum of its watchers. */
  bool mIsSum = false;
  /** Grows with each report; shared by the sections of one report. */
  std::uint64_t mSequence = 0;
  LoadSection mSection;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom, mIsSum, mSequence, mSection);
  }
};

/** Part of the load of all routing daemons, as their home sums it up. */
struct LoadTotal
{
  Endpoint mFrom;
  std::uint64_t mSequence = 0;
  /** Sequence of the receiver's own report in the sum; 0 if there is none. */
  std::uint64_t mIncluded = 0;
  /** Interval at which the receiver reports, in milliseconds. */
  std::uint32_t mIntervalMs = 0;
  LoadSection mSection;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom, mSequence, mIncluded, mIntervalMs, mSection);
  }
};

} // namespace carobtide
