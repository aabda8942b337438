/**
 * @file
 * Repairs and spreads the voters of a group.
 */

#include "carobtide/consensus/membership_manager.hpp"

#include <algorithm>
#include <cassert>
#include <set>
#include <tuple>

namespace carobtide {

namespace {

/** The smallest group that survives a failure. */
constexpr std::size_t kSmallestRedundant = 3;

std::size_t LargestOdd(std::size_t aAtMost)
{
  return aAtMost == 0 ? 1 : aAtMost - (aAtMost % 2 == 0 ? 1 : 0);
}

MembershipProposal Propose(MembershipStep aStep, const Member& aMember,
                           Membership aNow)
{
  auto& members = aNow.mMembers;
  std::erase_if(members, [&](const Member& aOther) {
    return aOther.mReplica == aMember.mReplica;
  });
  if (aStep != MembershipStep::Remove) {
    members.push_back(aMember);
    std::ranges::sort(members, {}, &Member::mReplica);
  }
  return MembershipProposal{ aStep, aMember, std::move(aNow) };
}

} // namespace

MembershipView ViewOf(const ReplicatedLog& aLog)
{
  MembershipView view;
  view.mSelf = aLog.Self();
  view.mTerm = aLog.Term();
  view.mLastIndex = aLog.LastIndex();
  view.mMembership = aLog.CurrentMembership();
  for (const Member& member : view.mMembership.mMembers) {
    if (member.mReplica != view.mSelf) {
      view.mStatus[member.mReplica] =
        MemberStatus{ aLog.LastContact(member.mReplica),
                      aLog.MatchIndex(member.mReplica) };
    }
  }
  return view;
}

/** One look at the group. Lives only during Next(). */
class MembershipManager::Evaluation
{
public:
  Evaluation(const MembershipPolicy& aPolicy, Instant aNow,
             const MembershipView& aView,
             const std::vector<ReplicaCandidate>& aCandidates,
             const std::map<ReplicaId, Instant>& aFirstSeen)
    : mPolicy(aPolicy)
    , mNow(aNow)
    , mView(aView)
    , mCandidates(aCandidates)
    , mFirstSeen(aFirstSeen)
  {
    for (const Member& member : aView.mMembership.mMembers) {
      const bool voter = member.mRole == MemberRole::Voter;
      (voter ? mVoters : mLearners).push_back(&member);
    }
    mLiveVoters = static_cast<std::size_t>(std::ranges::count_if(
      mVoters, [&](const Member* aVoter) { return IsAlive(*aVoter); }));
    mWanted = WantedVoters();
  }

  std::optional<MembershipProposal> Choose() const
  {
    for (const auto step :
         { &Evaluation::RemoveDeadLearner, &Evaluation::RemoveDeadVoter,
           &Evaluation::RemoveSurplusVoter, &Evaluation::PromoteLearner,
           &Evaluation::AddLearner }) {
      if (auto proposal = (this->*step)()) {
        return proposal;
      }
    }
    return std::nullopt;
  }

private:
  std::optional<Instant> ContactOf(ReplicaId aReplica) const
  {
    const auto it = mView.mStatus.find(aReplica);
    return it == mView.mStatus.end() ? std::nullopt : it->second.mLastContact;
  }

  bool IsAlive(const Member& aMember) const
  {
    const auto contact = ContactOf(aMember.mReplica);
    return aMember.mReplica == mView.mSelf ||
           (contact && mNow - *contact < mPolicy.mAliveTimeout);
  }

  /** The daemon came back with another disk. */
  bool IsSuperseded(const Member& aMember) const
  {
    return std::ranges::any_of(mCandidates,
                               [&](const ReplicaCandidate& aCandidate) {
                                 return aCandidate.mDaemon == aMember.mDaemon &&
                                        aCandidate.mReplica != aMember.mReplica;
                               });
  }

  bool IsDead(const Member& aMember) const
  {
    if (IsAlive(aMember)) {
      return false;
    }
    const auto contact = ContactOf(aMember.mReplica);
    const auto since = contact ? *contact : mFirstSeen.at(aMember.mReplica);
    return IsSuperseded(aMember) || mNow - since >= mPolicy.mDeadVoterTimeout;
  }

