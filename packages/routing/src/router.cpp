#include "carobtide/routing/router.hpp"

#include "carobtide/routing/target_table.hpp"

#include <algorithm>
#include <cassert>
#include <deque>
#include <unordered_map>

namespace carobtide {

namespace {

constexpr Duration kRetryAfter = 1s;
constexpr Duration kAvoidAfterRefusal = 500ms;

/** One running attempt. */
struct AttemptRecord
{
  RequestId mRequest;
  TargetIndex mTarget = kNoTarget;
};

/** One request that has not ended. */
struct RequestRecord
{
  RequestFacts mFacts;
  RouteIndex mRoute = kNoRoute;
  std::uint32_t mAttempts = 0;
  bool mQueued = false;
  std::vector<AttemptId> mRunning;
  std::vector<TargetIndex> mTried;
};

} // namespace

class Router::Impl
{
public:
  explicit Impl(RouterOptions aOptions)
    : mOptions(std::move(aOptions))
    , mRandom(mOptions.mSeed)
    , mTargets(mOptions.mFailureDomain)
    , mPolicy(MakeTargetPolicy(mOptions.mPolicy))
  {
    if (mPolicy == nullptr) {
      mPolicy = MakeTargetPolicy("two-choices");
    }
  }

  void SetBundle(std::shared_ptr<const Bundle> aBundle)
  {
    mBundle = std::move(aBundle);
    if (mBundle != nullptr) {
      mTargets.SetBundle(*mBundle);
    }
  }

  RouterEffects OnAnnouncement(Instant aNow, const Announcement& aTarget)
  {
    RouterEffects effects;
    mTargets.Apply(aNow, aTarget);
    Drain(aNow, effects);
    return effects;
  }

  RouterEffects OnTargetSilent(const TargetName& aTarget)
  {
    mTargets.MarkSilent(aTarget);
    return {};
  }

  RouterEffects Admit(Instant aNow, const RequestFacts& aFacts)
  {
    RouterEffects effects;
    assert(!mRequests.contains(aFacts.mId));
    const RouteIndex route = FindRoute(aFacts);
    if (route == kNoRoute || mTargets.Targets(route).IsEmpty()) {
      Refuse(aFacts.mId, ErrorCode::NoCapacity, effects);
      return effects;
    }
    if (mQueue.size() >= mOptions.mMaxQueued) {
      Refuse(aFacts.mId, ErrorCode::Overloaded, effects);
      return effects;
    }
    ++mStats.mAdmitted;
    RequestRecord& request = mRequests[aFacts.mId];
    request.mFacts = aFacts;
    request.mRoute = route;
    Enqueue(request, false);
    Drain(aNow, effects);
    return effects;
  }

  RouterEffects OnFinished(Instant aNow, AttemptId aAttempt, AttemptEnd aEnd,
                           bool aDelivered)
  {
    RouterEffects effects;
    const auto attempt = mAttempts.find(aAttempt);
    if (attempt == mAttempts.end()) {
      return effects;
    }
    const TargetIndex target = attempt->second.mTarget;
    const RequestId id = attempt->second.mRequest;
    RemoveAttempt(aAttempt);
    NoteEnd(aNow, target, aEnd);
    RequestRecord& request = mRequests.at(id);
    if (aEnd == AttemptEnd::Whole || aEnd == AttemptEnd::CallerGone) {
      EndRequest(id, effects);
    } else if (request.mRunning.empty()) {
      RetryOrFail(request, aEnd, aDelivered, effects);
    }
    Drain(aNow, effects);
    return effects;
  }

  RouterEffects OnCallerGone(Instant aNow, RequestId aRequest)
  {
    RouterEffects effects;
    if (mRequests.contains(aRequest)) {
      EndRequest(aRequest, effects);
      Drain(aNow, effects);
    }
    return effects;
  }

  RouterEffects Tick(Instant aNow)
  {
    RouterEffects effects;
    DropExpired(aNow, effects);
    Drain(aNow, effects);
    return effects;
  }

  std::vector<InFlightHint> Hints() const
  {
    std::vector<InFlightHint> hints;
    for (TargetIndex it = 0; it < mTargets.Size(); ++it) {
      const TargetEntry& target = mTargets.At(it);
      if (target.mOwnInFlight > 0) {
        hints.push_back({ target.mName, target.mOwnInFlight });
      }
    }
    return hints;
  }

  bool IsReachable(const ModelName& aModel)
  {
    const RouteIndex route = mTargets.FindModelRoute(aModel, AdapterName());
    return route != kNoRoute && !mTargets.Targets(route).IsEmpty();
  }

  RouterStats Stats() const
  {
    RouterStats stats = mStats;
    stats.mQueued = mQueue.size();
    stats.mInFlight = mAttempts.size();
    return stats;
  }

private:
  RouteIndex FindRoute(const RequestFacts& aFacts) const
  {
    return aFacts.mModel.IsEmpty()
             ? mTargets.FindServiceRoute(aFacts.mService)
             : mTargets.FindModelRoute(aFacts.mModel, aFacts.mAdapter);
  }

