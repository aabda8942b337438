#pragma once

/**
 * @file
 * A combined view of all engines: what the record accounts for, what they
 * report, and what this leader has proposed and not yet seen committed.
 */

#include "carobtide/placement/placement.hpp"

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace carobtide {

/** A copy on a target, known from the record, a report or a proposal. */
struct ViewCopy
{
  CopyKey mKey;
  Bytes mMemory = 0;
  CopyState mState = CopyState::Held;
  /** True if the latest announcement lists it. */
  bool mIsReported = false;
  /** A load order may still be in flight and would undo an unload. */
  bool mMayReturn = false;
};

/** A target in the view. */
struct ViewTarget
{
  const TargetRecord* mRecord = nullptr;
  TargetIncarnation mId;
  /** False while the record relies on a later announcement than this one. */
  bool mIsFresh = true;
  std::vector<ViewCopy> mCopies; // ordered by key
  /** Reported residents missing from the account or larger than in it. */
  std::vector<ResidentModel> mUnaccounted;
  /** Memory of all copies that are or may become resident, in bytes. */
  Bytes mReserved = 0;

  Bytes Memory() const { return mRecord->mAnnouncement.mMemory; }
  bool IsLive() const { return mRecord->mState == TargetState::Live; }
  /** Memory available for loads now, in bytes. */
  Bytes Free() const { return Memory() - mReserved; }
  /** Memory that is freed once the open unloads are settled, in bytes. */
  Bytes Unloading() const;

  /** The copy with this key; null if there is none. */
  const ViewCopy* Find(const CopyKey& aKey) const;
  ViewCopy* Find(const CopyKey& aKey);
  /** Inserts a copy in key order; does not change mReserved. */
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

/** Memory that a proposal reserves, in bytes, and when it expires. */
struct PendingState
{
  Bytes mMemory = 0;
  Instant mExpiresAt;
};

using PendingProposals = std::map<PendingProposal, PendingState>;

/**
 * The view of all engines. Valid as long as the registry and the record that it
 * was built from.
 *
 * Thread safety: none; the caller must synchronize access.
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
  /** The index of an engine; nullopt if it is not in the view. */
  std::optional<Index> Find(const TargetName& aName) const;

  /** True if the copy serves requests there and is to stay. */
  bool IsServing(Index aTarget, const ViewCopy& aCopy) const;

  /** Targets that hold a copy of a model or adapter, in any version. */
  std::span<const Index> Holders(const ModelName& aModel,
                                 const AdapterName& aAdapter) const;

  /**
   * Another serving copy of the same model or adapter on a live target, in
   * version `aVersion` if given; nullopt if there is none.
   */
  std::optional<RemainingReplica> FindRemainingReplica(
    Index aTarget, const CopyKey& aKey,
    std::optional<std::uint32_t> aVersion) const;

  /** Adds a load that is being proposed and reserves its memory. */
  void AddLoad(Index aTarget, const CopyKey& aKey, Bytes aMemory);

  /** The planner's input: all targets that are not silent. */
  std::vector<PlannerTarget> ForPlanner() const;

private:
  void AddTarget(const TargetRecord& aRecord, const Placement& aPlacement);
  void AddPending(const PendingProposals& aPending);

  std::vector<ViewTarget> mTargets;
  std::map<std::string_view, Index> mByName;
  std::map<std::pair<ModelName, AdapterName>, std::vector<Index>> mHolders;
};

} // namespace carobtide
