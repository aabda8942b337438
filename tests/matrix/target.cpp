#include "target.hpp"

#include "world.hpp"

namespace carobtide::matrix {

namespace {

constexpr Duration kTick = 50ms;
constexpr Duration kAnnounceInterval = 1s;
constexpr Duration kChunkTime = 30ms;
constexpr Duration kServiceTime = 40ms;
/** Silence timeout, one announcement and the time on the wire. */
constexpr Duration kNoNewWorkAfter = 4200ms;
constexpr Duration kDrainLimit = 25s;
constexpr Duration kLeastDrain = 8s;

FakeEngineOptions OptionsOf(FailureDomain aDomain, TargetKind aKind,
                            bool aChecksFencing)
{
  FakeEngineOptions options;
  options.mMemory = aKind == TargetKind::Engine ? 32 * kGiB : 0;
  options.mDomain = std::move(aDomain);
  options.mPool = aKind == TargetKind::Engine ? "engines" : "desk";
  options.mChecksFencing = aChecksFencing;
  options.mModelLoadTime = 700ms;
  return options;
}

} // namespace

TargetProcess::TargetProcess(World& aWorld, TargetName aName,
                             std::size_t aDomain, TargetKind aKind,
                             bool aChecksFencing)
  : mWorld(aWorld)
  , mId(aWorld.mSim.Add(*this))
  , mDomain(aDomain)
  , mKind(aKind)
  , mEngine(std::move(aName),
            OptionsOf(FailureDomain("f" + std::to_string(aDomain)), aKind,
                      aChecksFencing))
{
}

void TargetProcess::OnStart()
{
  if (mWasStarted) {
    mEngine.Start();
    mIncarnation = Incarnation(mIncarnation.Value() + 1);
  }
  mWasStarted = true;
  mNextAnnounce = mWorld.mSim.Now();
  Tick();
}

void TargetProcess::OnKill()
{
  mWorld.NoteLoss(*this);
  mEngine.Stop();
  for (const auto& [run, work] : mRunning) {
    Break(work);
  }
  mRunning.clear();
}

void TargetProcess::Break(const Work& aWork)
{
  const std::size_t daemon = aWork.mDaemon;
  const std::uint64_t boot = aWork.mBoot;
  const AttemptId attempt = aWork.mAttempt;
  if (!mWorld.mSim.IsCut(mId, mWorld.mDaemons[daemon]->Id())) {
    mWorld.mSim.After(mWorld.mDaemons[daemon]->Id(), 2ms,
                      [this, daemon, boot, attempt] {
                        mWorld.mDaemons[daemon]->OnBroken(boot, attempt);
                      });
  }
}

void TargetProcess::Tick()
{
  Simulation& sim = mWorld.mSim;
  mEngine.Advance(sim.Now());
  mWorld.mChecker.OnMemory(Name().Text(), mEngine.Used(),
                           mEngine.Options().mMemory);
  if (sim.Now() >= mNextAnnounce) {
    mNextAnnounce = sim.Now() + kAnnounceInterval;
    Announce();
  }
  LeaveIfDone();
  sim.After(mId, kTick, [this] { Tick(); });
}

void TargetProcess::Announce()
{
  Announcement said = mEngine.Announce();
  said.mKind = mKind;
  said.mLoad.mSlots = 8;
  const Step step = said.mLeaving ? Step::AnnounceLeaving : Step::Announce;
  for (const auto& daemon : mWorld.mDaemons) {
    mWorld.mSim.Send(step, mId, daemon->Id(), [receiver = daemon.get(), said] {
      receiver->OnAnnouncement(said);
    });
  }
}

void TargetProcess::Leave()
{
  if (IsUp() && !IsLeaving()) {
    mEngine.SetLeaving(true);
    mLeavingSince = mWorld.mSim.Now();
    mNextAnnounce = mLeavingSince;
  }
}

void TargetProcess::LeaveIfDone()
{
  const Duration left = mWorld.mSim.Now() - mLeavingSince;
  if (!IsLeaving() || left < kLeastDrain) {
    return;
  }
  if (mRunning.empty()) {
    mWorld.mSim.Kill(mId, 2s);
  } else if (left > kDrainLimit) {
    mWorld.mChecker.Fail(Invariant::Leaving, Name().Text() + " never drained");
    mWorld.mSim.Kill(mId, 2s);
  }
}

void TargetProcess::OnOrder(const Order& aOrder, Instant aSentAt)
{
  const auto key = KeyOf(aOrder);
  const bool isLast = aOrder.mAction == OrderAction::Unload &&
                      mEngine.Holds(key) && aOrder.mAdapter.IsEmpty() &&
                      mWorld.CountServing(aOrder.mModel) == 1;
  mEngine.Deliver(mWorld.mSim.Now(), aOrder);
  if (isLast && mWorld.CountServing(aOrder.mModel) == 0) {
    mWorld.OnLastUnloaded(aOrder.mModel, aSentAt);
  }
  mWorld.mChecker.OnMemory(Name().Text(), mEngine.Used(),
                           mEngine.Options().mMemory);
}

void TargetProcess::CheckLeaving(const Work& aWork)
{
  if (!IsLeaving()) {
    return;
  }
  const ProcessId daemon = mWorld.mDaemons[aWork.mDaemon]->Id();
  const Instant since =
    std::max({ mLeavingSince, mWorld.mSim.PausedUntil(daemon),
               mWorld.mDaemons[aWork.mDaemon]->StartedAt() });
  if (aWork.mSentAt > since + kNoNewWorkAfter) {
    mWorld.mChecker.Fail(Invariant::Leaving, Name().Text() +
                                               " got new work from daemon " +
                                               std::to_string(aWork.mDaemon));
  }
}

void TargetProcess::OnWork(const Work& aWork)
{
  CheckLeaving(aWork);
  if (IsEngine()) {
    RunModel(aWork);
  } else {
    RunOrder(aWork);
  }
}

void TargetProcess::RunModel(const Work& aWork)
{
  if (!mEngine.Serves(aWork.mModel)) {
    mWorld.mSim.SendOn(aWork.mBack, Step::AttemptEnd, mId,
                       mWorld.mDaemons[aWork.mDaemon]->Id(), [this, aWork] {
                         mWorld.mDaemons[aWork.mDaemon]->OnRejected(
                           aWork.mBoot, aWork.mAttempt);
                       });
    return;
  }
  mWorld.mChecker.OnRun(aWork.mSubmission, "");
  const std::uint64_t run = ++mNextRun;
  mRunning[run] = aWork;
  mWorld.mSim.After(mId, kChunkTime, [this, run] { SendChunk(run, 0); });
}

void TargetProcess::SendChunk(std::uint64_t aRun, std::uint32_t aNumber)
{
  const auto it = mRunning.find(aRun);
  if (it == mRunning.end()) {
    return;
  }
  const Work work = it->second;
  DaemonProcess* daemon = mWorld.mDaemons[work.mDaemon].get();
  if (aNumber == Checker::kChunks) {
    mRunning.erase(it);
    mWorld.mSim.SendOn(
      work.mBack, Step::AttemptEnd, mId, daemon->Id(),
      [daemon, work] { daemon->OnAnswerEnd(work.mBoot, work.mAttempt); });
    return;
  }
  const Step step = aNumber == 0 ? Step::AttemptFirstByte : Step::AttemptChunk;
  mWorld.mSim.SendOn(
    work.mBack, step, mId, daemon->Id(), [daemon, work, aNumber] {
      daemon->OnChunk(work.mBoot, work.mAttempt, work.mRequest, aNumber);
    });
  mWorld.mSim.After(mId, kChunkTime,
                    [this, aRun, aNumber] { SendChunk(aRun, aNumber + 1); });
}

void TargetProcess::RunOrder(const Work& aWork)
{
  mWorld.mChecker.OnRun(aWork.mSubmission, aWork.mKey);
  const std::uint64_t run = ++mNextRun;
  mRunning[run] = aWork;
  const bool isBroken = mWorld.mSim.Pick(12) == 0;
  mWorld.mSim.After(mId, kServiceTime, [this, run, isBroken] {
    const auto it = mRunning.find(run);
    if (it == mRunning.end()) {
      return;
    }
    const Work work = it->second;
    mRunning.erase(it);
    if (isBroken) {
      Break(work);
      return;
    }
    DaemonProcess* daemon = mWorld.mDaemons[work.mDaemon].get();
    mWorld.mSim.SendOn(
      work.mBack, Step::OrderAnswer, mId, daemon->Id(), [daemon, work] {
        daemon->OnOrderAnswer(work.mBoot, work.mAttempt, work.mKey);
      });
  });
}

void TargetProcess::OnCancel(std::size_t aDaemon, std::uint64_t aBoot,
                             AttemptId aAttempt)
{
  std::erase_if(mRunning, [&](const auto& aEntry) {
    const Work& work = aEntry.second;
    return IsEngine() && work.mDaemon == aDaemon && work.mBoot == aBoot &&
           work.mAttempt == aAttempt;
  });
}

} // namespace carobtide::matrix
