#include "carobtide/routing/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <random>
#include <utility>

namespace carobtide {

namespace {

/** A peer's report of its load counts this long: several reports. */
constexpr Duration kPeerLoadMemory = std::chrono::milliseconds(1000);
/** Connections that fail for one request before it is given up. */
constexpr std::uint32_t kMostConnectFailures = 3;
/** Arrivals beyond the route's attempts where targets had not run it. */
constexpr std::uint32_t kMostExtraArrivals = 1;

/** Score of a target in another failure domain, in units of load. */
constexpr double kRemoteScore = 0.08;
/** Score of a target that fails every request. */
constexpr double kFailureScore = 1.5;
/** Score for each time that a target is slower than twice its pool. */
constexpr double kSlownessScore = 0.25;
constexpr double kMostSlownessScore = 1.0;
/** Score of a target whose oldest request waits unusually long. */
constexpr double kHangScore = 1.0;
/** Score of a target that no daemon has heard of lately. */
constexpr double kSilenceScore = 0.4;
/** Gain of a target that read the shared part of the prompt lately. */
constexpr double kSharedPartScore = 0.06;
/** Breaks ties, so that daemons do not all choose the same target. */
constexpr double kTieScore = 0.01;

/** A wait for the first byte is unusual from this time on. */
constexpr Duration kShortestHang = std::chrono::milliseconds(600);
constexpr int kHangFactor = 4;

/** Part of the objective that a request may spend in a target's queue. */
constexpr double kQueueShare = 0.6;
/** Load beyond the slots is bounded, whatever the run time. */
constexpr double kMostQueueLoad = 3.0;
/**
 * Parts of the pause objective that prompts on their way to an engine may
 * take: its streams stand still while it reads them.
 */
constexpr double kUrgentPause = 0.5;
constexpr double kPatientPause = 0.25;
/** Score of prompts that take the whole objective to read. */
constexpr double kBacklogScore = 1.0;
/** Load up to which patient work is sent to engines. */
constexpr double kPatientLoad = 0.95;
/** Objectives from here on are patient work. */
constexpr Duration kPatientObjective = std::chrono::milliseconds(1000);
/** Parts of the objective that a request waits here for room. */
constexpr int kUrgentWaitDivisor = 3;
constexpr int kPatientWaitDivisor = 2;

/** Run times assumed until some were seen. */
constexpr Duration kEngineRunTime = std::chrono::milliseconds(1500);
constexpr Duration kServiceRunTime = std::chrono::milliseconds(50);
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

const HeldModel* FindHeld(const RoutedTarget& aState, const ModelName& aModel)
{
  const auto it = std::ranges::find(aState.mModels, aModel, &HeldModel::mName);
  return it == aState.mModels.end() ? nullptr : &*it;
}

bool IsPatient(const DispatchFacts& aFacts)
{
  return aFacts.mObjective >= kPatientObjective;
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

void Dispatcher::OnTarget(Instant, const RoutedTarget& aState)
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
    }
    return;
  }
  if (it == mTargets.end()) {
    it = mTargets.emplace(name, Target{}).first;
    PoolOf(aState.mLast.mService).mTargets.push_back(name);
  }
  const bool isHeard =
    aState.mLast.mSequence > it->second.mState.mLast.mSequence;
  it->second.mState = aState;
  if (isHeard) {
    it->second.mHealth.OnHeard();
  }
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

TargetLoad Dispatcher::LoadAt(Instant aNow, const Target& aTarget) const
{
  TargetLoad load{ aTarget.mState.mLast.mTarget, aTarget.mInFlight,
                   aTarget.mPromptBacklog };
  for (const auto& [address, peer] : mPeers) {
    if (aNow - peer.mHeardAt < kPeerLoadMemory) {
      const auto it = peer.mLoads.find(load.mTarget);
      if (it != peer.mLoads.end()) {
        load.mInFlight += it->second.mInFlight;
        load.mPromptBacklog += it->second.mPromptBacklog;
      }
    }
  }
  return load;
}

double Dispatcher::LoadOf(const Target& aTarget, const TargetLoad& aLoad)
{
  const auto slots = std::max<std::uint32_t>(aTarget.mState.mLast.mSlots, 1);
  return static_cast<double>(aLoad.mInFlight) / slots;
}

Duration Dispatcher::BacklogTime(const Pool& aPool, const TargetLoad& aLoad)
{
  return Duration(
    static_cast<Duration::rep>(aPool.mTokenMicros * aLoad.mPromptBacklog));
}

bool Dispatcher::IsReading(const Pool& aPool, const DispatchFacts& aFacts,
                           const TargetLoad& aLoad) const
{
  const double share = IsPatient(aFacts) ? kPatientPause : kUrgentPause;
  const auto most = static_cast<double>(aFacts.mPauseObjective.count()) * share;
  return aFacts.mPauseObjective > Duration::zero() &&
         static_cast<double>(BacklogTime(aPool, aLoad).count()) > most;
}

double Dispatcher::ScoreOf(Instant aNow, const Target& aTarget,
                           const Pool& aPool, const DispatchFacts& aFacts,
                           const TargetLoad& aLoad)
{
  double score = LoadOf(aTarget, aLoad);
  if (aFacts.mObjective > Duration::zero()) {
    score += kBacklogScore *
             static_cast<double>(BacklogTime(aPool, aLoad).count()) /
             static_cast<double>(aFacts.mObjective.count());
  }
  const Heartbeat& last = aTarget.mState.mLast;
  if (last.mFailureDomain != mOptions.mFailureDomain) {
    score += kRemoteScore;
  }
  if (aTarget.mState.mSilent) {
    score += kSilenceScore;
  }
  score += kFailureScore * aTarget.mHealth.FailureShare(aNow);
  const Duration usual = aPool.mFirstByte;
  const Duration own = aTarget.mHealth.FirstByteTime(aNow);
  if (usual > Duration::zero() && own > 2 * usual) {
    const double ratio =
      static_cast<double>(own.count()) / static_cast<double>(usual.count());
    score += std::min(kMostSlownessScore, kSlownessScore * (ratio - 2));
  }
  if (aTarget.mHealth.OldestWait(aNow) >
      std::max(kShortestHang, kHangFactor * usual)) {
    score += kHangScore;
  }
  if (aFacts.mSharedPart != 0 && aTarget.mParts.contains(aFacts.mSharedPart)) {
    score -= kSharedPartScore;
  }
  return score + std::uniform_real_distribution<>(0, kTieScore)(mRandom);
}

double Dispatcher::LoadLimit(const Pool& aPool,
                             const DispatchFacts& aFacts) const
{
  const bool isEngine = !aFacts.mModel.IsEmpty();
  if (isEngine && IsPatient(aFacts)) {
    return kPatientLoad;
  }
  Duration run = aPool.mRunTime;
  if (run == Duration::zero()) {
    run = isEngine ? kEngineRunTime : kServiceRunTime;
  }
  const double queue = kQueueShare *
                       static_cast<double>(aFacts.mObjective.count()) /
                       static_cast<double>(run.count());
  return 1.0 + std::min(queue, kMostQueueLoad);
}

Dispatcher::Search Dispatcher::FindTarget(Instant aNow, const Pool& aPool,
                                          const DispatchState& aState)
{
  const DispatchFacts& facts = aState.mFacts;
  const double limit = LoadLimit(aPool, facts);
  Search search;
  search.mLeastLoad = std::numeric_limits<double>::max();
  search.mLeastModelLoad = std::numeric_limits<double>::max();
  for (const TargetName& name : aPool.mTargets) {
    Target& target = mTargets.at(name);
    if (!target.mState.TakesWork()) {
      continue;
    }
    if (!facts.mModel.IsEmpty()) {
      const HeldModel* held = FindHeld(target.mState, facts.mModel);
      if (held == nullptr) {
        continue;
      }
      search.mModelHeld = true;
      if (target.mHealth.IsReachable(aNow)) {
        search.mLeastModelLoad = std::min(search.mLeastModelLoad,
                                          LoadOf(target, LoadAt(aNow, target)));
      }
      const bool hasAdapter =
        facts.mAdapter.IsEmpty() ||
        std::ranges::find(held->mAdapters, facts.mAdapter) !=
          held->mAdapters.end();
      if (!hasAdapter) {
        continue;
      }
    }
    search.mAdapterHeld = true;
    if (!target.mHealth.IsReachable(aNow) ||
        std::ranges::find(aState.mTried, name) != aState.mTried.end()) {
      continue;
    }
    const TargetLoad all = LoadAt(aNow, target);
    const double load = LoadOf(target, all);
    search.mLeastLoad = std::min(search.mLeastLoad, load);
    if (load >= limit || IsReading(aPool, facts, all)) {
      continue;
    }
    const double score = ScoreOf(aNow, target, aPool, facts, all);
    if (search.mBest == nullptr || score < search.mScore) {
      search.mBest = &target;
      search.mScore = score;
      search.mLoad = load;
    }
  }
  return search;
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
  PoolOf(aFacts.mService).mAllowance.OnFirstAttempt(aNow);
  if (!aFacts.mModel.IsEmpty()) {
    ++DemandOf(aFacts.mService, aFacts.mModel, aFacts.mAdapter).mArrivals;
  }
}

SendTo Dispatcher::Commit(Instant aNow, Target& aTarget, double aLoad,
                          DispatchState& aState)
{
  const DispatchFacts& facts = aState.mFacts;
  const Heartbeat& last = aTarget.mState.mLast;
  SendTo send;
  send.mSend = SendId(mNextSend++);
  send.mTarget = last.mTarget;
  send.mAddress = last.mAddress;
  send.mUrgency = kUrgency;
  send.mLoad = aLoad;
  OpenSend open{
    last.mTarget,        aNow, facts.mService, facts.mModel, facts.mAdapter,
    facts.mPromptTokens, 0,    false
  };
  open.mBacklog = LoadAt(aNow, aTarget).mPromptBacklog + facts.mPromptTokens;
  mOpen.emplace(send.mSend, std::move(open));
  ++aTarget.mInFlight;
  aTarget.mPromptBacklog += facts.mPromptTokens;
  aTarget.mHealth.OnSent(aNow, send.mSend);
  if (facts.mSharedPart != 0) {
    if (aTarget.mParts.size() >= kMostParts) {
      aTarget.mParts.erase(std::ranges::min_element(
        aTarget.mParts, {}, [](const auto& aPart) { return aPart.second; }));
    }
    aTarget.mParts[facts.mSharedPart] = aNow;
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
    facts.mArrived + facts.mObjective / (IsPatient(facts) ? kPatientWaitDivisor
                                                          : kUrgentWaitDivisor);
  const bool mayWait =
    isHeld || aSearch.mModelHeld || (isEngine && IsPatient(facts));
  if (mayWait && aNow < until) {
    return WaitForRoom{ until };
  }
  TurnAway away;
  away.mReason = isHeld               ? "no target has room"
                 : aSearch.mModelHeld ? "no target holds the adapter"
                 : isEngine           ? "no target holds the model"
                                      : "no target is known";
  Duration pause = kLoadPause;
  if (isHeld) {
    const bool isMeasured =
      aSearch.mLeastLoad < std::numeric_limits<double>::max();
    const double excess =
      isMeasured ? aSearch.mLeastLoad - LoadLimit(aPool, facts) : 0;
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
  ++mStats.mTurnedAway;
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
    return Commit(aNow, *search.mBest, search.mLoad, aState);
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
  if (it->second.mBacklog > 0) {
    const double micros =
      static_cast<double>(took.count()) / it->second.mBacklog;
    pool.mTokenMicros =
      pool.mTokenMicros == 0
        ? micros
        : pool.mTokenMicros + (micros - pool.mTokenMicros) / kTimeDivisor;
  }
  if (const auto target = mTargets.find(it->second.mTarget);
      target != mTargets.end()) {
    target->second.mHealth.OnFirstByte(aNow, aSend, took);
    target->second.mPromptBacklog -=
      std::min(target->second.mPromptBacklog, it->second.mPromptTokens);
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
    ++mStats.mRepeatsDenied;
    return false;
  }
  ++mStats.mRepeated;
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
      target->second.mPromptBacklog -=
        std::min(target->second.mPromptBacklog, open.mPromptTokens);
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
      loads.push_back({ name, target.mInFlight, target.mPromptBacklog });
    }
  }
  return loads;
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
