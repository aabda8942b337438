#pragma once

/**
 * @file
 * Messages between daemons beside those of the control log.
 */

#include "carobtide/base.hpp"
#include "carobtide/consensus.hpp"
#include "carobtide/placement.hpp"
#include "carobtide/routing.hpp"

#include <cereal/types/map.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace carobtide {

/** The types of frames. Replies set the high bit, which transport does. */
enum class PeerMessageType : std::uint16_t
{
  Consensus = 1,
  /** Call: an encoded ControlCommand; the reply is a ControlReply. */
  Execute = 2,
  /** Call: a BootstrapProbe; the reply is a BootstrapStatus. */
  Bootstrap = 3,
  /** Call: a BundleQuery; the reply is a BundleInForce. */
  FetchBundle = 4,
  EpochNotice = 5,
  AnnouncementGossip = 6,
  CacheEvents = 7,
  Hints = 8,
  Quarantine = 9,
  Heartbeat = 10,
  /** A CrashReport. */
  Strike = 11,
};

/** Asks what a daemon with a disk knows of the control group. */
struct BootstrapProbe
{
  DaemonName mFrom;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom);
  }
};

/** How far a daemon's replica has got. */
struct BootstrapStatus
{
  /** True once its replica has an identity on its disk. */
  bool mHasIdentity = false;
  /** True once it has voted or holds any entry: the group exists. */
  bool mHasHistory = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mHasIdentity, mHasHistory);
  }
};

/** Asks for the bundle in force if it is newer than the asker's. */
struct BundleQuery
{
  Epoch mKnown;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mKnown);
  }
};

/** The bundle in force; the text is empty if it is not newer. */
struct BundleInForce
{
  Epoch mEpoch;
  std::string mText;
  DaemonName mLeader;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mEpoch, mText, mLeader);
  }
};

/** Tells peers which epoch a daemon has. */
struct EpochNotice
{
  DaemonName mFrom;
  Epoch mEpoch;
  DaemonName mLeader;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom, mEpoch, mLeader);
  }
};

/** A daemon's own in-flight counts. */
struct HintsMessage
{
  DaemonName mFrom;
  std::vector<InFlightHint> mHints;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom, mHints);
  }
};

template<class Archive>
void serialize(Archive& aArchive, CacheEvent& aEvent)
{
  aArchive(aEvent.mTarget, aEvent.mPrefixHash, aEvent.mEvicted);
}

template<class Archive>
void serialize(Archive& aArchive, ModelDemand& aDemand)
{
  aArchive(aDemand.mFast, aDemand.mSlow);
}

/** A daemon's sign of life, with what the leader needs of it. */
struct HeartbeatMessage
{
  DaemonName mFrom;
  std::uint64_t mIncarnation = 0;
  /** Zero for a daemon without a disk. */
  ReplicaId mReplica;
  HybridStamp mStamp;
  DemandTable mDemand;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom, mIncarnation, mReplica, mStamp, mDemand);
  }
};

} // namespace carobtide
