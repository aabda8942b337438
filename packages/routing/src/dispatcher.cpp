#include "carobtide/routing/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <numeric>
#include <random>
#include <utility>

namespace carobtide {

namespace {

/** Connections that fail for one request before it is given up. */
constexpr std::uint32_t kMostConnectFailures = 3;
/** Arrivals beyond the route's attempts where targets had not run it. */
constexpr std::uint32_t kMostExtraArrivals = 1;

/** Parts of the objective that a request waits here for room. */
constexpr int kUrgentWaitDivisor = 3;
constexpr int kPatientWaitDivisor = 2;

constexpr int kTimeDivisor = 20;

/** Bounds of the pause after which a caller may come back. */
constexpr Duration kShortestPause = std::chrono::milliseconds(200);
constexpr Duration kLongestPause = std::chrono::milliseconds(2000);
/** Pause while a model is loaded from a target's disk. */
constexpr Duration kLoadPause = std::chrono::milliseconds(800);

/** An adapter's holders are crowded beyond others of its model by this load.
 */
constexpr double kCrowdedLoad = 0.35;

/** Shared parts remembered for one target. */
constexpr std::size_t kMostParts = 512;

void Smooth(Duration& aValue, Duration aSample)
{
  aValue = aValue == Duration::zero()
             ? aSample
             : aValue + (aSample - aValue) / kTimeDivisor;
}

/**
 * The same for all kinds: an engine preempts running work of lesser urgency,
 * and a stream that pauses for it is late, which costs more than the wait of
 * the request that displaced it.
 */
constexpr std::uint32_t kUrgency = 5;

} // namespace

Dispatcher::Dispatcher(DispatcherOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
{
}

void Dispatcher::SetCatalog(std::shared_ptr<const Catalog> aCatalog)
{
  mCatalog = std::move(aCatalog);
}

void Dispatcher::SetDaemons(std::uint32_t aDaemons)
{
  mDaemons = aDaemons;
  for (auto& [name, pool] : mPools) {
    pool.mAllowance.SetDaemons(aDaemons);
  }
}

Dispatcher::Pool& Dispatcher::PoolOf(const ServiceName& aService)
{
  const auto [it, isNew] = mPools.try_emplace(aService, mOptions.mRetryBudget);
  if (isNew) {
    it->second.mAllowance.SetDaemons(mDaemons);
  }
  return it->second;
}

TargetTransition Dispatcher::OnTarget(Instant aNow, const RoutedTarget& aState)
{
  const TargetName& name = aState.mLast.mTarget;
  auto it = mTargets.find(name);
  if (it != mTargets.end() &&
      it->second.mState.mLast.mIncarnation != aState.mLast.mIncarnation) {
    std::erase(PoolOf(it->second.mState.mLast.mService).mTargets, name);
    mTargets.erase(it);
    it = mTargets.end();
  }
  if (aState.mLast.mPhase == TargetPhase::Gone) {
    if (it != mTargets.end()) {
      std::erase(PoolOf(it->second.mState.mLast.mService).mTargets, name);
      mTargets.erase(it);
      return TargetTransition::Gone;
    }
    return TargetTransition::None;
  }
  TargetTransition news = TargetTransition::None;
  if (it == mTargets.end()) {
    news = TargetTransition::Started;
    it = mTargets.emplace(name, Target{}).first;
    PoolOf(aState.mLast.mService).mTargets.push_back(name);
  }
  const bool isHeard =
    aState.mLast.mSequence > it->second.mState.mLast.mSequence;
  const RoutedTarget& before = it->second.mState;
  if (news == TargetTransition::None && before.mSilent != aState.mSilent) {
    news = aState.mSilent ? TargetTransition::Silent : TargetTransition::Heard;
  } else if (news == TargetTransition::None &&
             before.TakesWork() != aState.TakesWork()) {
    news =
      aState.TakesWork() ? TargetTransition::Ready : TargetTransition::Draining;
  }
  it->second.mState = aState;
  it->second.mToldAt = aNow;
  if (isHeard) {
    it->second.mHealth.OnHeard();
  }
  return news;
}

void Dispatcher::OnPeerLoad(Instant aNow, const EdgeLoad& aReport)
{
  PeerLoad& peer = mPeers[aReport.mFrom];
  const bool isFresh = aNow - peer.mHeardAt < kPeerLoadMemory;
  if (isFresh && aReport.mSequence < peer.mSequence) {
    return;
  }
  peer.mSequence = aReport.mSequence;
  peer.mHeardAt = aNow;
  peer.mLoads.clear();
  for (const TargetLoad& load : aReport.mTargets) {
    peer.mLoads[load.mTarget] = load;
  }
}

DemandItem& Dispatcher::DemandOf(const ServiceName& aService,
                                 const ModelName& aModel,
                                 const AdapterName& aAdapter)
{
  DemandItem& demand = mDemand[DemandKey{ aService, aModel, aAdapter }];
  demand.mService = aService;
  demand.mModel = aModel;
  demand.mAdapter = aAdapter;
  return demand;
}

void Dispatcher::OnArrival(Instant aNow, const DispatchFacts& aFacts)
{
  Pool& pool = PoolOf(aFacts.mService);
  pool.mAllowance.OnFirstAttempt(aNow);
  if (!aFacts.mModel.IsEmpty()) {
    DemandItem& demand =
      DemandOf(aFacts.mService, aFacts.mModel, aFacts.mAdapter);
    ++demand.mArrivals;
    demand.mReading +=
      static_cast<std::uint64_t>(ReadingTime(pool, aFacts).count());
  }
}

SendTo Dispatcher::Commit(Instant aNow, const Search& aSearch,
                          DispatchState& aState)
{
  Target& target = *aSearch.mBest;
  const DispatchFacts& facts = aState.mFacts;
  const Heartbeat& last = target.mState.mLast;
  SendTo send;
  send.mSend = SendId(mNextSend++);
  send.mTarget = last.mTarget;
  send.mAddress = last.mAddress;
  send.mUrgency = kUrgency;
  send.mSnapshot = { LoadOf(target, aSearch.mLoad),
                     target.mInFlight,
                     Duration(
                       static_cast<Duration::rep>(aSearch.mLoad.mReading)),
                     target.mHealth.FailureShare(aNow),
                     aSearch.mHolders,
                     last.mSequence,
                     aNow - target.mToldAt };
  OpenSend open;
  open.mTarget = last.mTarget;
  open.mSentAt = aNow;
  open.mService = facts.mService;
  open.mModel = facts.mModel;
  open.mAdapter = facts.mAdapter;
  open.mPromptTokens = facts.mPromptTokens;
  open.mPrefillTime = ReadingTime(PoolOf(facts.mService), facts);
  open.mAllReading = send.mSnapshot.mPrefillTime + open.mPrefillTime;
  target.mPrefillTime += open.mPrefillTime;
  mOpen.emplace(send.mSend, std::move(open));
  ++target.mInFlight;
  target.mHealth.OnSent(aNow, send.mSend);
  if (facts.mSharedPrefix != 0) {
    if (target.mParts.size() >= kMostParts) {
      target.mParts.erase(std::ranges::min_element(
        target.mParts, {}, [](const auto& aPart) { return aPart.second; }));
    }
    target.mParts[facts.mSharedPrefix] = aNow;
  }
  ++mStats.mSent;
  return send;
}

DispatchDecision Dispatcher::Refuse(Instant aNow, const DispatchState& aState,
                                    const Search& aSearch, const Pool& aPool)
{
  const DispatchFacts& facts = aState.mFacts;
  const bool isEngine = !facts.mModel.IsEmpty();
  const bool isHeld = aSearch.mAdapterHeld;
  if (isEngine) {
    ++DemandOf(facts.mService, facts.mModel, facts.mAdapter).mUnplaced;
  }
  const Instant until =
    facts.mArrived +
    facts.mObjective /
      (facts.IsPatient() ? kPatientWaitDivisor : kUrgentWaitDivisor);
  const bool mayWait =
    isHeld || aSearch.mModelHeld || (isEngine && facts.IsPatient());
  if (mayWait && aNow < until) {
    return WaitForCapacity{ until };
  }
  Rejection away;
  away.mReason = isHeld               ? "no target has room"
                 : aSearch.mModelHeld ? "no target holds the adapter"
                 : isEngine           ? "no target holds the model"
                                      : "no target is known";
  away.mHolders = aSearch.mHolders;
  away.mLoadLimit = LoadLimit(aPool, facts);
  // All holders may be unreachable or tried before.
  const bool isMeasured =
    aSearch.mLeastLoad < std::numeric_limits<double>::max();
  away.mLeastLoad = isMeasured ? aSearch.mLeastLoad : 0;
  Duration pause = kLoadPause;
  if (isHeld) {
    const double excess = isMeasured ? away.mLeastLoad - away.mLoadLimit : 0;
    pause = Duration(static_cast<Duration::rep>(
      std::max(excess, 0.0) * static_cast<double>(aPool.mRunTime.count())));
  }
  pause = std::clamp(pause, kShortestPause, kLongestPause);
  // Spread, so that those who are turned away together come back apart.
  constexpr double kSpread = 0.5;
  const double factor =
    1 + std::uniform_real_distribution<>(0, kSpread)(mRandom);
  away.mRetryAfter = Duration(
    static_cast<Duration::rep>(static_cast<double>(pause.count()) * factor));
  ++mStats.mRejected;
  return away;
}

DispatchDecision Dispatcher::Choose(Instant aNow, DispatchState& aState)
{
  Pool& pool = PoolOf(aState.mFacts.mService);
  Search search = FindTarget(aNow, pool, aState);
  const bool isCrowded =
    search.mAdapterHeld &&
    search.mLeastLoad > search.mLeastModelLoad + kCrowdedLoad;
  if (search.mModelHeld && (!search.mAdapterHeld || isCrowded) &&
      !aState.mAskedForAdapter) {
    aState.mAskedForAdapter = true;
    return LoadAdapter{ isCrowded };
  }
  if (search.mBest != nullptr) {
    return Commit(aNow, search, aState);
  }
  return Refuse(aNow, aState, search, pool);
}

void Dispatcher::OnFirstByte(Instant aNow, SendId aSend)
{
  const auto it = mOpen.find(aSend);
  if (it == mOpen.end() || it->second.mFirstByte) {
    return;
  }
  it->second.mFirstByte = true;
  const Duration took = aNow - it->second.mSentAt;
  Pool& pool = PoolOf(it->second.mService);
  Smooth(pool.mFirstByte, took);
  LearnReading(pool, it->second, took);
  if (const auto target = mTargets.find(it->second.mTarget);
      target != mTargets.end()) {
    target->second.mHealth.OnFirstByte(aNow, aSend, took);
    target->second.mPrefillTime -=
      std::min(target->second.mPrefillTime, it->second.mPrefillTime);
  }
}

bool Dispatcher::MayRepeat(Instant aNow, SendEnd aEnd, DispatchState& aState)
{
  const DispatchFacts& facts = aState.mFacts;
  RetryAllowance& allowance = PoolOf(facts.mService).mAllowance;
  switch (aEnd) {
    case SendEnd::Whole:
    case SendEnd::CallerGone:
      return false;
    case SendEnd::ConnectFailed:
      return ++aState.mConnectFailures < kMostConnectFailures;
    case SendEnd::NotRun:
    case SendEnd::Full:
      ++aState.mArrivals;
      if (aState.mArrivals >= facts.mMaxAttempts + kMostExtraArrivals) {
        return false;
      }
      break;
    case SendEnd::TargetFailed:
    case SendEnd::Broken:
    case SendEnd::TimedOut:
      ++aState.mArrivals;
      ++aState.mRuns;
      if (!IsRepeatable(facts.mKind) || aState.mRuns >= facts.mMaxAttempts) {
        return false;
      }
      break;
  }
  if (aNow >= facts.mDeadline) {
    return false;
  }
  if (!allowance.Take(aNow)) {
    ++mStats.mRetriesDenied;
    return false;
  }
  ++mStats.mRetried;
  return true;
}

bool Dispatcher::OnEnd(Instant aNow, SendId aSend, SendEnd aEnd,
                       DispatchState& aState)
{
  const auto it = mOpen.find(aSend);
  if (it == mOpen.end()) {
    return false;
  }
  const OpenSend open = std::move(it->second);
  mOpen.erase(it);
  if (aEnd == SendEnd::Whole) {
    Smooth(PoolOf(open.mService).mRunTime, aNow - open.mSentAt);
  }
  if (const auto target = mTargets.find(open.mTarget);
      target != mTargets.end()) {
    target->second.mInFlight -= std::min(target->second.mInFlight, 1U);
    if (!open.mFirstByte) {
      target->second.mPrefillTime -=
        std::min(target->second.mPrefillTime, open.mPrefillTime);
    }
    target->second.mHealth.OnEnd(aNow, aSend, aEnd);
  }
  aState.mTried.push_back(open.mTarget);
  return MayRepeat(aNow, aEnd, aState);
}

std::vector<TargetLoad> Dispatcher::Loads() const
{
  std::vector<TargetLoad> loads;
  for (const auto& [name, target] : mTargets) {
    if (target.mInFlight > 0) {
      loads.push_back(
        { name, target.mInFlight,
          static_cast<std::uint64_t>(target.mPrefillTime.count()) });
    }
  }
  return loads;
}

FleetAges Dispatcher::Ages(Instant aNow) const
{
  FleetAges ages;
  ages.mTargets = mTargets.size();
  for (const auto& [name, target] : mTargets) {
    ages.mSilent += target.mState.mSilent ? 1 : 0;
    ages.mOldestTarget = std::max(ages.mOldestTarget, aNow - target.mToldAt);
  }
  for (const auto& [address, peer] : mPeers) {
    const Duration age = aNow - peer.mHeardAt;
    if (age < kPeerLoadMemory) {
      ages.mOldestPeer = std::max(ages.mOldestPeer, age);
    }
  }
  return ages;
}

double Dispatcher::RetriesLeft() const
{
  return std::transform_reduce(
    mPools.begin(), mPools.end(), 0.0, std::plus{},
    [](const auto& aPool) { return aPool.second.mAllowance.Left(); });
}

std::vector<DemandItem> Dispatcher::TakeDemand()
{
  for (const auto& [send, open] : mOpen) {
    if (!open.mModel.IsEmpty()) {
      ++DemandOf(open.mService, open.mModel, open.mAdapter).mInFlight;
    }
  }
  std::vector<DemandItem> demands;
  std::ranges::transform(std::exchange(mDemand, {}),
                         std::back_inserter(demands),
                         [](const auto& aItem) { return aItem.second; });
  return demands;
}

} // namespace carobtide
