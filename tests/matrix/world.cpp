#include "world.hpp"

#include <algorithm>

namespace carobtide::matrix {

namespace {

constexpr std::size_t kDaemons = 5;
constexpr std::size_t kVoters = 3;
constexpr std::size_t kWithDisk = 4;
constexpr std::size_t kEngines = 4;
constexpr std::size_t kServices = 2;

constexpr Duration kCallersStop = 42s;
constexpr Duration kRunFor = 90s;
constexpr Duration kOrderInterval = 400ms;
constexpr double kNoise = 0.02;
constexpr Duration kModelInterval = 80ms;
/** Greatest age of what a leader knew when it sent an unload. */
constexpr Duration kKnowledgeAge = 5s;

std::string TextOf(std::uint64_t aVersion, const std::string& aOperator)
{
  std::string text = "# " + aOperator +
                     "\nname: desk\nversion: " + std::to_string(aVersion) +
                     "\nmodels:\n";
  const auto add = [&](const std::string& aName, std::uint64_t aModelVersion,
                       const std::string& aAdapters = "") {
    text += "  - {name: " + aName + ", pool: engines, memory: 10GiB, " +
            "version: " + std::to_string(aModelVersion) + aAdapters + "}\n";
  };
  add("tags", aVersion, ", adapters: [{name: hides, memory: 200MiB}]");
  add("lugs", 1);
  add(aVersion < 2 ? "boots" : "props", 1);
  text += "services:\n  - {name: orders, pool: desk}\n"
          "callers:\n  - {name: fitter, tokens: [fitter-token-of-tests], "
          "models: [\"*\"], "
          "services: [\"*\"], priority: interactive}\n"
          "store: {loads_per_second: 3, max_concurrent_loads: 9, "
          "adapter_concurrency: 50}\n";
  return text;
}

Membership InitialVoters()
{
  Membership initial;
  for (std::size_t n = 0; n < kVoters; ++n) {
    initial.mMembers.push_back(
      { ReplicaId(n + 1), DaemonName("d" + std::to_string(n)),
        FailureDomain("f" + std::to_string(n % 3)), MemberRole::Voter });
  }
  return initial;
}

} // namespace

World::World(std::uint64_t aSeed, std::optional<Injection> aInjection,
             Mutation aMutation)
  : mMutation(aMutation)
  , mSim(aSeed, std::move(aInjection))
{
  // Every other seed has a network that loses, doubles and delays.
  mSim.SetNoise(aSeed % 2 == 0 ? kNoise : 0.0);
  const Membership initial = InitialVoters();
  for (std::size_t n = 0; n < kDaemons; ++n) {
    mDaemons.push_back(
      std::make_unique<DaemonProcess>(*this, n, n < kWithDisk, initial));
  }
  for (std::size_t n = 0; n < kEngines + kServices; ++n) {
    const bool isEngine = n < kEngines;
    mTargets.push_back(std::make_unique<TargetProcess>(
      *this, TargetName("t" + std::to_string(n)), n % 3,
      isEngine ? TargetKind::Engine : TargetKind::Service, n % 2 == 0));
  }
}

std::string World::Encode(Command aCommand)
{
  mCommands.push_back(std::move(aCommand));
  return std::to_string(mCommands.size() - 1);
}

const Command& World::Decode(const std::string& aEntry) const
{
  return mCommands[std::stoul(aEntry)];
}

DaemonProcess* World::FindReplica(ReplicaId aReplica)
{
  const auto it = std::ranges::find_if(mDaemons, [&](const auto& aDaemon) {
    return aDaemon->HasDisk() && aDaemon->Replica() == aReplica;
  });
  return it == mDaemons.end() ? nullptr : it->get();
}

TargetProcess* World::FindTarget(const TargetName& aName)
{
  return std::ranges::find_if(
           mTargets,
           [&](const auto& aTarget) { return aTarget->Name() == aName; })
    ->get();
}

std::size_t World::CountServing(const ModelName& aModel) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mTargets, [&](const auto& aTarget) { return aTarget->Serves(aModel); }));
}

DaemonProcess* World::Leader()
{
  const auto it = std::ranges::find_if(mDaemons, [&](const auto& aDaemon) {
    return mSim.IsAlive(aDaemon->Id()) && aDaemon->Leads();
  });
  return it == mDaemons.end() ? nullptr : it->get();
}

RunResult World::Run()
{
  for (const auto& daemon : mDaemons) {
    mSim.Start(daemon->Id());
  }
  for (const auto& target : mTargets) {
    mSim.Start(target->Id());
  }
  Script();
  mSim.RunUntil(mSim.Now() + kRunFor);
  CheckEnd();
  RunResult result;
  result.mViolations = mChecker.Violations();
  result.mFired = mSim.HasFired();
  result.mCounts = mCounts;
  return result;
}

