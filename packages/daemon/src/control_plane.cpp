#include "control_plane.hpp"

#include "carobtide/base/codec.hpp"
#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"
#include "order_sender.hpp"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace carobtide {

namespace {

constexpr GroupId kControlGroup{ 1 };
/** After this silence a lower incarnation replaces a higher one. */
constexpr Duration kReplacedTimeout = std::chrono::seconds(5);

bool HasHistory(const RecoveredState& aState)
{
  return aState.mHardState.mTerm > 0 || aState.mSnapshot ||
         !aState.mEntries.empty();
}

} // namespace

ControlPlane::ControlPlane(const DaemonSettings& aSettings,
                           std::uint64_t aIncarnation, WorkerPool& aWorkers,
                           EventLog& aEvents, Metrics& aMetrics,
                           BundleHandler aOnBundle)
  : mSettings(aSettings)
  , mIncarnation(aIncarnation)
  , mWorkers(aWorkers)
  , mEvents(aEvents)
  , mMetrics(aMetrics)
  , mOnBundle(std::move(aOnBundle))
  , mRandom(aIncarnation)
  , mState(MakeLedgerLimits(aSettings))
  , mTargets(aSettings.mTargetTimeout)
  , mMembers(MakeMembershipPolicy(aSettings))
{
}

ControlPlane::~ControlPlane() = default;

void ControlPlane::Attach(PeerNetwork& aNetwork)
{
  mNetwork = &aNetwork;
}

Result<Unit> ControlPlane::OpenStorage()
{
  mStorage = OpenFileLogStorage(mSettings.mDataDir);
  auto recovered = mStorage->Recover();
  if (!recovered) {
    return recovered.GetError();
  }
  mRecovered = std::move(*recovered);
  mReplica = mRecovered.mReplica;
  return Success();
}

Result<Unit> ControlPlane::SetIdentity(ReplicaId aReplica)
{
  const std::lock_guard lock(mMutex);
  assert(mReplica == ReplicaId());
  auto stored = mStorage->SetReplica(aReplica);
  if (stored) {
    mReplica = aReplica;
    mRecovered.mReplica = aReplica;
  }
  return stored;
}

void ControlPlane::StartReplica()
{
  const std::lock_guard lock(mMutex);
  const Instant now = SteadyNow();
  mWorker = std::make_unique<StorageWorker>(
    std::move(mStorage),
    [this](std::uint64_t aSequence) { OnDurable(aSequence); },
    [this](const Error& aError) { OnStorageFailure(aError); });
  mLog.emplace(kControlGroup, std::move(mRecovered),
               MakeInitialMembership(mSettings), ReplicatedLogOptions{}, now,
               mRandom());
  HandleEffects(mLog->Tick(now));
}

BootstrapStatus ControlPlane::GetBootstrapStatus() const
{
  const std::lock_guard lock(mMutex);
  BootstrapStatus status;
  status.mHasIdentity = mReplica != ReplicaId();
  status.mHasHistory =
    mLog ? mLog->Term() > 0 || mLog->LastIndex() > 0 : HasHistory(mRecovered);
  return status;
}

void ControlPlane::OnDurable(std::uint64_t aSequence)
{
  const std::lock_guard lock(mMutex);
  HandleEffects(mLog->OnPersisted(SteadyNow(), aSequence));
}

void ControlPlane::OnStorageFailure(const Error& aError)
{
  LogError(aError);
  const std::lock_guard lock(mMutex);
  HandleEffects(mLog->OnPersistFailed(SteadyNow(), aError));
}

void ControlPlane::Tick()
{
  const std::lock_guard lock(mMutex);
  const Instant now = SteadyNow();
  PeerRecord& self = mPeers[mSettings.mName];
  self.mReplica = mReplica;
  self.mHeardAt = now;
  if (!mLog) {
    return;
  }
  if (now >= mLog->NextWakeup()) {
    HandleEffects(mLog->Tick(now));
  }
  if (IsLeading()) {
    RunLeaderDuties(now);
    RunMembership(now);
  }
}

void ControlPlane::HandleEffects(LogEffects aEffects)
{
  std::vector<LogEffects> pending;
  pending.push_back(std::move(aEffects));
  while (!pending.empty()) {
    std::vector<LogEffects> more;
    for (LogEffects& effects : pending) {
      PerformEffects(effects, more);
    }
    pending = std::move(more);
  }
}

