#pragma once

/**
 * @file
 * What a routing daemon believes of targets, from several daemons' words.
 */

#include "carobtide/fleet/messages.hpp"
#include "carobtide/fleet/target_directory.hpp"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace carobtide {

/** A target as the routing side sees it. */
struct RoutedTarget
{
  Heartbeat mLast;
  /** Every daemon that knows it has not heard of it lately. */
  bool mSilent = false;
  /** What it holds: as the leader's orders left it, else as it said itself. */
  std::vector<HeldModel> mModels;
  /** What it is loading; times are of this daemon's clock. */
  std::vector<LoadingModel> mLoading;
  /** As this daemon or another one heard it from the target. */
  RateLimit mLimit;

  bool TakesWork() const { return mLast.mPhase == TargetPhase::Ready; }
};

/**
 * Merges the replies of the daemons that are watched. Newer incarnations and
 * later heartbeats win, whoever told them; that a target drains or is gone is
 * believed from anyone; that it is silent only from all who know it.
 *
 * Answers: one of the daemons is cut off and tells an old state.
 *
 * Thread safety: none; the owner guards it.
 */
class FleetView
{
public:
  FleetView();

  /** Takes a reply of one daemon; the targets that look different now. */
  std::vector<TargetName> OnReply(Instant aNow, const Endpoint& aSource,
                                  const WatchReply& aReply);

  /** What the request to this daemon must carry to be told just the news. */
  void FillRequest(const Endpoint& aSource, WatchRequest& aRequest) const;

  /** The process that answered last at this address; zero if none did. */
  std::uint64_t EpochOf(const Endpoint& aSource) const;

  /** A daemon is no longer watched: its word on silence no longer counts. */
  void DropSource(const Endpoint& aSource);

  /** An adapter is on a target, as the leader just answered. */
  void NoteAdapter(const TargetName& aTarget, const ModelName& aModel,
                   const AdapterName& aAdapter);

  /** A limit that the target stated to this daemon. */
  void NoteLimit(const TargetName& aTarget, Incarnation aIncarnation,
                 const RateLimit& aLimit);

  /** Nothing if unknown. */
  std::optional<RoutedTarget> Find(const TargetName& aTarget) const;

  /** The leader that was named last; empty host if none was. */
  const Endpoint& Leader() const { return mLeader; }

private:
  struct Source
  {
    std::uint64_t mEpoch = 0;
    std::uint64_t mChange = 0;
    std::uint64_t mBlockVersion = 0;
    std::set<TargetName> mKnown;
    std::set<TargetName> mSilent;
  };

  bool IsSilent(const TargetName& aTarget) const;
  void TakeRecord(Instant aNow, const FleetRecord& aRecord);
  void TakeResidency(Instant aNow, const ResidencyMap& aMap,
                     std::set<TargetName>& aChanged);

  TargetDirectory mTargets;
  std::map<Endpoint, Source> mSources;
  std::uint64_t mResidencyTerm = 0;
  std::uint64_t mResidencyVersion = 0;
  std::unordered_map<TargetName, Residency> mResidency;
  Endpoint mLeader;
};

} // namespace carobtide
