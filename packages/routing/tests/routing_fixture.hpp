#pragma once

/**
 * @file
 * Helpers of the routing tests: announcements, requests, effects by type.
 */

#include "carobtide/routing.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace carobtide::test {

inline Instant At(Duration aSinceStart)
{
  return Instant(1000s) + aSinceStart;
}

/** Announcement of an engine with eight slots that holds aModels. */
inline Announcement Engine(const std::string& aName,
                           const std::vector<std::string>& aModels,
                           const std::string& aDomain = "be-central-a")
{
  Announcement engine;
  engine.mTarget = TargetName(aName);
  engine.mIncarnation = Incarnation(1);
  engine.mSequence = 1;
  engine.mFailureDomain = FailureDomain(aDomain);
  engine.mPool = "atelier-lm";
  engine.mLoad.mSlots = 8;
  for (const std::string& it : aModels) {
    ResidentModel resident;
    resident.mModel = ModelName(it);
    resident.mVersion = 1;
    engine.mResident.push_back(resident);
  }
  return engine;
}

inline RequestFacts ModelRequest(std::uint64_t aId,
                                 const std::string& aModel = "tagger")
{
  RequestFacts facts;
  facts.mId = RequestId(aId);
  facts.mCaller = CallerName("fitter");
  facts.mModel = ModelName(aModel);
  facts.mFingerprint = Digest{ 1, aId };
  return facts;
}

/** The effects of one type, in order. */
template<class Effect>
std::vector<Effect> Only(const RouterEffects& aEffects)
{
  std::vector<Effect> found;
  for (const RouterEffect& it : aEffects) {
    if (const auto* effect = std::get_if<Effect>(&it)) {
      found.push_back(*effect);
    }
  }
  return found;
}

inline RouterOptions Options()
{
  RouterOptions options;
  options.mFailureDomain = FailureDomain("be-central-a");
  options.mSeed = 7;
  return options;
}

} // namespace carobtide::test