void ControlPlane::PerformEffects(LogEffects& aEffects,
                                  std::vector<LogEffects>& aMore)
{
  if (!aEffects.mPersist.IsEmpty()) {
    mWorker->Enqueue(std::move(aEffects.mPersist));
  }
  SendMessages(aEffects.mMessages);
  if (aEffects.mRestore) {
    mAppliedIndex = aEffects.mRestore->mIndex;
    const auto loaded = mState.Load(aEffects.mRestore->mState);
    if (!loaded) {
      LogError(loaded.GetError());
    }
  }
  std::ranges::for_each(aEffects.mCommitted,
                        [this](const LogEntry& aEntry) { ApplyEntry(aEntry); });
  if (aEffects.mSnapshotWanted) {
    aMore.push_back(
      mLog->OnSnapshotTaken(SteadyNow(), mAppliedIndex, mState.Save()));
  }
  NoteRoleChange(aEffects);
  NoteBundleChange(true);
}

void ControlPlane::SendMessages(const std::vector<ConsensusEnvelope>& aMessages)
{
  for (const ConsensusEnvelope& envelope : aMessages) {
    const auto address = AddressOf(DaemonOf(envelope.mTo));
    if (address) {
      mNetwork->Send(*address,
                     static_cast<std::uint16_t>(PeerMessageType::Consensus),
                     Encode(envelope));
    }
  }
}

DaemonName ControlPlane::DaemonOf(ReplicaId aReplica) const
{
  const Member* member = mLog->CurrentMembership().Find(aReplica);
  if (member != nullptr) {
    return member->mDaemon;
  }
  // A replica that joins, or that leads a membership not seen here yet.
  const auto it = std::ranges::find_if(mPeers, [&](const auto& aEntry) {
    return aEntry.second.mReplica == aReplica;
  });
  return it == mPeers.end() ? DaemonName() : it->first;
}

void ControlPlane::ApplyEntry(const LogEntry& aEntry)
{
  mAppliedIndex = aEntry.mIndex;
  if (aEntry.mKind != EntryKind::Command) {
    return;
  }
  const auto applied = mState.Apply(aEntry.mIndex, aEntry.mPayload);
  if (!applied) {
    return;
  }
  mMetrics.Add(Counter::CommandsCommitted);
  RecordCommand(*applied);
  if (applied->mNonce != 0) {
    mWaiters.Wake(applied->mNonce, applied->mOutcome);
  }
}

void ControlPlane::RecordCommand(const AppliedCommand& aApplied)
{
  const auto* placement = std::get_if<PlacementCommand>(&aApplied.mBody);
  if (placement == nullptr) {
    return;
  }
  EventFacts facts;
  if (const auto* settle = std::get_if<SettleOrder>(placement)) {
    facts.mStep = EventStep::OrderConfirmed;
    facts.mOrder = settle->mId;
    facts.mDetail = settle->mDone ? "done" : "not done";
    mEvents.Record(std::move(facts));
  } else if (const auto* commit = std::get_if<CommitOrder>(placement)) {
    facts.mStep = EventStep::OrderCommitted;
    facts.mPeer = commit->mOrder.mTarget.Text();
    facts.mDetail = std::string(kOrderActions.Name(commit->mOrder.mAction)) +
                    " " + commit->mOrder.mModel.Text() + " " +
                    commit->mOrder.mAdapter.Text();
    mEvents.Record(std::move(facts));
  }
}

void ControlPlane::NoteBundleChange(bool aFromLog)
{
  const Epoch epoch = mState.Bundles().CurrentEpoch();
  if (epoch <= mAnnouncedEpoch) {
    return;
  }
  mAnnouncedEpoch = epoch;
  const auto bundle = mState.Bundles().Current();
  EventFacts facts;
  facts.mStep = EventStep::BundleInForce;
  facts.mDetail = bundle->mName + " version " +
                  std::to_string(bundle->mVersion) + " epoch " +
                  std::to_string(epoch.Value());
  mEvents.Record(std::move(facts));
  BundleChange change;
  change.mEpoch = epoch;
  change.mBundle = bundle;
  change.mFromLog = aFromLog;
  mOnBundle(change);
}

void ControlPlane::OnConsensus(std::string_view aPayload,
                               const std::string& aPeer)
{
  const auto envelope = Decode<ConsensusEnvelope>(aPayload, aPeer);
  if (!envelope) {
    LogError(envelope.GetError());
    return;
  }
  const std::lock_guard lock(mMutex);
  if (mLog) {
    HandleEffects(mLog->Receive(SteadyNow(), *envelope));
  }
}

