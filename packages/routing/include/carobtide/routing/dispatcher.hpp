#pragma once

/**
 * @file
 * Decides for each request of a catalog's routes which target it goes to,
 * whether it waits, is turned away, or is tried once more.
 */

#include "carobtide/catalog.hpp"
#include "carobtide/fleet.hpp"
#include "carobtide/routing/retry_allowance.hpp"
#include "carobtide/routing/target_health.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace carobtide {

/** What a dispatcher must know of a request. */
struct DispatchFacts
{
  ServiceName mService;
  RequestKind mKind = RequestKind::AtMostOnce;
  std::uint32_t mPriority = 0;
  std::uint32_t mMaxAttempts = 1;
  Duration mObjective{ 0 };
  /** Longest pause between events that is in time; zero if not stated. */
  Duration mPauseObjective{ 0 };
  std::uint32_t mPromptTokens = 0;
  /** Empty for services that are no model engines. */
  ModelName mModel;
  AdapterName mAdapter;
  /** Identifies the part of the prompt that it shares with others; 0: none. */
  std::uint64_t mSharedPrefix = 0;
  Instant mArrived;
  /** The answer is worthless after this. */
  Instant mDeadline = Instant::max();

  /** Objectives from here on are patient work. */
  static constexpr Duration kPatientObjective = std::chrono::milliseconds(1000);
  bool IsPatient() const { return mObjective >= kPatientObjective; }
};

/** A request on its way through a dispatcher; the shell keeps it. */
struct DispatchState
{
  DispatchFacts mFacts;
  /** Sends that may have run. */
  std::uint32_t mRuns = 0;
  /** Sends that arrived at a target. */
  std::uint32_t mArrivals = 0;
  std::uint32_t mConnectFailures = 0;
  /** Targets not to be chosen again. */
  std::vector<TargetName> mTried;
  bool mAskedForAdapter = false;
};

/** What a target was chosen by, for the log. */
struct TargetSnapshot
{
  /** Requests in flight over slots, of all daemons as far as known. */
  double mLoad = 0;
  /** Of those, this daemon's own. */
  std::uint32_t mOwnInFlight = 0;
  /** Time to read the prompts sent there that no first byte has answered. */
  Duration mPrefillTime{ 0 };
  /** Recent share of failures, as seen here. */
  double mFailureShare = 0;
  /** Targets that hold all that the request needs. */
  std::uint32_t mHolders = 0;
  /** Number of the heartbeat that the choice relies on. */
  std::uint64_t mHeartbeat = 0;
  /** How long ago this daemon was last told of the target. */
  Duration mStateAge{ 0 };
};

/** Send the request to this target. */
struct SendTo
{
  SendId mSend;
  TargetName mTarget;
  Endpoint mAddress;
  /** Goes with the request to an engine; 0 is most urgent. */
  std::uint32_t mUrgency = 0;
  TargetSnapshot mSnapshot;
};

/** Wait until woken or until this time, then ask again. */
struct WaitForCapacity
{
  Instant mUntil;
};

/** Have the leader load the adapter, then ask again. */
struct LoadAdapter
{
  /** Some hold it, and have no room. */
  bool mOneMore = false;
};

/** Answer that it did not run and never will. */
struct Rejection
{
  ErrorCode mCode = ErrorCode::NoCapacity;
  Duration mRetryAfter{ 0 };
  /** For the log, with the beliefs that it rests on. */
  std::string mReason;
  /** Targets that hold all that the request needs. */
  std::uint32_t mHolders = 0;
  /** Load of the least loaded of them, and the load up to which one takes it.
   */
  double mLeastLoad = 0;
  double mLoadLimit = 0;
};

using DispatchDecision =
  std::variant<SendTo, WaitForCapacity, LoadAdapter, Rejection>;

