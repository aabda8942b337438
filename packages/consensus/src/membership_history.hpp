#pragma once

/**
 * @file
 * The memberships that the entries of a log bring into force.
 */

#include "carobtide/consensus/types.hpp"

#include <vector>

namespace carobtide {

/**
 * Memberships by the log index that brought them. A membership is in force
 * from the moment its entry is in the log, committed or not.
 *
 * Thread safety: none; the owner guards it.
 */
class MembershipHistory
{
public:
  MembershipHistory(std::uint64_t aIndex, Membership aMembership);

  const Membership& Current() const { return mVersions.back().mMembership; }
  std::uint64_t CurrentIndex() const { return mVersions.back().mIndex; }

  /** The membership as of an index. Precondition: not before the oldest. */
  const Membership& At(std::uint64_t aIndex) const;

  /** Precondition: `aIndex` is above CurrentIndex(). */
  void Add(std::uint64_t aIndex, Membership aMembership);

  /** Forgets memberships from an index on; true if the current one changed. */
  bool TruncateFrom(std::uint64_t aIndex);

  /** Forgets what precedes the membership as of an index. */
  void CompactTo(std::uint64_t aIndex);

  /** Forgets everything and starts with one membership. */
  void Reset(std::uint64_t aIndex, Membership aMembership);

private:
  struct Version
  {
    std::uint64_t mIndex = 0;
    Membership mMembership;
  };

  std::vector<Version> mVersions;
};

} // namespace carobtide
