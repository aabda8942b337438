#include "daemon.hpp"

#include "world.hpp"

namespace carobtide::matrix {

namespace {

constexpr Duration kTick = 20ms;
constexpr Duration kPushInterval = 500ms;

const GroupId kGroup(1);

ReplicatedLogOptions LogOptions()
{
  ReplicatedLogOptions options;
  options.mHeartbeatInterval = 100ms;
  options.mElectionTimeout = 500ms;
  options.mLeaseDuration = 400ms;
  options.mSnapshotChunkBytes = 2 * kKiB;
  options.mSnapshotInterval = 25;
  options.mTrailingEntries = 5;
  options.mPromotionLag = 20;
  return options;
}

} // namespace

DaemonProcess::DaemonProcess(World& aWorld, std::size_t aIndex, bool aHasDisk,
                             Membership aInitial)
  : mWorld(aWorld)
  , mIndex(aIndex)
  , mId(aWorld.mSim.Add(*this))
  , mHasDisk(aHasDisk)
  , mInitial(std::move(aInitial))
{
  if (mHasDisk) {
    mReplica = ReplicaId(aIndex + 1);
    mStorage = MakeMemoryLogStorage();
    static_cast<void>(mStorage->SetReplica(mReplica));
  }
}

Instant DaemonProcess::Now() const
{
  return mWorld.mSim.LocalNow(mId);
}

bool DaemonProcess::Leads() const
{
  return mLog && mLog->HasLease(Now());
}

void DaemonProcess::LoseDisk()
{
  mReplica = ReplicaId(100 + mWorld.NextNumber());
  mStorage = MakeMemoryLogStorage();
  static_cast<void>(mStorage->SetReplica(mReplica));
}

void DaemonProcess::OnStart()
{
  mBoot = mWorld.NextNumber();
  mClaimant = mWorld.NextNumber();
  mStartedAt = mWorld.mSim.Now();
  // Before the first start nothing was in force anywhere.
  mIsReady = !mWasStarted;
  mWasStarted = true;
  RouterOptions options;
  options.mFailureDomain = FailureDomain("f" + std::to_string(mIndex % 3));
  options.mSeed = mBoot;
  options.mDaemons = 5;
  mRouter = std::make_unique<Router>(options);
  if (mHasDisk) {
    auto recovered = mStorage->Recover().ValueOrThrow();
    const bool isInitial = mInitial.Find(mReplica) != nullptr;
    mLog.emplace(kGroup, std::move(recovered),
                 isInitial ? mInitial : Membership{}, LogOptions(), Now(),
                 mBoot);
  }
  Tick();
}

void DaemonProcess::OnKill()
{
  mLog.reset();
  mController.reset();
  mMembers.reset();
  mControllerTerm = 0;
  mApplied = 0;
  mBundles = BundleRegistry();
  mLedger = Ledger();
  mPlacement = Placement();
  mTargets = TargetRegistry();
  mRouterEpoch = Epoch();
  mWaiters.clear();
  mPeers.clear();
  mLeaderHint.reset();
  mAttempts.clear();
  mModelRequests.clear();
  mOrderRequests.clear();
  mFlows.clear();
  mIsReady = false;
  mIsStopping = false;
}

void DaemonProcess::Tick()
{
  if (mLog && Now() >= mLog->NextWakeup()) {
    Apply(mLog->Tick(Now()));
  }
  for (const TargetName& name : mTargets.Expire(Now())) {
    if (mTargets.Find(name)->mState == TargetState::Silent) {
      Perform(mRouter->OnTargetSilent(Now(), name));
    }
  }
  Perform(mRouter->Tick(Now()));
  const Instant now = mWorld.mSim.Now();
  if (now >= mNextPush) {
    mNextPush = now + kPushInterval;
    SendPush();
  }
  Lead();
  StopIfDone();
  mWorld.mSim.After(mId, kTick, [this] { Tick(); });
}

void DaemonProcess::SendPush()
{
  Push push{ mIndex,
             mClaimant,
             mReplica,
             Leads(),
             mBundles.CurrentEpoch(),
             mBundles.CurrentText() };
  if (push.mLeads) {
    mIsReady = true;
    mLeaderHint = mIndex;
    NoteConfiguration();
  }
  for (const auto& daemon : mWorld.mDaemons) {
    if (daemon.get() != this) {
      mWorld.mSim.Send(
        Step::EpochPush, mId, daemon->Id(),
        [receiver = daemon.get(), push] { receiver->OnPush(push); });
    }
  }
}

void DaemonProcess::OnPush(const Push& aPush)
{
  mPeers[aPush.mDaemon] =
    Peer{ aPush.mClaimant, aPush.mReplica, mWorld.mSim.Now() };
  const bool isDeaf =
    mWorld.mMutation == Mutation::IgnoresConfiguration && !mHasDisk;
  if (mWorld.mMutation == Mutation::TakesLowerEpoch && !mHasDisk &&
      aPush.mEpoch < mBundles.CurrentEpoch()) {
    mBundles = BundleRegistry();
  }
  if (!isDeaf && mBundles.Adopt(aPush.mEpoch, aPush.mText)) {
    NoteConfiguration();
  }
  if (aPush.mLeads) {
    mLeaderHint = aPush.mDaemon;
    mIsReady = true;
    NoteConfiguration();
  }
}

void DaemonProcess::NoteConfiguration()
{
  const Epoch epoch = mBundles.CurrentEpoch();
  if (epoch != mRouterEpoch) {
    mRouterEpoch = epoch;
    mRouter->SetBundle(mBundles.Current());
  }
  if (mIsReady) {
    mWorld.mChecker.OnInForce(Name(), epoch, mBundles.CurrentText());
  }
}

void DaemonProcess::OnAnnouncement(Announcement aSaid)
{
  if (mWorld.mMutation == Mutation::IgnoresLeaving) {
    aSaid.mLeaving = false;
  }
  mTargets.Apply(Now(), aSaid);
  Perform(mRouter->OnAnnouncement(Now(), aSaid));
}

void DaemonProcess::StopPlanned()
{
  if (mIsStopping) {
    return;
  }
  mIsStopping = true;
  mStopSince = mWorld.mSim.Now();
  if (mLog && mLog->Role() == ReplicaRole::Leader) {
    Apply(mLog->TransferLeadership(Now()));
  }
}

void DaemonProcess::StopIfDone()
{
  constexpr Duration kTransferTime = 1s;
  constexpr Duration kMostTime = 20s;
  if (!mIsStopping) {
    return;
  }
  const Duration waited = mWorld.mSim.Now() - mStopSince;
  const bool isHasty = mWorld.mMutation == Mutation::StopsWithWorkInFlight;
  if (waited < kTransferTime && !isHasty) {
    return;
  }
  const bool isIdle = InFlight() == 0 && mModelRequests.empty();
  if (isIdle || isHasty || waited > kMostTime) {
    if (!isIdle) {
      mWorld.mChecker.Fail(Invariant::PlannedStop,
                           Name() + " stopped with " +
                             std::to_string(InFlight()) + " in flight");
    }
    mWorld.mSim.Kill(mId, 2s);
  }
}

// The log.

void DaemonProcess::Apply(LogEffects aEffects)
{
  if (!mWorld.mSim.IsAlive(mId)) {
    return;
  }
  if (aEffects.mBecameLeader) {
    mWorld.mChecker.OnLeader(mLog->Term(), mLog->Self());
  }
  if (!aEffects.mPersist.IsEmpty()) {
    Persist(aEffects.mPersist);
  }
  for (const ConsensusEnvelope& envelope : aEffects.mMessages) {
    constexpr std::array kStepOfMessage{
      Step::VoteRequest, Step::VoteReply,     Step::AppendRequest,
      Step::AppendReply, Step::SnapshotChunk, Step::SnapshotReply,
      Step::TimeoutNow
    };
    DaemonProcess* to = mWorld.FindReplica(envelope.mTo);
    if (to != nullptr) {
      mWorld.mSim.Send(kStepOfMessage[envelope.mMessage.index()], mId, to->Id(),
                       [to, envelope] { to->Receive(envelope); });
    }
  }
  if (aEffects.mRestore) {
    Restore(*aEffects.mRestore);
  }
  for (const LogEntry& entry : aEffects.mCommitted) {
    ApplyEntry(entry);
  }
  if (aEffects.mSnapshotWanted && mWorld.mSim.IsAlive(mId)) {
    const std::uint64_t index = mApplied;
    const std::string state = SaveState();
    mWorld.mSim.After(mId, 1ms, [this, index, state] {
      Apply(mLog->OnSnapshotTaken(Now(), index, state));
    });
  }
}

void DaemonProcess::Receive(const ConsensusEnvelope& aEnvelope)
{
  if (mLog) {
    Apply(mLog->Receive(Now(), aEnvelope));
  }
}

void DaemonProcess::Persist(const PersistBatch& aBatch)
{
  Step step = Step::PersistVote;
  if (aBatch.mSnapshot) {
    step = Step::PersistSnapshot;
  } else if (!aBatch.mEntries.empty()) {
    step = Step::PersistEntries;
  }
  const Verdict verdict = mWorld.mSim.AtStep(step, mId, mId);
  const Duration takes = mWorld.mSim.PickBetween(200us, 3ms) + verdict.mDelay;
  mWorld.mSim.After(mId, takes, [this, aBatch, isKilled = verdict.mKillAfter] {
    FinishPersist(aBatch, isKilled);
  });
}

void DaemonProcess::FinishPersist(const PersistBatch& aBatch, bool aKillAfter)
{
  if (mWorld.mSim.IsDiskFull(mId)) {
    const Error full{ ErrorCode::DiskFull, "log.persist" };
    Apply(mLog->OnPersistFailed(Now(), full));
    return;
  }
  const bool isForgotten = mWorld.mMutation == Mutation::ForgetsEntries;
  if (!isForgotten) {
    static_cast<void>(mStorage->Persist(aBatch));
  }
  if (aKillAfter) {
    mWorld.mSim.Kill(mId, mWorld.mSim.PickBetween(1s, 3s));
    return;
  }
  Apply(mLog->OnPersisted(Now(), aBatch.mSequence));
}

std::string DaemonProcess::SaveState() const
{
  const std::string bundles = mBundles.Save();
  const std::string ledger = mLedger.Save();
  return std::to_string(bundles.size()) + " " + std::to_string(ledger.size()) +
         "\n" + bundles + ledger + mPlacement.Save();
}

void DaemonProcess::Restore(const Snapshot& aSnapshot)
{
  const std::string& state = aSnapshot.mState;
  std::size_t used = 0;
  const std::size_t bundles = std::stoul(state, &used);
  const std::size_t ledger = std::stoul(state.substr(used));
  const std::size_t body = state.find('\n') + 1;
  const bool isLoaded =
    mBundles.Load(state.substr(body, bundles)).HasValue() &&
    mLedger.Load(state.substr(body + bundles, ledger)).HasValue() &&
    mPlacement.Load(state.substr(body + bundles + ledger)).HasValue();
  if (!isLoaded) {
    mWorld.mChecker.Fail(Invariant::Agreement, "a snapshot does not load");
  }
  mApplied = aSnapshot.mIndex;
  NoteConfiguration();
}

void DaemonProcess::ApplyEntry(const LogEntry& aEntry)
{
  if (!mWorld.mSim.IsAlive(mId)) {
    return;
  }
  if (aEntry.mIndex != mApplied + 1) {
    mWorld.mChecker.Fail(Invariant::Agreement, Name() + " applies index " +
                                                 std::to_string(aEntry.mIndex) +
                                                 " after " +
                                                 std::to_string(mApplied));
  }
  mApplied = aEntry.mIndex;
  mWorld.mChecker.OnCommitted(aEntry.mIndex, std::to_string(aEntry.mTerm) +
                                               ":" + aEntry.mPayload);
  AskResult result;
  if (aEntry.mKind == EntryKind::Command) {
    result = ApplyCommand(aEntry.mIndex, mWorld.Decode(aEntry.mPayload));
  }
  const auto waiter = mWaiters.extract(aEntry.mIndex);
  if (waiter && waiter.mapped().mTerm == aEntry.mTerm &&
      mWorld.mSim.IsAlive(mId)) {
    waiter.mapped().mReply(result);
  }
}

AskResult DaemonProcess::ApplyCommand(std::uint64_t aIndex,
                                      const Command& aCommand)
{
  AskResult result;
  result.mEnd = AskEnd::Decided;
  result.mIndex = aIndex;
  if (const auto* bundle = std::get_if<BundleCommand>(&aCommand)) {
    result.mBundle = mBundles.Apply(aIndex, *bundle);
    NoteConfiguration();
  } else if (const auto* ledger = std::get_if<LedgerCommand>(&aCommand)) {
    result.mLedger = mLedger.Apply(*ledger);
    if (mWorld.mMutation == Mutation::GrantsTwice &&
        (result.mLedger.mVerdict == LedgerVerdict::Unknown ||
         result.mLedger.mVerdict == LedgerVerdict::Replay)) {
      result.mLedger.mVerdict = LedgerVerdict::Granted;
    }
  } else {
    const auto& placement = std::get<PlacementCommand>(aCommand);
    const auto* commit = std::get_if<CommitOrder>(&placement);
    Verdict verdict;
    if (commit != nullptr && mLog->Role() == ReplicaRole::Leader) {
      const bool isLoad = commit->mOrder.mAction == OrderAction::Load;
      verdict = mWorld.mSim.AtStep(
        isLoad ? Step::LoadCommit : Step::UnloadCommit, mId, mId);
    }
    mPlacement.Apply(aIndex, placement);
    if (verdict.mKillAfter) {
      mWorld.mSim.Kill(mId, mWorld.mSim.PickBetween(1s, 3s));
    }
  }
  return result;
}

std::optional<std::uint64_t> DaemonProcess::Propose(const Command& aCommand,
                                                    AskReply aReply)
{
  if (!mLog || !mWorld.mSim.IsAlive(mId)) {
    return std::nullopt;
  }
  LogEffects effects;
  const auto index = mLog->Propose(Now(), mWorld.Encode(aCommand), effects);
  if (!index) {
    return std::nullopt;
  }
  if (aReply) {
    mWaiters[*index] = Waiter{ mLog->Term(), std::move(aReply) };
  }
  Apply(std::move(effects));
  return *index;
}

} // namespace carobtide::matrix