/** What a new state of a target changes for the dispatcher. */
enum class TargetTransition : std::uint8_t
{
  None,
  /** New here, or a new process of a known one. */
  Started,
  Ready,
  Draining,
  Silent,
  /** No longer silent. */
  Heard,
  Gone,
};

inline constexpr EnumTable<TargetTransition, 7> kTargetTransitions{ { {
  { TargetTransition::None, "target.unchanged" },
  { TargetTransition::Started, "target.started" },
  { TargetTransition::Ready, "target.ready" },
  { TargetTransition::Draining, "target.draining" },
  { TargetTransition::Silent, "target.silent" },
  { TargetTransition::Heard, "target.heard" },
  { TargetTransition::Gone, "target.gone" },
} } };

/** Choices and limits of a dispatcher. */
struct DispatcherOptions
{
  FailureDomain mFailureDomain;
  RetryBudget mRetryBudget;
  std::uint64_t mSeed = 1;
};

/** Counters for metrics and tests. */
struct DispatcherStats
{
  std::uint64_t mSent = 0;
  std::uint64_t mRetried = 0;
  std::uint64_t mRejected = 0;
  std::uint64_t mRetriesDenied = 0;
};

/** How old the beliefs are that choices rely on, for metrics. */
struct FleetAges
{
  std::size_t mTargets = 0;
  std::size_t mSilent = 0;
  /** Since a target was last told of: they are told of when they change. */
  Duration mOldestTarget{ 0 };
  /** Since another daemon last told its load, of those that still count. */
  Duration mOldestPeer{ 0 };
};

/**
 * Chooses targets. Sans-I/O: takes time and events, returns decisions.
 *
 * The load that it goes by is what it sent itself, exactly, plus what other
 * daemons said a moment ago; targets' own reports come too late.
 *
 * Thread safety: none; the owner guards it.
 */
class Dispatcher
{
public:
  explicit Dispatcher(DispatcherOptions aOptions);

  void SetCatalog(std::shared_ptr<const Catalog> aCatalog);

  /** Takes the newest state of a target; what it changes. */
  TargetTransition OnTarget(Instant aNow, const RoutedTarget& aState);

  /** Another routing daemon's load on the targets. */
  void OnPeerLoad(Instant aNow, const EdgeLoad& aReport);

  /** Daemons that share the retry budget. */
  void SetDaemons(std::uint32_t aDaemons);

  /** A request arrived; call once before Choose. */
  void OnArrival(Instant aNow, const DispatchFacts& aFacts);

  /** What to do with a request now. SendTo counts as sent at once. */
  DispatchDecision Choose(Instant aNow, DispatchState& aState);

  void OnFirstByte(Instant aNow, SendId aSend);

  /**
   * A send ended. True if the request may be tried again: ask Choose; false
   * if this end is final.
   */
  bool OnEnd(Instant aNow, SendId aSend, SendEnd aEnd, DispatchState& aState);

  /** This daemon's load on the targets, for its peers. */
  std::vector<TargetLoad> Loads() const;

  /** Demand since the last call, for the leader. */
  std::vector<DemandItem> TakeDemand();

  const DispatcherStats& Stats() const { return mStats; }

  FleetAges Ages(Instant aNow) const;

  /** Repeats that the budget still allows, over all services. */
  double RetriesLeft() const;

private:
  /** A peer's report of its load counts this long: several reports. */
  static constexpr Duration kPeerLoadMemory = std::chrono::milliseconds(1000);

  struct Target
  {
    RoutedTarget mState;
    TargetHealth mHealth;
    std::uint32_t mInFlight = 0;
    /** Prompt tokens sent that no first byte has answered. */
    /** Time to read the prompts that no first byte has answered. */
    Duration mPrefillTime{ 0 };
    Instant mToldAt;
    /** Shared prompt parts sent here lately, and when. */
    std::unordered_map<std::uint64_t, Instant> mParts;
  };

