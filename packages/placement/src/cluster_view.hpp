#pragma once

/**
 * @file
 * One picture of all engines: what the record accounts for, what they report,
 * and what this leader has proposed and not yet seen committed.
 */

#include "carobtide/placement/placement.hpp"

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace carobtide {

/** A copy on a target, by whatever source it is known. */
struct ViewCopy
{
  CopyKey mKey;
  Bytes mMemory = 0;
  CopyState mState = CopyState::Held;
  /** True if the latest announcement lists it. */
  bool mIsReported = false;
  /** An order to load it may be on its way still: unloaded, it would return. */
  bool mMayReturn = false;
};

/** A target in the picture. */
struct ViewTarget
{
  const TargetRecord* mRecord = nullptr;
  TargetIncarnation mId;
  /** False while the announcement is older than one the record relies on. */
  bool mIsFresh = true;
  std::vector<ViewCopy> mCopies; // ordered by key
  /** Reported residents without an account, or larger than accounted. */
  std::vector<ResidentModel> mUnaccounted;
  /** Everything that is or may come to be in its memory. */
  Bytes mReserved = 0;

  Bytes Memory() const { return mRecord->mAnnouncement.mMemory; }
  bool IsLive() const { return mRecord->mState == TargetState::Live; }
  /** Bytes that a load may take now. */
  Bytes Free() const { return Memory() - mReserved; }
  /** Bytes that come free once the unloads under way are settled. */
  Bytes Unloading() const;

  const ViewCopy* Find(const CopyKey& aKey) const;
  ViewCopy* Find(const CopyKey& aKey);
  void Insert(ViewCopy aCopy);
};

/** An order proposed and not yet seen committed. */
struct PendingProposal
{
  TargetIncarnation mTarget;
  CopyKey mKey;
  OrderAction mAction = OrderAction::Load;

  auto operator<=>(const PendingProposal&) const = default;
};

/** Proposals with the memory that they would take and the time they expire. */
struct PendingState
{
  Bytes mMemory = 0;
  Instant mExpiresAt;
};

using PendingProposals = std::map<PendingProposal, PendingState>;

/**
 * The picture. Valid as long as the registry and the record it was made from.
 *
 * Thread safety: none.
 */
class ClusterView
{
public:
  using Index = std::size_t;

  ClusterView(const TargetRegistry& aRegistry, const Placement& aPlacement,
              const PendingProposals& aPending);

  std::span<const ViewTarget> Targets() const { return mTargets; }
  ViewTarget& Target(Index aIndex) { return mTargets[aIndex]; }
  const ViewTarget& Target(Index aIndex) const { return mTargets[aIndex]; }
  std::optional<Index> Find(const TargetName& aName) const;

  /** True if requests for the copy are served there and will go on to be. */
  bool IsServing(Index aTarget, const ViewCopy& aCopy) const;

  /** Targets that hold a copy of a model or adapter, in any version. */
  std::span<const Index> Holders(const ModelName& aModel,
                                 const AdapterName& aAdapter) const;

  /**
   * Another serving copy of the same model or adapter on a live target;
   * of the given version if one is given.
   */
  std::optional<RemainingReplica> FindRemainingReplica(
    Index aTarget, const CopyKey& aKey,
    std::optional<std::uint32_t> aVersion) const;

  /** Adds a load that is proposed now. */
  void AddLoad(Index aTarget, const CopyKey& aKey, Bytes aMemory);

  /** The targets as a planner sees them. */
  std::vector<PlannerTarget> ForPlanner() const;

private:
  void AddTarget(const TargetRecord& aRecord, const Placement& aPlacement);
  void AddPending(const PendingProposals& aPending);

  std::vector<ViewTarget> mTargets;
  std::map<std::string_view, Index> mByName;
  std::map<std::pair<ModelName, AdapterName>, std::vector<Index>> mHolders;
};

} // namespace carobtide