void World::Script()
{
  mSim.At(2s, [this] { Operate(ActionsFor(TextOf(1, "lise"), 1), 0); });
  mSim.At(5s, [this] { CallModels(); });
  mSim.At(5s, [this] { SendOrders(); });
  // A voter is away for long: it is replaced, and catches up by snapshot.
  mSim.At(9s, [this] { mSim.Kill(mDaemons[1]->Id(), 9s); });
  // Two operators race with one version number.
  mSim.At(14s, [this] { Operate(ActionsFor(TextOf(2, "lise"), 2), 0); });
  mSim.At(14s, [this] { Operate(ActionsFor(TextOf(2, "wouter"), 2), 0); });
  mSim.At(20s, [this] { mTargets[3]->Leave(); });
  mSim.At(24s, [this] { StopLeader(); });
  mSim.At(33s, [this] { Operate(ActionsFor(TextOf(3, "wouter"), 3), 0); });
  mSim.At(kCallersStop, [this] {
    mCallersDone = true;
    mSim.SetNoise(0.0);
    for (std::size_t n = 0; n < kStepCount; ++n) {
      mCounts[n] = mSim.Count(static_cast<Step>(n));
    }
  });
  mSim.At(1s, [this] { CheckServing(); });
  if (mMutation != Mutation::None) {
    mSim.At(12s, [this] { Mutate(); });
  }
}

