#include "cluster.hpp"

#include "../src/stored_state.hpp"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <tuple>

namespace carobtide {

namespace {

const GroupId kGroup(1);
/** Makes a snapshot several chunks long. */
constexpr std::size_t kStateBytes = 100;
/** Time after which a batch that a full disk refused is written again. */
constexpr Duration kDiskRetry = 100ms;

std::string EncodeState(std::uint64_t aState)
{
  std::string bytes(kStateBytes, 's');
  std::memcpy(bytes.data(), &aState, sizeof aState);
  return bytes;
}

std::uint64_t DecodeState(const std::string& aBytes)
{
  std::uint64_t state = 0;
  std::memcpy(&state, aBytes.data(), sizeof state);
  return state;
}

Member MakeMember(std::size_t aNode, ReplicaId aReplica, MemberRole aRole)
{
  const auto name = std::to_string(aNode);
  return Member{ aReplica, DaemonName("d" + name), FailureDomain("f" + name),
                 aRole };
}

} // namespace

Cluster::Cluster(std::size_t aNodes, std::size_t aVoters, std::uint64_t aSeed,
                 ReplicatedLogOptions aOptions, FaultPlan aPlan)
  : mOptions(aOptions)
  , mPlan(aPlan)
  , mRandom(aSeed)
  , mNextReplica(aNodes + 1)
  , mNodes(aNodes)
{
  for (std::size_t n = 0; n < aNodes; ++n) {
    mNodes[n].mDisk.mReplica = ReplicaId(n + 1);
    std::uniform_real_distribution<double> drift(-aPlan.mDrift, aPlan.mDrift);
    mNodes[n].mRate = 1 + drift(mRandom);
    mNodes[n].mOffset = Duration(static_cast<Duration::rep>(Pick(5'000'000)));
    if (n < aVoters) {
      mInitial.mMembers.push_back(
        MakeMember(n, ReplicaId(n + 1), MemberRole::Voter));
    }
  }
  for (std::size_t n = 0; n < aNodes; ++n) {
    Start(n);
  }
}

bool Cluster::Chance(double aProbability)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aProbability;
}

std::uint64_t Cluster::Pick(std::uint64_t aBelow)
{
  return std::uniform_int_distribution<std::uint64_t>(0, aBelow - 1)(mRandom);
}

Instant Cluster::LocalTime(const Node& aNode) const
{
  const auto micros = static_cast<double>(mNow.time_since_epoch().count());
  return Instant(aNode.mOffset + Duration(std::llround(micros * aNode.mRate)));
}

Instant Cluster::GlobalTime(const Node& aNode, Instant aLocal) const
{
  const auto local = aLocal.time_since_epoch() - aNode.mOffset;
  return Instant(Duration(
    std::llround(static_cast<double>(local.count()) / aNode.mRate) + 1));
}

void Cluster::Schedule(Duration aAfter, std::function<void()> aAct)
{
  mEvents.push(Event{ mNow + aAfter, mNextOrder++, std::move(aAct) });
}

void Cluster::ScheduleOn(std::size_t aNode, Duration aAfter,
                         std::function<void()> aAct)
{
  const auto incarnation = mNodes[aNode].mIncarnation;
  Schedule(aAfter, [this, aNode, incarnation, act = std::move(aAct)] {
    Node& node = mNodes[aNode];
    if (!node.mLog || node.mIncarnation != incarnation) {
      return;
    }
    if (mNow < node.mPausedUntil) {
      ScheduleOn(aNode, node.mPausedUntil - mNow, act);
      return;
    }
    act();
  });
}

void Cluster::Run(Duration aFor)
{
  RunUntil(aFor, [] { return false; });
}

bool Cluster::RunUntil(Duration aAtMost,
                       const std::function<bool()>& aCondition)
{
  const auto end = mNow + aAtMost;
  while (mChecker.Violation().empty() && !aCondition()) {
    if (mEvents.empty() || mEvents.top().mAt > end) {
      mNow = end;
      return aCondition();
    }
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = std::max(mNow, event.mAt);
    event.mAct();
    CheckLeases();
  }
  return mChecker.Violation().empty();
}

