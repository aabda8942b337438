#include "carobtide/routing/quarantine.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace carobtide {

bool Quarantine::AddCrash(Instant aNow, const CrashReport& aReport)
{
  Entry entry;
  if (const auto it = mEntries.find(aReport.mFingerprint);
      it != mEntries.end() && it->second.mExpiry > aNow) {
    entry = it->second;
  }
  const bool isKnown =
    entry.mSuspicion >= Suspicion::Suspect ||
    std::ranges::find(entry.mCrashes, aReport) != entry.mCrashes.end();
  if (isKnown) {
    return false;
  }
  entry.mCrashes.push_back(aReport);
  entry.mSuspicion = entry.mCrashes.size() >= kCrashesForSuspect
                       ? Suspicion::Suspect
                       : Suspicion::CrashedOnce;
  entry.mExpiry = aNow + kSuspectLifetime;
  Put(aReport.mFingerprint, std::move(entry));
  return true;
}

bool Quarantine::HasOtherCrash(Instant aNow, const CrashReport& aReport) const
{
  const auto it = mEntries.find(aReport.mFingerprint);
  if (it == mEntries.end() || it->second.mExpiry <= aNow) {
    return false;
  }
  return it->second.mSuspicion >= Suspicion::Suspect ||
         std::ranges::any_of(it->second.mCrashes, [&](const CrashReport& aIt) {
           return aIt != aReport;
         });
}

void Quarantine::MarkQuarantined(Instant aNow, const Digest& aFingerprint)
{
  Put(aFingerprint, { Suspicion::Quarantined, aNow + kQuarantineLifetime, {} });
}

void Quarantine::Clear(const Digest& aFingerprint)
{
  const auto it = mEntries.find(aFingerprint);
  if (it != mEntries.end() && it->second.mSuspicion != Suspicion::Quarantined) {
    mEntries.erase(it);
  }
}

Suspicion Quarantine::Find(Instant aNow, const Digest& aFingerprint) const
{
  const auto it = mEntries.find(aFingerprint);
  if (it == mEntries.end() || it->second.mExpiry <= aNow) {
    return Suspicion::None;
  }
  return it->second.mSuspicion;
}

void Quarantine::Expire(Instant aNow)
{
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aEntry.second.mExpiry <= aNow;
  });
}

void Quarantine::Put(const Digest& aFingerprint, Entry aEntry)
{
  mEntries[aFingerprint] = std::move(aEntry);
  if (mEntries.size() <= kCapacity) {
    return;
  }
  const auto evicted =
    std::ranges::min_element(mEntries, {}, [&](const auto& aIt) {
      const bool isNew = aIt.first == aFingerprint;
      return std::tuple(isNew, aIt.second.mSuspicion, aIt.second.mExpiry);
    });
  mEntries.erase(evicted);
}

} // namespace carobtide
