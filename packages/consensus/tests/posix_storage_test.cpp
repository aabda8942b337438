#include "carobtide/consensus/storage.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>

using namespace carobtide;

namespace {

/** A folder that is removed at the end of the test. */
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "carobtide-XXXXXX").string();
    REQUIRE(::mkdtemp(pattern.data()) != nullptr);
    mPath = pattern;
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder() { std::filesystem::remove_all(mPath); }

  std::string Path() const { return mPath + "/data/group-1"; }

private:
  std::string mPath;
};

} // namespace

TEST_CASE("the system's files keep identity, vote, entries and snapshot")
{
  const TemporaryFolder folder;
  {
    auto storage = OpenFileLogStorage(folder.Path());
    const auto empty = storage->Recover().ValueOrThrow();
    CHECK(empty.mReplica == ReplicaId{});
    REQUIRE(storage->SetReplica(ReplicaId(9)));
    PersistBatch batch;
    batch.mHardState = HardState{ 3, ReplicaId(9) };
    batch.mEntries = { LogEntry{ 1, 3, EntryKind::Command, "a" },
                       LogEntry{ 2, 3, EntryKind::Command, "b" } };
    REQUIRE(storage->Persist(batch));
    PersistBatch snapshot;
    snapshot.mSnapshot = Snapshot{ 1, 3, {}, "state" };
    REQUIRE(storage->Persist(snapshot));
  }
  auto storage = OpenFileLogStorage(folder.Path());
  const auto state = storage->Recover().ValueOrThrow();
  CHECK(state.mReplica == ReplicaId(9));
  CHECK(state.mHardState == HardState{ 3, ReplicaId(9) });
  REQUIRE(state.mSnapshot);
  CHECK(state.mSnapshot->mState == "state");
  REQUIRE(state.mEntries.size() == 1);
  CHECK(state.mEntries[0].mPayload == "b");
}
