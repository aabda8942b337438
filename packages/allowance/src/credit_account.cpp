#include "carobtide/allowance/credit_account.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

/** Time constant of the use per second. */
constexpr Duration kUseWindow = std::chrono::milliseconds(1000);
/** Each so many reports list every organisation, since reports may be lost. */
constexpr std::uint64_t kFullReportInterval = 10;
/** Credit beyond this multiple of what is wanted is returned. */
constexpr Credit kSurplusFactor = 2;

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

CreditAccount::CreditAccount(CreditAccountOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mSession(mRandom())
{
}

void CreditAccount::Void()
{
  std::erase_if(mEntries,
                [](const auto& aItem) { return !aItem.second.mIsKept; });
  mSession = mRandom();
  mEpoch = 0;
  mIsKnown = false;
  mLeaseEnd = Instant();
  for (auto& [organisation, entry] : mEntries) {
    entry.mGranted = 0;
    entry.mSpent = 0;
    entry.mReturned = 0;
    entry.mRefunded = 0;
    entry.mDonated = 0;
    entry.mRetryMs = 0;
    entry.mIsShort = false;
    entry.mReported.reset();
  }
}

void CreditAccount::SetGranter(std::optional<Endpoint> aGranter,
                               std::uint64_t aEpoch, bool aKeepsCredit)
{
  if (aGranter == mGranter && aEpoch == mLeastEpoch) {
    return;
  }
  mGranter = std::move(aGranter);
  mLeastEpoch = aEpoch;
  if (!aKeepsCredit) {
    Void();
  }
  mIsKnown = false;
}

Credit CreditAccount::Balance(Instant aNow,
                              const OrganisationName& aOrganisation) const
{
  const auto it = mEntries.find(aOrganisation);
  return it == mEntries.end() || aNow >= mLeaseEnd
           ? 0
           : std::max<Credit>(it->second.Left(), 0);
}

double CreditAccount::RateAt(Instant aNow, const Entry& aEntry)
{
  return aEntry.mRate *
         std::exp(-Seconds(aNow - aEntry.mRateAt) / Seconds(kUseWindow));
}

void CreditAccount::AddUse(Instant aNow, Entry& aEntry, Credit aAmount) const
{
  aEntry.mRate =
    RateAt(aNow, aEntry) + static_cast<double>(aAmount) / Seconds(kUseWindow);
  aEntry.mRateAt = aNow;
  aEntry.mLastCost = aAmount;
}

bool CreditAccount::Spend(Instant aNow, const OrganisationName& aOrganisation,
                          Credit aAmount)
{
  Entry& entry = mEntries[aOrganisation];
  if (Balance(aNow, aOrganisation) < aAmount) {
    return false;
  }
  entry.mSpent += aAmount;
  AddUse(aNow, entry, aAmount);
  return true;
}

void CreditAccount::OnSpentElsewhere(Instant aNow,
                                     const OrganisationName& aOrganisation,
                                     Credit aAmount)
{
  Entry& entry = mEntries[aOrganisation];
  entry.mSpent += std::clamp<Credit>(entry.Left(), 0, aAmount);
  AddUse(aNow, entry, aAmount);
}

void CreditAccount::Refund(const OrganisationName& aOrganisation,
                           Credit aAmount)
{
  Entry& entry = mEntries[aOrganisation];
  // What was spent in an earlier session counts as spent for good.
  entry.mRefunded = std::min(entry.mRefunded + aAmount, entry.mSpent);
}

void CreditAccount::Donate(const OrganisationName& aOrganisation,
                           Credit aAmount)
{
  mEntries[aOrganisation].mDonated += aAmount;
}

void CreditAccount::SetNeeded(const OrganisationName& aOrganisation,
                              Credit aAmount, Credit aFirst)
{
  Entry& entry = mEntries[aOrganisation];
  entry.mNeeded = aAmount;
  entry.mFirstNeeded = std::min(aFirst, aAmount);
}

void CreditAccount::SetGrantedOn(const OrganisationName& aOrganisation,
                                 Credit aAmount)
{
  mEntries[aOrganisation].mGrantedOn = aAmount;
}

void CreditAccount::SetFloor(const OrganisationName& aOrganisation,
                             Credit aAmount)
{
  mEntries[aOrganisation].mFloor = aAmount;
}

void CreditAccount::Retain(
  const std::function<bool(const OrganisationName&)>& aIsKept)
{
  for (auto& [organisation, entry] : mEntries) {
    entry.mIsKept = aIsKept(organisation);
    if (!entry.mIsKept) {
      entry.mNeeded = 0;
      entry.mFirstNeeded = 0;
      entry.mFloor = 0;
      entry.mRate = 0;
    }
  }
}

std::optional<CreditReport> CreditAccount::MakeReport(Instant aNow)
{
  if (!mGranter) {
    return std::nullopt;
  }
  if (mEpoch != 0 && aNow >= mLeaseEnd) {
    Void();
  }
  CreditReport report;
  report.mFrom = mOptions.mSelf;
  report.mIsHome = mOptions.mIsHome;
  report.mSession = mSession;
  report.mSequence = ++mSequence;
  mSentAt[mSequence % kKeptReports] = { mSequence, aNow };
  const bool isFull = !mIsKnown || mSequence % kFullReportInterval == 0;
  for (auto& [organisation, entry] : mEntries) {
    auto reserve = static_cast<Credit>(
      std::ceil(RateAt(aNow, entry) * Seconds(mOptions.mReserve)));
    // Less than a request costs would be of no use here, and lacks elsewhere.
    reserve -= entry.mLastCost > 0 ? reserve % entry.mLastCost : 0;
    CreditUse use;
    use.mOrganisation = organisation;
    use.mWanted = std::max(reserve, entry.mFloor) + entry.mGrantedOn;
    const Credit left = Balance(aNow, organisation);
    const Credit surplus =
      std::min(left - (entry.mIsShort ? 1 : kSurplusFactor) * use.mWanted,
               left - entry.mGrantedOn);
    if (surplus > 0 && entry.mNeeded == 0) {
      entry.mReturned += surplus;
    }
    use.mSpent = entry.mSpent;
    use.mReturned = entry.mReturned;
    use.mRefunded = entry.mRefunded;
    use.mDonated = entry.mDonated;
    use.mBalance = Balance(aNow, organisation);
    use.mNeeded = entry.mNeeded;
    use.mFirstNeeded = entry.mFirstNeeded;
    if (isFull || entry.mNeeded > 0 || entry.mReported != use) {
      entry.mReported = use;
      report.mUses.push_back(std::move(use));
    }
  }
  return report;
}

bool CreditAccount::OnReply(Instant aNow, const CreditReply& aReply)
{
  const auto [sequence, sentAt] = mSentAt[aReply.mSequence % kKeptReports];
  if (aReply.mSession != mSession || mGranter != aReply.mFrom ||
      aReply.mEpoch < mLeastEpoch || sequence != aReply.mSequence) {
    return false;
  }
  if (mEpoch != 0 && aNow >= mLeaseEnd) {
    // The granter may have counted the credit as spent in the meantime.
    Void();
    return false;
  }
  const bool isOther = mEpoch != 0 && aReply.mEpoch != mEpoch;
  if (isOther && mIsKnown) {
    // The granter has restarted and knows nothing of the credit.
    Void();
    return false;
  }
  mEpoch = aReply.mEpoch;
  mIsKnown = true;
  mRepliedAt = aNow;
  mHomes = aReply.mHomes;
  mLeaseEnd = std::max(
    mLeaseEnd, sentAt + Duration(std::chrono::milliseconds(aReply.mLeaseMs)));
  for (const CreditGrant& grant : aReply.mGrants) {
    Entry& entry = mEntries[grant.mOrganisation];
    // Another granter counts what it took over as granted by itself.
    entry.mGranted =
      isOther ? grant.mGranted : std::max(entry.mGranted, grant.mGranted);
    entry.mRetryMs = grant.mRetryMs;
    entry.mIsShort = grant.mIsShort;
    if (grant.mIsCalled) {
      entry.mReturned += std::max<Credit>(entry.Left() - entry.mGrantedOn, 0);
    }
  }
  return true;
}

Duration CreditAccount::LeaseLeft(Instant aNow) const
{
  return std::max(mLeaseEnd - aNow, Duration::zero());
}

Duration CreditAccount::RetryAfter(const OrganisationName& aOrganisation) const
{
  const auto it = mEntries.find(aOrganisation);
  return it == mEntries.end()
           ? Duration::zero()
           : Duration(std::chrono::milliseconds(it->second.mRetryMs));
}

bool CreditAccount::IsShort(const OrganisationName& aOrganisation) const
{
  const auto it = mEntries.find(aOrganisation);
  return it != mEntries.end() && it->second.mIsShort;
}

bool CreditAccount::IsActive(Instant aNow) const
{
  return std::ranges::any_of(mEntries, [&](const auto& aItem) {
    const Entry& entry = aItem.second;
    return entry.mNeeded > 0 || entry.Left() > 0 || RateAt(aNow, entry) >= 1 ||
           !entry.mReported || entry.mReported->mSpent != entry.mSpent ||
           entry.mReported->mRefunded != entry.mRefunded;
  });
}

} // namespace carobtide
