#include "carobtide/allowance/allowance_buckets.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace carobtide {

namespace {

/** Least capacity: use of this time must fit beside what is on its way. */
constexpr Duration kMinCapacityTime = std::chrono::milliseconds(500);
/** Share of an allowance that homes hold together, and that the leader holds.
 */
constexpr double kHomesShare = 0.65;
constexpr double kLeaderShare = 1 - kHomesShare;
/** Least capacity at one home, for a few requests. */
constexpr double kMinHomeTokens = 4000;
constexpr double kMinHomeRequests = 4;
/** Bound on the time that refused callers are told to stay away. */
constexpr Duration kMaxRetry = std::chrono::seconds(5);
/** Time until a home has credit again, if the leader does not say. */
constexpr Duration kPoolRetry = std::chrono::milliseconds(100);

} // namespace

Credit CapacityOf(const Allowance& aAllowance, double aSlack)
{
  const double least =
    aAllowance.mRate * std::chrono::duration<double>(kMinCapacityTime).count();
  return static_cast<Credit>(
    std::max({ aAllowance.mBurst, least, aSlack, 1.0 }));
}

AllowanceShares ShareOf(const Allowance& aAllowance, double aSlack,
                        std::size_t aHomes)
{
  const double share =
    kHomesShare / static_cast<double>(std::max<std::size_t>(aHomes, 1));
  const double least = aAllowance.mUnit == AllowanceUnit::Tokens
                         ? kMinHomeTokens
                         : kMinHomeRequests;
  return static_cast<double>(CapacityOf(aAllowance, aSlack)) * share < least
           ? AllowanceShares{}
           : AllowanceShares{ share, kLeaderShare };
}

AllowanceBuckets::AllowanceBuckets(Instant aNow, Instant aTakeOverUntil,
                                   double aSlack)
  : mTakeOverUntil(std::max(aNow, aTakeOverUntil))
  , mSlack(aSlack)
{
}

AllowanceBuckets::Bucket* AllowanceBuckets::Find(
  const OrganisationName& aOrganisation)
{
  const auto it = mBuckets.find(aOrganisation);
  return it == mBuckets.end() ? nullptr : &it->second;
}

void AllowanceBuckets::SetCatalog(Instant aNow, const Catalog& aCatalog,
                                  const Share& aShare)
{
  std::map<OrganisationName, Bucket> buckets;
  for (const Organisation& it : aCatalog.mOrganisations) {
    double share = it.IsLimited() ? aShare(*it.mAllowance) : 0;
    if (share <= 0) {
      continue;
    }
    Bucket bucket;
    if (const Bucket* before = Find(it.mName)) {
      bucket = *before;
      if (share <= bucket.mShare) {
        bucket.mRiseSince.reset();
      } else {
        bucket.mRiseSince = bucket.mRiseSince.value_or(aNow);
        if (aNow - *bucket.mRiseSince < kShareLease) {
          share = bucket.mShare;
        }
      }
    } else {
      bucket.mAdvancedAt = aNow;
    }
    const double capacity =
      share * static_cast<double>(CapacityOf(*it.mAllowance, mSlack));
    if (aNow < mTakeOverUntil) {
      // Homes may hold credit of a larger limit as well.
      bucket.mReserve += std::max(capacity - bucket.mCapacity, 0.0);
    }
    bucket.mShare = share;
    bucket.mRate = share * it.mAllowance->mRate;
    bucket.mCapacity = capacity;
    bucket.mLevel = std::min(bucket.mLevel, capacity);
    buckets.emplace(it.mName, bucket);
  }
  mBuckets = std::move(buckets);
}

Credit AllowanceBuckets::TakeSurplus(const OrganisationName& aOrganisation,
                                     double aKeptShare)
{
  Bucket* bucket = Find(aOrganisation);
  const double surplus =
    bucket == nullptr ? 0 : bucket->mLevel - aKeptShare * bucket->mCapacity;
  const auto taken = static_cast<Credit>(std::floor(std::max(surplus, 0.0)));
  if (taken > 0) {
    bucket->mLevel -= static_cast<double>(taken);
  }
  return taken;
}

