#include "carobtide/routing/quarantine.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace carobtide {

bool Quarantine::AddStrike(Instant aNow, const CrashReport& aStrike)
{
  Row row;
  if (const auto it = mRows.find(aStrike.mFingerprint);
      it != mRows.end() && it->second.mExpiry > aNow) {
    row = it->second;
  }
  const bool isKnown =
    row.mSuspicion >= Suspicion::Suspect ||
    std::ranges::find(row.mStrikes, aStrike) != row.mStrikes.end();
  if (isKnown) {
    return false;
  }
  row.mStrikes.push_back(aStrike);
  row.mSuspicion = row.mStrikes.size() >= kStrikesOfSuspect ? Suspicion::Suspect
                                                            : Suspicion::Struck;
  row.mExpiry = aNow + kSuspectLifetime;
  Put(aStrike.mFingerprint, std::move(row));
  return true;
}

bool Quarantine::HasOtherStrike(Instant aNow, const CrashReport& aStrike) const
{
  const auto it = mRows.find(aStrike.mFingerprint);
  if (it == mRows.end() || it->second.mExpiry <= aNow) {
    return false;
  }
  return it->second.mSuspicion >= Suspicion::Suspect ||
         std::ranges::any_of(it->second.mStrikes, [&](const CrashReport& aIt) {
           return aIt != aStrike;
         });
}

void Quarantine::MarkQuarantined(Instant aNow, const Digest& aFingerprint)
{
  Put(aFingerprint, { Suspicion::Quarantined, aNow + kQuarantineLifetime, {} });
}

void Quarantine::Clear(const Digest& aFingerprint)
{
  const auto it = mRows.find(aFingerprint);
  if (it != mRows.end() && it->second.mSuspicion != Suspicion::Quarantined) {
    mRows.erase(it);
  }
}

Suspicion Quarantine::Find(Instant aNow, const Digest& aFingerprint) const
{
  const auto it = mRows.find(aFingerprint);
  if (it == mRows.end() || it->second.mExpiry <= aNow) {
    return Suspicion::None;
  }
  return it->second.mSuspicion;
}

void Quarantine::Expire(Instant aNow)
{
  std::erase_if(mRows,
                [&](const auto& aRow) { return aRow.second.mExpiry <= aNow; });
}

void Quarantine::Put(const Digest& aFingerprint, Row aRow)
{
  mRows[aFingerprint] = std::move(aRow);
  if (mRows.size() <= kCapacity) {
    return;
  }
  const auto victim = std::ranges::min_element(mRows, {}, [&](const auto& aIt) {
    const bool isNew = aIt.first == aFingerprint;
    return std::tuple(isNew, aIt.second.mSuspicion, aIt.second.mExpiry);
  });
  mRows.erase(victim);
}

} // namespace carobtide
