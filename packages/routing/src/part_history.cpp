#include "carobtide/routing/part_history.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

/** Fewer answers than this may be of before the part did harm. */
constexpr double kMinAnswers = 0.5;
/** After this many half-lives a weight no longer matters. */
constexpr int kRetainedHalfLives = 15;

} // namespace

double PartHistory::DecayOf(Instant aNow, const Entry& aEntry)
{
  const std::chrono::duration<double> age = aNow - aEntry.mAt;
  const std::chrono::duration<double> halfLife = kHalfLife;
  return std::exp2(-std::max(age / halfLife, 0.0));
}

PartHistory::Entry* PartHistory::Touch(Instant aNow, const Digest& aPart)
{
  if (mEntries.size() >= kCapacity && !mEntries.contains(aPart)) {
    return nullptr;
  }
  Entry& entry = mEntries[aPart];
  const double decay = DecayOf(aNow, entry);
  entry.mAnswers *= decay;
  entry.mCrashes *= decay;
  entry.mAt = aNow;
  return &entry;
}

void PartHistory::OnAnswer(Instant aNow, const Digest& aPart)
{
  if (Entry* entry = Touch(aNow, aPart)) {
    entry->mAnswers += 1;
  }
}

void PartHistory::OnCrash(Instant aNow, const Digest& aPart)
{
  if (Entry* entry = Touch(aNow, aPart)) {
    entry->mCrashes += 1;
    entry->mCrashedAt = aNow;
  }
}

bool PartHistory::IsSound(Instant aNow, const Digest& aPart) const
{
  const auto it = mEntries.find(aPart);
  return it != mEntries.end() &&
         it->second.mAnswers * DecayOf(aNow, it->second) >= kMinAnswers &&
         it->second.mAnswers > it->second.mCrashes;
}

Instant PartHistory::LastCrash(const Digest& aPart) const
{
  const auto it = mEntries.find(aPart);
  return it == mEntries.end() ? Instant() : it->second.mCrashedAt;
}

void PartHistory::Expire(Instant aNow)
{
  std::erase_if(mEntries, [&](const auto& aIt) {
    return aNow - aIt.second.mAt >= kRetainedHalfLives * kHalfLife;
  });
}

} // namespace carobtide
