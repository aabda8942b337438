#include "carobtide/base/codec.hpp"
#include "carobtide/bundle/registry.hpp"

#include <cereal/types/deque.hpp>

#include <algorithm>

namespace carobtide {

namespace {

/** Version of the snapshot's layout. */
constexpr std::uint32_t kSnapshotVersion = 1;

using SnapshotKey = std::pair<std::string, std::uint64_t>;

/** Everything that a snapshot holds. */
struct RegistrySnapshot
{
  std::uint32_t mVersion = kSnapshotVersion;
  std::map<SnapshotKey, BundleRecord> mRecords;
  std::deque<SnapshotKey> mSuperseded;
  std::map<std::string, std::uint64_t> mHighestRolled;
  SnapshotKey mCurrentKey;
  Epoch mEpoch;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mRecords, mSuperseded, mHighestRolled, mCurrentKey,
             mEpoch);
  }
};

Error Corrupt(std::string aDetail)
{
  return Error{ ErrorCode::Corrupt, "bundle.load-snapshot", "",
                std::move(aDetail) };
}

/** Parses the texts again; false if a text does not fit its record. */
bool RestoreBundles(RegistrySnapshot& aSnapshot)
{
  return std::ranges::all_of(aSnapshot.mRecords, [](auto& aEntry) {
    BundleRecord& record = aEntry.second;
    if (record.mText.empty()) {
      return record.mState == BundleState::Superseded;
    }
    auto parsed = ParseBundle(record.mText);
    auto* bundle = std::get_if<Bundle>(&parsed);
    if (!bundle || bundle->mDigest != record.mDigest ||
        SnapshotKey(bundle->mName, bundle->mVersion) != aEntry.first) {
      return false;
    }
    record.mBundle = std::make_shared<const Bundle>(std::move(*bundle));
    return true;
  });
}

/** True if what the snapshot's parts say of each other agrees. */
bool IsConsistent(const RegistrySnapshot& aSnapshot)
{
  const auto isKnown = [&](const SnapshotKey& aKey) {
    return aSnapshot.mRecords.contains(aKey);
  };
  if (!std::ranges::all_of(aSnapshot.mSuperseded, isKnown)) {
    return false;
  }
  if (aSnapshot.mEpoch == Epoch{}) {
    return true;
  }
  const auto current = aSnapshot.mRecords.find(aSnapshot.mCurrentKey);
  return current != aSnapshot.mRecords.end() && current->second.mBundle &&
         current->second.mEpoch == aSnapshot.mEpoch;
}

} // namespace

std::string BundleRegistry::Save() const
{
  RegistrySnapshot snapshot;
  snapshot.mRecords = mRecords;
  snapshot.mSuperseded = mSuperseded;
  snapshot.mHighestRolled = mHighestRolled;
  snapshot.mCurrentKey = mCurrentKey;
  snapshot.mEpoch = mEpoch;
  return Encode(snapshot);
}

Result<Unit> BundleRegistry::Load(const std::string& aSnapshot)
{
  auto decoded = Decode<RegistrySnapshot>(aSnapshot);
  if (!decoded) {
    return Corrupt(decoded.GetError().mDetail);
  }
  RegistrySnapshot& snapshot = decoded.Value();
  if (snapshot.mVersion != kSnapshotVersion) {
    return Corrupt("unknown snapshot version " +
                   std::to_string(snapshot.mVersion));
  }
  if (!RestoreBundles(snapshot) || !IsConsistent(snapshot)) {
    return Corrupt("records do not agree with their texts");
  }
  mRecords = std::move(snapshot.mRecords);
  mSuperseded = std::move(snapshot.mSuperseded);
  mHighestRolled = std::move(snapshot.mHighestRolled);
  mCurrentKey = std::move(snapshot.mCurrentKey);
  mEpoch = snapshot.mEpoch;
  if (mEpoch >= mAdopted.mRecord.mEpoch) {
    mAdopted = Adopted{};
  }
  return Success();
}

} // namespace carobtide