  void Refuse(RequestId aRequest, ErrorCode aCode, RouterEffects& aEffects)
  {
    ++mStats.mRefused;
    aEffects.emplace_back(RefuseRequest{ aRequest, aCode, kRetryAfter,
                                         std::string(ErrorMessage(aCode)) });
  }

  void Enqueue(RequestRecord& aRequest, bool aFront)
  {
    aRequest.mQueued = true;
    if (aFront) {
      mQueue.push_front(aRequest.mFacts.mId);
    } else {
      mQueue.push_back(aRequest.mFacts.mId);
    }
  }

  void Drain(Instant aNow, RouterEffects& aEffects)
  {
    std::erase_if(mQueue, [&](RequestId aId) {
      RequestRecord& request = mRequests.at(aId);
      const TargetIndex target = ChooseTarget(aNow, request);
      if (target == kNoTarget) {
        return false;
      }
      request.mQueued = false;
      Dispatch(request, target, aEffects);
      return true;
    });
  }

  TargetIndex ChooseTarget(Instant aNow, const RequestRecord& aRequest)
  {
    const RouteTargets targets = mTargets.Targets(aRequest.mRoute);
    mCandidates.clear();
    AddCandidates(aNow, targets.mLocal, aRequest);
    AddCandidates(aNow, targets.mRemote, aRequest);
    if (mCandidates.empty()) {
      AddCandidates(aNow, targets.mFallback, aRequest);
    }
    if (mCandidates.empty()) {
      return kNoTarget;
    }
    return mCandidates[mPolicy->Choose(mCandidates, mRandom)].mIndex;
  }

  void AddCandidates(Instant aNow, std::span<const TargetIndex> aTargets,
                     const RequestRecord& aRequest)
  {
    for (const TargetIndex it : aTargets) {
      const TargetEntry& target = mTargets.At(it);
      const std::uint32_t load = target.mOwnInFlight + target.mPeerInFlight;
      const bool wasTried =
        std::ranges::find(aRequest.mTried, it) != aRequest.mTried.end();
      const bool isOnly = aTargets.size() == 1;
      if (load >= target.mSlots || target.mAvoidUntil > aNow ||
          (wasTried && !isOnly)) {
        continue;
      }
      Candidate candidate;
      candidate.mIndex = it;
      candidate.mOwnInFlight = target.mOwnInFlight;
      candidate.mPeerInFlight = target.mPeerInFlight;
      candidate.mReported = target.mReported;
      candidate.mReportAge = aNow - target.mReportedAt;
      candidate.mSlots = target.mSlots;
      candidate.mSlowness = target.mLatency.Slowness(aNow);
      candidate.mSameFailureDomain = target.mLocal;
      mCandidates.push_back(candidate);
    }
  }

  void Dispatch(RequestRecord& aRequest, TargetIndex aTarget,
                RouterEffects& aEffects)
  {
    const AttemptId id(++mLastAttempt);
    TargetEntry& target = mTargets.At(aTarget);
    ++target.mOwnInFlight;
    ++aRequest.mAttempts;
    aRequest.mTried.push_back(aTarget);
    aRequest.mRunning.push_back(id);
    mAttempts.emplace(id, AttemptRecord{ aRequest.mFacts.mId, aTarget });
    aEffects.emplace_back(DispatchAttempt{
      aRequest.mFacts.mId, id, target.mName, target.mAddress, false });
  }

  void RemoveAttempt(AttemptId aAttempt)
  {
    const auto it = mAttempts.find(aAttempt);
    assert(it != mAttempts.end());
    --mTargets.At(it->second.mTarget).mOwnInFlight;
    std::erase(mRequests.at(it->second.mRequest).mRunning, aAttempt);
    mAttempts.erase(it);
  }

  void NoteEnd(Instant aNow, TargetIndex aTarget, AttemptEnd aEnd)
  {
    TargetEntry& target = mTargets.At(aTarget);
    if (aEnd == AttemptEnd::ConnectRefused) {
      ++target.mRefusals;
      target.mAvoidUntil = aNow + kAvoidAfterRefusal;
    } else if (aEnd == AttemptEnd::Whole) {
      target.mRefusals = 0;
    }
  }

  void RetryOrFail(RequestRecord& aRequest, AttemptEnd aEnd, bool aDelivered,
                   RouterEffects& aEffects)
  {
    const bool mayRetry = aRequest.mFacts.mIdempotent && !aDelivered &&
                          aRequest.mAttempts < mOptions.mMaxAttempts;
    if (mayRetry) {
      ++mStats.mRetries;
      Enqueue(aRequest, true);
      return;
    }
    const RequestId id = aRequest.mFacts.mId;
    aEffects.emplace_back(FailRequest{ id, FailureCode(aEnd),
                                       std::string(kAttemptEnds.Name(aEnd)) });
    EndRequest(id, aEffects);
  }

