#pragma once

/**
 * @file
 * Messages between routing daemons and daemons with control duties. Encoded
 * with cereal by the shells.
 */

#include "carobtide/catalog/catalog_register.hpp"
#include "carobtide/fleet/crash_messages.hpp"
#include "carobtide/fleet/peer_directory.hpp"
#include "carobtide/fleet/relay_board.hpp"
#include "carobtide/fleet/target.hpp"

#include <cstdint>
#include <vector>

namespace carobtide {

/** Types of frames and datagrams, apart from those of `PeerMessageType`. */
enum class FleetMessageType : std::uint16_t
{
  Greeting = 101,
  HeartbeatNotice = 102,
  LeaveNotice = 103,
  Demand = 104,
  Load = 105,
  Consensus = 106,
  LoadTotal = 107,
  Residency = 108,
  ResidencyRequest = 109,
  CrashNotice = 110,
  StreamNotice = 111,
  DrainNotice = 112,
  LimitNotice = 113,
  /** Of package allowance; daemons that do not know them ignore them. */
  CreditReport = 114,
  CreditReply = 115,
  /** Datagrams about failures and speeds; ignored by the build before. */
  TargetSamples = 116,
  TargetSums = 117,
  /** Calls. */
  Watch = 121,
  GetCatalog = 122,
  EnsureAdapter = 123,
  Propose = 124,
  StreamQuery = 125,
};

/** Sent between daemons with control duties, several times a second. */
struct Greeting
{
  PeerInfo mFrom;
  std::vector<Endpoint> mKnown;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom, mKnown);
  }
};

/** A target said that it leaves. */
struct LeaveNotice
{
  TargetName mTarget;
  Incarnation mIncarnation;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget, mIncarnation);
  }
};

/** A target said in an answer that it leaves. */
struct DrainNotice
{
  TargetName mTarget;
  Incarnation mIncarnation;
  /** Already sent to all control daemons. */
  bool mIsRelayed = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget, mIncarnation, mIsRelayed);
  }
};

/** A target stated in an answer how many requests it takes. */
struct LimitNotice
{
  TargetName mTarget;
  Incarnation mIncarnation;
  RateLimit mLimit;
  /** Already sent to all control daemons. */
  bool mIsRelayed = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget, mIncarnation, mLimit, mIsRelayed);
  }
};

/** What one engine holds as the leader's orders left it. */
struct Residency
{
  TargetName mTarget;
  Incarnation mIncarnation;
  std::vector<HeldModel> mModels;
  /** Times are of the clock that the map states. */
  std::vector<LoadingModel> mLoading;

  bool operator==(const Residency&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTarget, mIncarnation, mModels, mLoading);
  }
};

/**
 * The leader's view of the engines: of all of them, or of those that changed
 * after an earlier version. Only the highest (term, version) counts.
 */
struct ResidencyMap
{
  std::uint64_t mTerm = 0;
  std::uint64_t mVersion = 0;
  std::vector<Residency> mEngines;
  /** The version of the same term that this updates; 0 if it is complete. */
  std::uint64_t mSince = 0;
  /** The leader's steady clock when this was sent, in microseconds. */
  std::int64_t mClockMicros = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTerm, mVersion, mEngines, mSince, mClockMicros);
    mClockMicros = BoundClock(mClockMicros);
  }
};

/** Asks the leader for the residency changes after a version. */
struct ResidencyRequest
{
  Endpoint mFrom;
  std::uint64_t mTerm = 0;
  std::uint64_t mVersion = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom, mTerm, mVersion);
  }
};

/** Asks for what changed; the reply waits until there is something. */
struct WatchRequest
{
  /** Peer address of the routing daemon. */
  Endpoint mFrom;
  FailureDomain mFailureDomain;
  /** Start of the process that numbered the changes; zero at first. */
  std::uint64_t mEpoch = 0;
  std::uint64_t mChange = 0;
  std::uint64_t mCatalogVersion = 0;
  /** The daemon asked is the watcher's home: it relays residency. */
  bool mIsHome = false;
  std::uint64_t mResidencyTerm = 0;
  std::uint64_t mResidencyVersion = 0;
  std::uint64_t mBlockVersion = 0;
  /** Where the watcher takes other daemons' requests; no host if nowhere. */
  Endpoint mRelay;
  /** Share of the targets that the watcher does not reach, 0 to 1. */
  double mUnreachable = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom, mFailureDomain, mEpoch, mChange, mCatalogVersion, mIsHome,
             mResidencyTerm, mResidencyVersion, mBlockVersion, mRelay,
             mUnreachable);
  }
};

/** What changed at one daemon. */
struct WatchReply
{
  std::uint64_t mEpoch = 0;
  std::uint64_t mChange = 0;
  /** Forget what this daemon said before. */
  bool mReset = false;
  std::vector<FleetRecord> mTargets;
  /** The version in force there; fetched with GetCatalog. */
  std::uint64_t mCatalogVersion = 0;
  /** The leader's peer address; empty host if unknown. */
  Endpoint mLeader;
  /** Empty unless newer than what the watcher has, and at its home. */
  std::vector<ResidencyMap> mResidency;
  /** Where the daemon that answers runs. */
  FailureDomain mFailureDomain;
  /** Peer addresses of daemons with control duties. */
  std::vector<Endpoint> mCores;
  /** Number of routing daemons that watch. */
  std::uint32_t mEdges = 0;
  BlockChanges mBlocks;
  /** Daemons that can send requests for the watcher; at its home only. */
  std::vector<RelayPeer> mRelays;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mEpoch, mChange, mReset, mTargets, mCatalogVersion, mLeader,
             mResidency, mFailureDomain, mCores, mEdges, mBlocks, mRelays);
  }
};

/** Asks the leader for an adapter that no usable target holds. */
struct EnsureAdapter
{
  ServiceName mService;
  ModelName mModel;
  AdapterName mAdapter;
  /** Those that hold it have no room: load it on one more. */
  bool mOneMore = false;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mModel, mAdapter, mOneMore);
  }
};

/** The targets that hold it now; empty if none could take it. */
struct EnsureAdapterReply
{
  std::vector<TargetName> mTargets;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTargets);
  }
};

/**
 * Demand for a model, or for an adapter of it, at one routing daemon since its
 * last report. Requests for an adapter count under the adapter only.
 */
struct DemandItem
{
  ServiceName mService;
  ModelName mModel;
  AdapterName mAdapter;
  /** Requests that arrived; refused ones count too. */
  std::uint32_t mArrivals = 0;
  /** Requests of it that run or wait at this moment. */
  std::uint32_t mInFlight = 0;
  /**
   * Requests that no target could take and that would run at this moment if one
   * had: refused within the last run time, or waiting.
   */
  std::uint32_t mUnplaced = 0;
  /** Microseconds that an engine should need to read the arrivals' prompts. */
  std::uint64_t mReading = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mModel, mAdapter, mArrivals, mInFlight, mUnplaced,
             mReading);
  }
};

/** Streams that no target of the software that began them could take. */
struct StreamDemand
{
  ServiceName mService;
  ModelName mModel;
  SoftwareVersion mSoftware;
  std::uint32_t mWaiting = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mService, mModel, mSoftware, mWaiting);
  }
};

struct DemandReport
{
  Endpoint mFrom;
  std::vector<DemandItem> mModels;
  std::vector<StreamDemand> mStreams;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFrom, mModels, mStreams);
  }
};

} // namespace carobtide
