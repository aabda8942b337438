#include "carobtide/allowance/credit_bank.hpp"

#include <algorithm>
#include <iterator>

namespace carobtide {

namespace {

/** Least time between two recalls: a report and its answer take less. */
constexpr Duration kRecallInterval = std::chrono::milliseconds(20);

std::uint32_t ToMillis(Duration aTime)
{
  return static_cast<std::uint32_t>(
    std::chrono::ceil<std::chrono::milliseconds>(aTime).count());
}

} // namespace

CreditBank::CreditBank(CreditSource& aSource, Endpoint aSelf,
                       std::uint64_t aEpoch, Instant aAdoptUntil,
                       Duration aHold)
  : mSource(aSource)
  , mSelf(std::move(aSelf))
  , mEpoch(aEpoch)
  , mAdoptUntil(aAdoptUntil)
  , mHold(aHold)
{
}

void CreditBank::Count(const HolderKey& aKey,
                       const OrganisationName& aOrganisation,
                       const Account& aBefore, const Account& aAfter)
{
  Totals& totals = mTotals[aOrganisation];
  totals.mOutstanding += aAfter.Outstanding() - aBefore.Outstanding();
  totals.mNeeded += aAfter.mNeeded - aBefore.mNeeded;
  if (aAfter.mNeeded > 0) {
    totals.mNeedy.insert(aKey);
    mNeedy.insert(aOrganisation);
  } else if (totals.mNeedy.erase(aKey) > 0 && totals.mNeedy.empty()) {
    mNeedy.erase(aOrganisation);
  }
}

void CreditBank::Open(const CreditUse& aUse, Account& aAccount, bool aMayAdopt)
{
  aAccount.mSpent = aUse.mSpent;
  aAccount.mReturned = aUse.mReturned;
  aAccount.mRefunded = aUse.mRefunded;
  aAccount.mDonated = aUse.mDonated;
  const Credit left = aMayAdopt ? std::max<Credit>(aUse.mBalance, 0) : 0;
  aAccount.mGranted = aUse.mSpent + aUse.mReturned + left;
  if (left > 0) {
    mSource.OnAdopted(aUse.mOrganisation, left);
  }
}

void CreditBank::Take(const CreditUse& aUse, Account& aAccount)
{
  // A holder cannot have used more than it was granted.
  const Credit left = std::max<Credit>(aAccount.Outstanding(), 0);
  const Credit spent =
    std::clamp<Credit>(aUse.mSpent - aAccount.mSpent, 0, left);
  const Credit returned =
    std::clamp<Credit>(aUse.mReturned - aAccount.mReturned, 0, left - spent);
  aAccount.mSpent += spent;
  aAccount.mReturned += returned;
  if (spent > 0) {
    mSource.OnSpent(aUse.mOrganisation, spent);
  }
  if (returned > 0) {
    mSource.OnReturned(aUse.mOrganisation, returned);
  }
  const Credit refunded =
    std::clamp<Credit>(aUse.mRefunded - aAccount.mRefunded, 0,
                       aAccount.mSpent - aAccount.mRefunded);
  if (refunded > 0) {
    aAccount.mRefunded += refunded;
    mSource.OnRefunded(aUse.mOrganisation, refunded);
  }
  if (const Credit donated = aUse.mDonated - aAccount.mDonated; donated > 0) {
    aAccount.mDonated += donated;
    mSource.OnDonated(aUse.mOrganisation, donated);
  }
  aAccount.mWanted = std::max<Credit>(aUse.mWanted, 0);
  // Credit that is on its way to the holder covers a part of what it needs.
  const Credit onItsWay =
    std::max<Credit>(aAccount.Outstanding() - aUse.mBalance, 0);
  aAccount.mNeeded = std::max<Credit>(aUse.mNeeded - onItsWay, 0);
  aAccount.mFirstNeeded =
    std::clamp<Credit>(aUse.mFirstNeeded, 0, aAccount.mNeeded);
}

Credit CreditBank::Available(Instant aNow,
                             const OrganisationName& aOrganisation) const
{
  return std::max<Credit>(
    mSource.Available(aNow, aOrganisation, Outstanding(aOrganisation)), 0);
}

Credit CreditBank::Grant(Instant aNow, const HolderKey& aKey,
                         const OrganisationName& aOrganisation,
                         Account& aAccount, Credit aAmount)
{
  const Credit granted =
    std::min(Available(aNow, aOrganisation), std::max<Credit>(aAmount, 0));
  if (granted > 0) {
    const Account before = aAccount;
    mSource.OnGranted(aOrganisation, granted);
    aAccount.mGranted += granted;
    aAccount.mGrantedAt = aNow;
    Count(aKey, aOrganisation, before, aAccount);
  }
  return granted;
}

Credit CreditBank::GrantOfNeed(Instant aNow, const HolderKey& aKey,
                               const OrganisationName& aOrganisation,
                               Account& aAccount)
{
  const Credit granted =
    Grant(aNow, aKey, aOrganisation, aAccount, aAccount.mNeeded);
  const Account before = aAccount;
  aAccount.mNeeded -= granted;
  aAccount.mFirstNeeded = std::min(aAccount.mFirstNeeded, aAccount.mNeeded);
  Count(aKey, aOrganisation, before, aAccount);
  return granted;
}

CreditGrant CreditBank::MakeGrant(const OrganisationName& aOrganisation,
                                  const Account& aAccount) const
{
  CreditGrant grant;
  grant.mOrganisation = aOrganisation;
  grant.mGranted = aAccount.mGranted;
  grant.mIsCalled = mSource.Called().contains(aOrganisation);
  grant.mIsShort = Needed(aOrganisation) > 0;
  if (aAccount.mNeeded > 0) {
    // All that wait share what comes.
    grant.mRetryMs = std::max(
      1U, ToMillis(mSource.TimeUntil(aOrganisation, Needed(aOrganisation))));
  }
  return grant;
}

CreditReply CreditBank::MakeReply(const HolderKey& aKey, const Holder& aHolder,
                                  std::vector<CreditGrant> aGrants) const
{
  CreditReply reply;
  reply.mFrom = mSelf;
  reply.mEpoch = mEpoch;
  reply.mSession = aKey.second;
  reply.mSequence = aHolder.mSequence;
  // The holder counts from its report, which was sent before it arrived.
  reply.mLeaseMs = ToMillis(kCreditLease);
  reply.mGrants = std::move(aGrants);
  // Each reply makes the lease longer, therefore each one has to say it.
  for (const OrganisationName& organisation : mSource.Called()) {
    const auto it = aHolder.mAccounts.find(organisation);
    if (it != aHolder.mAccounts.end() &&
        std::ranges::find(reply.mGrants, organisation,
                          &CreditGrant::mOrganisation) == reply.mGrants.end()) {
      reply.mGrants.push_back(MakeGrant(organisation, it->second));
    }
  }
  return reply;
}

CreditReply CreditBank::OnReport(Instant aNow, const CreditReport& aReport)
{
  const HolderKey key{ aReport.mFrom, aReport.mSession };
  const auto [it, isNew] = mHolders.try_emplace(key);
  Holder& holder = it->second;
  if (isNew || aReport.mSequence > holder.mSequence) {
    holder.mSequence = aReport.mSequence;
    holder.mReportedAt = aNow;
    for (const CreditUse& use : aReport.mUses) {
      mSource.Advance(aNow, use.mOrganisation, Outstanding(use.mOrganisation));
      const auto [account, isFirst] =
        holder.mAccounts.try_emplace(use.mOrganisation);
      const Account before = account->second;
      if (isFirst) {
        ++mTotals[use.mOrganisation].mAccounts;
        Open(use, account->second, aNow < mAdoptUntil);
      }
      Take(use, account->second);
      Count(key, use.mOrganisation, before, account->second);
    }
  }
  std::vector<CreditGrant> grants;
  for (const CreditUse& use : aReport.mUses) {
    const auto found = holder.mAccounts.find(use.mOrganisation);
    if (found == holder.mAccounts.end()) {
      continue; // an older report than the first that was taken
    }
    Account& account = found->second;
    if (Needed(use.mOrganisation) <= Available(aNow, use.mOrganisation)) {
      GrantOfNeed(aNow, key, use.mOrganisation, account);
    }
    if (Needed(use.mOrganisation) == 0) {
      Grant(aNow, key, use.mOrganisation, account,
            account.mWanted - account.Outstanding());
    }
    grants.push_back(MakeGrant(use.mOrganisation, account));
  }
  return MakeReply(key, holder, std::move(grants));
}

std::vector<std::pair<Endpoint, CreditReply>> CreditBank::GrantNeeded(
  Instant aNow)
{
  std::map<HolderKey, std::vector<CreditGrant>> grants;
  // Grants remove organisations from the set.
  const std::vector<OrganisationName> organisations(mNeedy.begin(),
                                                    mNeedy.end());
  for (const OrganisationName& organisation : organisations) {
    mSource.Advance(aNow, organisation, Outstanding(organisation));
    std::vector<std::pair<HolderKey, Account*>> needy;
    for (const HolderKey& key : mTotals.at(organisation).mNeedy) {
      needy.emplace_back(key, &mHolders.at(key).mAccounts.at(organisation));
    }
    std::ranges::stable_sort(
      needy, {}, [](const auto& aItem) { return aItem.second->mGrantedAt; });
    for (const auto& [key, account] : needy) {
      if (Available(aNow, organisation) < account->mFirstNeeded ||
          GrantOfNeed(aNow, key, organisation, *account) == 0) {
        break;
      }
      grants[key].push_back(MakeGrant(organisation, *account));
    }
  }
  return MakeReplies(grants);
}

std::vector<std::pair<Endpoint, CreditReply>> CreditBank::Recall(Instant aNow)
{
  std::map<HolderKey, std::vector<CreditGrant>> grants;
  for (const OrganisationName& organisation : mNeedy) {
    Totals& totals = mTotals.at(organisation);
    if (aNow - totals.mRecalledAt < kRecallInterval) {
      continue;
    }
    totals.mRecalledAt = aNow;
    for (const auto& [key, holder] : mHolders) {
      const auto it = holder.mAccounts.find(organisation);
      if (it != holder.mAccounts.end() && it->second.mNeeded == 0) {
        grants[key].push_back(MakeGrant(organisation, it->second));
      }
    }
  }
  return MakeReplies(grants);
}

std::vector<std::pair<Endpoint, CreditReply>> CreditBank::MakeReplies(
  const std::map<HolderKey, std::vector<CreditGrant>>& aGrants) const
{
  std::vector<std::pair<Endpoint, CreditReply>> replies;
  replies.reserve(aGrants.size());
  for (const auto& [key, granted] : aGrants) {
    replies.emplace_back(key.first, MakeReply(key, mHolders.at(key), granted));
  }
  return replies;
}

void CreditBank::Expire(Instant aNow)
{
  std::erase_if(mHolders, [&](const auto& aItem) {
    const auto& [key, holder] = aItem;
    if (aNow - holder.mReportedAt <= mHold) {
      return false;
    }
    for (const auto& [organisation, account] : holder.mAccounts) {
      mSource.Advance(aNow, organisation, Outstanding(organisation));
      Count(key, organisation, account, {});
      if (const Credit lost = account.Outstanding(); lost > 0) {
        mSource.OnSpent(organisation, lost);
      }
      if (--mTotals.at(organisation).mAccounts == 0) {
        mTotals.erase(organisation);
      }
    }
    return true;
  });
}

Credit CreditBank::Outstanding(const OrganisationName& aOrganisation) const
{
  const auto it = mTotals.find(aOrganisation);
  return it == mTotals.end() ? 0 : it->second.mOutstanding;
}

Credit CreditBank::Needed(const OrganisationName& aOrganisation) const
{
  const auto it = mTotals.find(aOrganisation);
  return it == mTotals.end() ? 0 : it->second.mNeeded;
}

Credit CreditBank::LeastNeeded(const OrganisationName& aOrganisation) const
{
  const auto it = mTotals.find(aOrganisation);
  Credit least = 0;
  if (it != mTotals.end()) {
    for (const HolderKey& key : it->second.mNeedy) {
      const Credit needed =
        mHolders.at(key).mAccounts.at(aOrganisation).mFirstNeeded;
      least = least == 0 ? needed : std::min(least, needed);
    }
  }
  return least;
}

std::vector<OrganisationName> CreditBank::Organisations() const
{
  std::vector<OrganisationName> names;
  std::ranges::transform(mTotals, std::back_inserter(names),
                         [](const auto& aItem) { return aItem.first; });
  return names;
}

} // namespace carobtide
