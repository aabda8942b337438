#pragma once

/**
 * @file
 * A small seeded model of targets for experiments with routers: several
 * routers decide separately, targets run requests in a number of slots, load
 * reports come late, and some targets are slowed for moments. Event driven;
 * no clock, socket or thread.
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

/** A stretch of time in which a target runs slower. */
struct SlowSpell
{
  double mFrom = 0.0;
  double mTo = 0.0;
  double mFactor = 10.0;
};

/** Sizes and behaviour of one run. Times in seconds. */
struct ModelOptions
{
  std::uint32_t mDaemons = 6;
  std::uint32_t mDomains = 3;
  std::uint32_t mTargets = 9;
  std::uint32_t mModels = 17;
  std::uint32_t mModelsPerTarget = 4;
  std::uint32_t mSlots = 16;
  double mPrefill = 0.15;
  double mTokenTime = 0.02;
  double mNetwork = 0.0005;
  double mReportLag = 1.5;
  double mHintInterval = 0.1;
  bool mHasHints = true;
  double mTickInterval = 0.02;
  RouterOptions mRouter;
  std::uint64_t mSeed = 1;
};

/** One request as the workload makes it. */
struct Arrival
{
  double mAt = 0.0;
  RequestFacts mFacts;
  double mTokens = 60.0;
};

/** What became of one request. */
struct Outcome
{
  double mArrivedAt = 0.0;
  PriorityClass mPriority = PriorityClass::Standard;
  double mTokens = 0.0;
  bool mIsStreaming = false;
  /** True if a single target holds its model. */
  bool mIsOnlyCopy = false;
  /** Time until the attempt that answered got a slot; negative if none. */
  double mWaited = -1.0;
  double mFirstByte = -1.0;
  double mTotalLatency = -1.0;
  /** Ends reported to the caller; must be exactly one. */
  std::uint32_t mEnds = 0;
  bool mRefused = false;
  bool mFailed = false;
  std::uint32_t mDispatches = 0;
};

