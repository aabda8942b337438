#pragma once

/**
 * @file
 * Credit that a daemon holds, and what it reports of it.
 */

#include "carobtide/allowance/credit_bank.hpp"
#include "carobtide/allowance/credit_messages.hpp"
#include "carobtide/base.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace carobtide {

/** Configuration of an account. */
struct CreditAccountOptions
{
  Endpoint mSelf;
  bool mIsHome = false;
  /** Recent use for which credit is kept at hand, in whole requests. */
  Duration mReserve = std::chrono::milliseconds(300);
  std::uint64_t mSeed = 1;
};

/**
 * The credit of one holder for all organisations.
 *
 * Answers: organisations whose requests come through many daemons, unevenly:
 * each daemon holds what it used lately and asks for more when a request lacks
 * credit. Credit is void once the granter may count it as spent.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class CreditAccount
{
public:
  explicit CreditAccount(CreditAccountOptions aOptions);

  /**
   * Selects the granter. With aKeepsCredit the credit stays until its lease is
   * over, and is reported to the new granter, which takes it over; replies of
   * an epoch below aEpoch are ignored from now on. Otherwise it is void.
   */
  void SetGranter(std::optional<Endpoint> aGranter, std::uint64_t aEpoch,
                  bool aKeepsCredit);
  const std::optional<Endpoint>& Granter() const { return mGranter; }

  /** Credit that may be spent now. */
  Credit Balance(Instant aNow, const OrganisationName& aOrganisation) const;

  /** Spends an amount if there is so much. */
  bool Spend(Instant aNow, const OrganisationName& aOrganisation,
             Credit aAmount);

  /**
   * Records what another holder spent of this account's credit; also if the
   * credit is void by now.
   */
  void OnSpentElsewhere(Instant aNow, const OrganisationName& aOrganisation,
                        Credit aAmount);

  /** Records that an amount was spent for a request that did not run. */
  void Refund(const OrganisationName& aOrganisation, Credit aAmount);

  /** Gives credit that the holder has of its own to the granter. */
  void Donate(const OrganisationName& aOrganisation, Credit aAmount);

  /** What requests that wait for credit lack, and the first of them alone. */
  void SetNeeded(const OrganisationName& aOrganisation, Credit aAmount,
                 Credit aFirst);

  /** Part of the balance that is granted on and cannot be returned. */
  void SetGrantedOn(const OrganisationName& aOrganisation, Credit aAmount);

  /** Least amount that is kept at hand, whatever the recent use. */
  void SetFloor(const OrganisationName& aOrganisation, Credit aAmount);

  /**
   * Organisations that the predicate does not keep want nothing and return what
   * they have. Their counts stay until the session ends: an organisation that
   * comes back must not be given what it has spent already.
   */
  void Retain(const std::function<bool(const OrganisationName&)>& aIsKept);

  /** The next report; nothing if there is no granter. */
  std::optional<CreditReport> MakeReport(Instant aNow);

  /** Takes a reply. False if it is of another granter or session, or late. */
  bool OnReply(Instant aNow, const CreditReply& aReply);

  /** Time for which the credit is still valid. */
  Duration LeaseLeft(Instant aNow) const;

  /** Time after which the granter expects to have more; zero if unknown. */
  Duration RetryAfter(const OrganisationName& aOrganisation) const;

  /** Requests of an organisation wait at some holder of this granter. */
  bool IsShort(const OrganisationName& aOrganisation) const;

  /** Members of the control group, as the last reply says; 0: not one. */
  std::size_t Homes() const { return mHomes; }

  /** Time of the last reply; nothing before the first one. */
  std::optional<Instant> RepliedAt() const { return mRepliedAt; }

  /** True if some organisation's credit is held or was used lately. */
  bool IsActive(Instant aNow) const;

private:
  struct Entry
  {
    Credit mGranted = 0;
    Credit mSpent = 0;
    Credit mReturned = 0;
    Credit mRefunded = 0;
    Credit mDonated = 0;
    Credit mNeeded = 0;
    Credit mFirstNeeded = 0;
    Credit mGrantedOn = 0;
    Credit mFloor = 0;
    std::uint32_t mRetryMs = 0;
    bool mIsShort = false;
    /** The catalog names the organisation. */
    bool mIsKept = true;
    /** What was last spent at once. */
    Credit mLastCost = 0;
    /** Use per second, exponentially decayed. */
    double mRate = 0;
    Instant mRateAt;
    std::optional<CreditUse> mReported;

    Credit Left() const { return mGranted - mSpent - mReturned; }
  };

  /** Reports whose sending times are kept. */
  static constexpr std::size_t kKeptReports = 64;

  void Void();
  void AddUse(Instant aNow, Entry& aEntry, Credit aAmount) const;
  static double RateAt(Instant aNow, const Entry& aEntry);

  CreditAccountOptions mOptions;
  RandomEngine mRandom;
  std::optional<Endpoint> mGranter;
  std::uint64_t mLeastEpoch = 0;
  /** Epoch of the last reply; 0 before the first one of a session. */
  std::uint64_t mEpoch = 0;
  /** The granter of now has replied: it knows every organisation. */
  bool mIsKnown = false;
  std::uint64_t mSession = 0;
  std::uint64_t mSequence = 0;
  std::array<std::pair<std::uint64_t, Instant>, kKeptReports> mSentAt{};
  Instant mLeaseEnd;
  std::optional<Instant> mRepliedAt;
  std::size_t mHomes = 0;
  std::map<OrganisationName, Entry> mEntries;
};

} // namespace carobtide
