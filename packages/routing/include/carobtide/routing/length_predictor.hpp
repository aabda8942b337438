#pragma once

/**
 * @file
 * Expected length of an answer, learnt per caller and model.
 */

#include "carobtide/base.hpp"
#include "carobtide/bundle.hpp"

#include <array>
#include <cstdint>
#include <vector>

namespace carobtide {

/** Names whose answers are of a kind. */
struct LengthKey
{
  std::uint64_t mHash = 0;
  /** The caller over all models: the prior of a pair not seen yet. */
  std::uint64_t mCallerHash = 0;

  static LengthKey Of(const CallerName& aCaller, const ModelName& aModel);
};

/** What is expected of one request. */
struct LengthEstimate
{
  double mTokens = 0.0;
  /** True if many times longer than typical interactive work. */
  bool mIsLong = false;
};

/**
 * Bounded table of moving averages, per pair and per caller. A full set gives
 * up its least recently used entry.
 *
 * Thread safety: none; the owner guards it. Allocates only in the constructor.
 */
class LengthPredictor
{
public:
  LengthPredictor();

  /** aMaxTokens is the caller's own upper bound; 0 if it gave none. */
  LengthEstimate Estimate(LengthKey aKey, std::uint32_t aMaxTokens) const;

  /** Takes the length of an answer that was whole. */
  void Learn(LengthKey aKey, PriorityClass aPriority, double aTokens);

  /** Tokens from which an answer counts as long. */
  double LongThreshold() const;

  /** Most (caller, model) pairs remembered. */
  static constexpr std::size_t kCapacity = 8192;
  /** Long work is this many times longer than typical work. */
  static constexpr double kLongFactor = 4.0;

private:
  static constexpr std::size_t kWays = 4;

  struct Entry
  {
    std::uint64_t mHash = 0;
    std::uint64_t mUsed = 0;
    /** Mean of the logarithm: a rare straggler hardly moves it. */
    double mLogMean = 0.0;
    std::uint32_t mSamples = 0;
  };

  using Set = std::array<Entry, kWays>;

  const Entry* Find(std::uint64_t aHash) const;
  std::size_t SetOf(std::uint64_t aHash) const;
  void LearnEntry(std::uint64_t aHash, double aPrior, double aLogTokens);

  std::vector<Set> mSets;
  std::uint64_t mUse = 0;
  /** Logarithm of the typical length of interactive answers. */
  double mLogTypical;
};

} // namespace carobtide
