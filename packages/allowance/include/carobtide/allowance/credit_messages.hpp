#pragma once

/**
 * @file
 * Messages between a holder of credit and the daemon that grants it: a routing
 * daemon and its home, a home and the leader. All counts are cumulative within
 * a session, so that a lost or repeated datagram changes nothing.
 */

#include "carobtide/base.hpp"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace carobtide {

/** Credit in whole units of an allowance: requests or tokens. */
using Credit = std::int64_t;

/** What a holder says of one organisation's credit. */
struct CreditUse
{
  OrganisationName mOrganisation;
  /** Spent since the session began. */
  Credit mSpent = 0;
  /** Unspent credit given back since the session began. */
  Credit mReturned = 0;
  /** Spent since the session began for requests that did not run. */
  Credit mRefunded = 0;
  /** Given to the granter out of the holder's own share of the allowance. */
  Credit mDonated = 0;
  /** What the holder has left. */
  Credit mBalance = 0;
  /** What it would like to have at hand. */
  Credit mWanted = 0;
  /** What requests that wait for credit lack. */
  Credit mNeeded = 0;
  /** What the first of them lacks: less than that is of no use. */
  Credit mFirstNeeded = 0;

  bool operator==(const CreditUse&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mOrganisation, mSpent, mReturned, mRefunded, mDonated, mBalance,
             mWanted, mNeeded, mFirstNeeded);
  }
};

/** From a holder to its granter. */
struct CreditReport
{
  Endpoint mFrom;
  /** The holder is a home, and the granter the leader. */
  bool mIsHome = false;
  /** Drawn anew when the holder starts and when its credit becomes void. */
  std::uint64_t mSession = 0;
  /** Grows with each report. */
  std::uint64_t mSequence = 0;
  /** Organisations without an entry are unchanged. */
  std::vector<CreditUse> mUses;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom, mIsHome, mSession, mSequence, mUses);
  }
};

/** What a granter has granted for one organisation. */
struct CreditGrant
{
  OrganisationName mOrganisation;
  /** Granted since the session began. */
  Credit mGranted = 0;
  /** Time until what the holder still lacks may be there; 0: it lacks none. */
  std::uint32_t mRetryMs = 0;
  /** Requests wait at some holder: what others have at hand is of use there. */
  bool mIsShort = false;
  /** The holder has to give back what it has: nothing backs it any more. */
  bool mIsCalled = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mOrganisation, mGranted, mRetryMs, mIsShort, mIsCalled);
  }
};

/** From a granter to a holder. */
struct CreditReply
{
  Endpoint mFrom;
  /** The leader's term, or the start of a home's process. */
  std::uint64_t mEpoch = 0;
  std::uint64_t mSession = 0;
  /** The holder's latest report: its sending time starts the lease. */
  std::uint64_t mSequence = 0;
  /** Lifetime of the credit from that time on, in milliseconds. */
  std::uint32_t mLeaseMs = 0;
  std::vector<CreditGrant> mGrants;
  /**
   * Members of the control group, if the holder is one of them: it may have a
   * share of its own of each allowance. 0 if it is not.
   */
  std::uint32_t mHomes = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom, mEpoch, mSession, mSequence, mLeaseMs, mGrants, mHomes);
  }
};

} // namespace carobtide