  static ErrorCode FailureCode(AttemptEnd aEnd)
  {
    switch (aEnd) {
      case AttemptEnd::ConnectRefused:
        return ErrorCode::ConnectRefused;
      case AttemptEnd::Rejected:
        return ErrorCode::Overloaded;
      case AttemptEnd::TimedOut:
        return ErrorCode::Timeout;
      default:
        return ErrorCode::ConnectionLost;
    }
  }

  /** Forgets a request; cancels what still runs of it. */
  void EndRequest(RequestId aRequest, RouterEffects& aEffects)
  {
    const auto it = mRequests.find(aRequest);
    assert(it != mRequests.end());
    const std::vector<AttemptId> running = it->second.mRunning;
    for (const AttemptId attempt : running) {
      RemoveAttempt(attempt);
      aEffects.emplace_back(CancelAttempt{ aRequest, attempt });
    }
    if (it->second.mQueued) {
      std::erase(mQueue, aRequest);
    }
    mRequests.erase(it);
  }

  void DropExpired(Instant aNow, RouterEffects& aEffects)
  {
    std::vector<RequestId> expired;
    std::ranges::copy_if(
      mQueue, std::back_inserter(expired), [&](RequestId aId) {
        const RequestFacts& facts = mRequests.at(aId).mFacts;
        return std::min(facts.mFirstByteDeadline, facts.mDeadline) <= aNow;
      });
    for (const RequestId id : expired) {
      if (mRequests.at(id).mAttempts == 0) {
        Refuse(id, ErrorCode::Overloaded, aEffects);
      } else {
        aEffects.emplace_back(FailRequest{ id, ErrorCode::Timeout, "queued" });
      }
      EndRequest(id, aEffects);
    }
  }

  RouterOptions mOptions;
  RandomEngine mRandom;
  std::shared_ptr<const Bundle> mBundle;
  TargetTable mTargets;
  std::unique_ptr<TargetPolicy> mPolicy;
  std::vector<Candidate> mCandidates;
  std::unordered_map<RequestId, RequestRecord> mRequests;
  std::unordered_map<AttemptId, AttemptRecord> mAttempts;
  std::deque<RequestId> mQueue;
  std::uint64_t mLastAttempt = 0;
  RouterStats mStats;
};

Router::Router(RouterOptions aOptions)
  : mImpl(std::make_unique<Impl>(std::move(aOptions)))
{
}

Router::~Router() = default;

void Router::SetBundle(std::shared_ptr<const Bundle> aBundle)
{
  mImpl->SetBundle(std::move(aBundle));
}

RouterEffects Router::OnAnnouncement(Instant aNow, const Announcement& aTarget)
{
  return mImpl->OnAnnouncement(aNow, aTarget);
}

RouterEffects Router::OnTargetSilent(Instant /*aNow*/,
                                     const TargetName& aTarget)
{
  return mImpl->OnTargetSilent(aTarget);
}

RouterEffects Router::Admit(Instant aNow, const RequestFacts& aFacts)
{
  return mImpl->Admit(aNow, aFacts);
}

RouterEffects Router::OnFirstByte(Instant /*aNow*/, AttemptId /*aAttempt*/)
{
  return {};
}

void Router::OnTokens(Instant /*aNow*/, AttemptId /*aAttempt*/,
                      std::uint32_t /*aTokens*/)
{
}

RouterEffects Router::OnFinished(Instant aNow, AttemptId aAttempt,
                                 AttemptEnd aEnd, bool aDelivered)
{
  return mImpl->OnFinished(aNow, aAttempt, aEnd, aDelivered);
}

RouterEffects Router::OnCallerGone(Instant aNow, RequestId aRequest)
{
  return mImpl->OnCallerGone(aNow, aRequest);
}

void Router::OnPeerHints(Instant /*aNow*/, const DaemonName& /*aPeer*/,
                         const std::vector<InFlightHint>& /*aHints*/)
{
}

std::vector<InFlightHint> Router::Hints() const
{
  return mImpl->Hints();
}

void Router::OnCacheEvent(Instant /*aNow*/, const CacheEvent& /*aEvent*/) {}

RouterEffects Router::OnQuarantine(Instant /*aNow*/,
                                   const Digest& /*aFingerprint*/)
{
  return {};
}

RouterEffects Router::Tick(Instant aNow)
{
  return mImpl->Tick(aNow);
}

DemandTable Router::Demand(Instant /*aNow*/) const
{
  return {};
}

bool Router::IsReachable(const ModelName& aModel) const
{
  return mImpl->IsReachable(aModel);
}

RouterStats Router::Stats() const
{
  return mImpl->Stats();
}

} // namespace carobtide
