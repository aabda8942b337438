#include "carobtide/allowance/credit_queue.hpp"

#include <algorithm>
#include <numeric>

namespace carobtide {

namespace {

/** Time after which credit may be there if the granter has not said. */
constexpr Duration kUnknownRetry = std::chrono::seconds(1);
/** Least time that a refused caller is told to stay away. */
constexpr Duration kMinRetry = std::chrono::milliseconds(100);

} // namespace

CreditQueue::CreditQueue(CreditAccount& aAccount)
  : mAccount(aAccount)
{
}

void CreditQueue::UpdateNeeded(Instant aNow,
                               const OrganisationName& aOrganisation)
{
  const auto& queue = mQueues[aOrganisation];
  const Credit cost = std::accumulate(
    queue.begin(), queue.end(), Credit{ 0 },
    [](Credit aSum, const Waiter& aIt) { return aSum + aIt.mCost; });
  const Credit balance = mAccount.Balance(aNow, aOrganisation);
  mAccount.SetNeeded(
    aOrganisation, std::max<Credit>(cost - balance, 0),
    queue.empty() ? 0 : std::max<Credit>(queue.front().mCost - balance, 0));
}

CreditDecision CreditQueue::OnRequest(Instant aNow, std::uint64_t aTicket,
                                      const OrganisationName& aOrganisation,
                                      Credit aCost, Credit aCapacity,
                                      Duration aPatience)
{
  mNow = aNow;
  if (aCost > aCapacity) {
    return CreditDecision::TooLarge;
  }
  auto& queue = mQueues[aOrganisation];
  if (queue.empty() && mAccount.Spend(aNow, aOrganisation, aCost)) {
    return CreditDecision::Granted;
  }
  if (!queue.empty() && mAccount.RetryAfter(aOrganisation) > aPatience) {
    return CreditDecision::Refused;
  }
  queue.push_back({ aTicket, aCost });
  UpdateNeeded(aNow, aOrganisation);
  return CreditDecision::Waits;
}

void CreditQueue::Remove(const OrganisationName& aOrganisation,
                         std::uint64_t aTicket)
{
  const auto it = mQueues.find(aOrganisation);
  if (it == mQueues.end()) {
    return;
  }
  std::erase_if(it->second,
                [&](const Waiter& aIt) { return aIt.mTicket == aTicket; });
  UpdateNeeded(mNow, aOrganisation);
  if (it->second.empty()) {
    mQueues.erase(it);
  }
}

std::vector<std::uint64_t> CreditQueue::Serve(Instant aNow)
{
  mNow = aNow;
  std::vector<std::uint64_t> granted;
  for (auto& [organisation, queue] : mQueues) {
    while (!queue.empty() &&
           mAccount.Spend(aNow, organisation, queue.front().mCost)) {
      granted.push_back(queue.front().mTicket);
      queue.pop_front();
    }
    UpdateNeeded(aNow, organisation);
  }
  std::erase_if(mQueues,
                [](const auto& aItem) { return aItem.second.empty(); });
  return granted;
}

Duration CreditQueue::RetryAfter(const OrganisationName& aOrganisation) const
{
  const Duration retry = mAccount.RetryAfter(aOrganisation);
  return retry == Duration::zero() ? kUnknownRetry : std::max(retry, kMinRetry);
}

std::size_t CreditQueue::Waiting() const
{
  return std::accumulate(
    mQueues.begin(), mQueues.end(), std::size_t{ 0 },
    [](std::size_t aSum, const auto& aIt) { return aSum + aIt.second.size(); });
}

} // namespace carobtide
