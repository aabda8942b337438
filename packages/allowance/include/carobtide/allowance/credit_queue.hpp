#pragma once

/**
 * @file
 * Requests that wait for credit of their organisation.
 */

#include "carobtide/allowance/credit_account.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace carobtide {

/** What is to be done with a request that needs credit. */
enum class CreditDecision : std::uint8_t
{
  /** Its cost was spent. */
  Granted,
  /** It waits until it is granted or its patience is over. */
  Waits,
  /** The allowance does not bear it for some time. */
  Refused,
  /** The allowance never bears so much at once. */
  TooLarge,
};

inline constexpr EnumTable<CreditDecision, 4> kCreditDecisions{ { {
  { CreditDecision::Granted, "granted" },
  { CreditDecision::Waits, "waits" },
  { CreditDecision::Refused, "refused" },
  { CreditDecision::TooLarge, "too-large" },
} } };

/**
 * Spends credit for requests in the order of their arrival.
 *
 * Answers: an organisation that sends many times its allowance through this
 * daemon. While the granter has said that credit will be short for longer than
 * a request can wait, one request of the organisation waits, so that credit is
 * used as soon as it is there, and the others are refused on arrival.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class CreditQueue
{
public:
  /** aAccount outlives the queue. */
  explicit CreditQueue(CreditAccount& aAccount);

  /**
   * Decides about a request on arrival; aTicket identifies it if it waits.
   * aCapacity is the most that the organisation may use at once.
   */
  CreditDecision OnRequest(Instant aNow, std::uint64_t aTicket,
                           const OrganisationName& aOrganisation, Credit aCost,
                           Credit aCapacity, Duration aPatience);

  /** Removes a request whose patience is over or whose caller is gone. */
  void Remove(const OrganisationName& aOrganisation, std::uint64_t aTicket);

  /** Spends credit that has arrived; the tickets of the requests granted. */
  std::vector<std::uint64_t> Serve(Instant aNow);

  /** Time after which a refused caller may be served. */
  Duration RetryAfter(const OrganisationName& aOrganisation) const;

  std::size_t Waiting() const;

private:
  struct Waiter
  {
    std::uint64_t mTicket = 0;
    Credit mCost = 0;
  };

  /** Tells the account what the requests of an organisation lack. */
  void UpdateNeeded(Instant aNow, const OrganisationName& aOrganisation);

  CreditAccount& mAccount;
  std::map<OrganisationName, std::deque<Waiter>> mQueues;
  Instant mNow;
};

} // namespace carobtide
