#include "carobtide/placement/residency_planner.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <numeric>
#include <utility>

namespace carobtide {

namespace {

/** Between two looks at the models; adapters are looked at with every call. */
constexpr Duration kStepInterval = std::chrono::milliseconds(100);
/** A model is not moved off an engine sooner than this after it came. */
constexpr Duration kShortestStay = std::chrono::seconds(4);
/** Load over the mean from which on a further copy is due. */
constexpr double kImbalance = 1.2;
/** Slots below which a difference is no reason for a further copy. */
constexpr double kLeastNeed = 2.0;
/** Rounds after which the shares of models on engines hardly change. */
constexpr int kShareRounds = 4;
/** Slots needed from which on a model without any copy displaces another. */
constexpr double kAskedFor = 0.2;
/** Engines of a service that change models at the same time, as a share. */
constexpr double kMovingShare = 0.5;
/** Costs in slots: of a load by where it comes from, and of a lost last copy.
 */
constexpr double kStoreCost = 2.0;
constexpr double kDiskCost = 0.5;
constexpr double kLastCopyCost = 4.0;
/**
 * Cost of a request that must end before there is room: streams last seconds,
 * longer than most loads.
 */
constexpr double kDisplacedCost = 1.5;
/**
 * Part of the store's rate that is used: the bucket gives out up to a second's
 * worth at once on top of it.
 */
constexpr double kStoreShare = 0.9;

} // namespace

ResidencyPlanner::ResidencyPlanner(Instant aActiveAt)
  : mActiveAt(aActiveAt)
  , mNextStep(aActiveAt)
{
}

void ResidencyPlanner::SetCatalog(std::shared_ptr<const Catalog> aCatalog)
{
  mCatalog = std::move(aCatalog);
}

void ResidencyPlanner::OnTarget(Instant aNow, const FleetRecord& aRecord)
{
  const Heartbeat& last = aRecord.mLast;
  const auto it = mEngines.find(last.mTarget);
  const bool isSame =
    it != mEngines.end() && it->second.Last().mIncarnation == last.mIncarnation;
  if (last.mPhase == TargetPhase::Gone || !last.mEngine) {
    if (it != mEngines.end()) {
      mEngines.erase(it);
      mNext.erase(last.mTarget);
    }
    return;
  }
  if (isSame) {
    it->second.OnHeartbeat(aNow, last, aRecord.mSilent);
    return;
  }
  mNext.erase(last.mTarget);
  mEngines.insert_or_assign(last.mTarget, EngineTracker(last, aRecord.mSilent));
}

void ResidencyPlanner::OnDemand(Instant aNow, const DemandReport& aReport)
{
  double slots = 0;
  for (const auto& [name, engine] : mEngines) {
    slots = std::max(slots, static_cast<double>(engine.Last().mSlots));
  }
  mDemand.OnReport(aNow, aReport, slots);
}

void ResidencyPlanner::OnReport(Instant aNow, const TargetName& aTarget,
                                Incarnation aIncarnation, Instant aAskedAt,
                                const std::optional<EngineReport>& aReport)
{
  const auto it = mEngines.find(aTarget);
  if (it != mEngines.end() && it->second.Last().mIncarnation == aIncarnation) {
    it->second.OnReport(aNow, aAskedAt, aReport);
  }
}

void ResidencyPlanner::OnAnswer(Instant aNow, const TargetName& aTarget,
                                OrderId aOrder, ResidencyAnswer aAnswer)
{
  const auto it = mEngines.find(aTarget);
  if (it != mEngines.end()) {
    it->second.OnAnswer(aNow, aOrder, aAnswer);
  }
}

std::vector<Residency> ResidencyPlanner::Map() const
{
  std::vector<Residency> map;
  for (const auto& [name, engine] : mEngines) {
    map.push_back({ name, engine.Last().mIncarnation, engine.Serving() });
  }
  return map;
}

std::size_t ResidencyPlanner::OrdersUnderWay() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mEngines, [](const auto& aEngine) { return aEngine.second.IsBusy(); }));
}

std::size_t ResidencyPlanner::Board::CopiesOf(const ModelName& aModel) const
{
  const auto it = mHolders.find(aModel);
  return it == mHolders.end() ? 0 : it->second.size();
}

double ResidencyPlanner::Board::PartOf(const ModelName& aModel,
                                       const EngineTracker* aEngine) const
{
  const auto it = mParts.find({ aModel, aEngine });
  return it == mParts.end() ? 0 : it->second;
}

