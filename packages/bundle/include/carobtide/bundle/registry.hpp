#pragma once

/**
 * @file
 * The aggregate BundleRegistry: the replicated state machine of bundles.
 * Commands arrive in log order, so that all replicas decide alike.
 */

#include "carobtide/base.hpp"
#include "carobtide/bundle/bundle.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace carobtide {

/** Where a bundle version stands. */
enum class BundleState : std::uint8_t
{
  Draft,
  SignedOff,
  /** Rolled and the one in force; its loads may still be under way. */
  Rolling,
  InForce,
  Superseded,
  Refused,
};

inline constexpr EnumTable<BundleState, 6> kBundleStates{ { {
  { BundleState::Draft, "draft" },
  { BundleState::SignedOff, "signed-off" },
  { BundleState::Rolling, "rolling" },
  { BundleState::InForce, "in-force" },
  { BundleState::Superseded, "superseded" },
  { BundleState::Refused, "refused" },
} } };

/** Stores a bundle text. The first commit of (name, version) wins. */
struct SubmitBundle
{
  std::string mText;
  std::string mOperator;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mText, mOperator);
  }
};

/** Binds an operator to the digest of a version. */
struct SignOffBundle
{
  std::string mName;
  std::uint64_t mVersion = 0;
  Digest mDigest;
  std::string mOperator;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mVersion, mDigest, mOperator);
  }
};

/** Makes a signed-off version the one that rolls out. */
struct RollBundle
{
  std::string mName;
  std::uint64_t mVersion = 0;
  Digest mDigest;
  std::string mOperator;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mName, mVersion, mDigest, mOperator);
  }
};

/** Reports that every load of the rolled version is done. */
struct FinishRoll
{
  Epoch mEpoch;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mEpoch);
  }
};

using BundleCommand =
  std::variant<SubmitBundle, SignOffBundle, RollBundle, FinishRoll>;

/** What a command came to; the same for a resend. */
struct BundleOutcome
{
  ErrorCode mCode = ErrorCode::Ok;
  BundleState mState = BundleState::Draft;
  Digest mDigest;
  /** For people: e.g. the digest and the operator that won a conflict. */
  std::string mDetail;
};

/** One stored version. */
struct BundleRecord
{
  /**
   * The text as submitted. A superseded version loses it, except the one that
   * was in force last.
   */
  std::string mText;
  /** Null where the text is gone. */
  std::shared_ptr<const Bundle> mBundle;
  Digest mDigest;
  BundleState mState = BundleState::Draft;
  std::string mSubmittedBy;
  std::string mSignedOffBy;
  std::string mRolledBy;
  /** Set once rolled. */
  Epoch mEpoch;

  /** Everything but the parsed bundle, which is parsed again. */
  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mText, mDigest, mState, mSubmittedBy, mSignedOffBy, mRolledBy,
             mEpoch);
  }
};

/** Bounds of the registry. They are part of the replicated decisions. */
struct BundleLimits
{
  /** Most versions that are submitted or signed off and not rolled. */
  static constexpr std::size_t kMaxOpenVersions = 32;
  /** Most text of those versions together. */
  static constexpr Bytes kMaxOpenBytes = 16 * kMiB;
  /** Most superseded versions whose digests are remembered. */
  static constexpr std::size_t kMaxSuperseded = 4096;
};

/**
 * All bundle versions and the one in force.
 *
 * Every successful command is idempotent: a resend is given the answer that
 * the first one was given. What is in force never goes back to a lower epoch,
 * nor to a lower version of the same name. A version below the highest rolled
 * one of its name is superseded, whether or not it was ever in force.
 *
 * Thread safety: none; the owner guards it. The bundles handed out are
 * immutable and may outlive the registry.
 */
class BundleRegistry
{
public:
  /**
   * Applies a committed command. `aIndex` is its log index; a successful
   * RollBundle makes it the epoch. Deterministic.
   */
  BundleOutcome Apply(std::uint64_t aIndex, const BundleCommand& aCommand);

  /**
   * Rolls to a bundle heard from a peer instead of the log (daemons without a
   * disk). Returns false and changes nothing unless the epoch is higher and
   * the text parses. Kept beside the replicated state: snapshots lack it, and
   * it yields once the log reaches its epoch.
   */
  bool Adopt(Epoch aEpoch, const std::string& aText);

  /** The epoch in force; zero before the first roll. */
  Epoch CurrentEpoch() const;

  /** The bundle in force, or null before the first roll. */
  std::shared_ptr<const Bundle> Current() const;

  /** The text of the bundle in force; empty before the first roll. */
  std::string CurrentText() const;

  const BundleRecord* Find(const std::string& aName,
                           std::uint64_t aVersion) const;

  /** All versions, ordered by name and version. */
  std::vector<const BundleRecord*> All() const;

  /** Serializes the whole state for a snapshot, and restores it. */
  std::string Save() const;
  Result<Unit> Load(const std::string& aSnapshot);

private:
  using Key = std::pair<std::string, std::uint64_t>;

  /** A version taken from a peer; its epoch is zero if there is none. */
  struct Adopted
  {
    Key mKey;
    BundleRecord mRecord;
  };

  BundleOutcome Decide(std::uint64_t aIndex, const SubmitBundle& aCommand);
  BundleOutcome Decide(std::uint64_t aIndex, const SignOffBundle& aCommand);
  BundleOutcome Decide(std::uint64_t aIndex, const RollBundle& aCommand);
  BundleOutcome Decide(std::uint64_t aIndex, const FinishRoll& aCommand);

  /** The highest rolled version of a name; zero if none was. */
  std::uint64_t HighestRolled(const std::string& aName) const;
  /** True if another open version of that many bytes would exceed a bound. */
  bool IsFull(std::size_t aTextBytes) const;
  void PutInForce(const Key& aKey, std::uint64_t aIndex);
  void ForgetOldest();
  const BundleRecord* CurrentRecord() const;

  std::map<Key, BundleRecord> mRecords;
  /** Superseded versions, oldest first. */
  std::deque<Key> mSuperseded;
  /** Names ever rolled and the highest version of each. */
  std::map<std::string, std::uint64_t> mHighestRolled;
  Key mCurrentKey;
  Epoch mEpoch;
  Adopted mAdopted;
};

} // namespace carobtide
