// The ways of a dispatcher to targets: which of its own work, and what other
// daemons send for it.
#include "carobtide/routing/dispatcher.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace carobtide {

namespace {

/** Daemons that one request is handed to, one after the other. */
constexpr std::size_t kMaxRelays = 3;
/** How long a daemon's word counts that it does not reach a target either. */
constexpr Duration kUselessTime = std::chrono::milliseconds(1000);
/** Bound of test connections that have not ended. */
constexpr std::size_t kMaxOpenChecks = 32;
/** Paths that are tested because another one failed. */
constexpr int kDoubtsPerFailure = 8;
/** A path that worked within this time is not doubted with another one. */
constexpr Duration kProofLifetime = std::chrono::milliseconds(300);

} // namespace

bool Dispatcher::IsReachable(const Target& aTarget) const
{
  switch (aTarget.mPath.State()) {
    case PathState::Works:
      return true;
    case PathState::Refused:
      return mOptions.mHasIdleConnection &&
             mOptions.mHasIdleConnection(aTarget.mState.mLast.mAddress);
    case PathState::Doubtful:
    case PathState::Silent:
      break;
  }
  return false;
}

void Dispatcher::SetRelays(const std::vector<RelayPeer>& aRelays)
{
  mRelays.SetPeers(aRelays);
}

std::optional<RelayTo> Dispatcher::FindRelay(Instant aNow,
                                             const DispatchState& aState,
                                             Search& aSearch)
{
  const auto& holders = aSearch.mRelayHolders;
  const bool canReachSome = aSearch.mUnreachableHolders < aSearch.mHolders;
  if (aState.mIsRelayed || holders.empty() ||
      aState.mRelays.size() >= kMaxRelays ||
      (canReachSome && !aSearch.mHasRoomElsewhere)) {
    return std::nullopt;
  }
  const auto isUseful = [&](const Endpoint& aRelay) {
    return std::ranges::any_of(holders, [&](const TargetName& aName) {
      const auto& useless = mTargets.at(aName).mUselessRelays;
      const auto it = useless.find(aRelay);
      return it == useless.end() || aNow >= it->second;
    });
  };
  const auto relay = mRelays.Choose(aNow, aState.mRelays, isUseful, mRandom);
  if (!relay) {
    return std::nullopt;
  }
  return RelayTo{ *relay, std::move(aSearch.mRelayHolders) };
}

bool Dispatcher::OnRelayEnd(Instant aNow, const RelayTo& aRelay, RelayEnd aEnd,
                            std::uint32_t aRuns, DispatchState& aState)
{
  mRelays.OnEnd(aNow, aRelay.mRelay, aEnd);
  const DispatchFacts& facts = aState.mFacts;
  aState.mRuns += aRuns;
  aState.mDelivered += aRuns;
  switch (aEnd) {
    case RelayEnd::Answered:
    case RelayEnd::CallerGone:
    case RelayEnd::Failed:
      return false;
    case RelayEnd::Unreachable:
      for (const TargetName& name : aRelay.mHolders) {
        if (const auto it = mTargets.find(name); it != mTargets.end()) {
          it->second.mUselessRelays[aRelay.mRelay] = aNow + kUselessTime;
        }
      }
      [[fallthrough]];
    case RelayEnd::Refused:
    case RelayEnd::ConnectFailed:
      return aNow < facts.mDeadline;
    case RelayEnd::Lost:
    case RelayEnd::TimedOut:
      break;
  }
  return IsRepeatable(facts.mKind) && aState.mRuns < facts.mMaxAttempts &&
         TakeRetry(aNow, facts);
}

void Dispatcher::SpreadDoubt(Instant aNow)
{
  int left = kDoubtsPerFailure;
  for (auto& [name, target] : mTargets) {
    if (target.mPath.IsOpen() && target.mState.TakesWork() &&
        aNow - target.mPath.ProvenAt() > kProofLifetime && left > 0) {
      target.mPath.OnDoubt(aNow);
      --left;
    }
  }
}

std::vector<PathCheck> Dispatcher::TakePathChecks(Instant aNow)
{
  std::vector<PathCheck> checks;
  for (auto& [name, target] : mTargets) {
    if (mOpenChecks >= kMaxOpenChecks) {
      break;
    }
    if (target.mPath.IsCheckDue(aNow, target.mInFlight > 0)) {
      target.mPath.OnCheckBegun(aNow);
      ++mOpenChecks;
      const Heartbeat& last = target.mState.mLast;
      checks.push_back({ name, last.mIncarnation, last.mAddress });
    }
  }
  return checks;
}

std::optional<PathState> Dispatcher::OnPathChecked(Instant aNow,
                                                   const PathCheck& aCheck,
                                                   PathEvidence aEvidence)
{
  --mOpenChecks;
  Target* target = FindProcess(aCheck.mTarget, aCheck.mIncarnation);
  if (target == nullptr) {
    return std::nullopt;
  }
  const PathState before = target->mPath.State();
  const double jitter = std::uniform_real_distribution<>(0, 1)(mRandom);
  if (!target->mPath.OnChecked(aNow, aEvidence, jitter)) {
    return std::nullopt;
  }
  if (target->mPath.IsOpen()) {
    mIsScanDue = true;
    target->mUselessRelays.clear();
    // What listens there again may be a process that just started.
    if (before != PathState::Doubtful) {
      target->mDoubt.OnConnectionLost(aNow, mOptions.mProcessDoubt);
    }
  } else {
    SpreadDoubt(aNow);
  }
  return target->mPath.State();
}

void Dispatcher::OnBytes(Instant aNow, SendId aSend)
{
  if (const auto open = mOpen.find(aSend); open != mOpen.end()) {
    if (Target* target =
          FindProcess(open->second.mTarget, open->second.mIncarnation)) {
      target->mPath.OnBytes(aNow);
      ObserveEvent(aNow, *target, open->second);
    }
  }
}

double Dispatcher::UnreachableShare() const
{
  const auto unreachable =
    std::ranges::count_if(mTargets, [](const auto& aTarget) {
      return !aTarget.second.mPath.IsOpen();
    });
  return mTargets.empty() ? 0.0
                          : static_cast<double>(unreachable) /
                              static_cast<double>(mTargets.size());
}

} // namespace carobtide
