#pragma once

/**
 * @file
 * What daemons tell each other of content that crashes targets. Content is
 * named by digests ("fingerprints").
 */

#include "carobtide/base.hpp"

#include <cereal/types/vector.hpp>

#include <cstdint>
#include <vector>

namespace carobtide {

/**
 * Content that was in flight on a target that crashed. Daemons exchange these
 * reports so that crashes add up when the same content is sent to several
 * daemons.
 */
struct CrashReport
{
  /** Digest of the content. */
  Digest mFingerprint;
  /**
   * The process that crashed, which identifies the crash: two daemons may
   * report the same one.
   */
  TargetName mTarget;
  Incarnation mIncarnation;

  bool operator==(const CrashReport&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFingerprint, mTarget, mIncarnation);
  }
};

/** Content that must not be sent to targets. */
struct ContentBlock
{
  Digest mFingerprint;
  /** How long the block still lasts. */
  std::uint32_t mRemainingMs = 0;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mFingerprint, mRemainingMs);
  }
};

/** From routing daemons to their home, and between control daemons. */
struct CrashNotice
{
  std::vector<CrashReport> mCrashes;
  std::vector<ContentBlock> mBlocks;
  /** Content that a target has answered in full since a crash. */
  std::vector<Digest> mSound;
  /** Already sent to all control daemons. */
  bool mIsRelayed = false;

  bool IsEmpty() const
  {
    return mCrashes.empty() && mBlocks.empty() && mSound.empty();
  }

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mCrashes, mBlocks, mSound, mIsRelayed);
  }
};

/** Changes of the blocks at a control daemon, for its watchers. */
struct BlockChanges
{
  /** The version that a watcher has after these changes. */
  std::uint64_t mVersion = 0;
  std::vector<ContentBlock> mBlocks;
  std::vector<Digest> mLifted;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mBlocks, mLifted);
  }
};

} // namespace carobtide