void Cluster::Start(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  node.mIncarnation++;
  node.mState = 0;
  node.mInFlight.reset();
  node.mPausedUntil = mNow;
  const bool initial = mInitial.Find(node.mDisk.mReplica) != nullptr;
  mChecker.OnStarted(node.mDisk.mReplica);
  node.mLog.emplace(kGroup, node.mDisk, initial ? mInitial : Membership{},
                    mOptions, LocalTime(node), mRandom());
  ArmTimer(aNode);
}

void Cluster::Crash(std::size_t aNode, CrashPoint aPoint)
{
  Node& node = mNodes[aNode];
  if (node.mInFlight && aPoint == CrashPoint::AfterPersist &&
      !node.mDiskFails) {
    NoteStored(node, *node.mInFlight);
    ApplyBatch(node.mDisk, *node.mInFlight);
  }
  node.mInFlight.reset();
  node.mLog.reset();
  node.mIncarnation++;
}

void Cluster::Restart(std::size_t aNode)
{
  mNodes[aNode].mDiskFails = false;
  Start(aNode);
}

void Cluster::ReplaceDisk(std::size_t aNode)
{
  Crash(aNode, CrashPoint::BeforePersist);
  mNodes[aNode].mDisk = RecoveredState{};
  mNodes[aNode].mDisk.mReplica = ReplicaId(mNextReplica++);
  Restart(aNode);
}

void Cluster::Pause(std::size_t aNode, Duration aFor)
{
  mNodes[aNode].mPausedUntil = mNow + aFor;
}

void Cluster::FailDisk(std::size_t aNode)
{
  mNodes[aNode].mDiskFails = true;
}

void Cluster::HealDisk(std::size_t aNode)
{
  mNodes[aNode].mDiskFails = false;
}

void Cluster::Block(std::size_t aFrom, std::size_t aTo)
{
  mBlocked.emplace(aFrom, aTo);
}

void Cluster::Isolate(std::size_t aNode)
{
  for (std::size_t n = 0; n < mNodes.size(); ++n) {
    Block(aNode, n);
    Block(n, aNode);
  }
}

void Cluster::Heal()
{
  mBlocked.clear();
}

void Cluster::ArmTimer(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  const auto wakeup = node.mLog->NextWakeup();
  const auto at = std::max(mNow, GlobalTime(node, wakeup));
  ScheduleOn(aNode, at - mNow, [this, aNode, wakeup] {
    Node& woken = mNodes[aNode];
    // A later event armed another timer.
    if (woken.mLog->NextWakeup() != wakeup) {
      return;
    }
    Apply(aNode, woken.mLog->Tick(LocalTime(woken)));
  });
}

void Cluster::Apply(std::size_t aNode, LogEffects aEffects)
{
  Node& node = mNodes[aNode];
  if (aEffects.mBecameLeader) {
    mChecker.OnLeader(node.mLog->Term(), node.mLog->Self());
  }
  ApplyState(node, aEffects);
  if (!aEffects.mPersist.IsEmpty()) {
    StartPersist(aNode, std::move(aEffects.mPersist));
  }
  for (const auto& envelope : aEffects.mMessages) {
    Transmit(aNode, envelope);
  }
  if (aEffects.mSnapshotWanted) {
    const auto index = mChecker.AppliedIndex(node.mLog->Self());
    const auto state = EncodeState(node.mState);
    ScheduleOn(aNode, mPlan.mMaxPersist, [this, aNode, index, state] {
      Node& saved = mNodes[aNode];
      Apply(aNode, saved.mLog->OnSnapshotTaken(LocalTime(saved), index, state));
    });
  }
  ArmTimer(aNode);
}

void Cluster::ApplyState(Node& aNode, const LogEffects& aEffects)
{
  const auto self = aNode.mLog->Self();
  if (aEffects.mRestore) {
    aNode.mState = DecodeState(aEffects.mRestore->mState);
    mChecker.OnRestored(self, aEffects.mRestore->mIndex, aNode.mState);
  }
  for (const LogEntry& entry : aEffects.mCommitted) {
    aNode.mState = FoldState(aNode.mState, entry);
    mChecker.OnApplied(self, entry);
  }
}

