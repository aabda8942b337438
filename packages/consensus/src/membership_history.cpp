/**
 * @file
 * Memberships by log index.
 */

#include "membership_history.hpp"

#include <algorithm>
#include <cassert>

namespace carobtide {

MembershipHistory::MembershipHistory(std::uint64_t aIndex,
                                     Membership aMembership)
  : mVersions{ Version{ aIndex, std::move(aMembership) } }
{
}

const Membership& MembershipHistory::At(std::uint64_t aIndex) const
{
  const auto it =
    std::ranges::upper_bound(mVersions, aIndex, {}, &Version::mIndex);
  assert(it != mVersions.begin());
  return std::prev(it)->mMembership;
}

void MembershipHistory::Add(std::uint64_t aIndex, Membership aMembership)
{
  assert(aIndex > CurrentIndex());
  mVersions.push_back(Version{ aIndex, std::move(aMembership) });
}

bool MembershipHistory::TruncateFrom(std::uint64_t aIndex)
{
  const auto it =
    std::ranges::lower_bound(mVersions, aIndex, {}, &Version::mIndex);
  assert(it != mVersions.begin());
  const bool changed = it != mVersions.end();
  mVersions.erase(it, mVersions.end());
  return changed;
}

void MembershipHistory::CompactTo(std::uint64_t aIndex)
{
  const auto it =
    std::ranges::upper_bound(mVersions, aIndex, {}, &Version::mIndex);
  if (it != mVersions.begin()) {
    mVersions.erase(mVersions.begin(), std::prev(it));
  }
}

void MembershipHistory::Reset(std::uint64_t aIndex, Membership aMembership)
{
  mVersions.clear();
  mVersions.push_back(Version{ aIndex, std::move(aMembership) });
}

} // namespace carobtide