ResidencyPlanner::Board ResidencyPlanner::MakeBoard(const Service& aService)
{
  Board board;
  board.mService = &aService;
  for (auto& [name, engine] : mEngines) {
    if (engine.IsUsable() && engine.Last().mService == aService.mName) {
      board.mEngines.push_back(&engine);
      board.mLoad[&engine] = 0;
    }
  }
  for (const EngineTracker* engine : board.mEngines) {
    for (const HeldModel& model : engine->Serving()) {
      board.mHolders[model.mName].push_back(engine);
    }
    if (const auto loading = engine->Loading()) {
      board.mHolders[*loading].push_back(engine);
    }
    const auto next = mNext.find(engine->Last().mTarget);
    if (next != mNext.end() && !engine->IsLoading(next->second)) {
      board.mHolders[next->second].push_back(engine);
    }
  }
  ShareOut(board);
  return board;
}

void ResidencyPlanner::ShareOut(Board& aBoard) const
{
  for (int round = 0; round < kShareRounds; ++round) {
    for (const auto& [model, holders] : aBoard.mHolders) {
      for (const EngineTracker* engine : holders) {
        double& part = aBoard.mParts[{ model, engine }];
        aBoard.mLoad[engine] -= part;
        part = 0;
      }
      // Fill the holders up to one level, the least loaded first.
      std::vector<const EngineTracker*> order = holders;
      std::ranges::sort(order, {}, [&](const EngineTracker* aEngine) {
        return aBoard.mLoad[aEngine];
      });
      const double need = mDemand.NeedOf(aBoard.mService->mName, model);
      double level = 0;
      double below = 0;
      for (std::size_t n = 1; n <= order.size(); ++n) {
        below += aBoard.mLoad[order[n - 1]];
        level = (need + below) / static_cast<double>(n);
        if (n == order.size() || level <= aBoard.mLoad[order[n]]) {
          break;
        }
      }
      for (const EngineTracker* engine : order) {
        const double part = std::max(0.0, level - aBoard.mLoad[engine]);
        aBoard.mParts[{ model, engine }] = part;
        aBoard.mLoad[engine] += part;
      }
    }
  }
  const double total = std::accumulate(
    aBoard.mLoad.begin(), aBoard.mLoad.end(), 0.0,
    [](double aSum, const auto& aItem) { return aSum + aItem.second; });
  aBoard.mMeanLoad = aBoard.mEngines.empty()
                       ? 0
                       : total / static_cast<double>(aBoard.mEngines.size());
}

void ResidencyPlanner::PlanReports(Instant aNow,
                                   std::vector<ResidencyEffect>& aEffects)
{
  for (auto& [name, engine] : mEngines) {
    if (engine.WantsReport(aNow)) {
      aEffects.emplace_back(RequestEngineReport{
        name, engine.Last().mIncarnation, engine.Last().mAddress });
    }
  }
}

void ResidencyPlanner::PlanResends(Instant aNow,
                                   std::vector<ResidencyEffect>& aEffects)
{
  for (auto& [name, engine] : mEngines) {
    if (auto order = engine.TakeResend(aNow)) {
      aEffects.emplace_back(IssueOrder{ std::move(*order), "no answer" });
    }
  }
}

void ResidencyPlanner::Issue(Instant aNow, EngineTracker& aEngine,
                             ResidencyAction aAction, const ModelName& aModel,
                             const AdapterName& aAdapter,
                             Duration aExpectedTime, const char* aReason,
                             std::vector<ResidencyEffect>& aEffects)
{
  ResidencyOrder order;
  order.mId = OrderId(mNextOrder++);
  order.mTarget = aEngine.Last().mTarget;
  order.mAddress = aEngine.Last().mAddress;
  order.mAction = aAction;
  order.mModel = aModel;
  order.mAdapter = aAdapter;
  order.mAccepted = aEngine.Accepted();
  aEngine.OnSent(aNow, order, aExpectedTime);
  aEffects.emplace_back(IssueOrder{ std::move(order), aReason });
}

double ResidencyPlanner::FreeMegabytes(const Service& aService,
                                       const EngineTracker& aEngine) const
{
  double used = 0;
  for (const ModelName& name : aEngine.Occupying()) {
    const CatalogModel* spec = aService.mEngine->FindModel(name);
    // A model that the catalog no longer names is taken for the largest.
    used += spec == nullptr ? aService.mEngine->mMegabytes : spec->mMegabytes;
    const HeldModel* held = aEngine.Find(name);
    if (spec != nullptr && held != nullptr) {
      used +=
        spec->mAdapterMegabytes * static_cast<double>(held->mAdapters.size());
    }
  }
  // Room for all adapters that may come is kept free.
  double largest = 0;
  for (const CatalogModel& model : aService.mEngine->mModels) {
    largest = std::max(largest, model.mAdapterMegabytes);
  }
  used += largest * aService.mEngine->mAdapterSlots;
  return aService.mEngine->mMegabytes - used;
}