bool AllowanceBuckets::Has(const OrganisationName& aOrganisation) const
{
  return mBuckets.contains(aOrganisation);
}

Credit AllowanceBuckets::Missing(const OrganisationName& aOrganisation,
                                 double aShare) const
{
  const auto it = mBuckets.find(aOrganisation);
  return it == mBuckets.end()
           ? 0
           : static_cast<Credit>(std::max(
               aShare * it->second.mCapacity - it->second.mLevel, 0.0));
}

void AllowanceBuckets::Advance(Instant aNow,
                               const OrganisationName& aOrganisation,
                               Credit aOutstanding)
{
  Bucket* bucket = Find(aOrganisation);
  if (bucket == nullptr) {
    return;
  }
  if (aNow >= mTakeOverUntil) {
    bucket->mReserve = 0;
  }
  const double room = std::max(bucket->mCapacity - bucket->mReserve -
                                 static_cast<double>(aOutstanding),
                               0.0);
  const double seconds = std::max(
    std::chrono::duration<double>(aNow - bucket->mAdvancedAt).count(), 0.0);
  bucket->mLevel = std::min(bucket->mLevel + bucket->mRate * seconds, room);
  bucket->mAdvancedAt = aNow;
}

Credit AllowanceBuckets::Available(Instant /*aNow*/,
                                   const OrganisationName& aOrganisation,
                                   Credit aOutstanding) const
{
  const auto it = mBuckets.find(aOrganisation);
  if (it == mBuckets.end()) {
    return 0;
  }
  const Bucket& bucket = it->second;
  const double room =
    bucket.mCapacity - bucket.mReserve - static_cast<double>(aOutstanding);
  return static_cast<Credit>(
    std::floor(std::max(std::min(bucket.mLevel, room), 0.0)));
}

void AllowanceBuckets::OnAdopted(const OrganisationName& aOrganisation,
                                 Credit aAmount)
{
  if (Bucket* bucket = Find(aOrganisation)) {
    bucket->mReserve =
      std::max(bucket->mReserve - static_cast<double>(aAmount), 0.0);
  }
}

void AllowanceBuckets::OnGranted(const OrganisationName& aOrganisation,
                                 Credit aAmount)
{
  if (Bucket* bucket = Find(aOrganisation)) {
    bucket->mLevel -= static_cast<double>(aAmount);
  }
}

void AllowanceBuckets::OnSpent(const OrganisationName& /*aOrganisation*/,
                               Credit /*aAmount*/)
{
}

void AllowanceBuckets::OnReturned(const OrganisationName& aOrganisation,
                                  Credit aAmount)
{
  if (Bucket* bucket = Find(aOrganisation)) {
    bucket->mLevel += static_cast<double>(aAmount);
  }
}

void AllowanceBuckets::OnDonated(const OrganisationName& aOrganisation,
                                 Credit aAmount)
{
  OnReturned(aOrganisation, aAmount);
}

void AllowanceBuckets::OnRefunded(const OrganisationName& aOrganisation,
                                  Credit aAmount)
{
  // The next Advance or Available bounds the level by the capacity.
  OnReturned(aOrganisation, aAmount);
}

Duration AllowanceBuckets::TimeUntil(const OrganisationName& aOrganisation,
                                     Credit aAmount) const
{
  const auto it = mBuckets.find(aOrganisation);
  if (it == mBuckets.end()) {
    return kMaxRetry;
  }
  const double lacking = static_cast<double>(aAmount) - it->second.mLevel;
  const std::chrono::duration<double> time(std::max(lacking, 0.0) /
                                           it->second.mRate);
  // Compared as it is: at a very low rate the time is out of Duration's range.
  return time < kMaxRetry ? std::chrono::duration_cast<Duration>(time)
                          : kMaxRetry;
}

CreditPool::CreditPool(CreditAccount& aAccount, AllowanceBuckets& aOwn)
  : mAccount(aAccount)
  , mOwn(aOwn)
{
}

Credit CreditPool::GrantedOn(const OrganisationName& aOrganisation) const
{
  const auto it = mGrantedOn.find(aOrganisation);
  return it == mGrantedOn.end() ? 0 : it->second;
}