  struct PeerLoad
  {
    std::uint64_t mSequence = 0;
    Instant mHeardAt;
    std::unordered_map<TargetName, TargetLoad> mLoads;
  };

  struct OpenSend
  {
    TargetName mTarget;
    Instant mSentAt;
    ServiceName mService;
    ModelName mModel;
    AdapterName mAdapter;
    std::uint32_t mPromptTokens = 0;
    /** Expected time to read its prompt, and with it all at the target. */
    Duration mPrefillTime{ 0 };
    Duration mAllReading{ 0 };
    bool mFirstByte = false;
  };

  struct Pool
  {
    explicit Pool(RetryBudget aBudget)
      : mAllowance(aBudget)
    {
    }

    RetryAllowance mAllowance;
    /** Smoothed time from send to end, of whole answers. */
    Duration mRunTime{ 0 };
    /** Smoothed time to the first byte over all targets. */
    Duration mFirstByte{ 0 };
    /**
     * Smoothed time that a prompt token takes, in microseconds: of each model,
     * as they differ by a factor of three and more, and over all of them.
     */
    std::unordered_map<ModelName, double> mModelTokenMicros;
    double mTokenMicros = 0;
    std::vector<TargetName> mTargets;
  };

  struct DemandKey
  {
    ServiceName mService;
    ModelName mModel;
    AdapterName mAdapter;
    auto operator<=>(const DemandKey&) const = default;
  };

  /** The best target with room, or why there is none. */
  struct Search
  {
    Target* mBest = nullptr;
    double mScore = 0;
    TargetLoad mLoad;
    std::uint32_t mHolders = 0;
    bool mModelHeld = false;
    bool mAdapterHeld = false;
    /** Least load among those that hold all, room or not. */
    double mLeastLoad = 0;
    /** Least load among those that hold the model, with the adapter or not. */
    double mLeastModelLoad = 0;
  };

  Pool& PoolOf(const ServiceName& aService);
  /** All daemons' load on a target as far as known. */
  TargetLoad LoadAt(Instant aNow, const Target& aTarget) const;
  /** Requests in flight over slots. */
  static double LoadOf(const Target& aTarget, const TargetLoad& aLoad);
  /** Time that an engine should need for the request's prompt. */
  static Duration ReadingTime(const Pool& aPool, const DispatchFacts& aFacts);
  static void LearnReading(Pool& aPool, const OpenSend& aSend, Duration aTook);
  /** True if one more prompt would hold up the target's streams. */
  static bool IsReading(const Pool& aPool, const DispatchFacts& aFacts,
                        const TargetLoad& aLoad);
  double ScoreOf(Instant aNow, const Target& aTarget, const Pool& aPool,
                 const DispatchFacts& aFacts, const TargetLoad& aLoad);
  double LoadLimit(const Pool& aPool, const DispatchFacts& aFacts) const;
  Search FindTarget(Instant aNow, const Pool& aPool,
                    const DispatchState& aState);
  bool MayRepeat(Instant aNow, SendEnd aEnd, DispatchState& aState);
  DispatchDecision Refuse(Instant aNow, const DispatchState& aState,
                          const Search& aSearch, const Pool& aPool);
  SendTo Commit(Instant aNow, const Search& aSearch, DispatchState& aState);
  DemandItem& DemandOf(const ServiceName& aService, const ModelName& aModel,
                       const AdapterName& aAdapter);

  DispatcherOptions mOptions;
  RandomEngine mRandom;
  std::shared_ptr<const Catalog> mCatalog;
  std::unordered_map<TargetName, Target> mTargets;
  std::unordered_map<ServiceName, Pool> mPools;
  std::map<Endpoint, PeerLoad> mPeers;
  std::unordered_map<SendId, OpenSend> mOpen;
  std::map<DemandKey, DemandItem> mDemand;
  std::uint64_t mNextSend = 1;
  std::uint32_t mDaemons = 1;
  DispatcherStats mStats;
};

} // namespace carobtide