void World::Mutate()
{
  if (mCallersDone) {
    return;
  }
  mSim.At(1s, [this] { Mutate(); });
  Order order;
  order.mId = OrderId(900'000 + NextNumber());
  order.mFence = FencingToken(std::uint64_t{ 1 } << 40U);
  DaemonProcess* leader = Leader();
  if (leader == nullptr) {
    return;
  }
  if (mMutation == Mutation::ForgetsEntries) {
    for (std::size_t n = 0; n < kWithDisk; ++n) {
      mSim.Kill(mDaemons[n]->Id(), 1s);
    }
    return;
  }
  if (mMutation == Mutation::SendsUnreservedLoad) {
    order.mModel = ModelName("big" + std::to_string(NextNumber()));
    order.mMemory = 14 * kGiB;
    order.mTarget = mTargets[0]->Name();
  } else if (mMutation == Mutation::UnloadsLastCopy) {
    order.mModel = ModelName("lugs");
    order.mVersion = 1;
    order.mAction = OrderAction::Unload;
  } else {
    return;
  }
  for (const auto& target : mTargets) {
    if (target->IsEngine()) {
      order.mTarget = target->Name();
      order.mIncarnation = target->CurrentIncarnation();
      leader->ProposeRogue(order);
    }
  }
}

void World::CallModels()
{
  if (mCallersDone) {
    return;
  }
  mSim.At(kModelInterval, [this] { CallModels(); });
  DaemonProcess* daemon = mDaemons[mSim.Pick(kDaemons)].get();
  const auto bundle = daemon->Bundles().Current();
  if (!bundle || !mSim.IsAlive(daemon->Id())) {
    return;
  }
  const auto& models = bundle->mModels;
  const ModelName model = models[mSim.Pick(models.size())].mName;
  const RequestId request(NextNumber());
  mSim.After(daemon->Id(), 1ms, [daemon, request, model] {
    daemon->OnModelRequest(request, model);
  });
}

void World::SendOrders()
{
  if (mCallersDone) {
    return;
  }
  mSim.At(kOrderInterval, [this] { SendOrders(); });
  const std::string key = "k" + std::to_string(NextNumber());
  mOrders[key] = false;
  SubmitOrder(key, 0);
  if (mSim.Pick(4) == 0) {
    SubmitOrder(key, 0);
  }
}

void World::SubmitOrder(const std::string& aKey, int aTries)
{
  constexpr int kMostTries = 8;
  constexpr Duration kPatience = 5s;
  if (mOrders[aKey] || aTries == kMostTries) {
    return;
  }
  Resend(aKey);
  mSim.At(kPatience, [this, aKey, aTries] { SubmitOrder(aKey, aTries + 1); });
}

void World::Resend(const std::string& aKey)
{
  DaemonProcess* daemon = mDaemons[mSim.Pick(kDaemons)].get();
  if (mSim.IsAlive(daemon->Id())) {
    const std::uint64_t submission = NextNumber();
    mSim.After(daemon->Id(), 1ms, [daemon, aKey, submission] {
      daemon->OnOrderRequest(aKey, submission);
    });
  }
}

void World::OnOrderAnswered(const std::string& aKey,
                            const AnswerCaller& aAnswer,
                            std::uint64_t aSubmission)
{
  if (aAnswer.mOutcome == RunOutcome::NotRun) {
    mChecker.OnToldNotRun(aSubmission);
    return;
  }
  mOrders[aKey] = true;
  // Some callers lost the answer and ask again, now or much later.
  if (mSim.Pick(3) == 0) {
    mSim.At(mSim.PickBetween(100ms, 20s), [this, aKey] {
      if (!mCallersDone) {
        Resend(aKey);
      }
    });
  }
  if (aAnswer.mOutcome == RunOutcome::Ran && aAnswer.mAnswer) {
    mChecker.OnToldRan(aKey, aAnswer.mAnswer->mBody);
  }
}

std::deque<World::OperatorAction> World::ActionsFor(const std::string& aText,
                                                    std::uint64_t aVersion)
{
  const Digest digest = ComputeDigest(aText);
  return {
    { Step::Submit, SubmitBundle{ aText, "lise" } },
    { Step::SignOff, SignOffBundle{ "desk", aVersion, digest, "lise" } },
    { Step::Roll, RollBundle{ "desk", aVersion, digest, "lise" } },
  };
}

void World::Operate(std::deque<OperatorAction> aActions, int aTries)
{
  constexpr int kMostTries = 25;
  constexpr Duration kRetryAfter = 1s;
  if (aActions.empty() || aTries == kMostTries) {
    return;
  }
  const OperatorAction action = aActions.front();
  DaemonProcess* daemon = mDaemons[mSim.Pick(kDaemons)].get();
  const auto isDone = std::make_shared<bool>(false);
  if (mSim.IsAlive(daemon->Id()) && !mSim.IsPaused(daemon->Id())) {
    daemon->Ask(action.mStep, Command(action.mCommand),
                [this, aActions, isDone](const AskResult& aResult) {
                  if (aResult.mEnd != AskEnd::Decided || *isDone) {
                    return;
                  }
                  *isDone = true;
                  auto rest = aActions;
                  if (aResult.mBundle.mCode != ErrorCode::Ok) {
                    return;
                  }
                  if (rest.front().mStep == Step::Roll) {
                    mChecker.OnRolled();
                  }
                  rest.pop_front();
                  Operate(rest, 0);
                });
  }
  mSim.At(kRetryAfter, [this, aActions, aTries, isDone] {
    if (!*isDone) {
      *isDone = true;
      Operate(aActions, aTries + 1);
    }
  });
}

void World::StopLeader()
{
  if (DaemonProcess* leader = Leader(); leader != nullptr) {
    leader->StopPlanned();
  } else {
    mSim.At(500ms, [this] { StopLeader(); });
  }
}

std::vector<ModelName> World::ModelsInForce()
{
  std::vector<ModelName> names;
  std::shared_ptr<const Bundle> latest;
  Epoch epoch;
  for (const auto& daemon : mDaemons) {
    if (daemon->Bundles().CurrentEpoch() > epoch) {
      epoch = daemon->Bundles().CurrentEpoch();
      latest = daemon->Bundles().Current();
    }
  }
  if (latest) {
    std::ranges::transform(latest->mModels, std::back_inserter(names),
                           &ModelSpec::mName);
  }
  return names;
}

void World::NoteLoss(const TargetProcess& aTarget)
{
  for (const ModelName& model : ModelsInForce()) {
    if (aTarget.Serves(model)) {
      mLosses[model] = mSim.Now();
    }
  }
}

void World::OnLastUnloaded(const ModelName& aModel, Instant aSentAt)
{
  const auto models = ModelsInForce();
  const auto loss = mLosses.find(aModel);
  const bool isExcused =
    loss != mLosses.end() && loss->second > aSentAt - kKnowledgeAge;
  if (std::ranges::find(models, aModel) != models.end() && !isExcused) {
    mChecker.Fail(Invariant::Reachable,
                  "the last copy of " + aModel.Text() + " was unloaded");
  }
}

void World::CheckLeases()
{
  const auto holders =
    std::ranges::count_if(mDaemons, [&](const auto& aDaemon) {
      return mSim.IsAlive(aDaemon->Id()) && !mSim.IsPaused(aDaemon->Id()) &&
             aDaemon->Leads();
    });
  if (holders > 1) {
    mChecker.Fail(Invariant::Agreement, "two daemons hold the lease");
  }
}

void World::CheckSpread()
{
  constexpr Duration kWithin = 3s;
  const Instant now = mSim.Now();
  const DaemonProcess* leader = Leader();
  if (leader == nullptr || leader != mSpreadFrom ||
      leader->Bundles().CurrentEpoch() != mSpreadEpoch) {
    mSpreadFrom = leader;
    mSpreadEpoch = leader ? leader->Bundles().CurrentEpoch() : Epoch();
    mSpreadSince = now;
  }
  for (const auto& daemon : mDaemons) {
    Instant& since = mHealthySince[daemon->Index()];
    if (!mSim.IsAlive(daemon->Id()) || !mSim.IsConnected(daemon->Id())) {
      since = now;
    }
  }
  if (leader == nullptr) {
    return;
  }
  const Instant start = std::max(mSpreadSince, mHealthySince[leader->Index()]);
  for (const auto& daemon : mDaemons) {
    const Instant since = std::max(start, mHealthySince[daemon->Index()]);
    if (now - since > kWithin &&
        daemon->Bundles().CurrentEpoch() < mSpreadEpoch) {
      mHealthySince[daemon->Index()] = now;
      mChecker.Fail(Invariant::Configuration,
                    "daemon " + std::to_string(daemon->Index()) +
                      " lacks an epoch that the leader has had for 3 s");
    }
  }
}

void World::CheckServing()
{
  constexpr Duration kInterval = 100ms;
  constexpr Duration kReloadTime = 20s;
  mSim.At(kInterval, [this] { CheckServing(); });
  CheckLeases();
  CheckSpread();
  for (const ModelName& model : ModelsInForce()) {
    if (CountServing(model) > 0) {
      mServed.insert(model);
      continue;
    }
    const auto loss = mLosses.find(model);
    const bool isExcused =
      loss != mLosses.end() && mSim.Now() - loss->second < kReloadTime;
    if (mServed.contains(model) && !isExcused) {
      mServed.erase(model);
      mChecker.Fail(Invariant::Reachable, "nothing serves " + model.Text());
    }
  }
}

void World::CheckEnd()
{
  for (const auto& [key, isAnswered] : mOrders) {
    if (!isAnswered) {
      mChecker.Fail(Invariant::Convergence, "key " + key + " got no answer");
    }
  }
  DaemonProcess* leader = Leader();
  if (leader == nullptr) {
    mChecker.Fail(Invariant::Convergence, "there is no leader");
    return;
  }
  CheckEndOfState(*leader);
  for (const auto& daemon : mDaemons) {
    const std::string name = "daemon " + std::to_string(daemon->Index());
    if (!daemon->IsReady()) {
      mChecker.Fail(Invariant::Convergence, name + " is not ready");
    }
    if (daemon->Bundles().CurrentText() != leader->Bundles().CurrentText()) {
      mChecker.Fail(Invariant::Configuration, name + " lacks the last epoch");
    }
    if (daemon->InFlight() != 0) {
      mChecker.Fail(Invariant::Convergence, name + " has work in flight");
    }
    for (const ModelName& model : ModelsInForce()) {
      if (!daemon->IsReachable(model)) {
        mChecker.Fail(Invariant::Reachable,
                      name + " cannot reach " + model.Text());
      }
    }
  }
}

void World::CheckEndOfState(const DaemonProcess& aLeader)
{
  const auto bundle = aLeader.Bundles().Current();
  if (!bundle || bundle->mVersion != 3 || mChecker.Rolled() < 3) {
    mChecker.Fail(Invariant::Configuration, "the last roll is not in force");
    return;
  }
  const auto* record = aLeader.Bundles().Find("desk", 3);
  if (record->mState != BundleState::InForce) {
    mChecker.Fail(Invariant::Convergence, "the last roll did not finish");
  }
  if (aLeader.GetLedger().OpenClaims() != 0) {
    const ClaimantId claimant = aLeader.GetLedger().OpenClaimants().front();
    mChecker.Fail(Invariant::Convergence,
                  "a claim of " + claimant.mDaemon.Text() + "/" +
                    std::to_string(claimant.mIncarnation) + " is left open");
  }
  if (!aLeader.GetPlacement().OpenOrders().empty()) {
    const Order& order = aLeader.GetPlacement().OpenOrders().begin()->second;
    mChecker.Fail(Invariant::Convergence,
                  "an order is left open: " +
                    std::string(kOrderActions.Name(order.mAction)) + " " +
                    order.mModel.Text() + " on " + order.mTarget.Text());
  }
  const Membership& members = aLeader.Log()->CurrentMembership();
  if (members.VoterCount() != kVoters) {
    mChecker.Fail(Invariant::Convergence,
                  "there are " + std::to_string(members.VoterCount()) +
                    " voters");
  }
}

} // namespace carobtide::matrix
