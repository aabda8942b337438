#include "simulation.hpp"

#include <algorithm>

namespace carobtide::matrix {

namespace {

constexpr Duration kCutFor = 6s;
constexpr Duration kPauseFor = 8s;
constexpr Duration kDiskFullFor = 5s;
constexpr Duration kWallJump = std::chrono::hours(36);

} // namespace

Simulation::Simulation(std::uint64_t aSeed, std::optional<Injection> aInjection)
  : mRandom(aSeed)
  , mFaultRandom(aSeed * 31 + 7)
  , mInjection(std::move(aInjection))
{
}

ProcessId Simulation::Add(Process& aProcess)
{
  mStates.push_back({});
  mStates.back().mProcess = &aProcess;
  return mStates.size() - 1;
}

void Simulation::Start(ProcessId aProcess)
{
  ProcessState& state = mStates[aProcess];
  if (state.mAlive) {
    return;
  }
  state.mAlive = true;
  state.mDiskFull = false;
  state.mPausedUntil = mNow;
  ++state.mIncarnation;
  state.mProcess->OnStart();
}

void Simulation::Kill(ProcessId aProcess, Duration aDownFor)
{
  ProcessState& state = mStates[aProcess];
  if (!state.mAlive) {
    return;
  }
  state.mAlive = false;
  ++state.mIncarnation;
  At(Duration::zero(), [&state] { state.mProcess->OnKill(); });
  At(aDownFor, [this, aProcess] { Start(aProcess); });
}

void Simulation::RunUntil(Instant aEnd)
{
  while (!mEvents.empty() && mEvents.top().mAt <= aEnd) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    (*event.mAction)();
  }
  mNow = aEnd;
}

Instant Simulation::LocalNow(ProcessId aProcess) const
{
  return mNow + mStates[aProcess].mClockOffset;
}

std::int64_t Simulation::WallMicros(ProcessId aProcess) const
{
  return (mNow.time_since_epoch() + mStates[aProcess].mWallOffset).count();
}

bool Simulation::IsConnected(ProcessId aProcess) const
{
  const ProcessState& state = mStates[aProcess];
  return mNow >= state.mPausedUntil && mNow >= state.mMuteUntil &&
         mNow >= state.mDeafUntil && !IsDomainCut(aProcess);
}

bool Simulation::IsDomainCut(ProcessId aProcess) const
{
  const auto it = mDomainCutUntil.find(mStates[aProcess].mProcess->Domain());
  return it != mDomainCutUntil.end() && mNow < it->second;
}

void Simulation::AddNoise(Verdict& aVerdict)
{
  const auto isDue = [this] {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom) < mNoise;
  };
  aVerdict.mLost |= isDue();
  aVerdict.mTwice |= isDue();
  if (isDue()) {
    aVerdict.mDelay += PickBetween(0s, 1s);
  }
}

bool Simulation::IsCut(ProcessId aFrom, ProcessId aTo) const
{
  if (aFrom == aTo) {
    return false;
  }
  const bool isWithin =
    mStates[aFrom].mProcess->Domain() == mStates[aTo].mProcess->Domain();
  return mNow < mStates[aFrom].mMuteUntil || mNow < mStates[aTo].mDeafUntil ||
         (!isWithin && (IsDomainCut(aFrom) || IsDomainCut(aTo)));
}

void Simulation::At(Duration aAfter, Action aAction)
{
  mEvents.push({ mNow + aAfter, mNextOrder++,
                 std::make_shared<Action>(std::move(aAction)) });
}

void Simulation::After(ProcessId aProcess, Duration aAfter, Action aAction)
{
  const std::uint64_t incarnation = mStates[aProcess].mIncarnation;
  At(aAfter, [this, aProcess, incarnation, action = std::move(aAction)] {
    const ProcessState& state = mStates[aProcess];
    if (!state.mAlive || state.mIncarnation != incarnation) {
      return;
    }
    if (mNow < state.mPausedUntil) {
      After(aProcess, state.mPausedUntil - mNow, action);
      return;
    }
    action();
  });
}

void Simulation::Send(std::optional<Step> aStep, ProcessId aFrom, ProcessId aTo,
                      const Action& aAction, const Action& aRefused)
{
  if (!IsAlive(aFrom)) {
    return;
  }
  Verdict verdict = aStep ? AtStep(*aStep, aFrom, aTo) : Verdict{};
  if (mNoise > 0.0) {
    AddNoise(verdict);
  }
  if (!verdict.mLost && !IsCut(aFrom, aTo)) {
    const Instant at = mNow + Latency() + verdict.mDelay;
    Deliver(aFrom, aTo, at, aAction, aRefused);
    if (verdict.mTwice) {
      Deliver(aFrom, aTo, at + PickBetween(0s, 1s), aAction, {});
    }
  }
  if (verdict.mKillAfter) {
    Kill(aFrom, PickBetween(1s, 3s));
  }
}

void Simulation::SendOn(const std::shared_ptr<Stream>& aStream, Step aStep,
                        ProcessId aFrom, ProcessId aTo, Action aAction,
                        Action aRefused)
{
  if (!IsAlive(aFrom)) {
    return;
  }
  const Verdict verdict = AtStep(aStep, aFrom, aTo);
  aStream->mIsBroken |= verdict.mLost || IsCut(aFrom, aTo);
  if (!aStream->mIsBroken) {
    aStream->mNotBefore =
      std::max(aStream->mNotBefore, mNow + Latency() + verdict.mDelay);
    Deliver(aFrom, aTo, aStream->mNotBefore, std::move(aAction),
            std::move(aRefused));
  }
  if (verdict.mKillAfter) {
    Kill(aFrom, PickBetween(1s, 3s));
  }
}