bool ResidencyPlanner::IsStoreLoad(const EngineTracker& aEngine,
                                   const CatalogModel& aModel) const
{
  return !aEngine.HasCopyInMemory(aModel.mName) &&
         !aEngine.HasCopyOnDisk(aModel.mName);
}

Duration ResidencyPlanner::LoadTime(const EngineTracker& aEngine,
                                    const CatalogModel& aModel) const
{
  if (aEngine.HasCopyInMemory(aModel.mName)) {
    return aModel.mMemoryLoad;
  }
  return aEngine.HasCopyOnDisk(aModel.mName) ? aModel.mDiskLoad
                                             : aModel.mStoreLoad;
}

double ResidencyPlanner::PressureOf(const Board& aBoard,
                                    const ModelName& aModel) const
{
  double least = std::numeric_limits<double>::max();
  if (const auto it = aBoard.mHolders.find(aModel);
      it != aBoard.mHolders.end()) {
    for (const EngineTracker* engine : it->second) {
      least = std::min(least, aBoard.mLoad.at(engine));
    }
  }
  return least;
}

std::optional<ResidencyPlanner::Seat> ResidencyPlanner::SeatOn(
  Instant aNow, const Board& aBoard, EngineTracker& aEngine,
  const CatalogModel& aModel, bool aUrgent) const
{
  const Service& service = *aBoard.mService;
  Seat seat;
  seat.mEngine = &aEngine;
  seat.mCost = aBoard.mLoad.at(&aEngine);
  if (IsStoreLoad(aEngine, aModel)) {
    seat.mCost += kStoreCost;
  } else if (!aEngine.HasCopyInMemory(aModel.mName)) {
    seat.mCost += kDiskCost;
  }
  const double lacking = aModel.mMegabytes - FreeMegabytes(service, aEngine);
  if (lacking <= 0) {
    return seat;
  }
  double leastLoss = std::numeric_limits<double>::max();
  for (const HeldModel& held : aEngine.Serving()) {
    const CatalogModel* spec = service.mEngine->FindModel(held.mName);
    const bool isSettled = aNow - aEngine.HeldSince(held.mName) > kShortestStay;
    if (spec == nullptr || spec->mMegabytes < lacking || !isSettled) {
      continue;
    }
    const std::size_t copies = aBoard.CopiesOf(held.mName);
    const double need = mDemand.NeedOf(service.mName, held.mName);
    if (copies <= 1 && (!aUrgent || need >= kAskedFor)) {
      continue;
    }
    // What runs there must end before the room is free.
    const double loss =
      copies <= 1 ? kLastCopyCost
                  : kDisplacedCost * aBoard.PartOf(held.mName, &aEngine);
    if (loss < leastLoss) {
      leastLoss = loss;
      seat.mVictim = held.mName;
    }
  }
  if (seat.mVictim.IsEmpty()) {
    return std::nullopt;
  }
  seat.mCost += leastLoss;
  return seat;
}

std::optional<ResidencyPlanner::Seat> ResidencyPlanner::FindSeat(
  Instant aNow, const Board& aBoard, const CatalogModel& aModel, bool aUrgent)
{
  const bool mayUseStore = mStores[aBoard.mService->mName].HasToken();
  std::optional<Seat> best;
  for (EngineTracker* engine : aBoard.mEngines) {
    const bool isFit = engine->IsFree(aNow) && !engine->Holds(aModel.mName) &&
                       !mNext.contains(engine->Last().mTarget) &&
                       (mayUseStore || !IsStoreLoad(*engine, aModel));
    if (!isFit) {
      continue;
    }
    auto seat = SeatOn(aNow, aBoard, *engine, aModel, aUrgent);
    if (seat && (!best || seat->mCost < best->mCost)) {
      best = seat;
    }
  }
  return best;
}

