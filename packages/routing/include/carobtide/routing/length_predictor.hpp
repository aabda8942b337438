#pragma once

/**
 * @file
 * Predicts the length of an answer from the caller and the model.
 */

#include "carobtide/base.hpp"
#include "carobtide/bundle.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace carobtide {

/** Identifies requests whose answers are expected to be of similar length. */
struct LengthKey
{
  std::uint64_t mHash = 0;
  /** The caller over all models: the prior of a pair without samples. */
  std::uint64_t mCallerHash = 0;

  static LengthKey Of(const CallerName& aCaller, const ModelName& aModel);
};

/** Expected answer of one request. */
struct LengthEstimate
{
  double mTokens = 0.0;
  /** True if much longer than a typical interactive answer. */
  bool mIsLong = false;
};

/**
 * Bounded set-associative table of moving averages for each (caller, model)
 * pair and each caller. A full set evicts its least recently updated entry.
 *
 * Thread safety: none; the owner synchronizes access. Allocates only in the
 * constructor.
 */
class LengthPredictor
{
public:
  LengthPredictor();

  /** aMaxTokens is the limit that the caller asked for; 0 if none. */
  LengthEstimate Estimate(LengthKey aKey, std::uint32_t aMaxTokens) const;

  /** Records the length of a complete answer. */
  void Learn(LengthKey aKey, PriorityClass aPriority, double aTokens);

  /** Number of tokens from which an answer counts as long. */
  double LongThreshold() const;

  /** Number of table entries, over pairs and callers. */
  static constexpr std::size_t kCapacity = 8192;
  /** Ratio of the long threshold to a typical interactive answer. */
  static constexpr double kLongFactor = 4.0;

private:
  static constexpr std::size_t kWays = 4;

  struct Entry
  {
    std::uint64_t mHash = 0;
    /** Sequence number of the last update, for eviction. */
    std::uint64_t mLastUpdate = 0;
    /** Mean of the logarithm, which is robust to rare long answers. */
    double mLogMean = 0.0;
    std::uint32_t mSamples = 0;
  };

  using Set = std::array<Entry, kWays>;

  const Entry* Find(std::uint64_t aHash) const;
  std::size_t SetOf(std::uint64_t aHash) const;
  void LearnEntry(std::uint64_t aHash, double aPrior, double aLogTokens);

  std::vector<Set> mSets;
  std::uint64_t mUpdates = 0;
  /** Logarithm of the typical length of an interactive answer. */
  double mLogTypical;
};

} // namespace carobtide
