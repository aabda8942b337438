#include "placement_simulation.hpp"

namespace carobtide {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr std::uint64_t kTicksPerReport = 10;
/** Time for which a deposed leader continues to send orders. */
constexpr Duration kLease = std::chrono::seconds(2);
/** Time between the start of a drain and the stop of the process. */
constexpr Duration kDrainTime = std::chrono::seconds(20);

/** Maximum age of the announcement that an unload relies on. */
constexpr Duration kMaxReplicaReportAge = std::chrono::milliseconds(1500);

double PerTick(double aPerSecond)
{
  return aPerSecond * std::chrono::duration<double>(kTick).count();
}

} // namespace

PlacementSimulation::PlacementSimulation(std::uint64_t aSeed,
                                         PlacementOptions aOptions)
  : mRandom(aSeed)
  , mOptions(std::move(aOptions))
{
  ChangeLeader();
}

FakeEngine& PlacementSimulation::AddEngine(const std::string& aName,
                                           FakeEngineOptions aOptions)
{
  return mEngines.emplace_back(TargetName(aName), std::move(aOptions));
}

FakeEngine& PlacementSimulation::Engine(const std::string& aName)
{
  return *std::ranges::find(mEngines, TargetName(aName), &FakeEngine::Name);
}

void PlacementSimulation::ChangeLeader()
{
  SimulatedLeader next;
  next.mTerm = mLeaders.empty() ? 1 : mLeaders.back().mTerm + 1;
  next.mController =
    std::make_unique<PlacementController>(mOptions, FencingToken(next.mTerm));
  if (!mLeaders.empty()) {
    SimulatedLeader& last = mLeaders.back();
    last.mDeposedAt = mNow;
    last.mStaleRecord = mRecord;
    // Announcements reach all leaders, so the next one starts with the same
    // registry.
    next.mRegistry = last.mRegistry;
  }
  mLeaders.push_back(std::move(next));
}

void PlacementSimulation::StopEngine(const std::string& aName)
{
  FakeEngine& engine = Engine(aName);
  AllowLossOf(engine);
  engine.Stop();
  mStopAt.erase(engine.Name());
  mStartAt[engine.Name()] = mNow + std::chrono::seconds(5);
}

void PlacementSimulation::Run(Duration aTime)
{
  for (const Instant end = mNow + aTime; mNow < end;) {
    Tick();
  }
}

bool PlacementSimulation::RunUntilSettled(Duration aLimit)
{
  for (const Instant end = mNow + aLimit; mNow < end;) {
    Tick();
    if (mIsSettled && mProposals.empty() && mRecord.OpenOrders().empty()) {
      return true;
    }
  }
  return false;
}

std::string PlacementSimulation::ViolationSummary() const
{
  constexpr std::size_t kMaxReported = 5;
  std::string text = mViolations.empty() ? "none" : "";
  for (std::size_t n = 0; n < std::min(kMaxReported, mViolations.size()); ++n) {
    text += mViolations[n] + "; ";
  }
  return text;
}

std::size_t PlacementSimulation::Sent(OrderAction aAction) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mSentOrders, [&](const auto& aEntry) { return aEntry.second == aAction; }));
}

std::size_t PlacementSimulation::Replicas(const ModelName& aModel) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mEngines, [&](const FakeEngine& aEngine) {
      return aEngine.Serves(aModel);
    }));
}

bool PlacementSimulation::IsBundleResident() const
{
  const auto isHeld = [&](const CopyKey& aKey) {
    return std::ranges::any_of(
      mEngines, [&](const FakeEngine& aEngine) { return aEngine.Holds(aKey); });
  };
  return std::ranges::all_of(mBundle.mModels, [&](const ModelSpec& aModel) {
    return isHeld({ aModel.mName, {}, aModel.mVersion }) &&
           std::ranges::all_of(aModel.mAdapters, [&](const AdapterSpec&
                                                       aAdapter) {
             return isHeld({ aModel.mName, aAdapter.mName, aAdapter.mVersion });
           });
  });
}

bool PlacementSimulation::HoldsOnlyBundle() const
{
  const auto isNamed = [&](const ResidentModel& aCopy) {
    return std::ranges::any_of(mBundle.mModels, [&](const ModelSpec& aModel) {
      if (aModel.mName != aCopy.mModel) {
        return false;
      }
      if (aCopy.mAdapter.IsEmpty()) {
        return aModel.mVersion == aCopy.mVersion;
      }
      return std::ranges::any_of(aModel.mAdapters,
                                 [&](const AdapterSpec& aAdapter) {
                                   return aAdapter.mName == aCopy.mAdapter &&
                                          aAdapter.mVersion == aCopy.mVersion;
                                 });
    });
  };
  return std::ranges::all_of(mEngines, [&](const FakeEngine& aEngine) {
    return std::ranges::all_of(aEngine.Resident(), isNamed);
  });
}

