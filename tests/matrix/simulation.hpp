#pragma once

/**
 * @file
 * Simulated time, processes and network, with one fault injected at one
 * occurrence of one step. Everything is decided by a seed.
 */

#include "steps.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <vector>

namespace carobtide::matrix {

/** Position of a process in the simulation. */
using ProcessId = std::size_t;

/** A process that can be started and killed at any time. */
class Process
{
public:
  virtual ~Process() = default;
  virtual void OnStart() = 0;
  /** Its memory is gone; runs outside of any call into the process. */
  virtual void OnKill() = 0;
  virtual bool HasDisk() const { return false; }
  virtual void LoseDisk() {}
  /** Number of its failure domain. */
  virtual std::size_t Domain() const = 0;
};

/** The fault, or the two faults, of one run. */
struct Injection
{
  Step mStep = Step::VoteRequest;
  /** Counted from one. */
  std::uint64_t mOccurrence = 1;
  std::vector<Fault> mFaults;
};

/** What happens to the step that is being carried out. */
struct Verdict
{
  bool mLost = false;
  bool mTwice = false;
  bool mKillAfter = false;
  Duration mDelay{ 0 };
};

/** One TCP connection in one direction. */
struct Stream
{
  Instant mNotBefore;
  bool mIsBroken = false;
};

/**
 * The simulation.
 *
 * Thread safety: none.
 */
class Simulation
{
public:
  using Action = std::function<void()>;

  explicit Simulation(std::uint64_t aSeed, std::optional<Injection> aInjection);

  ProcessId Add(Process& aProcess);
  void Start(ProcessId aProcess);
  /** Ends a process; it starts again after a while. */
  void Kill(ProcessId aProcess, Duration aDownFor);
  void RunUntil(Instant aEnd);
  /** Messages are lost, doubled and late with this probability each. */
  void SetNoise(double aNoise) { mNoise = aNoise; }

  Instant Now() const { return mNow; }
  /** Time on the monotonic clock of a process. */
  Instant LocalNow(ProcessId aProcess) const;
  /** Wall time of a process in microseconds. */
  std::int64_t WallMicros(ProcessId aProcess) const;
  bool IsAlive(ProcessId aProcess) const { return mStates[aProcess].mAlive; }
  bool IsPaused(ProcessId aProcess) const
  {
    return mNow < mStates[aProcess].mPausedUntil;
  }
  Instant PausedUntil(ProcessId aProcess) const
  {
    return mStates[aProcess].mPausedUntil;
  }
  bool IsDiskFull(ProcessId aProcess) const
  {
    return mStates[aProcess].mDiskFull;
  }
  /** True if it runs and no fault keeps messages from or to it. */
  bool IsConnected(ProcessId aProcess) const;
  bool IsCut(ProcessId aFrom, ProcessId aTo) const;

  /** Runs something later, outside of all processes. */
  void At(Duration aAfter, Action aAction);
  /** Runs something later in a process, unless it was killed by then. */
  void After(ProcessId aProcess, Duration aAfter, Action aAction);
  /**
   * Sends a message; the action runs in the receiver. `aRefused` runs in the
   * sender if no process listens there.
   */
  void Send(std::optional<Step> aStep, ProcessId aFrom, ProcessId aTo,
            const Action& aAction, const Action& aRefused = {});
  /** The same on a connection: in order, and nothing after a loss. */
  void SendOn(const std::shared_ptr<Stream>& aStream, Step aStep,
              ProcessId aFrom, ProcessId aTo, Action aAction,
              Action aRefused = {});
  /** Carries out a local step, e.g. a proposal, with its faults. */
  void Perform(Step aStep, ProcessId aActor, const Action& aAction);
  /** Counts a step and injects what is due; see the other calls. */
  Verdict AtStep(Step aStep, ProcessId aActor, ProcessId aPeer);

  bool HasFired() const { return mFired; }
  std::uint64_t Count(Step aStep) const
  {
    return mCounts[static_cast<std::size_t>(aStep)];
  }
  RandomEngine& Random() { return mRandom; }
  std::uint64_t Pick(std::uint64_t aBelow);
  Duration PickBetween(Duration aLeast, Duration aMost);

private:
  struct ProcessState
  {
    Process* mProcess = nullptr;
    bool mAlive = false;
    bool mDiskFull = false;
    std::uint64_t mIncarnation = 0;
    Instant mPausedUntil;
    Duration mClockOffset{ 0 };
    Duration mWallOffset{ 0 };
    Instant mDeafUntil;
    Instant mMuteUntil;
  };
  struct Event
  {
    Instant mAt;
    std::uint64_t mOrder = 0;
    std::shared_ptr<Action> mAction;
    bool operator<(const Event& aOther) const
    {
      return std::tie(mAt, mOrder) > std::tie(aOther.mAt, aOther.mOrder);
    }
  };

  void Deliver(ProcessId aFrom, ProcessId aTo, Instant aAt, Action aAction,
               Action aRefused);
  void Inject(Fault aFault, ProcessId aSubject, ProcessId aOther,
              Verdict& aVerdict);
  void AddNoise(Verdict& aVerdict);
  bool IsDomainCut(ProcessId aProcess) const;
  ProcessId WithDisk(ProcessId aFirst, ProcessId aSecond);
  Duration Latency() { return PickBetween(500us, 3ms); }

  RandomEngine mRandom;
  /** Apart, so that the fault's own choices don't change the run before it. */
  RandomEngine mFaultRandom;
  std::optional<Injection> mInjection;
  bool mFired = false;
  Instant mNow{ 1000s };
  std::uint64_t mNextOrder = 0;
  std::vector<ProcessState> mStates;
  std::array<std::uint64_t, kStepCount> mCounts{};
  std::priority_queue<Event> mEvents;
  double mNoise = 0.0;
  /** Until when a failure domain is cut off from the others. */
  std::map<std::size_t, Instant> mDomainCutUntil;
};

} // namespace carobtide::matrix