void Simulation::Perform(Step aStep, ProcessId aActor, const Action& aAction)
{
  if (!IsAlive(aActor)) {
    return;
  }
  const Verdict verdict = AtStep(aStep, aActor, aActor);
  if (!verdict.mLost) {
    if (verdict.mDelay > Duration::zero()) {
      After(aActor, verdict.mDelay, aAction);
    } else {
      aAction();
    }
    if (verdict.mTwice) {
      After(aActor, PickBetween(0s, 500ms), aAction);
    }
  }
  if (verdict.mKillAfter) {
    Kill(aActor, PickBetween(1s, 3s));
  }
}

void Simulation::Deliver(ProcessId aFrom, ProcessId aTo, Instant aAt,
                         Action aAction, Action aRefused)
{
  At(aAt - mNow, [this, aFrom, aTo, action = std::move(aAction),
                  refused = std::move(aRefused)] {
    const ProcessState& state = mStates[aTo];
    if (!state.mAlive) {
      if (refused && !IsCut(aTo, aFrom)) {
        After(aFrom, 1ms, refused);
      }
      return;
    }
    if (mNow < state.mPausedUntil) {
      Deliver(aFrom, aTo, state.mPausedUntil, action, refused);
      return;
    }
    action();
  });
}

Verdict Simulation::AtStep(Step aStep, ProcessId aActor, ProcessId aPeer)
{
  Verdict verdict;
  const std::uint64_t count = ++mCounts[static_cast<std::size_t>(aStep)];
  if (!mInjection || mInjection->mStep != aStep ||
      mInjection->mOccurrence != count) {
    return verdict;
  }
  mFired = true;
  ProcessId subject = aActor;
  ProcessId other = aPeer;
  for (const Fault fault : mInjection->mFaults) {
    Inject(fault, subject, other, verdict);
    std::swap(subject, other);
  }
  return verdict;
}

void Simulation::Inject(Fault aFault, ProcessId aSubject, ProcessId aOther,
                        Verdict& aVerdict)
{
  const auto random = [&](Duration aLeast, Duration aMost) {
    return Duration(std::uniform_int_distribution<std::int64_t>(
      aLeast.count(), aMost.count())(mFaultRandom));
  };
  const bool isCoin = random(0us, 1us).count() == 1;
  ProcessState& state = mStates[isCoin ? aSubject : aOther];
  switch (aFault) {
    case Fault::Lost:
      aVerdict.mLost = true;
      break;
    case Fault::Late:
      aVerdict.mDelay = random(2s, 6s);
      break;
    case Fault::Twice:
      aVerdict.mTwice = true;
      break;
    case Fault::Reordered:
      aVerdict.mDelay = random(50ms, 500ms);
      break;
    case Fault::DiesBefore:
      aVerdict.mLost = true;
      Kill(aSubject, random(1s, 3s));
      break;
    case Fault::DiesAfter:
      aVerdict.mKillAfter = true;
      break;
    case Fault::CutOneWay:
      (random(0us, 1us).count() == 1 ? state.mMuteUntil : state.mDeafUntil) =
        mNow + kCutFor;
      break;
    case Fault::CutBothWays:
      if (random(0us, 1us).count() == 1) {
        mDomainCutUntil[state.mProcess->Domain()] = mNow + kCutFor;
        break;
      }
      state.mMuteUntil = mNow + kCutFor;
      state.mDeafUntil = mNow + kCutFor;
      break;
    case Fault::DiskFull: {
      const ProcessId disk = WithDisk(aSubject, aOther);
      mStates[disk].mDiskFull = true;
      At(kDiskFullFor, [this, disk] { Kill(disk, 500ms); });
      break;
    }
    case Fault::DiskLost: {
      const ProcessId disk = WithDisk(aSubject, aOther);
      mStates[disk].mProcess->LoseDisk();
      aVerdict.mLost |= disk == aSubject;
      Kill(disk, random(1s, 3s));
      break;
    }
    case Fault::LongPause:
      state.mPausedUntil = mNow + kPauseFor;
      break;
    case Fault::ClockJump:
      state.mClockOffset += random(5s, 60s);
      state.mWallOffset += random(-kWallJump, kWallJump);
      break;
    case Fault::TwoAtOnce:
      break;
  }
}

ProcessId Simulation::WithDisk(ProcessId aFirst, ProcessId aSecond)
{
  if (mStates[aFirst].mProcess->HasDisk()) {
    return aFirst;
  }
  if (mStates[aSecond].mProcess->HasDisk()) {
    return aSecond;
  }
  std::vector<ProcessId> found;
  for (ProcessId it = 0; it < mStates.size(); ++it) {
    if (mStates[it].mProcess->HasDisk()) {
      found.push_back(it);
    }
  }
  return found[mFaultRandom() % found.size()];
}

std::uint64_t Simulation::Pick(std::uint64_t aBelow)
{
  return std::uniform_int_distribution<std::uint64_t>(0, aBelow - 1)(mRandom);
}

Duration Simulation::PickBetween(Duration aLeast, Duration aMost)
{
  return Duration(std::uniform_int_distribution<std::int64_t>(
    aLeast.count(), aMost.count())(mRandom));
}

} // namespace carobtide::matrix