/** The model. Runs arrivals to their end. */
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

  /** Popularity of a model: Zipf with exponent 0.8. */
  static double Popularity(std::uint32_t aModel)
  {
    return 1.0 / std::pow(aModel + 1.0, 0.8);
  }

  static ModelName NameOf(std::uint32_t aModel)
  {
    return ModelName("model-" + std::to_string(aModel));
  }

  void AddSlowSpell(std::uint32_t aTarget, const SlowSpell& aSpell)
  {
    mTargets[aTarget].mSlow.push_back(aSpell);
  }

  void AddArrival(Arrival aArrival)
  {
    mArrivals.push_back(std::move(aArrival));
  }

  double Capacity() const
  {
    return static_cast<double>(mOptions.mTargets) * mOptions.mSlots;
  }

  /** Runs until aUntil; everything that ends later stays open. */
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
        Schedule(offset, [this, it] { Hint(it); });
      }
    }
    for (std::uint32_t it = 0; it < mOptions.mTargets; ++it) {
      Schedule(0.0, [this, it] { Announce(it); });
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
  /** Most requests that a target held at once, running and waiting. */
  std::uint32_t PeakLoad() const
  {
    std::uint32_t most = 0;
    for (const Target& it : mTargets) {
      most = std::max(most, it.mPeakLoad);
    }
    return most;
  }
  /** Slot-seconds spent over all targets. */
  double BusySeconds() const
  {
    double sum = 0.0;
    for (const Target& it : mTargets) {
      sum += it.mBusy;
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

  struct Waiting
  {
    std::uint8_t mUrgency = 0;
    std::uint64_t mSequence = 0;
    AttemptKey mKey;
    std::size_t mRequest = 0;

    bool operator<(const Waiting& aOther) const
    {
      return std::tie(mUrgency, mSequence) <
             std::tie(aOther.mUrgency, aOther.mSequence);
    }
  };

  struct Target
  {
    Announcement mAnnouncement;
    std::vector<SlowSpell> mSlow;
    std::set<Waiting> mWaiting;
    std::map<AttemptKey, double> mRunning;
    std::uint32_t mPeakLoad = 0;
    double mBusy = 0.0;
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
    // Copies by demand: every model once, then where demand per copy is most.
    std::vector<std::uint32_t> copies(mOptions.mModels, 0);
    const std::uint32_t places = mOptions.mTargets * mOptions.mModelsPerTarget;
    std::uint32_t next = 0;
    for (std::uint32_t place = 0; place < places; ++place) {
      const std::uint32_t model = NeediestModel(copies);
      if (PlaceCopy(model, next)) {
        ++next;
      }
      ++copies[model];
    }
  }

  std::uint32_t NeediestModel(const std::vector<std::uint32_t>& aCopies) const
  {
    std::uint32_t best = 0;
    double most = -1.0;
    for (std::uint32_t it = 0; it < aCopies.size(); ++it) {
      const double need =
        aCopies[it] == 0 ? 1e9 - it : Popularity(it) / (aCopies[it] + 0.5);
      if (need > most && aCopies[it] < mOptions.mTargets) {
        most = need;
        best = it;
      }
    }
    return best;
  }

  bool PlaceCopy(std::uint32_t aModel, std::uint32_t aFirst)
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
        ++mCopies[name];
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
    outcome.mIsOnlyCopy = mCopies[arrival.mFacts.mModel] == 1;
    arrival.mFacts.mId = RequestId(aIndex);
    arrival.mFacts.mFingerprint = Digest{ 7, aIndex };
    const auto daemon =
      static_cast<std::uint32_t>(mRandom() % mOptions.mDaemons);
    Handle(daemon, mRouters[daemon]->Admit(ToInstant(mNow), arrival.mFacts));
  }

  void Tick(std::uint32_t aDaemon)
  {
    Handle(aDaemon, mRouters[aDaemon]->Tick(ToInstant(mNow)));
    Schedule(mNow + mOptions.mTickInterval, [this, aDaemon] { Tick(aDaemon); });
  }

  void Hint(std::uint32_t aDaemon)
  {
    const auto hints = mRouters[aDaemon]->Hints();
    const DaemonName name("daemon-" + std::to_string(aDaemon));
    Schedule(mNow + mOptions.mNetwork, [this, aDaemon, hints, name] {
      for (std::uint32_t it = 0; it < mOptions.mDaemons; ++it) {
        if (it != aDaemon) {
          mRouters[it]->OnPeerHints(ToInstant(mNow), name, hints);
        }
      }
    });
    Schedule(mNow + mOptions.mHintInterval, [this, aDaemon] { Hint(aDaemon); });
  }

  void Announce(std::uint32_t aTarget)
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
        Handle(it, mRouters[it]->OnAnnouncement(ToInstant(mNow), announcement));
      }
    });
    Schedule(mNow + 1.0, [this, aTarget] { Announce(aTarget); });
  }

  void Handle(std::uint32_t aDaemon, const RouterEffects& aEffects)
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
    Schedule(mNow + mOptions.mNetwork, [this, key, index, request, urgency] {
      if (!mOpen.contains(key)) {
        return;
      }
      Target& target = mTargets[index];
      target.mWaiting.insert({ urgency, ++mSequence, key, request });
      const auto held = static_cast<std::uint32_t>(target.mWaiting.size() +
                                                   target.mRunning.size());
      target.mPeakLoad = std::max(target.mPeakLoad, held);
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
    Schedule(mNow + mOptions.mNetwork, [this, key, index] {
      Target& target = mTargets[index];
      std::erase_if(target.mWaiting, [&](const Waiting& aWaiting) {
        return aWaiting.mKey == key;
      });
      Release(target, key);
      StartNext(index);
    });
  }

  void Release(Target& aTarget, const AttemptKey& aKey)
  {
    const auto it = aTarget.mRunning.find(aKey);
    if (it != aTarget.mRunning.end()) {
      aTarget.mBusy += mNow - it->second;
      aTarget.mRunning.erase(it);
    }
  }

  void StartNext(std::uint32_t aTarget)
  {
    Target& target = mTargets[aTarget];
    while (!target.mWaiting.empty() &&
           target.mRunning.size() < mOptions.mSlots) {
      const Waiting next = *target.mWaiting.begin();
      target.mWaiting.erase(target.mWaiting.begin());
      target.mRunning[next.mKey] = mNow;
      Run(aTarget, next);
    }
  }

  void Run(std::uint32_t aTarget, const Waiting& aWaiting)
  {
    const Arrival& arrival = mArrivals[aWaiting.mRequest];
    const double tokens = arrival.mTokens;
    const double step = arrival.mFacts.mStreaming ? 1.0 : tokens;
    const double started = mNow;
    const double firstByte = FinishAt(aTarget, started, mOptions.mPrefill);
    Schedule(firstByte,
             [this, aWaiting, started] { FirstByte(aWaiting, started); });
    for (double sent = 0.0; sent < tokens; sent += step) {
      const double chunk = std::min(step, tokens - sent);
      const double work =
        mOptions.mPrefill + (sent + chunk) * mOptions.mTokenTime;
      const bool isLast = sent + chunk >= tokens;
      Schedule(FinishAt(aTarget, started, work),
               [this, aTarget, aWaiting, chunk, isLast] {
                 Progress(aTarget, aWaiting, chunk, isLast);
               });
    }
  }

  double FinishAt(std::uint32_t aTarget, double aStart, double aWork) const
  {
    double now = aStart;
    double left = aWork;
    for (const SlowSpell& it : mTargets[aTarget].mSlow) {
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

  void FirstByte(const Waiting& aWaiting, double aStarted)
  {
    if (!mOpen.contains(aWaiting.mKey)) {
      return;
    }
    Outcome& outcome = mOutcomes[aWaiting.mRequest];
    const auto [daemon, attempt] = aWaiting.mKey;
    const bool isStreaming = mArrivals[aWaiting.mRequest].mFacts.mStreaming;
    if (outcome.mFirstByte < 0.0) {
      outcome.mFirstByte = mNow - outcome.mArrivedAt;
      outcome.mWaited = aStarted - outcome.mArrivedAt;
    }
    if (isStreaming) {
      Handle(daemon, mRouters[daemon]->OnFirstByte(ToInstant(mNow),
                                                   AttemptId(attempt)));
    }
  }

  void Progress(std::uint32_t aTarget, const Waiting& aWaiting, double aTokens,
                bool aIsLast)
  {
    const auto [daemon, attempt] = aWaiting.mKey;
    if (!mOpen.contains(aWaiting.mKey)) {
      return;
    }
    Router& router = *mRouters[daemon];
    const Instant now = ToInstant(mNow);
    const bool isStreaming = mArrivals[aWaiting.mRequest].mFacts.mStreaming;
    if (isStreaming || aIsLast) {
      const double tokens =
        isStreaming ? aTokens : mArrivals[aWaiting.mRequest].mTokens;
      router.OnTokens(now, AttemptId(attempt),
                      static_cast<std::uint32_t>(std::ceil(tokens)));
    }
    if (!aIsLast) {
      return;
    }
    Outcome& outcome = mOutcomes[aWaiting.mRequest];
    outcome.mTotalLatency = mNow - outcome.mArrivedAt;
    ++outcome.mEnds;
    mOpen.erase(aWaiting.mKey);
    Release(mTargets[aTarget], aWaiting.mKey);
    Handle(daemon,
           router.OnFinished(now, AttemptId(attempt), AttemptEnd::Whole, true));
    StartNext(aTarget);
  }

  ModelOptions mOptions;
  RandomEngine mRandom;
  double mNow = 0.0;
  double mUntil = 0.0;
  std::uint64_t mSequence = 0;
  std::vector<Target> mTargets;
  std::map<ModelName, std::uint32_t> mCopies;
  std::vector<std::unique_ptr<Router>> mRouters;
  std::vector<Arrival> mArrivals;
  std::vector<Outcome> mOutcomes;
  std::map<AttemptKey, std::uint32_t> mOpen;
  std::priority_queue<Event> mEvents;
};

} // namespace carobtide::model