bool PlacementSimulation::Chance(double aProbability)
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom) <
         aProbability;
}

Duration PlacementSimulation::Delay(Duration aMax)
{
  return Duration(
    std::uniform_int_distribution<std::int64_t>(0, aMax.count())(mRandom));
}

void PlacementSimulation::Tick()
{
  mNow += kTick;
  ++mTick;
  InjectFaults();
  for (FakeEngine& engine : mEngines) {
    engine.Advance(mNow);
  }
  DeliverOrders();
  if (mTick % kTicksPerReport == 0) {
    Announce();
  }
  DeliverReports();
  Commit();
  StepLeaders();
  CheckInvariants();
}

void PlacementSimulation::InjectFaults()
{
  if (Chance(PerTick(mFaults.mLeaderChange))) {
    ChangeLeader();
  }
  for (FakeEngine& engine : mEngines) {
    const TargetName& name = engine.Name();
    const bool isDrained = mStopAt.contains(name) && mNow >= mStopAt[name];
    if (engine.IsUp() &&
        (isDrained || Chance(PerTick(mFaults.mTargetRestart)))) {
      StopEngine(name.Text());
    }
    if (!engine.IsUp() && mNow >= mStartAt[name]) {
      engine.Start();
    }
    if (Chance(PerTick(mFaults.mTargetSilence))) {
      mSilentUntil[name] = mNow + std::chrono::seconds(6);
    }
    if (engine.IsUp() && !engine.IsLeaving() &&
        Chance(PerTick(mFaults.mDrain))) {
      engine.SetLeaving(true);
      mStopAt[name] = mNow + kDrainTime;
    }
  }
}

void PlacementSimulation::Announce()
{
  for (FakeEngine& engine : mEngines) {
    if (!engine.IsUp()) {
      continue;
    }
    const Announcement announcement = engine.Announce();
    if (mNow < mSilentUntil[engine.Name()] || Chance(mFaults.mReportLost)) {
      continue;
    }
    mReports.push_back({ mNow + Delay(mFaults.mMaxReportDelay), announcement });
  }
}

void PlacementSimulation::DeliverReports()
{
  std::erase_if(mReports, [&](const ReportInFlight& aReport) {
    if (aReport.mAt > mNow) {
      return false;
    }
    for (SimulatedLeader& leader : mLeaders) {
      leader.mRegistry.Apply(mNow, aReport.mAnnouncement);
    }
    return true;
  });
  for (SimulatedLeader& leader : mLeaders) {
    leader.mRegistry.Expire(mNow);
  }
}

void PlacementSimulation::Commit()
{
  std::erase_if(mProposals, [&](const Proposal& aProposal) {
    if (aProposal.mAt > mNow) {
      return false;
    }
    mRecord.Apply(++mIndex, aProposal.mCommand);
    return true;
  });
}

void PlacementSimulation::StepLeaders()
{
  std::erase_if(mLeaders, [&](const SimulatedLeader& aLeader) {
    return aLeader.mStaleRecord && mNow - aLeader.mDeposedAt > kLease;
  });
  for (SimulatedLeader& leader : mLeaders) {
    StepLeader(leader, leader.mStaleRecord ? *leader.mStaleRecord : mRecord);
  }
}

void PlacementSimulation::StepLeader(SimulatedLeader& aLeader,
                                     const Placement& aRecord)
{
  PlacementEffects effects = aLeader.mController->Step(
    mNow, mBundle, aLeader.mRegistry, aRecord, mDemand);
  // Proposals of a deposed leader may be committed after the next leader has
  // begun its term.
  for (PlacementCommand& command : effects.mPropose) {
    mProposals.push_back(
      { mNow + Delay(mFaults.mMaxCommitDelay), std::move(command) });
  }
  for (const Order& order : effects.mSend) {
    if (!mSentOrders.contains(order.mId) &&
        order.mAction == OrderAction::Load && order.mAdapter.IsEmpty()) {
      mModelSends.push_back(mNow);
    }
    mSentOrders[order.mId] = order.mAction;
    Send(order);
  }
  if (!aLeader.mStaleRecord) {
    mIsSettled = effects.mSettled;
  }
}

