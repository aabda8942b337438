#pragma once

/**
 * @file
 * Samples of routing daemons about targets, and their sums over all daemons:
 * how many requests failed, and how fast targets work. Figures are packed to
 * one byte each, since they cross the links of all routing daemons.
 */

#include "carobtide/fleet/load_messages.hpp"

#include <cstdint>
#include <vector>

namespace carobtide {

/** Weighted samples of the binary logarithm of a relative speed. */
struct SpeedSum
{
  /** Sum of sample times weight. */
  double mSum = 0;
  double mWeight = 0;

  void Add(double aLog, double aWeight)
  {
    mSum += aLog * aWeight;
    mWeight += aWeight;
  }
  void Add(const SpeedSum& aOther)
  {
    mSum += aOther.mSum;
    mWeight += aOther.mWeight;
  }
  /** 0 without samples: the usual speed. */
  double Mean() const { return mWeight > 0 ? mSum / mWeight : 0; }
};

/** Outcomes and speeds of one target over some time. */
struct TargetSample
{
  /** Requests that were answered or failed. */
  double mEnded = 0;
  double mFailed = 0;
  /** From the time to the first byte. */
  SpeedSum mPrefill;
  /** From the time between events of a stream. */
  SpeedSum mTokens;

  void Add(const TargetSample& aOther);
  bool IsEmpty() const
  {
    return mEnded <= 0 && mPrefill.mWeight <= 0 && mTokens.mWeight <= 0;
  }
};

/** A mean speed as it is transmitted: two bytes. */
struct PackedSpeed
{
  /** Steps of mLog in a factor of two: 3 in 100 each. */
  static constexpr double kStepsPerOctave = 24;
  /** Units of mWeight in one sample. */
  static constexpr double kTicksPerSample = 4;

  std::int8_t mLog = 0;
  std::uint8_t mWeight = 0;

  static PackedSpeed Pack(const SpeedSum& aSum);
  SpeedSum Unpack() const;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLog, mWeight);
  }
};

/**
 * Numbers of requests as they are transmitted: two bytes. Larger numbers are
 * reduced in proportion.
 */
struct PackedOutcomes
{
  std::uint8_t mEnded = 0;
  std::uint8_t mFailed = 0;

  static PackedOutcomes Pack(double aEnded, double aFailed);

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mEnded, mFailed);
  }
};

/** Samples of one routing daemon about one target: ten bytes. */
struct PackedSample
{
  TargetKey mTarget = 0;
  PackedOutcomes mOutcomes;
  PackedSpeed mPrefill;
  PackedSpeed mTokens;

  static PackedSample Pack(TargetKey aTarget, const TargetSample& aSample);
  TargetSample Unpack() const;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget, mOutcomes, mPrefill, mTokens);
  }
};

/**
 * Sums of samples about one target over two sliding windows. The recent window
 * is shorter for speeds than for outcomes: a target that becomes slow must be
 * known within a second, while failures need enough requests to be counted.
 */
struct TargetSums
{
  static constexpr Duration kRecentOutcomes = std::chrono::milliseconds(2000);
  static constexpr Duration kRecentSpeeds = std::chrono::milliseconds(700);
  static constexpr Duration kLong = std::chrono::milliseconds(10'000);

  TargetSample mRecent;
  TargetSample mLong;

  void Add(const TargetSums& aOther);
};

/** The same as it is transmitted: sixteen bytes. */
struct PackedSums
{
  TargetKey mTarget = 0;
  PackedSample mRecent;
  PackedSample mLong;

  static PackedSums Pack(TargetKey aTarget, const TargetSums& aSums);
  TargetSums Unpack() const;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    // The key is sent once.
    aArchive(mTarget, mRecent.mOutcomes, mRecent.mPrefill, mRecent.mTokens,
             mLong.mOutcomes, mLong.mPrefill, mLong.mTokens);
  }
};

/** Samples of a routing daemon since its last report, for its home. */
struct SampleReport
{
  Endpoint mFrom;
  std::uint64_t mSequence = 0;
  std::vector<PackedSample> mSamples;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom, mSequence, mSamples);
  }
};

/**
 * Sums of some targets: of the daemons of one home, for the other homes, or of
 * all daemons, for a routing daemon. Targets that are not listed are unchanged.
 */
struct SumsReport
{
  Endpoint mFrom;
  std::uint64_t mSequence = 0;
  /** Sequence of the receiver's last report in the sums; 0 if none is. */
  std::uint64_t mIncluded = 0;
  std::vector<PackedSums> mSums;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom, mSequence, mIncluded, mSums);
  }
};

/** Time between two reports, and between two reports of sums. */
inline constexpr Duration kObservationInterval = std::chrono::milliseconds(100);
/**
 * Entries in one message. With the interval they keep either direction of a
 * routing daemon's link under 2 KB/s, headers included.
 */
inline constexpr std::size_t kMaxReportSamples = 11;
inline constexpr std::size_t kMaxReportSums = 7;
/** The same between homes, whose links carry more. */
inline constexpr std::size_t kMaxHomeSums = 30;

} // namespace carobtide