  /** As many as the target and the working disks allow, and odd. */
  std::size_t WantedVoters() const
  {
    std::set<DaemonName> daemons;
    for (const ReplicaCandidate& candidate : mCandidates) {
      daemons.insert(candidate.mDaemon);
    }
    for (const Member& member : mView.mMembership.mMembers) {
      if (IsAlive(member)) {
        daemons.insert(member.mDaemon);
      }
    }
    return LargestOdd(std::min(mPolicy.mTargetVoters, daemons.size()));
  }

  bool HasLiveQuorum(const Membership& aNext) const
  {
    const auto live =
      std::ranges::count_if(aNext.mMembers, [&](const Member& aMember) {
        return aMember.mRole == MemberRole::Voter && IsAlive(aMember);
      });
    return static_cast<std::size_t>(live) >= aNext.QuorumSize();
  }

  std::optional<MembershipProposal> Checked(MembershipProposal aProposal) const
  {
    if (!HasLiveQuorum(aProposal.mNext)) {
      return std::nullopt;
    }
    return aProposal;
  }

  std::optional<MembershipProposal> RemoveDeadLearner() const
  {
    const auto it = std::ranges::find_if(
      mLearners, [&](const Member* aLearner) { return IsDead(*aLearner); });
    if (it == mLearners.end()) {
      return std::nullopt;
    }
    return Checked(Propose(MembershipStep::Remove, **it, mView.mMembership));
  }

  std::optional<MembershipProposal> RemoveDeadVoter() const
  {
    const auto isDead = [&](const Member* aVoter) { return IsDead(*aVoter); };
    const auto dead = std::ranges::count_if(mVoters, isDead);
    const bool replaced =
      mLiveVoters >= mPolicy.mTargetVoters || mVoters.size() % 2 == 0;
    const bool enough = mLiveVoters >= std::max(kSmallestRedundant, mWanted);
    if (dead == 0 || !enough || !(replaced || dead >= 2)) {
      return std::nullopt;
    }
    const auto it = std::ranges::find_if(mVoters, isDead);
    return Checked(Propose(MembershipStep::Remove, **it, mView.mMembership));
  }

