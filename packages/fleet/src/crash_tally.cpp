#include "carobtide/fleet/crash_tally.hpp"

#include <algorithm>
#include <iterator>

namespace carobtide {

namespace {

/** Crashes kept of one entry; more do not change a decision. */
constexpr std::size_t kMaxCrashes = 16;

} // namespace

CrashTally::CrashId CrashTally::IdOf(const CrashReport& aReport)
{
  return ProcessHash(aReport.mTarget, aReport.mIncarnation);
}

void CrashTally::Insert(Instant aNow, const CrashReport& aReport)
{
  Entry& entry = mEntries[aReport.mFingerprint];
  entry.mLastAt = aNow;
  if (entry.mCrashes.size() < kMaxCrashes) {
    entry.mCrashes.insert(IdOf(aReport));
  }
  if (mEntries.size() > kCapacity) {
    mEntries.erase(std::ranges::min_element(
      mEntries, {}, [](const auto& aIt) { return aIt.second.mLastAt; }));
  }
}

void CrashTally::Explain(const Entries::value_type& aBlocked,
                         TallyResult& aResult)
{
  const auto& explained = aBlocked.second.mCrashes;
  for (auto& [fingerprint, entry] : mEntries) {
    if (fingerprint == aBlocked.first) {
      continue;
    }
    if (!entry.mIsBlocked) {
      std::erase_if(entry.mCrashes,
                    [&](CrashId aId) { return explained.contains(aId); });
      continue;
    }
    const auto left = std::ranges::count_if(
      entry.mCrashes, [&](CrashId aId) { return !explained.contains(aId); });
    // Content that was there at the same crashes cannot be told apart.
    if (entry.mCrashes.size() < explained.size() &&
        static_cast<std::size_t>(left) < kCrashesToBlock) {
      entry.mIsBlocked = false;
      entry.mCrashes.clear();
      aResult.mLifted.push_back(fingerprint);
    }
  }
  std::erase_if(mEntries,
                [](const auto& aIt) { return aIt.second.mCrashes.empty(); });
}

TallyResult CrashTally::Add(Instant aNow, std::span<const CrashReport> aReports)
{
  TallyResult result;
  std::ranges::for_each(
    aReports, [&](const CrashReport& aReport) { Insert(aNow, aReport); });
  std::set<Digest> toExplain;
  for (const CrashReport& report : aReports) {
    const auto it = mEntries.find(report.mFingerprint);
    if (it == mEntries.end()) {
      continue;
    }
    Entry& entry = it->second;
    if (!entry.mIsBlocked && entry.mCrashes.size() >= kCrashesToBlock) {
      entry.mIsBlocked = true;
      result.mBlocked.push_back(report.mFingerprint);
    }
    if (entry.mIsBlocked) {
      toExplain.insert(report.mFingerprint);
    }
  }
  for (const Digest& fingerprint : toExplain) {
    const auto it = mEntries.find(fingerprint);
    if (it != mEntries.end() && it->second.mIsBlocked) {
      const Entries::value_type blocked = *it;
      Explain(blocked, result);
    }
  }
  std::erase_if(result.mBlocked, [&](const Digest& aIt) {
    return std::ranges::find(result.mLifted, aIt) != result.mLifted.end();
  });
  return result;
}

bool CrashTally::Clear(const Digest& aFingerprint)
{
  return mEntries.erase(aFingerprint) > 0;
}

void CrashTally::OnBlockEnded(const Digest& aFingerprint)
{
  const auto it = mEntries.find(aFingerprint);
  if (it == mEntries.end()) {
    return;
  }
  auto& crashes = it->second.mCrashes;
  it->second.mIsBlocked = false;
  while (crashes.size() >= kCrashesToBlock) {
    crashes.erase(crashes.begin());
  }
}

void CrashTally::Expire(Instant aNow)
{
  std::erase_if(mEntries, [&](const auto& aIt) {
    return aNow - aIt.second.mLastAt >= kRetention;
  });
}

} // namespace carobtide
