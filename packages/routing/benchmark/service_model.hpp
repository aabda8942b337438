#pragma once

/**
 * @file
 * Discrete-event simulation of routers and targets with a fixed seed. Several
 * routers decide independently, targets run requests in a limited number of
 * slots, load reports arrive late, and targets can be slow for some time. Uses
 * no clock, sockets or threads.
 */

#include "carobtide/routing.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace carobtide::model {

/** Time interval in which a target runs slower, in seconds. */
struct SlowPeriod
{
  double mFrom = 0.0;
  double mTo = 0.0;
  /** Service time divided by the normal service time. */
  double mFactor = 10.0;
};

/** Parameters of one simulation. Times in seconds. */
struct ModelOptions
{
  std::uint32_t mDaemons = 6;
  std::uint32_t mDomains = 3;
  std::uint32_t mTargets = 9;
  std::uint32_t mModels = 17;
  std::uint32_t mModelsPerTarget = 4;
  std::uint32_t mSlots = 16;
  /** Time until the first byte once a request has a slot. */
  double mPrefill = 0.15;
  /** Time per output token. */
  double mTokenTime = 0.02;
  /** One-way network delay. */
  double mNetworkDelay = 0.0005;
  /** Age of a load report when it arrives. */
  double mReportLag = 1.5;
  double mHintInterval = 0.1;
  bool mHasHints = true;
  double mTickInterval = 0.02;
  RouterOptions mRouter;
  std::uint64_t mSeed = 1;
};

/** One request of the workload. */
struct Arrival
{
  /** Arrival time in seconds. */
  double mAt = 0.0;
  RequestFacts mFacts;
  /** Output tokens. */
  double mTokens = 60.0;
};

/** Outcome of one request. Times in seconds. */
struct Outcome
{
  double mArrivedAt = 0.0;
  PriorityClass mPriority = PriorityClass::Standard;
  double mTokens = 0.0;
  bool mIsStreaming = false;
  /** True if a single target holds its model. */
  bool mIsSingleReplica = false;
  /**
   * Time from arrival until the attempt that produced the first byte got a
   * slot; negative if there was none.
   */
  double mWaited = -1.0;
  /** Time from arrival to the first byte; negative if there was none. */
  double mFirstByte = -1.0;
  /** Time from arrival to the end of the answer; negative if unfinished. */
  double mTotalLatency = -1.0;
  /** Final results reported to the caller; must be exactly one. */
  std::uint32_t mEnds = 0;
  bool mRefused = false;
  bool mFailed = false;
  std::uint32_t mDispatches = 0;
};

/**
 * The simulation.
 *
 * Thread safety: none.
 */
class ServiceModel
{
public:
  explicit ServiceModel(const ModelOptions& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
    MakeTargets();
    MakeRouters();
  }

  /** Relative popularity of a model: Zipf distribution with exponent 0.8. */
  static double Popularity(std::uint32_t aModel)
  {
    return 1.0 / std::pow(aModel + 1.0, 0.8);
  }

  static ModelName NameOf(std::uint32_t aModel)
  {
    return ModelName("model-" + std::to_string(aModel));
  }

  void AddSlowPeriod(std::uint32_t aTarget, const SlowPeriod& aPeriod)
  {
    mTargets[aTarget].mSlowPeriods.push_back(aPeriod);
  }

  void AddArrival(Arrival aArrival)
  {
    mArrivals.push_back(std::move(aArrival));
  }

  /** Slots of all targets. */
  double Capacity() const
  {
    return static_cast<double>(mOptions.mTargets) * mOptions.mSlots;
  }