void Cluster::StartPersist(std::size_t aNode, PersistBatch aBatch)
{
  mNodes[aNode].mInFlight = std::move(aBatch);
  const auto max = static_cast<std::uint64_t>(mPlan.mMaxPersist.count());
  const Duration after(static_cast<Duration::rep>(Pick(max + 1)));
  ScheduleOn(aNode, after, [this, aNode] { FinishPersist(aNode); });
}

void Cluster::FinishPersist(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  if (node.mDiskFails) {
    const Error full{ ErrorCode::DiskFull, "log.persist", "", "" };
    ScheduleOn(aNode, kDiskRetry, [this, aNode] { FinishPersist(aNode); });
    Apply(aNode, node.mLog->OnPersistFailed(LocalTime(node), full));
    return;
  }
  const PersistBatch batch = *std::exchange(node.mInFlight, std::nullopt);
  NoteStored(node, batch);
  ApplyBatch(node.mDisk, batch);
  Apply(aNode, node.mLog->OnPersisted(LocalTime(node), batch.mSequence));
}

void Cluster::NoteStored(const Node& aNode, const PersistBatch& aBatch)
{
  if (aBatch.mEntries.empty()) {
    return;
  }
  RecoveredState after = aNode.mDisk;
  ApplyBatch(after, aBatch);
  auto previous = after.mSnapshot ? after.mSnapshot->mTerm : 0;
  for (const LogEntry& entry : after.mEntries) {
    mChecker.OnStored(entry, previous);
    previous = entry.mTerm;
  }
}

void Cluster::Transmit(std::size_t aFrom, const ConsensusEnvelope& aEnvelope)
{
  mMessagesSent++;
  const auto to = NodeOf(aEnvelope.mTo);
  const int copies = Chance(mPlan.mDuplicate) ? 2 : 1;
  for (int n = 0; to && n < copies; ++n) {
    if (mBlocked.contains({ aFrom, *to }) || Chance(mPlan.mLoss)) {
      continue;
    }
    const auto max = static_cast<std::uint64_t>(mPlan.mMaxDelay.count());
    const Duration delay(static_cast<Duration::rep>(Pick(max + 1)));
    ScheduleOn(*to, delay, [this, node = *to, aEnvelope] {
      Node& receiver = mNodes[node];
      Apply(node, receiver.mLog->Receive(LocalTime(receiver), aEnvelope));
    });
  }
}

std::optional<std::size_t> Cluster::NodeOf(ReplicaId aReplica) const
{
  const auto it = std::ranges::find_if(mNodes, [&](const Node& aNode) {
    return aNode.mDisk.mReplica == aReplica;
  });
  return it == mNodes.end()
           ? std::nullopt
           : std::optional(static_cast<std::size_t>(it - mNodes.begin()));
}

void Cluster::CheckLeases()
{
  std::vector<ReplicaId> holders;
  for (const Node& node : mNodes) {
    if (node.mLog && node.mLog->HasLease(LocalTime(node))) {
      holders.push_back(node.mLog->Self());
    }
  }
  mChecker.OnLeases(holders);
}

std::optional<std::size_t> Cluster::LeaseHolder() const
{
  const auto it = std::ranges::find_if(mNodes, [&](const Node& aNode) {
    return aNode.mLog && aNode.mLog->HasLease(LocalTime(aNode)) &&
           mNow >= aNode.mPausedUntil;
  });
  return it == mNodes.end()
           ? std::nullopt
           : std::optional(static_cast<std::size_t>(it - mNodes.begin()));
}

bool Cluster::WithLeader(
  const std::function<void(Node&, Instant, LogEffects&)>& aCall)
{
  const auto leader = LeaseHolder();
  if (!leader) {
    return false;
  }
  LogEffects effects;
  aCall(mNodes[*leader], LocalTime(mNodes[*leader]), effects);
  Apply(*leader, std::move(effects));
  return true;
}

void Cluster::ProposeEverywhere(const std::string& aPayload)
{
  WithLeader([&](Node& aNode, Instant aNow, LogEffects& aEffects) {
    static_cast<void>(aNode.mLog->Propose(aNow, aPayload, aEffects));
  });
}

bool Cluster::IsConverged() const
{
  return std::ranges::all_of(mNodes, [&](const Node& aNode) {
    return !aNode.mLog || mChecker.AppliedIndex(aNode.mLog->Self()) ==
                            mChecker.CommittedIndex();
  });
}

} // namespace carobtide
