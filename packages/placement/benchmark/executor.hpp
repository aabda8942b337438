#pragma once

/**
 * @file
 * Simulates the execution of plans. Loads take time and are limited by the
 * store's rate and concurrency, unloads are immediate, and the last ready
 * replica of a model is never unloaded.
 */

#include "scenario.hpp"

#include <numeric>

namespace carobtide {

/**
 * Simulated targets that load and serve the models of a plan.
 *
 * Thread safety: none.
 */
class PlanExecutor
{
public:
  /** aBundle must outlive the executor. */
  PlanExecutor(const Bundle& aBundle, std::vector<PlannerTarget> aTargets)
    : mBundle(aBundle)
    , mTargets(std::move(aTargets))
    , mLoads(mTargets.size())
  {
    for (std::size_t m = 0; m < aBundle.mModels.size(); ++m) {
      mModels[aBundle.mModels[m].mName] = m;
    }
    for (std::size_t t = 0; t < mTargets.size(); ++t) {
      mByName[mTargets[t].mName] = t;
    }
  }

  /** Targets with the models that they hold or are loading. */
  const std::vector<PlannerTarget>& Targets() const { return mTargets; }
  /** Loads started since the last ResetMoves. */
  std::size_t Moves() const { return mMoves; }
  void ResetMoves() { mMoves = 0; }

  /** Starts the missing loads of a plan, as far as the store's limits allow. */
  void StartLoads(const Plan& aPlan)
  {
    std::vector<std::vector<bool>> wanted(
      mTargets.size(), std::vector<bool>(mBundle.mModels.size(), false));
    for (const WantedCopy& copy : aPlan.mCopies) {
      wanted[mByName[copy.mTarget]][mModels[copy.mModel]] = true;
    }
    for (const WantedCopy& copy : aPlan.mCopies) {
      const std::size_t t = mByName[copy.mTarget];
      const std::size_t m = mModels[copy.mModel];
      if (copy.mAdapter.IsEmpty() && !Holds(t, m) && mTokens >= 1.0 &&
          LoadsInProgress() < mBundle.mStore.mMaxConcurrentLoads) {
        TryLoad(t, m, wanted[t]);
      }
    }
  }

  /** Advances the loads in progress and the store's rate limit. */
  void Advance(double aSeconds)
  {
    const double rate = mBundle.mStore.mLoadsPerSecond;
    mTokens = std::min(std::max(1.0, rate), mTokens + aSeconds * rate);
    for (auto& loads : mLoads) {
      for (Loading& load : loads) {
        load.mLeft -= aSeconds;
      }
      std::erase_if(loads,
                    [](const Loading& aLoad) { return aLoad.mLeft <= 0.0; });
    }
  }

  /**
   * Work of each model that is served in one second: a maximum flow from the
   * models to the targets that are ready to serve them.
   */
  std::vector<double> Serve(const std::vector<double>& aWork)
  {
    std::vector<double> left = aWork;
    std::vector<double> room;
    for (const PlannerTarget& target : mTargets) {
      room.push_back(target.mCapacity);
    }
    mFlow.assign(aWork.size(), std::vector<double>(mTargets.size(), 0.0));
    for (std::size_t m = 0; m < left.size(); ++m) {
      while (left[m] > kMinFlow && Augment(m, left[m], room)) {
      }
    }
    std::vector<double> served(aWork.size());
    for (std::size_t m = 0; m < left.size(); ++m) {
      served[m] = aWork[m] - left[m];
    }
    return served;
  }

private:
  static constexpr double kMinFlow = 1e-6;

  struct Loading
  {
    std::size_t mModel = 0;
    /** Seconds until the load is finished. */
    double mLeft = 0.0;
  };

  /** True if the target has loaded the model or is loading it. */
  bool Holds(std::size_t aTarget, std::size_t aModel) const
  {
    const ModelName& name = mBundle.mModels[aModel].mName;
    return std::ranges::any_of(
      mTargets[aTarget].mHolds,
      [&](const ResidentModel& aHeld) { return aHeld.mModel == name; });
  }

  /** True if the target has loaded the model. */
  bool IsReady(std::size_t aTarget, std::size_t aModel) const
  {
    return Holds(aTarget, aModel) &&
           std::ranges::none_of(mLoads[aTarget], [&](const Loading& aLoad) {
             return aLoad.mModel == aModel;
           });
  }

