#include "carobtide/cli/engine_core.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace carobtide {

EngineCore::EngineCore(EngineCoreOptions aOptions, Incarnation aIncarnation,
                       Instant aNow)
  : mOptions(std::move(aOptions))
  , mIncarnation(aIncarnation)
  , mModel(mOptions.mEngine)
  , mOrders(mOptions.mName, aIncarnation, mOptions.mMemory,
            mOptions.mChecksFencing)
  , mCache(mOptions.mCacheBlocks)
  , mSlowDowns(mOptions.mSlowDowns, mOptions.mSeed, aNow)
  , mLag(mOptions.mReportLag)
{
  for (const ResidentModel& resident : mOptions.mPreloaded) {
    mOrders.Preload(resident);
  }
}

bool EngineCore::CanServe(const Completion& aCompletion) const
{
  return mOrders.IsServable(aCompletion.mModel, aCompletion.mAdapter);
}

SequenceId EngineCore::Begin(Instant aNow, const Completion& aCompletion,
                             std::uint32_t aAnswerTokens)
{
  assert(CanServe(aCompletion));
  ApplySlowness(aNow);
  const SequenceId id(++mNextSequence);
  mUses.emplace(id, mOrders.BeginUse(aCompletion.mModel, aCompletion.mAdapter));
  const auto hashes = ComputePrefixHashes(aCompletion.mPrompt);
  const std::size_t hits = mCache.Touch(hashes, mCacheEvents);
  const std::string_view prompt = aCompletion.mPrompt;
  SequenceSpec spec;
  spec.mId = id;
  spec.mPromptTokens = CountTokens(prompt.substr(hits * kPrefixBlockBytes)) +
                       aCompletion.mResumeOffset;
  spec.mAnswerTokens = std::max<std::uint32_t>(aAnswerTokens, 1);
  spec.mPriority = aCompletion.mPriority;
  spec.mStreaming = aCompletion.mStreaming;
  mModel.Submit(aNow, spec);
  return id;
}

void EngineCore::End(Instant aNow, SequenceId aId)
{
  const auto it = mUses.find(aId);
  if (it == mUses.end()) {
    return;
  }
  mModel.Cancel(aNow, aId);
  mOrders.EndUse(it->second);
  mUses.erase(it);
}

OrderReply EngineCore::AcceptOrder(Instant aNow, const Order& aOrder,
                                   WeightStore& aStore)
{
  return mOrders.Accept(aNow, aOrder, aStore);
}

EngineCore::Changes EngineCore::Advance(Instant aNow)
{
  ApplySlowness(aNow);
  Changes changes;
  changes.mProgress = mModel.Advance(aNow);
  changes.mResidentsChanged = mOrders.Advance(aNow);
  return changes;
}

std::optional<Instant> EngineCore::NextDue() const
{
  auto due = mModel.NextDue();
  const auto order = mOrders.NextDue();
  if (order && (!due || *order < *due)) {
    due = order;
  }
  if (due) {
    due = std::min(*due, mSlowDowns.NextChange());
  }
  return due;
}

Announcement EngineCore::MakeAnnouncement(Instant aNow,
                                          const Endpoint& aAddress,
                                          bool aLeaving)
{
  mLag.Record(aNow, CurrentLoad());
  Announcement announcement;
  announcement.mTarget = mOptions.mName;
  announcement.mIncarnation = mIncarnation;
  announcement.mSequence = ++mAnnouncements;
  announcement.mFailureDomain = mOptions.mFailureDomain;
  announcement.mAddress = aAddress;
  announcement.mKind = TargetKind::Engine;
  announcement.mRole = mOrders.Role();
  announcement.mPool = mOptions.mPool;
  announcement.mMemory = mOptions.mMemory;
  announcement.mAccelerators = mOptions.mAccelerators;
  announcement.mResident = mOrders.Residents();
  announcement.mRefusedOrders = mOrders.RefusedOrders();
  announcement.mChecksFencing = mOptions.mChecksFencing;
  announcement.mLeaving = aLeaving;
  announcement.mLoad = mLag.Report(aNow);
  announcement.mLoad.mSlots = mOptions.mEngine.mSlots;
  return announcement;
}

std::vector<PrefixEvent> EngineCore::TakeCacheEvents()
{
  return std::exchange(mCacheEvents, {});
}

void EngineCore::ApplySlowness(Instant aNow)
{
  const double slowness = mSlowDowns.FactorAt(aNow);
  if (slowness != mSlowness) {
    mSlowness = slowness;
    mModel.SetSlowness(aNow, slowness);
  }
}

LoadReport EngineCore::CurrentLoad() const
{
  const EngineLoad load = mModel.Load();
  LoadReport report;
  report.mRunning = load.mRunning;
  report.mWaiting = load.mWaiting;
  report.mKvUsed = load.mKvUsed;
  report.mSlots = mOptions.mEngine.mSlots;
  return report;
}

} // namespace carobtide