void PlacementSimulation::Send(const Order& aOrder)
{
  if (!Chance(mFaults.mOrderLost)) {
    mOrders.push_back({ mNow + Delay(mFaults.mMaxOrderDelay), mNow, aOrder,
                        Chance(mFaults.mRefused) });
  }
  if (Chance(mFaults.mOrderTwice)) {
    mOrders.push_back({ mNow + Delay(mFaults.mMaxOrderDelay), mNow, aOrder,
                        Chance(mFaults.mRefused) });
  }
}

void PlacementSimulation::DeliverOrders()
{
  std::erase_if(mOrders, [&](const OrderInFlight& aOrder) {
    if (aOrder.mAt > mNow) {
      return false;
    }
    const auto it =
      std::ranges::find(mEngines, aOrder.mOrder.mTarget, &FakeEngine::Name);
    AllowLossByUnload(aOrder, *it);
    it->Deliver(mNow, aOrder.mOrder, aOrder.mIsRefused);
    return true;
  });
}

void PlacementSimulation::AllowLossOf(const FakeEngine& aEngine)
{
  for (const ModelSpec& model : mBundle.mModels) {
    if (aEngine.Serves(model.mName)) {
      mLosses.push_back({ model.mName, mNow });
    }
  }
  // Excludes replicas that an open unload may remove at any time.
  const auto isRemaining = [&](const FakeEngine& aOther,
                               const ModelName& aModel) {
    if (&aOther == &aEngine || !aOther.Serves(aModel)) {
      return false;
    }
    return std::ranges::none_of(mRecord.OpenOrders(), [&](const auto& aEntry) {
      const Order& order = aEntry.second;
      return order.mTarget == aOther.Name() && order.mModel == aModel &&
             order.mAction == OrderAction::Unload;
    });
  };
  std::erase_if(mServed, [&](const ModelName& aModel) {
    return aEngine.Serves(aModel) &&
           std::ranges::none_of(mEngines, [&](const FakeEngine& aOther) {
             return isRemaining(aOther, aModel);
           });
  });
}

void PlacementSimulation::AllowLossByUnload(const OrderInFlight& aOrder,
                                            const FakeEngine& aEngine)
{
  // A leader cannot know of a replica that was lost after the announcement on
  // which it relied when it sent the unload.
  const ModelName& model = aOrder.mOrder.mModel;
  const Instant known = aOrder.mSentAt - kMaxReplicaReportAge - mMaxReportDelay;
  const bool isUnknown =
    std::ranges::any_of(mLosses, [&](const ReplicaLoss& aLoss) {
      return aLoss.mModel == model && aLoss.mAt >= known;
    });
  if (isUnknown && aOrder.mOrder.mAction == OrderAction::Unload &&
      aEngine.Serves(model) && Replicas(model) == 1) {
    mServed.erase(model);
  }
}

void PlacementSimulation::CheckInvariants()
{
  std::size_t models = 0;
  std::size_t adapters = 0;
  const std::string when =
    " at " + std::to_string(mNow.time_since_epoch() / 1ms) + " ms";
  for (const FakeEngine& engine : mEngines) {
    models += engine.ModelLoads();
    adapters += engine.AdapterLoads();
    if (engine.IsOvercommitted()) {
      mViolations.push_back("overcommitted: " + engine.Name().Text() + when);
    }
  }
  if (models > mBundle.mStore.mMaxConcurrentLoads) {
    mViolations.push_back("too many loads at once" + when);
  }
  if (adapters > mBundle.mStore.mAdapterConcurrency) {
    mViolations.push_back("too many adapter loads at once" + when);
  }
  const auto recent = std::ranges::count_if(
    mModelSends, [&](Instant aAt) { return mNow - aAt < 10s; });
  const double maxRecent = 10.0 * mBundle.mStore.mLoadsPerSecond +
                           std::max(1.0, mBundle.mStore.mLoadsPerSecond);
  if (static_cast<double>(recent) > maxRecent) {
    mViolations.push_back("too many loads in ten seconds" + when);
  }
  CheckServing();
}

void PlacementSimulation::CheckServing()
{
  for (const ModelSpec& model : mBundle.mModels) {
    if (Replicas(model.mName) != 0) {
      mServed.insert(model.mName);
    } else if (mServed.contains(model.mName)) {
      mServed.erase(model.mName);
      mViolations.push_back("not served: " + model.mName.Text() + " at " +
                            std::to_string(mNow.time_since_epoch() / 1ms) +
                            " ms");
    }
  }
}

} // namespace carobtide