void CreditPool::SetGrantedOn(const OrganisationName& aOrganisation,
                              Credit aAmount)
{
  if (aAmount > 0) {
    mGrantedOn[aOrganisation] = aAmount;
  } else {
    mGrantedOn.erase(aOrganisation);
    mCalled.erase(aOrganisation);
  }
  mAccount.SetGrantedOn(aOrganisation, aAmount);
}

void CreditPool::Advance(Instant aNow, const OrganisationName& aOrganisation,
                         Credit aOutstanding)
{
  mNow = aNow;
  const Credit grantedOn = GrantedOn(aOrganisation);
  mOwn.Advance(aNow, aOrganisation, aOutstanding - grantedOn);
  if (grantedOn > 0 && mAccount.LeaseLeft(aNow) == Duration::zero()) {
    if (mOwn.Has(aOrganisation)) {
      mOwn.OnGranted(aOrganisation, grantedOn);
      SetGrantedOn(aOrganisation, 0);
    } else {
      mCalled.insert(aOrganisation);
    }
  }
}

Credit CreditPool::Available(Instant aNow,
                             const OrganisationName& aOrganisation,
                             Credit aOutstanding) const
{
  if (mCalled.contains(aOrganisation)) {
    return 0;
  }
  const Credit grantedOn = GrantedOn(aOrganisation);
  return mOwn.Available(aNow, aOrganisation, aOutstanding - grantedOn) +
         std::max<Credit>(mAccount.Balance(aNow, aOrganisation) - grantedOn, 0);
}

void CreditPool::Deposit(Instant aNow, const OrganisationName& aOrganisation,
                         double aShare)
{
  const Credit amount =
    std::min(mAccount.Balance(aNow, aOrganisation) - GrantedOn(aOrganisation),
             mOwn.Missing(aOrganisation, aShare));
  if (amount > 0) {
    mAccount.OnSpentElsewhere(aNow, aOrganisation, amount);
    mOwn.OnDonated(aOrganisation, amount);
  }
}

void CreditPool::OnAdopted(const OrganisationName& /*aOrganisation*/,
                           Credit /*aAmount*/)
{
}

void CreditPool::OnGranted(const OrganisationName& aOrganisation,
                           Credit aAmount)
{
  const Credit ofLeader = std::clamp<Credit>(
    mAccount.Balance(mNow, aOrganisation) - GrantedOn(aOrganisation), 0,
    aAmount);
  // The leader's part goes first: it is void sooner than the home's own.
  SetGrantedOn(aOrganisation, GrantedOn(aOrganisation) + ofLeader);
  mOwn.OnGranted(aOrganisation, aAmount - ofLeader);
}

void CreditPool::OnSpent(const OrganisationName& aOrganisation, Credit aAmount)
{
  const Credit ofLeader = std::min(aAmount, GrantedOn(aOrganisation));
  SetGrantedOn(aOrganisation, GrantedOn(aOrganisation) - ofLeader);
  mAccount.OnSpentElsewhere(mNow, aOrganisation, ofLeader);
}

void CreditPool::OnReturned(const OrganisationName& aOrganisation,
                            Credit aAmount)
{
  const Credit ofLeader = std::min(aAmount, GrantedOn(aOrganisation));
  SetGrantedOn(aOrganisation, GrantedOn(aOrganisation) - ofLeader);
  mOwn.OnReturned(aOrganisation, aAmount - ofLeader);
}

void CreditPool::OnDonated(const OrganisationName& /*aOrganisation*/,
                           Credit /*aAmount*/)
{
}

void CreditPool::OnRefunded(const OrganisationName& aOrganisation,
                            Credit aAmount)
{
  if (mOwn.Has(aOrganisation)) {
    mOwn.OnRefunded(aOrganisation, aAmount);
  } else {
    mAccount.Refund(aOrganisation, aAmount);
  }
}

Duration CreditPool::TimeUntil(const OrganisationName& aOrganisation,
                               Credit aAmount) const
{
  const Duration own = mOwn.TimeUntil(aOrganisation, aAmount);
  const Duration leader = mAccount.RetryAfter(aOrganisation);
  return leader > Duration::zero() ? std::min(own, leader)
                                   : std::min(own, kPoolRetry);
}
} // namespace carobtide
