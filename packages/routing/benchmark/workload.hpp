#pragma once

/**
 * @file
 * Synthetic workloads with a fixed seed for the service model: Poisson arrivals
 * with a peak, callers of different priority classes, and a few long requests.
 */

#include "service_model.hpp"

#include <cmath>
#include <random>

namespace carobtide::model {

/** Time interval with a higher arrival rate, in seconds. */
struct RatePeak
{
  double mFrom = 0.0;
  double mTo = 0.0;
  /** Arrival rate divided by the normal rate. */
  double mFactor = 1.0;
};

/** Request mix and arrival rate of a workload. Times in seconds. */
struct WorkloadOptions
{
  double mDuration = 120.0;
  /** Offered work divided by the capacity of all slots. */
  double mLoad = 0.6;
  RatePeak mRatePeak;
  double mInteractiveShare = 0.55;
  double mBatchShare = 0.15;
  /** Share of requests from callers whose requests are always long. */
  double mKnownLongShare = 0.03;
  /** Share of requests that are long regardless of their caller. */
  double mUnexpectedLongShare = 0.005;
  /** Mean output tokens of a short request. */
  double mShortTokens = 60.0;
  /** Output tokens of a long request divided by those of a short one. */
  double mLongFactor = 20.0;
  std::uint64_t mSeed = 1;
};

/** Mean service time of one request, in slot-seconds. */
inline double MeanWork(const ModelOptions& aModel,
                       const WorkloadOptions& aWorkload)
{
  const double shortWork =
    aModel.mPrefill + aWorkload.mShortTokens * aModel.mTokenTime;
  const double longWork = aModel.mPrefill + aWorkload.mShortTokens *
                                              aWorkload.mLongFactor *
                                              aModel.mTokenTime;
  const double longShare =
    aWorkload.mKnownLongShare + aWorkload.mUnexpectedLongShare;
  return (1.0 - longShare) * shortWork + longShare * longWork;
}

/** Draws one request that arrives at aAt seconds. */
inline Arrival MakeArrival(double aAt, const WorkloadOptions& aWorkload,
                           std::discrete_distribution<std::uint32_t>& aModels,
                           RandomEngine& aRandom)
{
  std::uniform_real_distribution<double> unit(0.0, 1.0);
  std::lognormal_distribution<double> length(-0.125, 0.5);
  Arrival arrival;
  arrival.mAt = aAt;
  RequestFacts& facts = arrival.mFacts;
  facts.mModel = ServiceModel::NameOf(aModels(aRandom));
  facts.mMaxTokens = 4096;
  const double pick = unit(aRandom);
  const bool isUnexpectedlyLong =
    unit(aRandom) < aWorkload.mUnexpectedLongShare;
  bool isLong = isUnexpectedlyLong;
  if (pick < aWorkload.mInteractiveShare) {
    facts.mCaller = CallerName(pick < 0.3 ? "fitter" : "shop");
    facts.mPriority = PriorityClass::Interactive;
    facts.mStreaming = unit(aRandom) < 0.7;
    facts.mFirstByteDeadline =
      Instant(Duration(static_cast<std::int64_t>((aAt + 5.0) * 1e6)));
    facts.mDeadline =
      Instant(Duration(static_cast<std::int64_t>((aAt + 60.0) * 1e6)));
  } else if (pick < aWorkload.mInteractiveShare + aWorkload.mBatchShare) {
    facts.mCaller = CallerName("listings");
    facts.mPriority = PriorityClass::Batch;
    facts.mDeadline =
      Instant(Duration(static_cast<std::int64_t>((aAt + 600.0) * 1e6)));
  } else if (pick < aWorkload.mInteractiveShare + aWorkload.mBatchShare +
                      aWorkload.mKnownLongShare) {
    facts.mCaller = CallerName("archive");
    facts.mStreaming = true;
    facts.mFirstByteDeadline =
      Instant(Duration(static_cast<std::int64_t>((aAt + 30.0) * 1e6)));
    facts.mDeadline =
      Instant(Duration(static_cast<std::int64_t>((aAt + 300.0) * 1e6)));
    isLong = true;
  } else {
    facts.mCaller = CallerName("reseller");
    facts.mStreaming = unit(aRandom) < 0.5;
    facts.mFirstByteDeadline =
      Instant(Duration(static_cast<std::int64_t>((aAt + 10.0) * 1e6)));
    facts.mDeadline =
      Instant(Duration(static_cast<std::int64_t>((aAt + 60.0) * 1e6)));
  }
  const double scale = isLong ? aWorkload.mLongFactor : 1.0;
  arrival.mTokens =
    std::max(1.0, std::round(aWorkload.mShortTokens * scale * length(aRandom)));
  return arrival;
}

/** Adds the arrivals of a workload to a model. */
inline void AddWorkload(ServiceModel& aModel, const ModelOptions& aOptions,
                        const WorkloadOptions& aWorkload)
{
  RandomEngine random(aWorkload.mSeed);
  std::vector<double> weights;
  for (std::uint32_t it = 0; it < aOptions.mModels; ++it) {
    weights.push_back(ServiceModel::Popularity(it));
  }
  std::discrete_distribution<std::uint32_t> models(weights.begin(),
                                                   weights.end());
  const double base =
    aWorkload.mLoad * aModel.Capacity() / MeanWork(aOptions, aWorkload);
  double now = 0.0;
  while (true) {
    const RatePeak& peak = aWorkload.mRatePeak;
    const bool isPeak = now >= peak.mFrom && now < peak.mTo;
    std::exponential_distribution<double> gap(isPeak ? base * peak.mFactor
                                                     : base);
    now += gap(random);
    if (now >= aWorkload.mDuration) {
      return;
    }
    aModel.AddArrival(MakeArrival(now, aWorkload, models, random));
  }
}

/**
 * Makes a random fifth of the targets slow at regular intervals, from 10 s
 * until aDuration.
 */
inline void AddSlowPeriods(ServiceModel& aModel, const ModelOptions& aOptions,
                           double aDuration, std::uint64_t aSeed)
{
  constexpr double kIntervalSeconds = 6.0;
  constexpr double kSlowSeconds = 2.0;
  constexpr double kFactor = 10.0;
  RandomEngine random(aSeed);
  std::vector<std::uint32_t> order(aOptions.mTargets);
  for (std::uint32_t it = 0; it < order.size(); ++it) {
    order[it] = it;
  }
  const std::size_t slowed = std::max<std::size_t>(1, order.size() / 5);
  for (double from = 10.0; from < aDuration; from += kIntervalSeconds) {
    std::ranges::shuffle(order, random);
    for (std::size_t it = 0; it < slowed; ++it) {
      aModel.AddSlowPeriod(order[it], { from, from + kSlowSeconds, kFactor });
    }
  }
}

/** Quantile of the samples, aQuantile from 0 to 1; 0 if there are none. */
inline double Quantile(std::vector<double> aSamples, double aQuantile)
{
  if (aSamples.empty()) {
    return 0.0;
  }
  const auto rank = static_cast<std::size_t>(
    aQuantile * static_cast<double>(aSamples.size() - 1));
  std::ranges::nth_element(aSamples,
                           aSamples.begin() + static_cast<long>(rank));
  return aSamples[rank];
}

/** Mean of the samples; 0 if there are none. */
inline double Mean(const std::vector<double>& aSamples)
{
  double sum = 0.0;
  for (const double it : aSamples) {
    sum += it;
  }
  return aSamples.empty() ? 0.0 : sum / static_cast<double>(aSamples.size());
}

} // namespace carobtide::model
