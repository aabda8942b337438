#pragma once

/**
 * @file
 * The aggregate BundleRegistry: the replicated state machine of bundles.
 * Commands arrive in log order, so that all replicas decide alike.
 */

#include "carobtide/base.hpp"
#include "carobtide/bundle/bundle.hpp"

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
  std::string mText;
  std::shared_ptr<const Bundle> mBundle;
  BundleState mState = BundleState::Draft;
  std::string mSubmittedBy;
  std::string mSignedOffBy;
  /** Set once rolled. */
  Epoch mEpoch;
};

/**
 * All bundle versions and the one in force.
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
   * disk). Returns false and changes nothing unless the epoch is higher.
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

  std::map<Key, BundleRecord> mRecords;
  Key mCurrentKey;
  Epoch mEpoch;
};

} // namespace carobtide
