#include "carobtide/routing/quarantine.hpp"

#include <algorithm>
#include <tuple>

namespace carobtide {

void Quarantine::MarkSuspect(Instant aNow, const Digest& aFingerprint)
{
  if (Find(aNow, aFingerprint) != Suspicion::Quarantined) {
    Put(aFingerprint, { Suspicion::Suspect, aNow + kSuspectLifetime });
  }
}

void Quarantine::MarkQuarantined(Instant aNow, const Digest& aFingerprint)
{
  Put(aFingerprint, { Suspicion::Quarantined, aNow + kQuarantineLifetime });
}

void Quarantine::Clear(const Digest& aFingerprint)
{
  const auto it = mRows.find(aFingerprint);
  if (it != mRows.end() && it->second.mSuspicion == Suspicion::Suspect) {
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

void Quarantine::Put(const Digest& aFingerprint, const Row& aRow)
{
  mRows[aFingerprint] = aRow;
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
