#pragma once

/**
 * @file
 * Fake targets: engines that load, unload and stream, and a plain service
 * whose calls may not be repeated.
 */

#include "carobtide/routing.hpp"
#include "fake_engine.hpp"
#include "simulation.hpp"

#include <map>

namespace carobtide::matrix {

class World;

/** One attempt as its target sees it. */
struct Work
{
  /** The daemon that sent it, and which of its processes. */
  std::size_t mDaemon = 0;
  std::uint64_t mBoot = 0;
  AttemptId mAttempt;
  /** What a caller handed in once; resends are other submissions. */
  std::uint64_t mSubmission = 0;
  RequestId mRequest;
  ModelName mModel;
  /** Empty for idempotent work. */
  std::string mKey;
  Instant mSentAt;
  std::shared_ptr<Stream> mForth;
  std::shared_ptr<Stream> mBack;
};

/** A target process. */
class TargetProcess : public Process
{
public:
  TargetProcess(World& aWorld, TargetName aName, std::size_t aDomain,
                TargetKind aKind, bool aChecksFencing);

  void OnStart() override;
  void OnKill() override;
  std::size_t Domain() const override { return mDomain; }

  /** An order arrived; `aSentAt` is when its leader sent it. */
  void OnOrder(const Order& aOrder, Instant aSentAt);
  /** The bytes of an attempt arrived. */
  void OnWork(const Work& aWork);
  /** A daemon closed the connection of an attempt. */
  void OnCancel(std::size_t aDaemon, std::uint64_t aBoot, AttemptId aAttempt);
  /** It finishes what it runs and ends. */
  void Leave();

  ProcessId Id() const { return mId; }
  const TargetName& Name() const { return mEngine.Name(); }
  bool IsUp() const { return mEngine.IsUp(); }
  Incarnation CurrentIncarnation() const { return mIncarnation; }
  bool IsEngine() const { return mKind == TargetKind::Engine; }
  bool IsLeaving() const { return mEngine.IsLeaving(); }
  bool Serves(const ModelName& aModel) const { return mEngine.Serves(aModel); }

private:
  void Tick();
  void Announce();
  void LeaveIfDone();
  void RunModel(const Work& aWork);
  void RunOrder(const Work& aWork);
  void SendChunk(std::uint64_t aRun, std::uint32_t aNumber);
  void CheckLeaving(const Work& aWork);
  void Break(const Work& aWork);

  World& mWorld;
  ProcessId mId;
  std::size_t mDomain;
  TargetKind mKind;
  FakeEngine mEngine;
  bool mWasStarted = false;
  Incarnation mIncarnation{ 1 };
  Instant mNextAnnounce;
  Instant mLeavingSince;
  std::uint64_t mNextRun = 0;
  std::map<std::uint64_t, Work> mRunning;
};

} // namespace carobtide::matrix