  /**
   * Simulates until aUntil seconds; requests that are unfinished then get no
   * final result.
   */
  void Run(double aUntil)
  {
    mUntil = aUntil;
    mOutcomes.resize(mArrivals.size());
    for (std::size_t it = 0; it < mArrivals.size(); ++it) {
      Schedule(mArrivals[it].mAt, [this, it] { Arrive(it); });
    }
    for (std::uint32_t it = 0; it < mOptions.mDaemons; ++it) {
      const double offset = mOptions.mTickInterval * it / mOptions.mDaemons;
      Schedule(offset, [this, it] { Tick(it); });
      if (mOptions.mHasHints) {
        Schedule(offset, [this, it] { SendHints(it); });
      }
    }
    for (std::uint32_t it = 0; it < mOptions.mTargets; ++it) {
      Schedule(0.0, [this, it] { SendAnnouncement(it); });
    }
    while (!mEvents.empty() && mEvents.top().mAt <= aUntil) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mRun();
    }
  }

  const std::vector<Outcome>& Outcomes() const { return mOutcomes; }
  const Router& RouterAt(std::uint32_t aDaemon) const
  {
    return *mRouters[aDaemon];
  }
  /** Highest number of requests running and waiting on one target. */
  std::uint32_t PeakLoad() const
  {
    std::uint32_t peak = 0;
    for (const Target& it : mTargets) {
      peak = std::max(peak, it.mPeakLoad);
    }
    return peak;
  }
  /** Time that slots of all targets were in use, in slot-seconds. */
  double BusySeconds() const
  {
    double sum = 0.0;
    for (const Target& it : mTargets) {
      sum += it.mBusySeconds;
    }
    return sum;
  }

