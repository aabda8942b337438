#pragma once

/**
 * @file
 * The allowances of organisations at a control daemon: as leader, and as home
 * of edges.
 */

#include "carobtide/allowance/allowance_buckets.hpp"
#include "carobtide/catalog.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace carobtide {

/** What this daemon is in the control group now. */
struct ControlStanding
{
  std::uint64_t mTerm = 0;
  /** No host if there is none. */
  Endpoint mLeader;
  /** This daemon leads and holds its lease. */
  bool mIsLeading = false;
  /** Members of the control group, each of which may be a home. */
  std::vector<Endpoint> mMembers;
};

/** How messages leave; set once. */
struct CreditSenders
{
  std::function<void(const Endpoint&, const CreditReport&)> mReport;
  std::function<void(const Endpoint&, const CreditReply&)> mReply;
};

/**
 * Grants credit to the edges at home here out of what the leader granted to
 * this daemon, and, as leader, to the homes.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class ControlAllowance
{
public:
  /** aEpoch identifies this process to edges; aSlack as for CapacityOf. */
  ControlAllowance(Instant aNow, Endpoint aSelf, std::uint64_t aEpoch,
                   double aSlack, CreditSenders aSenders);

  void SetCatalog(Instant aNow, std::shared_ptr<const Catalog> aCatalog);

  /**
   * Takes leadership up or gives it up. Call before the methods below, and in
   * each round: without a recent call the leader grants nothing, since another
   * one may have been elected while the process was paused.
   */
  void SetStanding(Instant aNow, const ControlStanding& aStanding);

  void OnReport(Instant aNow, const CreditReport& aReport);
  void OnReply(Instant aNow, const CreditReply& aReply);

  /** Grants what has become available, and reports to the leader. */
  void Step(Instant aNow);

  /** Edges that hold credit from here, for metrics. */
  std::size_t Edges() const { return mBank.Holders(); }

private:
  /** What the leader keeps. */
  struct Leadership
  {
    Leadership(Instant aNow, const Endpoint& aSelf, std::uint64_t aTerm,
               double aSlack);

    std::uint64_t mTerm;
    AllowanceBuckets mBuckets;
    CreditBank mBank;
  };

  /**
   * Takes up this home's share of the allowances, or gives it up: only members
   * that have been in touch with a leader lately hold one, so that the shares
   * of a member that was replaced and of its successor do not add up.
   */
  void UpdateShares(Instant aNow);
  /** A member as this daemon knows the group. */
  bool IsMember(const Endpoint& aDaemon) const;
  /** Homes by which allowances are divided: never fewer than there may be. */
  std::size_t Homes() const;
  bool MayLead(Instant aNow) const;
  AllowanceBuckets::Share HomeShare() const;
  AllowanceBuckets::Share LeaderShare() const;
  void GrantToHomes(Instant aNow);
  void GrantToEdges(Instant aNow);
  /**
   * Reports to the leader what this home has used and wants; brings what it
   * wants of the organisations given up to date.
   */
  void Report(Instant aNow, const std::set<OrganisationName>& aOrganisations);
  void ReportAll(Instant aNow);
  /** Reports if requests wait here, or elsewhere for what this home has. */
  void ReportIfNeeded(Instant aNow);
  /** Sets what this home wants and gives of one organisation. */
  void UpdateWants(Instant aNow, const OrganisationName& aOrganisation,
                   const Allowance& aAllowance);
  CreditReply ReplyToHome(Instant aNow, const CreditReport& aReport);
  void TakeReply(Instant aNow, const CreditReply& aReply);

  Endpoint mSelf;
  double mSlack;
  CreditSenders mSenders;
  ControlStanding mStanding;
  Instant mStandingAt;
  /**
   * Homes give nothing to a new leader before it has taken over: it counts its
   * whole capacity as outstanding until then, so that the credit would be lost.
   */
  Instant mDonatesFrom;
  std::shared_ptr<const Catalog> mCatalog;
  std::map<OrganisationName, Allowance> mAllowances;
  std::unique_ptr<Leadership> mLeadership;
  CreditAccount mAccount;
  /** This home's own share of the allowances. */
  AllowanceBuckets mOwn;
  bool mHasShare = false;
  CreditPool mPool;
  CreditBank mBank;
  Instant mReportedAt;
  Instant mReportedAllAt;
  /** Organisations of which requests waited at the last report. */
  std::set<OrganisationName> mReportedNeedy;
  /** Organisations of which the leader is short and no request waits here. */
  std::set<OrganisationName> mRecalled;
  /** Since when this daemon is a member, as far as it knows. */
  std::optional<Instant> mMemberSince;
  /** It was a member when this process started; empty until that is known. */
  std::optional<bool> mWasMember;
};

} // namespace carobtide