bool ResidencyPlanner::PlanCopy(Instant aNow, Board& aBoard,
                                const CatalogModel& aModel, bool aUrgent,
                                const char* aReason,
                                std::vector<ResidencyEffect>& aEffects)
{
  const auto seat = FindSeat(aNow, aBoard, aModel, aUrgent);
  if (!seat) {
    return false;
  }
  EngineTracker& engine = *seat->mEngine;
  aBoard.mHolders[aModel.mName].push_back(&engine);
  if (!seat->mVictim.IsEmpty()) {
    mNext[engine.Last().mTarget] = aModel.mName;
    std::erase(aBoard.mHolders[seat->mVictim], &engine);
    Issue(aNow, engine, ResidencyAction::Unload, seat->mVictim, {}, kUnloadTime,
          aReason, aEffects);
    return true;
  }
  if (IsStoreLoad(engine, aModel)) {
    mStores[aBoard.mService->mName].Take();
  }
  Issue(aNow, engine, ResidencyAction::Load, aModel.mName, {},
        LoadTime(engine, aModel), aReason, aEffects);
  return true;
}

std::size_t ResidencyPlanner::BusyModels(const Board& aBoard) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aBoard.mEngines, [&](const EngineTracker* aEngine) {
      return mNext.contains(aEngine->Last().mTarget) ||
             aEngine->Occupying().size() > aEngine->Serving().size();
    }));
}

void ResidencyPlanner::PlanModels(Instant aNow, Board& aBoard,
                                  std::vector<ResidencyEffect>& aEffects)
{
  const Service& service = *aBoard.mService;
  const EngineSpec& engines = *service.mEngine;
  // Seats whose victim has gone.
  for (EngineTracker* engine : aBoard.mEngines) {
    const auto next = mNext.find(engine->Last().mTarget);
    if (next == mNext.end() || !engine->IsFree(aNow)) {
      continue;
    }
    const CatalogModel* model = engines.FindModel(next->second);
    const bool hasRoom = model != nullptr && !engine->Holds(model->mName) &&
                         model->mMegabytes <= FreeMegabytes(service, *engine);
    TokenBucket& store = mStores[service.mName];
    const bool isStoreLoad = hasRoom && IsStoreLoad(*engine, *model);
    if (isStoreLoad && !store.HasToken()) {
      continue;
    }
    if (hasRoom) {
      if (isStoreLoad) {
        store.Take();
      }
      Issue(aNow, *engine, ResidencyAction::Load, model->mName, {},
            LoadTime(*engine, *model), "seat is free", aEffects);
    }
    mNext.erase(next);
  }
  const auto mostBusy = std::max<std::size_t>(
    2, static_cast<std::size_t>(kMovingShare *
                                static_cast<double>(aBoard.mEngines.size())));
  std::vector<const CatalogModel*> models;
  std::ranges::transform(engines.mModels, std::back_inserter(models),
                         [](const CatalogModel& aModel) { return &aModel; });
  std::ranges::sort(models, std::ranges::greater{},
                    [&](const CatalogModel* aModel) {
                      return mDemand.NeedOf(service.mName, aModel->mName);
                    });
  for (const CatalogModel* model : models) {
    if (BusyModels(aBoard) >= mostBusy) {
      return;
    }
    const double need = mDemand.NeedOf(service.mName, model->mName);
    if (aBoard.CopiesOf(model->mName) == 0) {
      PlanCopy(aNow, aBoard, *model, need >= kAskedFor,
               need >= kAskedFor ? "asked for, held nowhere" : "held nowhere",
               aEffects);
      continue;
    }
    const double pressure = PressureOf(aBoard, model->mName);
    if (need < kLeastNeed ||
        pressure < kImbalance * aBoard.mMeanLoad + kLeastNeed) {
      continue;
    }
    const auto seat = FindSeat(aNow, aBoard, *model, false);
    if (seat && seat->mCost < pressure - kLeastNeed) {
      PlanCopy(aNow, aBoard, *model, false, "its engines are crowded",
               aEffects);
      ShareOut(aBoard);
    }
  }
}

std::vector<ResidencyEffect> ResidencyPlanner::Step(Instant aNow)
{
  std::vector<ResidencyEffect> effects;
  if (!mCatalog || aNow < mActiveAt) {
    return effects;
  }
  const bool isDue = aNow >= mNextStep;
  if (isDue) {
    mNextStep = aNow + kStepInterval;
    mDemand.Step(aNow);
    PlanReports(aNow, effects);
    PlanResends(aNow, effects);
  }
  for (const Service& service : mCatalog->mServices) {
    if (!service.mEngine) {
      continue;
    }
    mStores[service.mName].Refill(aNow, kStoreShare *
                                          service.mEngine->mLoadsPerSecond);
    Board board = MakeBoard(service);
    PlanAdapters(aNow, board, effects);
    if (isDue) {
      PlanModels(aNow, board, effects);
    }
  }
  return effects;
}

} // namespace carobtide
