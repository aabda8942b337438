#pragma once

/**
 * @file
 * The allowances of organisations at an edge.
 */

#include "allowance_gate.hpp"
#include "carobtide/allowance.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>

namespace carobtide {

/**
 * Spends the credit that this edge holds, and asks its home for more.
 *
 * Thread safety: everything on the edge's one thread.
 */
class EdgeAllowance final : public AllowanceGate
{
public:
  using Send = std::function<void(const Endpoint&, const CreditReport&)>;

  /** aSlack as for CapacityOf. */
  EdgeAllowance(boost::asio::any_io_executor aExecutor, Endpoint aSelf,
                double aSlack, std::uint64_t aSeed, Send aSend);

  /** Drops the credit of organisations that have no limit any more. */
  void SetCatalog(const Catalog& aCatalog);

  /**
   * Sets the home, and the one that grants credit while the home is silent.
   * Credit of another granter is void.
   */
  void SetHomes(const std::optional<Endpoint>& aHome,
                const std::optional<Endpoint>& aStandby);

  void OnReply(const CreditReply& aReply);

  /** Reports to the home at intervals; never ends. */
  boost::asio::awaitable<void> Run();

  boost::asio::awaitable<AllowanceDecision> Take(
    const Organisation& aOrganisation, Credit aCost,
    Duration aPatience) override;
  void Return(const OrganisationName& aOrganisation, Credit aCost) override;

  std::size_t Waiting() const { return mQueue.Waiting(); }

private:
  struct Waiter
  {
    boost::asio::steady_timer* mTimer = nullptr;
    bool mIsGranted = false;
  };

  /** Has the next report sent at once, or shortly after the last one. */
  void ReportSoon();
  void ServeWaiting();
  /** Passes the selected granter to the account; a change of it is logged. */
  void UseGranter();
  AllowanceDecision MakeDecision(const OrganisationName& aOrganisation,
                                 bool aIsAllowed) const;

  boost::asio::any_io_executor mExecutor;
  boost::asio::steady_timer mTimer;
  double mSlack;
  Send mSend;
  CreditAccount mAccount;
  CreditQueue mQueue;
  GranterSelector mGranters;
  std::map<std::uint64_t, Waiter*> mWaiters;
  std::uint64_t mNextTicket = 1;
  bool mIsUrgent = false;
  /** The catalog in force has allowances. */
  bool mIsOn = false;
};

} // namespace carobtide
