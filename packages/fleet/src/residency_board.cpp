#include "carobtide/fleet/residency_board.hpp"

#include <algorithm>
#include <tuple>
#include <unordered_set>
#include <utility>

namespace carobtide {

namespace {

std::int64_t Micros(Instant aTime)
{
  return aTime.time_since_epoch().count();
}

} // namespace

void ResidencyBoard::Reset(std::uint64_t aTerm)
{
  mTerm = aTerm;
  mVersion = 0;
  mEngines.clear();
}

std::optional<ResidencyMap> ResidencyBoard::Publish(
  Instant aNow, std::uint64_t aTerm, std::vector<Residency> aEngines)
{
  mClockOffset = 0;
  if (aTerm != mTerm) {
    Reset(aTerm);
  }
  const std::uint64_t next = mVersion + 1;
  ResidencyMap update{ aTerm, next, {}, mVersion, Micros(aNow) };
  std::unordered_set<TargetName> known;
  for (Residency& engine : aEngines) {
    known.insert(engine.mTarget);
    Entry& entry = mEngines[engine.mTarget];
    if (entry.mVersion == 0 || !(entry.mResidency == engine)) {
      update.mEngines.push_back(engine);
      entry = { std::move(engine), next };
    }
  }
  // Engines that left need no update: watchers learn of that as targets.
  std::erase_if(mEngines, [&](const auto& aEngine) {
    return !known.contains(aEngine.first);
  });
  if (update.mEngines.empty()) {
    return std::nullopt;
  }
  mVersion = next;
  return update;
}

bool ResidencyBoard::OnMap(Instant aNow, const ResidencyMap& aMap)
{
  if (std::tie(aMap.mTerm, aMap.mVersion) <= std::tie(mTerm, mVersion)) {
    return true;
  }
  const bool isComplete = aMap.mSince == 0;
  if (!isComplete && (aMap.mTerm != mTerm || aMap.mSince > mVersion)) {
    return false;
  }
  if (isComplete) {
    Reset(aMap.mTerm);
  }
  mVersion = aMap.mVersion;
  mClockOffset = aMap.mClockMicros - Micros(aNow);
  for (const Residency& engine : aMap.mEngines) {
    mEngines.insert_or_assign(engine.mTarget, Entry{ engine, mVersion });
  }
  return true;
}

bool ResidencyBoard::IsNewerThan(std::uint64_t aTerm,
                                 std::uint64_t aVersion) const
{
  return std::tie(aTerm, aVersion) < std::tie(mTerm, mVersion);
}

ResidencyMap ResidencyBoard::Since(Instant aNow, std::uint64_t aTerm,
                                   std::uint64_t aVersion) const
{
  const std::uint64_t since = aTerm == mTerm ? aVersion : 0;
  ResidencyMap map{ mTerm, mVersion, {}, since, Micros(aNow) + mClockOffset };
  for (const auto& [name, entry] : mEngines) {
    if (entry.mVersion > since) {
      map.mEngines.push_back(entry.mResidency);
    }
  }
  return map;
}

} // namespace carobtide