void ControlPlane::OnHeartbeat(const HeartbeatMessage& aMessage)
{
  mEvents.Observe(aMessage.mStamp);
  const std::lock_guard lock(mMutex);
  PeerRecord& peer = mPeers[aMessage.mFrom];
  const Instant now = SteadyNow();
  // A late heartbeat of a process that was replaced; a process whose clock was
  // set back is taken up once the old one has been silent.
  const bool isLate = aMessage.mIncarnation < peer.mIncarnation &&
                      now - peer.mHeardAt < kReplacedTimeout;
  if (isLate) {
    return;
  }
  if (aMessage.mIncarnation != peer.mIncarnation) {
    peer.mIncarnation = aMessage.mIncarnation;
    peer.mIncarnationAt = now;
  }
  peer.mReplica = aMessage.mReplica;
  peer.mHeardAt = now;
  peer.mDemand = aMessage.mDemand;
}

void ControlPlane::OnLeaderHint(const DaemonName& aLeader)
{
  if (aLeader.IsEmpty()) {
    return;
  }
  const std::lock_guard lock(mMutex);
  mLeaderHint = aLeader;
}

DaemonName ControlPlane::LeaderName() const
{
  if (mLog) {
    DaemonName leader = DaemonOf(mLog->Leader());
    if (!leader.IsEmpty()) {
      return leader;
    }
  }
  return mLeaderHint;
}

std::optional<Endpoint> ControlPlane::LeaderAddress() const
{
  return AddressOf(LeaderName());
}

std::optional<Endpoint> ControlPlane::AddressOf(const DaemonName& aDaemon) const
{
  const auto it =
    std::ranges::find(mSettings.mPeers, aDaemon, &PeerSettings::mName);
  if (it == mSettings.mPeers.end()) {
    return std::nullopt;
  }
  return it->mAddress;
}

TargetChange ControlPlane::OnAnnouncement(const Announcement& aAnnouncement)
{
  mMetrics.Add(Counter::AnnouncementsTaken);
  const std::lock_guard lock(mMutex);
  return mTargets.Apply(SteadyNow(), aAnnouncement);
}

std::vector<TargetName> ControlPlane::ExpireTargets()
{
  const std::lock_guard lock(mMutex);
  return mTargets.Expire(SteadyNow());
}

BundleInForce ControlPlane::GetBundle(Epoch aKnown) const
{
  const std::lock_guard lock(mMutex);
  BundleInForce bundle;
  bundle.mEpoch = mState.Bundles().CurrentEpoch();
  bundle.mLeader = LeaderName();
  if (bundle.mEpoch > aKnown) {
    bundle.mText = mState.Bundles().CurrentText();
  }
  return bundle;
}

bool ControlPlane::AdoptBundle(const BundleInForce& aBundle)
{
  OnLeaderHint(aBundle.mLeader);
  if (aBundle.mText.empty()) {
    return false;
  }
  const std::lock_guard lock(mMutex);
  const bool adopted = mState.Bundles().Adopt(aBundle.mEpoch, aBundle.mText);
  NoteBundleChange(false);
  return adopted;
}

std::optional<Shortfall> ControlPlane::CheckFit(const Bundle& aBundle) const
{
  const std::lock_guard lock(mMutex);
  std::vector<PlannerTarget> targets;
  for (const auto& [name, record] : mTargets.All()) {
    const Announcement& announcement = record.mAnnouncement;
    if (announcement.mKind != TargetKind::Engine ||
        record.mState == TargetState::Silent) {
      continue;
    }
    PlannerTarget target;
    target.mName = name;
    target.mFailureDomain = announcement.mFailureDomain;
    target.mPool = announcement.mPool;
    target.mMemory = announcement.mMemory;
    target.mLeaving = record.mState == TargetState::Leaving;
    target.mHolds = announcement.mResident;
    targets.push_back(std::move(target));
  }
  const auto current = mState.Bundles().Current();
  return CheckFeasible(aBundle, current.get(), targets);
}

ControlStatus ControlPlane::Status() const
{
  const std::lock_guard lock(mMutex);
  ControlStatus status;
  status.mLeader = LeaderName();
  status.mEpoch = mState.Bundles().CurrentEpoch();
  status.mLedgerKeys = mState.GetLedger().Size();
  status.mOpenOrders = mState.GetPlacement().OpenOrders().size();
  status.mReplica = mReplica;
  if (mLog) {
    status.mHasReplica = true;
    status.mRole = mLog->Role();
    status.mTerm = mLog->Term();
    status.mCommitIndex = mLog->CommitIndex();
    status.mLastIndex = mLog->LastIndex();
    status.mHasLease = mLog->HasLease(SteadyNow());
    status.mMembership = mLog->CurrentMembership();
  }
  return status;
}

Epoch ControlPlane::CurrentEpoch() const
{
  const std::lock_guard lock(mMutex);
  return mState.Bundles().CurrentEpoch();
}

std::shared_ptr<const Bundle> ControlPlane::CurrentBundle() const
{
  const std::lock_guard lock(mMutex);
  return mState.Bundles().Current();
}

} // namespace carobtide
