#include "carobtide/routing/caller_table.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

/** Capacity of a caller's token bucket, in seconds of its rate. */
constexpr double kTokenBurstSeconds = 2.0;
constexpr Duration kConcurrencyRetryAfter = 1s;
constexpr double kMinShare = 0.001;

std::size_t Row(PriorityClass aPriority)
{
  return static_cast<std::size_t>(aPriority);
}

} // namespace

void CallerTable::SetBundle(const Bundle& aBundle)
{
  for (const CallerSpec& spec : aBundle.mCallers) {
    Entry& entry = mCallers[Intern(spec.mName)];
    const bool isNewLimit =
      entry.mMaxTokensPerSecond != spec.mMaxTokensPerSecond;
    entry.mShare = std::max(kMinShare, spec.mShare);
    entry.mMaxConcurrent = spec.mMaxConcurrent;
    entry.mMaxTokensPerSecond = spec.mMaxTokensPerSecond;
    if (isNewLimit) {
      entry.mTokens = kTokenBurstSeconds * spec.mMaxTokensPerSecond;
    }
  }
}

CallerIndex CallerTable::Intern(const CallerName& aName)
{
  const auto [it, isNew] =
    mByName.try_emplace(aName, static_cast<CallerIndex>(mCallers.size()));
  if (isNew) {
    mCallers.emplace_back();
  }
  return it->second;
}

void CallerTable::Refill(Instant aNow, Entry& aEntry) const
{
  const double rate = aEntry.mMaxTokensPerSecond;
  const double seconds =
    std::chrono::duration<double>(aNow - aEntry.mRefilledAt).count();
  aEntry.mTokens = std::min(kTokenBurstSeconds * rate,
                            aEntry.mTokens + std::max(0.0, seconds) * rate);
  aEntry.mRefilledAt = std::max(aEntry.mRefilledAt, aNow);
}

LimitDecision CallerTable::Check(Instant aNow, CallerIndex aCaller)
{
  Entry& entry = mCallers[aCaller];
  if (entry.mMaxConcurrent > 0 && entry.mInSystem >= entry.mMaxConcurrent) {
    return { false, kConcurrencyRetryAfter };
  }
  if (entry.mMaxTokensPerSecond == 0) {
    return {};
  }
  Refill(aNow, entry);
  if (entry.mTokens > 0.0) {
    return {};
  }
  const double seconds = (1.0 - entry.mTokens) / entry.mMaxTokensPerSecond;
  return { false, Duration(static_cast<std::int64_t>(seconds * 1e6) + 1) };
}

void CallerTable::OnAdmitted(Instant aNow, CallerIndex aCaller, double aTokens)
{
  Entry& entry = mCallers[aCaller];
  ++entry.mInSystem;
  if (entry.mMaxTokensPerSecond > 0) {
    Refill(aNow, entry);
    entry.mTokens -= aTokens;
  }
}

void CallerTable::OnEnded(CallerIndex aCaller, double aExpectedTokens,
                          double aActualTokens)
{
  Entry& entry = mCallers[aCaller];
  --entry.mInSystem;
  if (entry.mMaxTokensPerSecond > 0) {
    entry.mTokens += aExpectedTokens - aActualTokens;
  }
}

double CallerTable::DecayingSum::At(Instant aNow) const
{
  const double lives = std::chrono::duration<double>(aNow - mAsOf).count() /
                       std::chrono::duration<double>(kUsageHalfLife).count();
  return mValue * std::exp2(-std::max(0.0, lives));
}

void CallerTable::Charge(Instant aNow, CallerIndex aCaller,
                         PriorityClass aPriority, double aSlotSeconds)
{
  DecayingSum& usage = mCallers[aCaller].mUsage[Row(aPriority)];
  usage.mValue = std::max(0.0, usage.At(aNow) + aSlotSeconds);
  usage.mAsOf = std::max(usage.mAsOf, aNow);
}

double CallerTable::Usage(Instant aNow, CallerIndex aCaller,
                          PriorityClass aPriority) const
{
  const Entry& entry = mCallers[aCaller];
  return entry.mUsage[Row(aPriority)].At(aNow) / entry.mShare;
}

} // namespace carobtide