  std::size_t LoadsInProgress() const
  {
    return std::accumulate(mLoads.begin(), mLoads.end(), std::size_t{ 0 },
                           [](std::size_t aSum, const auto& aLoads) {
                             return aSum + aLoads.size();
                           });
  }

  /** Memory of a model with all its adapters. */
  Bytes Footprint(std::size_t aModel) const
  {
    Bytes bytes = mBundle.mModels[aModel].mMemory;
    for (const AdapterSpec& adapter : mBundle.mModels[aModel].mAdapters) {
      bytes += adapter.mMemory;
    }
    return bytes;
  }

  Bytes Free(std::size_t aTarget) const
  {
    Bytes free = mTargets[aTarget].mMemory;
    for (const ResidentModel& held : mTargets[aTarget].mHolds) {
      free -= held.mMemory;
    }
    return free;
  }

  /** True if no other target is ready to serve the model. */
  bool IsLastReplica(std::size_t aTarget, std::size_t aModel) const
  {
    for (std::size_t t = 0; t < mTargets.size(); ++t) {
      if (t != aTarget && IsReady(t, aModel)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Starts a load if the target has enough memory after unloading models that
   * the plan does not want there.
   */
  void TryLoad(std::size_t aTarget, std::size_t aModel,
               const std::vector<bool>& aWanted)
  {
    auto& holds = mTargets[aTarget].mHolds;
    for (auto it = holds.begin();
         it != holds.end() && Free(aTarget) < Footprint(aModel);) {
      const std::size_t m = mModels[it->mModel];
      if (!aWanted[m] && IsReady(aTarget, m) && !IsLastReplica(aTarget, m)) {
        it = holds.erase(it);
      } else {
        ++it;
      }
    }
    if (Free(aTarget) < Footprint(aModel)) {
      return;
    }
    holds.push_back(
      { mBundle.mModels[aModel].mName, {}, 1, Footprint(aModel), {} });
    const double seconds =
      mBundle.mStore.mMaxConcurrentLoads / mBundle.mStore.mLoadsPerSecond;
    mLoads[aTarget].push_back({ aModel, seconds });
    mTokens -= 1.0;
    ++mMoves;
  }

  /**
   * Adds flow along one augmenting path from a model to a target with spare
   * capacity, found by breadth-first search; false if there is none.
   */
  bool Augment(std::size_t aModel, double& aLeft, std::vector<double>& aRoom)
  {
    constexpr std::size_t kNone = static_cast<std::size_t>(-1);
    std::vector<std::size_t> fromModel(mTargets.size(), kNone);
    std::vector<std::size_t> fromTarget(mFlow.size(), kNone);
    std::vector<std::size_t> queue{ aModel };
    std::size_t end = kNone;
    for (std::size_t n = 0; n < queue.size() && end == kNone; ++n) {
      const std::size_t m = queue[n];
      for (std::size_t t = 0; t < mTargets.size(); ++t) {
        if (fromModel[t] != kNone || !IsReady(t, m)) {
          continue;
        }
        fromModel[t] = m;
        if (aRoom[t] > kMinFlow) {
          end = t;
          break;
        }
        for (std::size_t other = 0; other < mFlow.size(); ++other) {
          if (other != aModel && fromTarget[other] == kNone &&
              mFlow[other][t] > kMinFlow) {
            fromTarget[other] = t;
            queue.push_back(other);
          }
        }
      }
    }
    if (end == kNone) {
      return false;
    }
    double flow = std::min(aLeft, aRoom[end]);
    for (std::size_t t = end; fromModel[t] != aModel;) {
      const std::size_t m = fromModel[t];
      t = fromTarget[m];
      flow = std::min(flow, mFlow[m][t]);
    }
    aRoom[end] -= flow;
    aLeft -= flow;
    std::size_t t = end;
    while (true) {
      const std::size_t m = fromModel[t];
      mFlow[m][t] += flow;
      if (m == aModel) {
        return true;
      }
      t = fromTarget[m];
      mFlow[m][t] -= flow;
    }
  }

  const Bundle& mBundle;
  std::vector<PlannerTarget> mTargets;
  std::vector<std::vector<Loading>> mLoads; // by target
  std::vector<std::vector<double>> mFlow;   // by model and target
  std::map<ModelName, std::size_t> mModels;
  std::map<TargetName, std::size_t> mByName;
  /** Tokens of the store's rate limit; a load takes one. */
  double mTokens = 0.0;
  std::size_t mMoves = 0;
};

} // namespace carobtide
