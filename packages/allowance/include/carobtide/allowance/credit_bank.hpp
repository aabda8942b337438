#pragma once

/**
 * @file
 * Grants credit to holders and keeps account of what they may still spend.
 */

#include "carobtide/allowance/credit_messages.hpp"
#include "carobtide/base.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace carobtide {

/** Lifetime of credit without contact to the granter. */
inline constexpr Duration kCreditLease = std::chrono::milliseconds(600);

/**
 * A leader counts what a silent home holds as outstanding for so long: edges
 * may hold it for one lease after the home's own lease is over.
 */
inline constexpr Duration kHomeCreditHold = 2 * kCreditLease;

/** Where a bank takes the credit from that it grants. */
class CreditSource
{
public:
  virtual ~CreditSource() = default;

  /**
   * Lets time pass up to aNow, in which aOutstanding was granted and not yet
   * spent. Call before each change of what is outstanding.
   */
  virtual void Advance(Instant aNow, const OrganisationName& aOrganisation,
                       Credit aOutstanding) = 0;
  /**
   * Credit that may be granted now beside what is outstanding already.
   * Precondition: Advance was called for aNow.
   */
  virtual Credit Available(Instant aNow, const OrganisationName& aOrganisation,
                           Credit aOutstanding) const = 0;
  /** Credit that another bank had granted was taken over. */
  virtual void OnAdopted(const OrganisationName& aOrganisation,
                         Credit aAmount) = 0;
  virtual void OnGranted(const OrganisationName& aOrganisation,
                         Credit aAmount) = 0;
  /** Outstanding credit was spent, or counts as spent. */
  virtual void OnSpent(const OrganisationName& aOrganisation,
                       Credit aAmount) = 0;
  /** Outstanding credit was given back. */
  virtual void OnReturned(const OrganisationName& aOrganisation,
                          Credit aAmount) = 0;
  /** A holder gave credit of its own. */
  virtual void OnDonated(const OrganisationName& aOrganisation,
                         Credit aAmount) = 0;
  /** Spent credit was of no use: the request did not run. */
  virtual void OnRefunded(const OrganisationName& aOrganisation,
                          Credit aAmount) = 0;
  /** Time until an amount may be available. */
  virtual Duration TimeUntil(const OrganisationName& aOrganisation,
                             Credit aAmount) const = 0;
  /** Organisations of which all outstanding credit has to come back. */
  virtual const std::set<OrganisationName>& Called() const = 0;
};

/**
 * Grants credit to the holders that report to it.
 *
 * Answers: holders that stop, are cut off or are paused while they hold credit,
 * and messages that are lost, late or repeated. What a holder has not confirmed
 * as spent or returned stays outstanding until its lease is over, and counts as
 * spent from then on.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class CreditBank
{
public:
  /**
   * aSource outlives the bank. aEpoch identifies this bank to holders. Credit
   * that holders have from another bank is taken over before aAdoptUntil.
   * Credit of a holder that falls silent stays outstanding for aHold.
   */
  CreditBank(CreditSource& aSource, Endpoint aSelf, std::uint64_t aEpoch,
             Instant aAdoptUntil, Duration aHold = kCreditLease);

  /**
   * Takes a report. What its requests need is granted if there is enough for
   * all holders, otherwise in turn by GrantNeeded; what is merely wanted only
   * while no request lacks credit.
   */
  CreditReply OnReport(Instant aNow, const CreditReport& aReport);

  /**
   * Grants to holders whose requests wait, least recently served first, and
   * not less than the first request of a holder lacks: parts of it would be of
   * no use there. Call after OnReport and when the source may have more.
   */
  std::vector<std::pair<Endpoint, CreditReply>> GrantNeeded(Instant aNow);

  /**
   * Tells holders whose requests do not wait that others are short of credit,
   * so that they give back what they have at hand. At most every
   * kRecallInterval for an organisation. Call after GrantNeeded.
   */
  std::vector<std::pair<Endpoint, CreditReply>> Recall(Instant aNow);

  /** Removes holders that have been silent for too long. Call in each round. */
  void Expire(Instant aNow);

  /** Credit of an organisation that holders may still spend. */
  Credit Outstanding(const OrganisationName& aOrganisation) const;

  /** What requests lack that wait at holders. */
  Credit Needed(const OrganisationName& aOrganisation) const;
  /** The least that is of use to one of them; 0 if none waits. */
  Credit LeastNeeded(const OrganisationName& aOrganisation) const;

  /** Organisations with accounts here. */
  std::vector<OrganisationName> Organisations() const;
  /** Those of which requests wait. */
  const std::set<OrganisationName>& Needy() const { return mNeedy; }
  std::size_t Holders() const { return mHolders.size(); }

private:
  struct Account
  {
    Credit mGranted = 0;
    Credit mSpent = 0;
    Credit mReturned = 0;
    Credit mRefunded = 0;
    Credit mDonated = 0;
    Credit mWanted = 0;
    Credit mNeeded = 0;
    Credit mFirstNeeded = 0;
    Instant mGrantedAt;

    Credit Outstanding() const { return mGranted - mSpent - mReturned; }
  };

  /** A holder's address and session. */
  using HolderKey = std::pair<Endpoint, std::uint64_t>;

  struct Holder
  {
    std::uint64_t mSequence = 0;
    Instant mReportedAt;
    std::map<OrganisationName, Account> mAccounts;
  };

  /** Sums over all holders of one organisation. */
  struct Totals
  {
    Credit mOutstanding = 0;
    Credit mNeeded = 0;
    std::size_t mAccounts = 0;
    /** Holders whose requests wait. */
    std::set<HolderKey> mNeedy;
    Instant mRecalledAt;
  };

  /** Adds a changed account to the totals, as it was and as it is. */
  void Count(const HolderKey& aKey, const OrganisationName& aOrganisation,
             const Account& aBefore, const Account& aAfter);
  void Take(const CreditUse& aUse, Account& aAccount);
  /** Begins an account with what the holder says that it has. */
  void Open(const CreditUse& aUse, Account& aAccount, bool aMayAdopt);
  Credit Available(Instant aNow, const OrganisationName& aOrganisation) const;
  /** Grants up to an amount; the amount granted. */
  Credit Grant(Instant aNow, const HolderKey& aKey,
               const OrganisationName& aOrganisation, Account& aAccount,
               Credit aAmount);
  /** Grants to a holder whose requests wait, and lowers what it needs. */
  Credit GrantOfNeed(Instant aNow, const HolderKey& aKey,
                     const OrganisationName& aOrganisation, Account& aAccount);
  std::vector<std::pair<Endpoint, CreditReply>> MakeReplies(
    const std::map<HolderKey, std::vector<CreditGrant>>& aGrants) const;
  /** A reply with these grants, and with what is called from the holder. */
  CreditReply MakeReply(const HolderKey& aKey, const Holder& aHolder,
                        std::vector<CreditGrant> aGrants) const;
  CreditGrant MakeGrant(const OrganisationName& aOrganisation,
                        const Account& aAccount) const;

  CreditSource& mSource;
  Endpoint mSelf;
  std::uint64_t mEpoch;
  Instant mAdoptUntil;
  Duration mHold;
  std::map<HolderKey, Holder> mHolders;
  std::map<OrganisationName, Totals> mTotals;
  std::set<OrganisationName> mNeedy;
};

} // namespace carobtide
