#pragma once

/**
 * @file
 * Estimates how requests are distributed over replicas by water-filling: each
 * model's load fills its targets to an equal utilization, as a router does that
 * prefers idle targets.
 */

#include "packing.hpp"

#include <span>
#include <vector>

namespace carobtide {

/**
 * Load of each model and replica in a packing. Loads are in accelerators.
 *
 * Thread safety: none, not even for const methods; the caller must synchronize
 * access.
 */
class LoadSplit
{
public:
  using Index = Packing::Index;

  /** `aLoads` is the load by model. Precondition: the packing outlives this. */
  LoadSplit(const Packing& aPacking, std::vector<double> aLoads);

  /** Redistributes all models `aRounds` times (Gauss-Seidel iteration). */
  void Settle(unsigned aRounds);

  /** Redistributes one model; call after its replicas changed. */
  void Refill(Index aModel);

  /** Total load of a model. */
  double Load(Index aModel) const { return mLoads[aModel]; }
  /** Utilization of a target; 1 is saturated. */
  double Utilization(Index aTarget) const;
  /** Utilization to which the model fills its targets. */
  double Level(Index aModel) const { return mLevels[aModel]; }
  /** The model's level without one of its replicas. */
  double LevelWithout(Index aModel, Index aTarget) const;
  /** The model's level with one more replica. */
  double LevelWith(Index aModel, Index aTarget) const;
  /** The model's load on a target; 0 if it has no replica there. */
  double Share(Index aModel, Index aTarget) const;

private:
  struct ReplicaLoad
  {
    Index mTarget = 0;
    double mLoad = 0.0;
  };

  double Capacity(Index aTarget) const;
  /** Load of the other models on a target. */
  double OtherLoad(Index aModel, Index aTarget) const;
  /** The level to which the model's load fills the given targets. */
  double LevelOver(Index aModel, std::span<const Index> aTargets) const;

  const Packing& mPacking;
  std::vector<double> mLoads;
  std::vector<double> mLevels;
  std::vector<std::vector<ReplicaLoad>> mReplicaLoads; // by model
  std::vector<double> mTargetLoads;
  mutable std::vector<std::pair<double, double>> mScratch;
};

} // namespace carobtide