private:
  using AttemptKey = std::pair<std::uint32_t, std::uint64_t>;

  struct Event
  {
    double mAt = 0.0;
    std::uint64_t mSequence = 0;
    std::function<void()> mRun;

    bool operator<(const Event& aOther) const
    {
      return std::tie(mAt, mSequence) > std::tie(aOther.mAt, aOther.mSequence);
    }
  };

  struct QueuedAttempt
  {
    std::uint8_t mUrgency = 0;
    std::uint64_t mSequence = 0;
    AttemptKey mKey;
    std::size_t mRequest = 0;

    bool operator<(const QueuedAttempt& aOther) const
    {
      return std::tie(mUrgency, mSequence) <
             std::tie(aOther.mUrgency, aOther.mSequence);
    }
  };

  struct Target
  {
    Announcement mAnnouncement;
    std::vector<SlowPeriod> mSlowPeriods;
    std::set<QueuedAttempt> mWaiting;
    std::map<AttemptKey, double> mRunning;
    std::uint32_t mPeakLoad = 0;
    double mBusySeconds = 0.0;
  };

  static Instant ToInstant(double aSeconds)
  {
    return Instant(Duration(static_cast<std::int64_t>(aSeconds * 1e6)));
  }

  void Schedule(double aAt, std::function<void()> aRun)
  {
    mEvents.push({ aAt, ++mSequence, std::move(aRun) });
  }

  std::string DomainOf(std::uint32_t aIndex) const
  {
    return "domain-" + std::to_string(aIndex % mOptions.mDomains);
  }

  void MakeTargets()
  {
    mTargets.resize(mOptions.mTargets);
    for (std::uint32_t it = 0; it < mOptions.mTargets; ++it) {
      Announcement& announcement = mTargets[it].mAnnouncement;
      announcement.mTarget = TargetName("target-" + std::to_string(it));
      announcement.mIncarnation = Incarnation(1);
      announcement.mFailureDomain = FailureDomain(DomainOf(it));
      announcement.mLoad.mSlots = mOptions.mSlots;
    }
    // Every model gets one replica; each further replica goes to the model with
    // the highest demand per replica.
    std::vector<std::uint32_t> replicas(mOptions.mModels, 0);
    const std::uint32_t total = mOptions.mTargets * mOptions.mModelsPerTarget;
    std::uint32_t next = 0;
    for (std::uint32_t placed = 0; placed < total; ++placed) {
      const std::uint32_t model = MostDemandedModel(replicas);
      if (PlaceReplica(model, next)) {
        ++next;
      }
      ++replicas[model];
    }
  }

  std::uint32_t MostDemandedModel(
    const std::vector<std::uint32_t>& aReplicas) const
  {
    std::uint32_t best = 0;
    double highest = -1.0;
    for (std::uint32_t it = 0; it < aReplicas.size(); ++it) {
      const double demand =
        aReplicas[it] == 0 ? 1e9 - it : Popularity(it) / (aReplicas[it] + 0.5);
      if (demand > highest && aReplicas[it] < mOptions.mTargets) {
        highest = demand;
        best = it;
      }
    }
    return best;
  }

  bool PlaceReplica(std::uint32_t aModel, std::uint32_t aFirst)
  {
    const ModelName name = NameOf(aModel);
    for (std::uint32_t it = 0; it < mOptions.mTargets; ++it) {
      auto& resident =
        mTargets[(aFirst + it) % mOptions.mTargets].mAnnouncement.mResident;
      const bool holds =
        std::ranges::find(resident, name, &ResidentModel::mModel) !=
        resident.end();
      if (!holds && resident.size() < mOptions.mModelsPerTarget) {
        resident.push_back({ name, AdapterName(), 1, 0, OrderId() });
        ++mReplicas[name];
        return true;
      }
    }
    return false;
  }

  void MakeRouters()
  {
    for (std::uint32_t it = 0; it < mOptions.mDaemons; ++it) {
      RouterOptions options = mOptions.mRouter;
      options.mSeed = mOptions.mSeed * 1000 + it;
      options.mFailureDomain = FailureDomain(DomainOf(it));
      options.mDaemons = mOptions.mDaemons;
      mRouters.push_back(std::make_unique<Router>(options));
      for (Target& target : mTargets) {
        mRouters.back()->OnAnnouncement(ToInstant(0.0), target.mAnnouncement);
      }
    }
  }

  void Arrive(std::size_t aIndex)
  {
    Arrival& arrival = mArrivals[aIndex];
    Outcome& outcome = mOutcomes[aIndex];
    outcome.mArrivedAt = mNow;
    outcome.mPriority = arrival.mFacts.mPriority;
    outcome.mTokens = arrival.mTokens;
    outcome.mIsStreaming = arrival.mFacts.mStreaming;
    outcome.mIsSingleReplica = mReplicas[arrival.mFacts.mModel] == 1;
    arrival.mFacts.mId = RequestId(aIndex);
    arrival.mFacts.mFingerprint = Digest{ 7, aIndex };
    const auto daemon =
      static_cast<std::uint32_t>(mRandom() % mOptions.mDaemons);
    ApplyEffects(daemon,
                 mRouters[daemon]->Admit(ToInstant(mNow), arrival.mFacts));
  }

  void Tick(std::uint32_t aDaemon)
  {
    ApplyEffects(aDaemon, mRouters[aDaemon]->Tick(ToInstant(mNow)));
    Schedule(mNow + mOptions.mTickInterval, [this, aDaemon] { Tick(aDaemon); });
  }

  void SendHints(std::uint32_t aDaemon)
  {
    const auto hints = mRouters[aDaemon]->Hints();
    const DaemonName name("daemon-" + std::to_string(aDaemon));
    Schedule(mNow + mOptions.mNetworkDelay, [this, aDaemon, hints, name] {
      for (std::uint32_t it = 0; it < mOptions.mDaemons; ++it) {
        if (it != aDaemon) {
          mRouters[it]->OnPeerHints(ToInstant(mNow), name, hints);
        }
      }
    });
    Schedule(mNow + mOptions.mHintInterval,
             [this, aDaemon] { SendHints(aDaemon); });
  }

  void SendAnnouncement(std::uint32_t aTarget)
  {
    Target& target = mTargets[aTarget];
    Announcement announcement = target.mAnnouncement;
    ++target.mAnnouncement.mSequence;
    announcement.mLoad.mRunning =
      static_cast<std::uint32_t>(target.mRunning.size());
    announcement.mLoad.mWaiting =
      static_cast<std::uint32_t>(target.mWaiting.size());
    announcement.mLoad.mAge =
      Duration(static_cast<std::int64_t>(mOptions.mReportLag * 1e6));
    Schedule(mNow + mOptions.mReportLag, [this, announcement] {
      for (std::uint32_t it = 0; it < mOptions.mDaemons; ++it) {
        ApplyEffects(
          it, mRouters[it]->OnAnnouncement(ToInstant(mNow), announcement));
      }
    });
    Schedule(mNow + 1.0, [this, aTarget] { SendAnnouncement(aTarget); });
  }

  void ApplyEffects(std::uint32_t aDaemon, const RouterEffects& aEffects)
  {
    for (const RouterEffect& it : aEffects) {
      if (const auto* dispatch = std::get_if<DispatchAttempt>(&it)) {
        Send(aDaemon, *dispatch);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&it)) {
        Cancel(aDaemon, *cancel);
      } else if (const auto* refuse = std::get_if<RefuseRequest>(&it)) {
        Outcome& outcome = mOutcomes[refuse->mRequest.Value()];
        outcome.mRefused = true;
        ++outcome.mEnds;
      } else if (const auto* fail = std::get_if<FailRequest>(&it)) {
        Outcome& outcome = mOutcomes[fail->mRequest.Value()];
        outcome.mFailed = true;
        ++outcome.mEnds;
      }
    }
  }

  std::uint32_t IndexOf(const TargetName& aName) const
  {
    return static_cast<std::uint32_t>(
      std::stoul(aName.Text().substr(std::string("target-").size())));
  }

  void Send(std::uint32_t aDaemon, const DispatchAttempt& aDispatch)
  {
    const std::size_t request = aDispatch.mRequest.Value();
    const AttemptKey key{ aDaemon, aDispatch.mAttempt.Value() };
    const std::uint32_t index = IndexOf(aDispatch.mTarget);
    mOpen[key] = index;
    ++mOutcomes[request].mDispatches;
    const std::uint8_t urgency =
      mOptions.mRouter.mPlainFifo ? 0 : aDispatch.mUrgency;
    Schedule(mNow + mOptions.mNetworkDelay,
             [this, key, index, request, urgency] {
               if (!mOpen.contains(key)) {
                 return;
               }
               Target& target = mTargets[index];
               target.mWaiting.insert({ urgency, ++mSequence, key, request });
               const auto load = static_cast<std::uint32_t>(
                 target.mWaiting.size() + target.mRunning.size());
               target.mPeakLoad = std::max(target.mPeakLoad, load);
               StartNext(index);
             });
  }

  void Cancel(std::uint32_t aDaemon, const CancelAttempt& aCancel)
  {
    const AttemptKey key{ aDaemon, aCancel.mAttempt.Value() };
    const auto it = mOpen.find(key);
    if (it == mOpen.end()) {
      return;
    }
    const std::uint32_t index = it->second;
    mOpen.erase(it);
    Schedule(mNow + mOptions.mNetworkDelay, [this, key, index] {
      Target& target = mTargets[index];
      std::erase_if(target.mWaiting, [&](const QueuedAttempt& aAttempt) {
        return aAttempt.mKey == key;
      });
      Release(target, key);
      StartNext(index);
    });
  }

  void Release(Target& aTarget, const AttemptKey& aKey)
  {
    const auto it = aTarget.mRunning.find(aKey);
    if (it != aTarget.mRunning.end()) {
      aTarget.mBusySeconds += mNow - it->second;
      aTarget.mRunning.erase(it);
    }
  }

  void StartNext(std::uint32_t aTarget)
  {
    Target& target = mTargets[aTarget];
    while (!target.mWaiting.empty() &&
           target.mRunning.size() < mOptions.mSlots) {
      const QueuedAttempt next = *target.mWaiting.begin();
      target.mWaiting.erase(target.mWaiting.begin());
      target.mRunning[next.mKey] = mNow;
      Run(aTarget, next);
    }
  }

  void Run(std::uint32_t aTarget, const QueuedAttempt& aAttempt)
  {
    const Arrival& arrival = mArrivals[aAttempt.mRequest];
    const double tokens = arrival.mTokens;
    const double step = arrival.mFacts.mStreaming ? 1.0 : tokens;
    const double started = mNow;
    const double firstByte = FinishAt(aTarget, started, mOptions.mPrefill);
    Schedule(firstByte,
             [this, aAttempt, started] { FirstByte(aAttempt, started); });
    for (double sent = 0.0; sent < tokens; sent += step) {
      const double chunk = std::min(step, tokens - sent);
      const double work =
        mOptions.mPrefill + (sent + chunk) * mOptions.mTokenTime;
      const bool isLast = sent + chunk >= tokens;
      Schedule(FinishAt(aTarget, started, work),
               [this, aTarget, aAttempt, chunk, isLast] {
                 Progress(aTarget, aAttempt, chunk, isLast);
               });
    }
  }

  double FinishAt(std::uint32_t aTarget, double aStart, double aWork) const
  {
    double now = aStart;
    double left = aWork;
    for (const SlowPeriod& it : mTargets[aTarget].mSlowPeriods) {
      if (it.mTo <= now) {
        continue;
      }
      if (now + left <= it.mFrom) {
        break;
      }
      const double before = std::max(0.0, it.mFrom - now);
      left -= before;
      now += before;
      const double within = (it.mTo - now) / it.mFactor;
      if (left <= within) {
        return now + left * it.mFactor;
      }
      left -= within;
      now = it.mTo;
    }
    return now + left;
  }

  void FirstByte(const QueuedAttempt& aAttempt, double aStarted)
  {
    if (!mOpen.contains(aAttempt.mKey)) {
      return;
    }
    Outcome& outcome = mOutcomes[aAttempt.mRequest];
    const auto [daemon, attempt] = aAttempt.mKey;
    const bool isStreaming = mArrivals[aAttempt.mRequest].mFacts.mStreaming;
    if (outcome.mFirstByte < 0.0) {
      outcome.mFirstByte = mNow - outcome.mArrivedAt;
      outcome.mWaited = aStarted - outcome.mArrivedAt;
    }
    if (isStreaming) {
      ApplyEffects(daemon, mRouters[daemon]->OnFirstByte(ToInstant(mNow),
                                                         AttemptId(attempt)));
    }
  }

  void Progress(std::uint32_t aTarget, const QueuedAttempt& aAttempt,
                double aTokens, bool aIsLast)
  {
    const auto [daemon, attempt] = aAttempt.mKey;
    if (!mOpen.contains(aAttempt.mKey)) {
      return;
    }
    Router& router = *mRouters[daemon];
    const Instant now = ToInstant(mNow);
    const bool isStreaming = mArrivals[aAttempt.mRequest].mFacts.mStreaming;
    if (isStreaming || aIsLast) {
      const double tokens =
        isStreaming ? aTokens : mArrivals[aAttempt.mRequest].mTokens;
      router.OnTokens(now, AttemptId(attempt),
                      static_cast<std::uint32_t>(std::ceil(tokens)));
    }
    if (!aIsLast) {
      return;
    }
    Outcome& outcome = mOutcomes[aAttempt.mRequest];
    outcome.mTotalLatency = mNow - outcome.mArrivedAt;
    ++outcome.mEnds;
    mOpen.erase(aAttempt.mKey);
    Release(mTargets[aTarget], aAttempt.mKey);
    ApplyEffects(daemon, router.OnFinished(now, AttemptId(attempt),
                                           AttemptEnd::Whole, true));
    StartNext(aTarget);
  }

  ModelOptions mOptions;
  RandomEngine mRandom;
  double mNow = 0.0;
  double mUntil = 0.0;
  std::uint64_t mSequence = 0;
  std::vector<Target> mTargets;
  std::map<ModelName, std::uint32_t> mReplicas;
  std::vector<std::unique_ptr<Router>> mRouters;
  std::vector<Arrival> mArrivals;
  std::vector<Outcome> mOutcomes;
  std::map<AttemptKey, std::uint32_t> mOpen;
  std::priority_queue<Event> mEvents;
};

} // namespace carobtide::model
