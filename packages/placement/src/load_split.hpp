#pragma once

/**
 * @file
 * An estimate of how requests spread over replicas: each model's load fills
 * its targets to an equal level, as a router that prefers idle targets does.
 */

#include "packing.hpp"

#include <span>
#include <vector>

namespace carobtide {

/**
 * Load per model and replica over a packing.
 *
 * Thread safety: none.
 */
class LoadSplit
{
public:
  using Index = Packing::Index;

  /** `aLoads` is the load by model, in accelerators. */
  LoadSplit(const Packing& aPacking, std::vector<double> aLoads);

  /** Splits every model anew, some rounds over (Gauss-Seidel). */
  void Settle(unsigned aRounds);

  /** Splits one model anew; call after its replicas changed. */
  void Refill(Index aModel);

  double Load(Index aModel) const { return mLoads[aModel]; }
  /** Utilization of a target, 1 is saturated. */
  double Utilization(Index aTarget) const;
  /** Utilization that the model's replicas are filled to. */
  double Level(Index aModel) const { return mLevels[aModel]; }
  /** The level that the model would have without one of its replicas. */
  double LevelWithout(Index aModel, Index aTarget) const;
  /** The level that the model would have with one replica more. */
  double LevelWith(Index aModel, Index aTarget) const;
  /** The model's load on one of its targets. */
  double Share(Index aModel, Index aTarget) const;

private:
  struct Part
  {
    Index mTarget = 0;
    double mLoad = 0.0;
  };

  double Capacity(Index aTarget) const;
  /** Load of the other models on a target. */
  double OtherLoad(Index aModel, Index aTarget) const;
  /** The level at which a load fills some targets. */
  double LevelOver(Index aModel, std::span<const Index> aTargets) const;

  const Packing& mPacking;
  std::vector<double> mLoads;
  std::vector<double> mLevels;
  std::vector<std::vector<Part>> mParts; // by model
  std::vector<double> mTargetLoads;
  mutable std::vector<std::pair<double, double>> mScratch;
};

} // namespace carobtide
