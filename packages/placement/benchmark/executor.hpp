#pragma once

/**
 * @file
 * Carries out plans on idealized targets: loads take time and places at the
 * store, unloads make room at once, no model loses its last replica.
 */

#include "scenario.hpp"

#include <numeric>

namespace carobtide {

/**
 * Thread safety: none.
 */
class Executor
{
public:
  Executor(const Bundle& aBundle, std::vector<PlannerTarget> aTargets)
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

  const std::vector<PlannerTarget>& ForPlanner() const { return mTargets; }
  std::size_t Moves() const { return mMoves; }
  void ResetMoves() { mMoves = 0; }

  /** Starts what the store allows of the plan's loads. */
  void Follow(const Plan& aPlan)
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
          LoadsUnderWay() < mBundle.mStore.mMaxConcurrentLoads) {
        TryLoad(t, m, wanted[t]);
      }
    }
  }

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

  /** Work served by model in one second: a maximum flow. */
  std::vector<double> Serve(const std::vector<double>& aWork)
  {
    std::vector<double> left = aWork;
    std::vector<double> room;
    for (const PlannerTarget& target : mTargets) {
      room.push_back(target.mCapacity);
    }
    mFlow.assign(aWork.size(), std::vector<double>(mTargets.size(), 0.0));
    for (std::size_t m = 0; m < left.size(); ++m) {
      while (left[m] > kLeastFlow && Augment(m, left[m], room)) {
      }
    }
    std::vector<double> served(aWork.size());
    for (std::size_t m = 0; m < left.size(); ++m) {
      served[m] = aWork[m] - left[m];
    }
    return served;
  }

private:
  static constexpr double kLeastFlow = 1e-6;

  struct Loading
  {
    std::size_t mModel = 0;
    double mLeft = 0.0;
  };

  bool Holds(std::size_t aTarget, std::size_t aModel) const
  {
    const ModelName& name = mBundle.mModels[aModel].mName;
    return std::ranges::any_of(
      mTargets[aTarget].mHolds,
      [&](const ResidentModel& aHeld) { return aHeld.mModel == name; });
  }

  bool IsReady(std::size_t aTarget, std::size_t aModel) const
  {
    return Holds(aTarget, aModel) &&
           std::ranges::none_of(mLoads[aTarget], [&](const Loading& aLoad) {
             return aLoad.mModel == aModel;
           });
  }

  std::size_t LoadsUnderWay() const
  {
    return std::accumulate(mLoads.begin(), mLoads.end(), std::size_t{ 0 },
                           [](std::size_t aSum, const auto& aLoads) {
                             return aSum + aLoads.size();
                           });
  }

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

  bool IsLast(std::size_t aTarget, std::size_t aModel) const
  {
    for (std::size_t t = 0; t < mTargets.size(); ++t) {
      if (t != aTarget && IsReady(t, aModel)) {
        return false;
      }
    }
    return true;
  }

  void TryLoad(std::size_t aTarget, std::size_t aModel,
               const std::vector<bool>& aWanted)
  {
    auto& holds = mTargets[aTarget].mHolds;
    for (auto it = holds.begin();
         it != holds.end() && Free(aTarget) < Footprint(aModel);) {
      const std::size_t m = mModels[it->mModel];
      if (!aWanted[m] && IsReady(aTarget, m) && !IsLast(aTarget, m)) {
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

  /** Finds one augmenting path from a model to a target with room. */
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
        if (aRoom[t] > kLeastFlow) {
          end = t;
          break;
        }
        for (std::size_t other = 0; other < mFlow.size(); ++other) {
          if (other != aModel && fromTarget[other] == kNone &&
              mFlow[other][t] > kLeastFlow) {
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
  double mTokens = 0.0;
  std::size_t mMoves = 0;
};

} // namespace carobtide
