#pragma once

/**
 * @file
 * The allowances of all organisations at the daemon that leads.
 */

#include "carobtide/allowance/credit_account.hpp"
#include "carobtide/allowance/credit_bank.hpp"
#include "carobtide/catalog.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace carobtide {

/**
 * Largest credit of an organisation that may be unspent at any time, in the
 * unit of the allowance: what it may use at once. Not less than half a second's
 * use, and not less than aSlack: a smaller capacity could not cover what is on
 * its way, or one request.
 */
Credit CapacityOf(const Allowance& aAllowance, double aSlack);

/**
 * A home keeps its share for so long without a leader's reply. Nobody's share
 * rises sooner, since a home that is cut off may still hold the former one.
 */
inline constexpr Duration kShareLease = std::chrono::seconds(10);

/**
 * Shares of an organisation's allowance: one for each home, which it grants
 * without asking, and the rest for the leader. Together they are not more than
 * the allowance.
 */
struct AllowanceShares
{
  double mHome = 0;
  double mLeader = 1;
};

/**
 * Divides an allowance among homes and leader. Organisations whose part at a
 * home could not cover a few requests are left to the leader whole.
 */
AllowanceShares ShareOf(const Allowance& aAllowance, double aSlack,
                        std::size_t aHomes);

/**
 * A token bucket for each organisation.
 *
 * Level and outstanding credit together never exceed the bucket's capacity.
 * Therefore no more than capacity + rate x window is spent in any window,
 * whichever messages are lost and whichever daemons stop.
 *
 * A leader that takes over does not know what homes hold that it has not heard
 * of: until aTakeOverUntil it counts what is missing to the capacity as
 * outstanding there.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class AllowanceBuckets final : public CreditSource
{
public:
  AllowanceBuckets(Instant aNow, Instant aTakeOverUntil, double aSlack);

  /** The share of each allowance that a bucket holds. */
  using Share = std::function<double(const Allowance&)>;

  /**
   * Takes a share of the limits of a catalog; a lower limit or share binds at
   * once, a higher share of the same organisation after kShareLease: call again
   * from time to time. Organisations of which the share is 0 have no bucket.
   */
  void SetCatalog(Instant aNow, const Catalog& aCatalog, const Share& aShare);

  /** Takes credit out beyond a share of the capacity; what was taken. */
  Credit TakeSurplus(const OrganisationName& aOrganisation, double aKeptShare);

  bool Has(const OrganisationName& aOrganisation) const;
  /** How far a level is below a share of the capacity; 0 if it is not. */
  Credit Missing(const OrganisationName& aOrganisation, double aShare) const;

  void Advance(Instant aNow, const OrganisationName& aOrganisation,
               Credit aOutstanding) override;
  Credit Available(Instant aNow, const OrganisationName& aOrganisation,
                   Credit aOutstanding) const override;
  void OnAdopted(const OrganisationName& aOrganisation,
                 Credit aAmount) override;
  void OnGranted(const OrganisationName& aOrganisation,
                 Credit aAmount) override;
  void OnSpent(const OrganisationName& aOrganisation, Credit aAmount) override;
  void OnReturned(const OrganisationName& aOrganisation,
                  Credit aAmount) override;
  void OnDonated(const OrganisationName& aOrganisation,
                 Credit aAmount) override;
  void OnRefunded(const OrganisationName& aOrganisation,
                  Credit aAmount) override;
  Duration TimeUntil(const OrganisationName& aOrganisation,
                     Credit aAmount) const override;
  const std::set<OrganisationName>& Called() const override { return mCalled; }

private:
  struct Bucket
  {
    double mRate = 0;
    double mCapacity = 0;
    double mLevel = 0;
    /** Counted as outstanding at homes that were not heard of. */
    double mReserve = 0;
    Instant mAdvancedAt;
    double mShare = 0;
    /** Since when a higher share is due. */
    std::optional<Instant> mRiseSince;
  };

  Bucket* Find(const OrganisationName& aOrganisation);

  /** Always empty: outstanding credit is within the capacity. */
  std::set<OrganisationName> mCalled;
  Instant mTakeOverUntil;
  double mSlack;
  std::map<OrganisationName, Bucket> mBuckets;
};

/**
 * What a home grants to its edges: its own share of the allowances, and what
 * the leader granted beyond.
 *
 * Answers: homes that lose the leader, and leaders that stop: the home's own
 * share goes on. Credit of the leader that edges still hold when the home's
 * lease ends is charged to the home's own share, since the leader counts it as
 * spent then. Where the home has no share it is called back: edges would make
 * its lease longer without end.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class CreditPool final : public CreditSource
{
public:
  /** Account and own share outlive the pool. */
  CreditPool(CreditAccount& aAccount, AllowanceBuckets& aOwn);

  /** Credit of the leader that edges hold. */
  Credit GrantedOn(const OrganisationName& aOrganisation) const;

  /**
   * Moves credit of the leader to the home's own share while that is below
   * aShare of its capacity: the leader's bucket fills again only when its
   * credit is no longer outstanding.
   */
  void Deposit(Instant aNow, const OrganisationName& aOrganisation,
               double aShare);

  void Advance(Instant aNow, const OrganisationName& aOrganisation,
               Credit aOutstanding) override;
  Credit Available(Instant aNow, const OrganisationName& aOrganisation,
                   Credit aOutstanding) const override;
  void OnAdopted(const OrganisationName& aOrganisation,
                 Credit aAmount) override;
  void OnGranted(const OrganisationName& aOrganisation,
                 Credit aAmount) override;
  void OnSpent(const OrganisationName& aOrganisation, Credit aAmount) override;
  void OnReturned(const OrganisationName& aOrganisation,
                  Credit aAmount) override;
  void OnDonated(const OrganisationName& aOrganisation,
                 Credit aAmount) override;
  void OnRefunded(const OrganisationName& aOrganisation,
                  Credit aAmount) override;
  Duration TimeUntil(const OrganisationName& aOrganisation,
                     Credit aAmount) const override;
  const std::set<OrganisationName>& Called() const override { return mCalled; }

private:
  CreditAccount& mAccount;
  AllowanceBuckets& mOwn;
  void SetGrantedOn(const OrganisationName& aOrganisation, Credit aAmount);

  /** Of what edges hold, what the leader granted. */
  std::map<OrganisationName, Credit> mGrantedOn;
  std::set<OrganisationName> mCalled;
  Instant mNow;
};

} // namespace carobtide
