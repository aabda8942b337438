/**
 * @file
 * Membership changes, one member at a time.
 */

#include "carobtide/base/codec.hpp"
#include "effects.hpp"
#include "replica.hpp"

#include <algorithm>
#include <set>

namespace carobtide {

namespace {

bool HasDuplicates(const Membership& aMembership)
{
  std::set<ReplicaId> seen;
  return std::ranges::any_of(aMembership.mMembers, [&](const Member& aMember) {
    return aMember.mReplica == ReplicaId{} ||
           !seen.insert(aMember.mReplica).second;
  });
}

/** True if at most one member differs in presence or role. */
bool IsSingleStep(const Membership& aNow, const Membership& aNext)
{
  std::set<ReplicaId> different;
  const auto note = [&](const Membership& aOne, const Membership& aOther) {
    for (const Member& member : aOne.mMembers) {
      const Member* other = aOther.Find(member.mReplica);
      if (other == nullptr || *other != member) {
        different.insert(member.mReplica);
      }
    }
  };
  note(aNow, aNext);
  note(aNext, aNow);
  return different.size() <= 1;
}

} // namespace

void ReplicatedLog::Impl::TrackMembers()
{
  const Membership& membership = mHistory.Current();
  for (const Member& member : membership.mMembers) {
    if (member.mReplica != mSelf) {
      mProgress.try_emplace(member.mReplica, mLog.LastIndex() + 1);
    }
  }
  std::erase_if(mProgress, [&](const auto& aRow) {
    return membership.Find(aRow.first) == nullptr;
  });
}

bool ReplicatedLog::Impl::HasLiveQuorum(const Membership& aMembership) const
{
  const auto live =
    std::ranges::count_if(aMembership.mMembers, [&](const Member& aMember) {
      if (aMember.mRole != MemberRole::Voter) {
        return false;
      }
      const auto contact = LastContact(aMember.mReplica);
      return aMember.mReplica == mSelf ||
             (contact && mNow - *contact < mOptions.mElectionTimeout);
    });
  return static_cast<std::size_t>(live) >= aMembership.QuorumSize();
}

const char* ReplicatedLog::Impl::WhyNotPromoted(ReplicaId aReplica) const
{
  if (mHistory.Current().Find(aReplica) == nullptr) {
    return "a new member starts as a learner";
  }
  if (MatchIndex(aReplica) + mOptions.mPromotionLag < mLog.LastIndex()) {
    return "the learner has not caught up";
  }
  return MatchIndex(aReplica) == 0 ? "the learner has never answered" : nullptr;
}

const char* ReplicatedLog::Impl::WhyNotAllowed(const Membership& aNext) const
{
  const Membership& now = mHistory.Current();
  if (mHistory.CurrentIndex() > mCommitIndex) {
    return "another change is under way";
  }
  if (HasDuplicates(aNext) || !IsSingleStep(now, aNext)) {
    return "more than one member differs";
  }
  for (const Member& member : aNext.mMembers) {
    const bool promoted =
      member.mRole == MemberRole::Voter && !now.IsVoter(member.mReplica);
    const char* why = promoted ? WhyNotPromoted(member.mReplica) : nullptr;
    if (why != nullptr) {
      return why;
    }
  }
  return HasLiveQuorum(aNext) ? nullptr
                              : "no quorum of the new voters is alive";
}

Result<std::uint64_t> ReplicatedLog::Impl::ProposeMembership(
  Instant aNow, const Membership& aMembership, LogEffects& aEffects)
{
  Advance(aNow);
  // The lease includes a committed entry of this term, which a change needs.
  if (!HasLease(mNow) || mTransfer) {
    return MakeError(ErrorCode::NotLeader, "log.propose-membership",
                     "this replica is not a leader with a lease");
  }
  if (const char* why = WhyNotAllowed(aMembership)) {
    return MakeError(ErrorCode::InvalidState, "log.propose-membership", why);
  }
  const auto index = mLog.LastIndex() + 1;
  AppendEntry(
    LogEntry{ index, Term(), EntryKind::Membership, Encode(aMembership) });
  TrackMembers();
  UpdateQuorumContact();
  SendEntriesToAll();
  AdvanceCommit();
  MergeEffects(aEffects, TakeEffects());
  return index;
}

void ReplicatedLog::Impl::OnMembershipCommitted()
{
  const bool committed = mHistory.CurrentIndex() <= mCommitIndex;
  if (!committed || IsVoter()) {
    return;
  }
  if (const auto successor = ChooseSuccessor()) {
    Send(*successor, TimeoutNow{ Term() });
  }
  BecomeFollower(Term(), {});
}

} // namespace carobtide