  std::size_t VotersIn(const FailureDomain& aDomain) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(mVoters, [&](const Member* aVoter) {
        return aVoter->mFailureDomain == aDomain && !IsDead(*aVoter);
      }));
  }

  /** The voter, not the leader, in the most crowded failure domain. */
  const Member* MostCrowdedVoter() const
  {
    const Member* crowded = nullptr;
    for (const Member* voter : mVoters) {
      const bool more =
        crowded == nullptr ||
        VotersIn(voter->mFailureDomain) > VotersIn(crowded->mFailureDomain);
      if (voter->mReplica != mView.mSelf && more) {
        crowded = voter;
      }
    }
    return crowded;
  }

  std::optional<MembershipProposal> RemoveSurplusVoter() const
  {
    const Member* surplus = MostCrowdedVoter();
    if (surplus == nullptr || mVoters.size() <= mPolicy.mTargetVoters ||
        mLiveVoters <= mPolicy.mTargetVoters) {
      return std::nullopt;
    }
    return Checked(
      Propose(MembershipStep::Remove, *surplus, mView.mMembership));
  }

  bool HasCaughtUp(const Member& aLearner) const
  {
    const auto it = mView.mStatus.find(aLearner.mReplica);
    return IsAlive(aLearner) && it != mView.mStatus.end() &&
           it->second.mMatchIndex > 0 &&
           it->second.mMatchIndex + mPolicy.mPromotionLag >= mView.mLastIndex;
  }

  /** True if a voter in this domain would relieve a crowded one. */
  bool ImprovesSpread(const FailureDomain& aDomain) const
  {
    const Member* crowded = MostCrowdedVoter();
    return crowded != nullptr && mLiveVoters >= mWanted &&
           mVoters.size() == mPolicy.mTargetVoters &&
           VotersIn(crowded->mFailureDomain) >= VotersIn(aDomain) + 2;
  }

  bool IsNeeded(const FailureDomain& aDomain) const
  {
    return mLiveVoters < mWanted || ImprovesSpread(aDomain);
  }

  std::optional<MembershipProposal> PromoteLearner() const
  {
    std::vector<const Member*> ready;
    for (const Member* learner : mLearners) {
      if (HasCaughtUp(*learner) && IsNeeded(learner->mFailureDomain)) {
        ready.push_back(learner);
      }
    }
    // An even group tolerates no more than the odd one below it, so a growing
    // group takes two steps at once.
    const bool grows = mLiveVoters == mVoters.size() && mVoters.size() % 2 == 1;
    const bool alone = grows && mVoters.size() < mWanted && ready.size() < 2;
    if (ready.empty() || alone) {
      return std::nullopt;
    }
    Member chosen =
      **std::ranges::min_element(ready, {}, [&](const Member* aLearner) {
        return VotersIn(aLearner->mFailureDomain);
      });
    chosen.mRole = MemberRole::Voter;
    return Checked(Propose(MembershipStep::Promote, chosen, mView.mMembership));
  }

  bool IsMemberDaemon(const DaemonName& aDaemon) const
  {
    return std::ranges::any_of(
      mView.mMembership.mMembers, [&](const Member& aMember) {
        return aMember.mDaemon == aDaemon && !IsDead(aMember);
      });
  }

  std::size_t LearnersIn(const FailureDomain& aDomain) const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(mLearners, [&](const Member* aLearner) {
        return aLearner->mFailureDomain == aDomain;
      }));
  }

  const ReplicaCandidate* BestSpare() const
  {
    const ReplicaCandidate* best = nullptr;
    const auto rank = [&](const ReplicaCandidate& aCandidate) {
      const auto& domain = aCandidate.mFailureDomain;
      return std::tuple(VotersIn(domain) + LearnersIn(domain),
                        aCandidate.mDaemon);
    };
    for (const ReplicaCandidate& candidate : mCandidates) {
      const bool member = IsMemberDaemon(candidate.mDaemon) ||
                          mView.mMembership.Find(candidate.mReplica) != nullptr;
      if (!member && (best == nullptr || rank(candidate) < rank(*best))) {
        best = &candidate;
      }
    }
    return best;
  }

  std::optional<MembershipProposal> AddLearner() const
  {
    const ReplicaCandidate* spare = BestSpare();
    const bool enough =
      !mPolicy.mEveryoneLearns && mLiveVoters + mLearners.size() >= mWanted;
    if (spare == nullptr ||
        (enough &&
         !(mLearners.empty() && ImprovesSpread(spare->mFailureDomain)))) {
      return std::nullopt;
    }
    const Member learner{ spare->mReplica, spare->mDaemon,
                          spare->mFailureDomain, MemberRole::Learner };
    return Checked(
      Propose(MembershipStep::AddLearner, learner, mView.mMembership));
  }

  const MembershipPolicy& mPolicy;
  Instant mNow;
  const MembershipView& mView;
  const std::vector<ReplicaCandidate>& mCandidates;
  const std::map<ReplicaId, Instant>& mFirstSeen;
  std::vector<const Member*> mVoters;
  std::vector<const Member*> mLearners;
  std::size_t mLiveVoters = 0;
  std::size_t mWanted = 1;
};

MembershipManager::MembershipManager(MembershipPolicy aPolicy)
  : mPolicy(aPolicy)
{
  assert(aPolicy.mTargetVoters % 2 == 1);
}

void MembershipManager::NoteMembers(Instant aNow, const MembershipView& aView)
{
  if (mTerm != aView.mTerm) {
    mTerm = aView.mTerm;
    mFirstSeen.clear();
  }
  for (const Member& member : aView.mMembership.mMembers) {
    mFirstSeen.try_emplace(member.mReplica, aNow);
  }
  std::erase_if(mFirstSeen, [&](const auto& aRow) {
    return aView.mMembership.Find(aRow.first) == nullptr;
  });
}

std::optional<MembershipProposal> MembershipManager::Next(
  Instant aNow, const MembershipView& aView,
  const std::vector<ReplicaCandidate>& aCandidates)
{
  NoteMembers(aNow, aView);
  return Evaluation(mPolicy, aNow, aView, aCandidates, mFirstSeen).Choose();
}

} // namespace carobtide
