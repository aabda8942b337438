#include "carobtide/routing/dispatcher.hpp"

#include "carobtide/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <numeric>
#include <random>
#include <tuple>
#include <utility>

namespace carobtide {

namespace {

/** Failed connections after which a request is not retried. */
constexpr std::uint32_t kMaxConnectFailures = 3;
/**
 * Deliveries allowed beyond the route's attempts if targets did not run the
 * request.
 */
constexpr std::uint32_t kMaxExtraDeliveries = 1;

/** Inverse weight of the newest sample in a moving average. */
constexpr int kSmoothingDivisor = 20;

/**
 * The holders of an adapter are overloaded if their least load exceeds the
 * least load of all holders of the model by more than this.
 */
constexpr double kOverloadMargin = 0.35;

/** Bounds of what a daemon adds to a pause that a target wants. */
constexpr double kMaxPauseJitter = 0.25;
constexpr Duration kMaxPauseSpread = std::chrono::seconds(1);

/** Shared prefixes remembered for one target. */
constexpr std::size_t kMaxPrefixes = 512;

void Smooth(Duration& aValue, Duration aSample)
{
  aValue = aValue == Duration::zero()
             ? aSample
             : aValue + (aSample - aValue) / kSmoothingDivisor;
}

/**
 * The same for all requests: an engine preempts running work of lower urgency,
 * and the preempted stream then misses its objective, which costs more than the
 * waiting time of the request that displaced it.
 */
constexpr std::uint32_t kUrgency = 5;

double DrawPhase(std::uint64_t aSeed)
{
  RandomEngine random(aSeed);
  return std::uniform_real_distribution<>(0, 1)(random);
}

} // namespace

Dispatcher::Dispatcher(DispatcherOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mProbeRandom(mOptions.mSeed + 1)
  , mPhase(DrawPhase(mOptions.mSeed))
  , mRelays(mOptions.mFailureDomain)
{
  UpdateOrder();
}

void Dispatcher::SetCatalog(std::shared_ptr<const Catalog> aCatalog)
{
  mCatalog = std::move(aCatalog);
  UpdateOrder();
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

bool Dispatcher::IsStarting(Instant aNow)
{
  if (!mFirstNewsAt) {
    mFirstNewsAt = aNow;
  }
  return mOptions.mSettlesAtStart &&
         aNow - *mFirstNewsAt <= mOptions.mProcessDoubt;
}

TargetTransition Dispatcher::OnTarget(Instant aNow, const RoutedTarget& aState)
{
  const TargetName& name = aState.mLast.mTarget;
  auto it = mTargets.find(name);
  // The first heartbeat of a process that replaces a known one is recent.
  const bool isHeardAtStart = IsStarting(aNow) && it == mTargets.end();
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
  if (it != mTargets.end() &&
      it->second.mState.mLast.mService != aState.mLast.mService) {
    // The pool of the service before would keep the name for good.
    return TargetTransition::None;
  }
  TargetTransition transition = TargetTransition::None;
  if (it == mTargets.end()) {
    transition = TargetTransition::Started;
    it = mTargets.emplace(name, Target{}).first;
    it->second.mKey = KeyOf(name, aState.mLast.mIncarnation);
    it->second.mSubsetId = ComputeChecksum(name.Text());
    PoolOf(aState.mLast.mService).mTargets.push_back(name);
    if (isHeardAtStart && !aState.mLast.mEngine) {
      it->second.mDoubt.OnHeardAtStart(aNow, mOptions.mProcessDoubt);
    }
  }
  const bool isNewHeartbeat =
    aState.mLast.mSequence > it->second.mState.mLast.mSequence;
  const RoutedTarget& before = it->second.mState;
  if (transition == TargetTransition::None &&
      before.mSilent != aState.mSilent) {
    transition =
      aState.mSilent ? TargetTransition::Silent : TargetTransition::Heard;
  } else if (transition == TargetTransition::None &&
             before.TakesWork() != aState.TakesWork()) {
    transition =
      aState.TakesWork() ? TargetTransition::Ready : TargetTransition::Draining;
  }
  mIsScanDue = true;
  it->second.mState = aState;
  it->second.mLimit.OnTold(aNow, aState.mLimit);
  it->second.mUpdatedAt = aNow;
  it->second.mDoubt.SetSilent(aNow, aState.mSilent, mOptions.mProcessDoubt);
  if (isNewHeartbeat && !aState.mSilent) {
    const bool wasOpen = it->second.mPath.IsOpen();
    it->second.mPath.OnHeartbeat(aNow);
    if (!wasOpen && it->second.mPath.IsOpen()) {
      // It may be a late one of a process that has ended since.
      it->second.mDoubt.OnConnectionLost(aNow, mOptions.mProcessDoubt);
    }
  }
  return transition;
}

void Dispatcher::OnLoadTotal(Instant aNow, const LoadTotal& aTotal)
{
  const bool isSameHome =
    aTotal.mFrom == mHome && aNow - mPeerLoadsAt < kPeerLoadLifetime;
  if (isSameHome && aTotal.mSequence < mTotalSequence) {
    return;
  }
  const auto report = mReports.find(aTotal.mIncluded);
  if (aTotal.mIncluded != 0 && report == mReports.end()) {
    return;
  }
  mHome = aTotal.mFrom;
  mTotalSequence = aTotal.mSequence;
  mIncludedReport = aTotal.mIncluded;
  mPeerLoadsAt = aNow;
  mIsScanDue = true;
  const LoadSection& section = aTotal.mSection;
  mPeerLoads.erase(mPeerLoads.lower_bound(section.mFirst),
                   mPeerLoads.upper_bound(section.mLast));
  for (const PackedLoad& packed : section.mLoads) {
    TargetLoad others = packed.Unpack();
    if (report != mReports.end()) {
      if (const auto own = report->second.find(packed.mTarget);
          own != report->second.end()) {
        others.mInFlight -= std::min(others.mInFlight, own->second.mInFlight);
        others.mPrefillTime -=
          std::min(others.mPrefillTime, own->second.mPrefillTime);
      }
    }
    if (others.mInFlight > 0 || others.mPrefillTime > Duration::zero()) {
      mPeerLoads[packed.mTarget] = { others, aNow };
    }
  }
  for (const PackedSends& packed : section.mSends) {
    double others = packed.Unpack();
    if (report != mReports.end()) {
      if (const auto own = report->second.find(packed.mTarget);
          own != report->second.end()) {
        others = std::max(others - own->second.mRecentSends, 0.0);
      }
    }
    PeerLoad& peers = mPeerLoads[packed.mTarget];
    peers.mLoad.mRecentSends = others;
    peers.mReceivedAt = aNow;
  }
}

std::uint32_t Dispatcher::ClaimAt(Instant aNow, Target& aTarget)
{
  if (aTarget.mInFlight == 0 && !aTarget.mRefusals.HasClaim()) {
    return 0;
  }
  const ServiceName& service = aTarget.mState.mLast.mService;
  return PoolOf(service).mRefusals.Current(aNow)
           ? aTarget.mRefusals.Claim(aNow, aTarget.mInFlight)
           : aTarget.mInFlight;
}

std::vector<InFlightReport> Dispatcher::TakeInFlightReport(
  Instant aNow, const Endpoint& aSelf)
{
  Loads& loads = mReports[++mReportSequence];
  mReportTimes[mReportSequence] = aNow;
  std::vector<PackedLoad> packed;
  std::vector<PackedSends> sends;
  for (auto& [name, target] : mTargets) {
    const std::uint32_t inFlight = ClaimAt(aNow, target);
    if (inFlight > 0) {
      const TargetLoad load{ inFlight, target.mPrefillTime, 0 };
      packed.push_back(PackedLoad::Pack(target.mKey, load));
      loads[target.mKey] = packed.back().Unpack();
    }
    if (target.mLimit.IsShared(aNow)) {
      sends.push_back(
        PackedSends::Pack(target.mKey, target.mLimit.RecentSends(aNow)));
      loads[target.mKey].mRecentSends = sends.back().Unpack();
    }
  }
  while (mReports.size() > kMaxKeptReports) {
    mReports.erase(mReports.begin());
    mReportTimes.erase(mReportTimes.begin());
  }
  std::vector<InFlightReport> reports;
  for (LoadSection& section :
       MakeSections(std::move(packed), std::move(sends))) {
    reports.push_back({ aSelf, false, mReportSequence, std::move(section) });
  }
  return reports;
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
      static_cast<std::uint64_t>(PrefillTime(pool, aFacts).count());
  }
}

SendTo Dispatcher::RecordSend(Instant aNow, const Search& aSearch,
                              DispatchState& aState)
{
  Target& target = *aSearch.mBest;
  const DispatchFacts& facts = aState.mFacts;
  const Heartbeat& last = target.mState.mLast;
  SendTo send;
  send.mSend = SendId(mNextSend++);
  send.mTarget = last.mTarget;
  send.mIncarnation = last.mIncarnation;
  send.mAddress = last.mAddress;
  send.mSoftware = last.mSoftware;
  send.mUrgency = kUrgency;
  send.mSnapshot = { LoadOf(target, aSearch.mLoad),
                     target.mInFlight,
                     aSearch.mLoad.mPrefillTime,
                     target.mHealth.FailureShare(aNow),
                     aSearch.mHolders,
                     last.mSequence,
                     aNow - target.mUpdatedAt };
  Pool& pool = PoolOf(facts.mService);
  const TargetRate& rate = pool.mRates.Of(target.mKey);
  send.mSnapshot.mSpeed = rate.mSpeed;
  send.mSnapshot.mSharedFailures = rate.mFailures;
  send.mSnapshot.mIsProbe = rate.mIsAvoided;
  pool.mRates.OnSent(target.mKey);
  ++pool.mSends;
  OpenSend open;
  open.mTarget = last.mTarget;
  open.mIncarnation = last.mIncarnation;
  open.mSentAt = aNow;
  open.mService = facts.mService;
  open.mModel = facts.mModel;
  open.mAdapter = facts.mAdapter;
  open.mPromptTokens = facts.mPromptTokens;
  open.mPrefillTime = PrefillTime(pool, facts);
  open.mLoad = send.mSnapshot.mLoad;
  open.mTotalPrefillTime = send.mSnapshot.mPrefillTime + open.mPrefillTime;
  target.mPrefillTime += open.mPrefillTime;
  mOpen.emplace(send.mSend, std::move(open));
  mUnplaced.erase(std::exchange(aState.mUnplaced, 0));
  OnOrderedSend(aNow, PoolOf(facts.mService), aState);
  target.mRefusals.OnSent(KnownLoadAt(aNow, target));
  if (target.mInFlight++ == 0) {
    target.mPath.OnFirstInFlight(aNow);
  }
  target.mHealth.OnSent(aNow, send.mSend);
  target.mPause.OnSent(aNow, send.mSend);
  target.mLimit.OnSent(aNow);
  if (facts.mSharedPrefix != 0) {
    if (target.mPrefixes.size() >= kMaxPrefixes) {
      target.mPrefixes.erase(
        std::ranges::min_element(target.mPrefixes, {}, [](const auto& aPrefix) {
          return aPrefix.second;
        }));
    }
    target.mPrefixes[facts.mSharedPrefix] = aNow;
  }
  ++mStats.mSent;
  return send;
}

DispatchDecision Dispatcher::Choose(Instant aNow, DispatchState& aState)
{
  Pool& pool = PoolOf(aState.mFacts.mService);
  ResolveOffer(aState);
  Search search = FindTarget(aNow, pool, aState);
  if (search.mBest != nullptr && !aState.mOffered &&
      IsOutranked(aNow, pool, aState)) {
    search.mBest = nullptr;
    return Refuse(aNow, aState, search, pool);
  }
  const bool isOverloaded =
    search.mAdapterHeld &&
    search.mLeastLoad > search.mLeastModelLoad + kOverloadMargin;
  if (search.mBest == nullptr) {
    if (auto relay = FindRelay(aNow, aState, search)) {
      aState.mRelays.push_back(relay->mRelay);
      mRelays.OnSent(relay->mRelay);
      Withdraw(aState);
      mUnplaced.erase(std::exchange(aState.mUnplaced, 0));
      ++mStats.mRelayed;
      return std::move(*relay);
    }
  }
  if (search.mModelHeld && (!search.mAdapterHeld || isOverloaded) &&
      !aState.mAdapterRequested) {
    aState.mAdapterRequested = true;
    return LoadAdapter{ isOverloaded };
  }
  if (search.mBest != nullptr) {
    return RecordSend(aNow, search, aState);
  }
  return Refuse(aNow, aState, search, pool);
}

Dispatcher::Target* Dispatcher::FindProcess(const TargetName& aTarget,
                                            Incarnation aIncarnation)
{
  const auto it = mTargets.find(aTarget);
  return it == mTargets.end() ||
             it->second.mState.mLast.mIncarnation != aIncarnation
           ? nullptr
           : &it->second;
}

bool Dispatcher::OnLeaving(const TargetName& aTarget, Incarnation aIncarnation)
{
  Target* target = FindProcess(aTarget, aIncarnation);
  return target != nullptr && !std::exchange(target->mLeaves, true);
}

void Dispatcher::OnPause(Instant aNow, const TargetName& aTarget,
                         Incarnation aIncarnation, Duration aPause)
{
  if (Target* target = FindProcess(aTarget, aIncarnation)) {
    // Daemons that were told at the same time come back one after the other.
    const double jitter =
      std::uniform_real_distribution<>(0, kMaxPauseJitter)(mRandom);
    const auto spread = std::min(
      std::chrono::duration_cast<Duration>(jitter * aPause), kMaxPauseSpread);
    target->mPause.Begin(aNow + aPause + spread);
  }
}

std::optional<RateLimit> Dispatcher::OnStatedLimit(Instant aNow,
                                                   const SendTo& aSend,
                                                   double aPerSecond)
{
  Target* target = FindProcess(aSend.mTarget, aSend.mIncarnation);
  const auto open = mOpen.find(aSend.mSend);
  return target == nullptr || open == mOpen.end()
           ? std::nullopt
           : target->mLimit.OnStated(aNow, aPerSecond, open->second.mSentAt);
}

bool Dispatcher::OnStatedRefusals(Instant aNow, const SendTo& aSend,
                                  std::optional<double> aPerSecond)
{
  const auto open = mOpen.find(aSend.mSend);
  if (open == mOpen.end()) {
    return false;
  }
  RefusalLimit& refusals = PoolOf(open->second.mService).mRefusals;
  const bool wasBrittle = refusals.Current(aNow).has_value();
  refusals.OnStated(aNow, aPerSecond, open->second.mSentAt);
  return wasBrittle != refusals.Current(aNow).has_value();
}

bool Dispatcher::IsUnknownProcess(Instant aNow, const Target& aTarget,
                                  const DispatchState& aState)
{
  return aState.mFacts.mKind == RequestKind::ResumableStream &&
         aTarget.mDoubt.IsUnknown(aNow);
}

bool Dispatcher::MaySend(Instant aNow, const SendTo& aSend,
                         const DispatchState& aState) const
{
  const auto it = mTargets.find(aSend.mTarget);
  return it != mTargets.end() &&
         it->second.mState.mLast.mIncarnation == aSend.mIncarnation &&
         it->second.mState.TakesWork() && !it->second.mLeaves &&
         it->second.mPause.IsOver(aNow) &&
         !(aState.mSoftware && IsUnknownProcess(aNow, it->second, aState));
}

bool Dispatcher::MustCheckProcess(Instant aNow, const SendTo& aSend,
                                  const DispatchState& aState,
                                  bool aIsProven) const
{
  const auto it = mTargets.find(aSend.mTarget);
  if (it == mTargets.end() || aIsProven ||
      aState.mFacts.mKind != RequestKind::ResumableStream ||
      !it->second.mDoubt.MayAsk()) {
    return false;
  }
  // A target that this daemon has no connection to may restart unnoticed. An
  // engine holds no model then, so that no stream begins there meanwhile.
  const bool goesOn = aState.mSoftware.has_value();
  return it->second.mDoubt.IsDoubted(aNow) ||
         (goesOn && it->second.mState.mLast.mEngine);
}

bool Dispatcher::OnConnectionEnded(Instant aNow, const TargetName& aTarget,
                                   Incarnation aIncarnation)
{
  Target* target = FindProcess(aTarget, aIncarnation);
  if (target == nullptr) {
    return false;
  }
  target->mDoubt.OnConnectionLost(aNow, mOptions.mProcessDoubt);
  return true;
}

bool Dispatcher::IsUnestablished(const Target& aTarget,
                                 const DispatchState& aState) const
{
  const bool goesOn = aState.mSoftware && !aState.mSoftware->IsEmpty();
  const Heartbeat& last = aTarget.mState.mLast;
  return aState.mFacts.mKind == RequestKind::ResumableStream && !goesOn &&
         mUnestablished.contains({ last.mService, last.mSoftware });
}

void Dispatcher::SetUnestablished(std::set<StreamOrigin> aVersions)
{
  mUnestablished = std::move(aVersions);
}

SoftwareVersion Dispatcher::SoftwareOf(Instant aNow, const SendTo& aSend,
                                       const DispatchState& aState,
                                       bool aIsProven) const
{
  const auto it = mTargets.find(aSend.mTarget);
  const bool isKnown =
    it != mTargets.end() &&
    it->second.mState.mLast.mIncarnation == aSend.mIncarnation &&
    !IsUnestablished(it->second, aState) &&
    (aIsProven || !it->second.mDoubt.IsDoubted(aNow));
  return isKnown ? it->second.mState.mLast.mSoftware : SoftwareVersion();
}

bool Dispatcher::OnProcessChecked(Instant aNow, const SendTo& aSend,
                                  const DispatchState& aState,
                                  ProcessCheck aCheck)
{
  Target* target = FindProcess(aSend.mTarget, aSend.mIncarnation);
  if (target == nullptr) {
    return false;
  }
  // Only engines report; the error of another target is all that it says.
  const ProcessCheck check =
    aCheck == ProcessCheck::Unclear && !target->mState.mLast.mEngine
      ? ProcessCheck::Unstated
      : aCheck;
  target->mDoubt.OnCheck(aNow, check, mOptions.mProcessDoubt);
  const bool goesOn = aState.mSoftware.has_value();
  return check == ProcessCheck::Same ||
         (check == ProcessCheck::Unstated &&
          !(goesOn && target->mDoubt.IsDoubted(aNow))) ||
         (check == ProcessCheck::Unclear && !goesOn);
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
  Target* target = FindProcess(it->second.mTarget, it->second.mIncarnation);
  if (target != nullptr) {
    ObserveFirstByte(aNow, pool, *target, it->second, took);
  }
  LearnPrefillTime(pool, it->second, took);
  if (target != nullptr) {
    target->mHealth.OnFirstByte(aNow, aSend, took);
    target->mPath.OnBytes(aNow);
    target->mDoubt.OnAnswer(aNow, mOptions.mProcessDoubt);
    target->mPause.OnFirstByte(aSend);
    target->mPrefillTime -=
      std::min(target->mPrefillTime, it->second.mPrefillTime);
    if (mIsOrdered) {
      mFreed.push_back(it->second.mTarget);
    }
  }
}

bool Dispatcher::MayRetry(Instant aNow, SendEnd aEnd, DispatchState& aState)
{
  const DispatchFacts& facts = aState.mFacts;
  switch (aEnd) {
    case SendEnd::Whole:
    case SendEnd::CallerGone:
      return false;
    case SendEnd::Withheld:
      return aNow < facts.mDeadline;
    case SendEnd::ConnectFailed:
      return ++aState.mConnectFailures < kMaxConnectFailures;
    case SendEnd::NotRun:
    case SendEnd::Full:
      ++aState.mDelivered;
      if (aState.mDelivered >= facts.mMaxAttempts + kMaxExtraDeliveries) {
        return false;
      }
      break;
    case SendEnd::TargetFailed:
    case SendEnd::Broken:
    case SendEnd::TimedOut:
      ++aState.mDelivered;
      ++aState.mRuns;
      if (!IsRepeatable(facts.mKind) || aState.mRuns >= facts.mMaxAttempts) {
        return false;
      }
      break;
  }
  return TakeRetry(aNow, facts);
}

bool Dispatcher::TakeRetry(Instant aNow, const DispatchFacts& aFacts)
{
  if (aNow >= aFacts.mDeadline) {
    return false;
  }
  if (!PoolOf(aFacts.mService).mAllowance.Take(aNow)) {
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
  if (Target* target = FindProcess(open.mTarget, open.mIncarnation)) {
    target->mInFlight -= std::min(target->mInFlight, 1U);
    if (mIsOrdered) {
      target->mCapacity.OnEnded();
      mFreed.push_back(open.mTarget);
    }
    if (!open.mFirstByte) {
      target->mPrefillTime -= std::min(target->mPrefillTime, open.mPrefillTime);
    }
    target->mHealth.OnEnd(aNow, aSend, aEnd);
    ObserveEnd(aNow, *target, aEnd);
    target->mPause.OnEnd(aSend);
    const auto refusals = PoolOf(open.mService).mRefusals.Current(aNow);
    if (aEnd == SendEnd::Full && refusals) {
      target->mRefusals.OnRefused(aNow, KnownLoadAt(aNow, *target), *refusals);
    }
    if (aEnd == SendEnd::ConnectFailed || aEnd == SendEnd::Broken) {
      target->mDoubt.OnConnectionLost(aNow, mOptions.mProcessDoubt);
    }
    TargetPath& path = target->mPath;
    if (aEnd == SendEnd::ConnectFailed) {
      path.OnConnectFailed(aNow);
      SpreadDoubt(aNow);
    } else if (aEnd == SendEnd::Broken) {
      path.OnDoubt(aNow);
    }
    const bool isLost = aEnd == SendEnd::Broken || aEnd == SendEnd::TimedOut;
    if (aEnd == SendEnd::ConnectFailed || (isLost && !path.IsOpen())) {
      aState.mUnreached.push_back(open.mTarget);
    }
  }
  aState.mTried.push_back(open.mTarget);
  return MayRetry(aNow, aEnd, aState);
}

FleetAges Dispatcher::Ages(Instant aNow) const
{
  FleetAges ages;
  ages.mTargets = mTargets.size();
  for (const auto& [name, target] : mTargets) {
    ages.mSilent += target.mState.mSilent ? 1 : 0;
    ages.mLeaving += target.mLeaves ? 1 : 0;
    ages.mPaused += target.mPause.IsOver(aNow) ? 0 : 1;
    ages.mLimited += target.mLimit.Known().IsNone() ? 0 : 1;
    ages.mUnreachable += target.mPath.IsOpen() ? 0 : 1;
    ages.mOldestTarget = std::max(ages.mOldestTarget, aNow - target.mUpdatedAt);
  }
  if (aNow - mPeerLoadsAt < kPeerLoadLifetime) {
    ages.mPeerLoads = aNow - mPeerLoadsAt;
  }
  return ages;
}

double Dispatcher::RetriesLeft() const
{
  return std::transform_reduce(
    mPools.begin(), mPools.end(), 0.0, std::plus{},
    [](const auto& aPool) { return aPool.second.mAllowance.Left(); });
}

std::vector<DemandItem> Dispatcher::TakeDemand(Instant aNow)
{
  std::erase_if(mUnplaced, [&](const auto& aRequest) {
    return aNow >= aRequest.second.mUntil;
  });
  for (const auto& [id, request] : mUnplaced) {
    const DemandKey& key = request.mKey;
    ++DemandOf(key.mService, key.mModel, key.mAdapter).mUnplaced;
  }
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

void Dispatcher::AddSoftware(Instant aNow, SoftwareHistory& aHistory) const
{
  for (const auto& [name, target] : mTargets) {
    if (!target.mState.mSilent) {
      aHistory.Observe(aNow, target.mState.mLast);
    }
  }
}

std::vector<StreamDemand> Dispatcher::WaitingStreams() const
{
  using Key = std::tuple<ServiceName, ModelName, SoftwareVersion>;
  std::map<Key, std::uint32_t> counts;
  for (const auto& [id, request] : mUnplaced) {
    if (request.mSoftware) {
      ++counts[{ request.mKey.mService, request.mKey.mModel,
                 *request.mSoftware }];
    }
  }
  std::vector<StreamDemand> demands;
  std::ranges::transform(
    counts, std::back_inserter(demands), [](const auto& aItem) {
      const auto& [service, model, software] = aItem.first;
      return StreamDemand{ service, model, software, aItem.second };
    });
  return demands;
}

} // namespace carobtide
