#include "../src/storage_worker.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <future>

using namespace carobtide;

namespace {

PersistBatch MakeBatch(std::uint64_t aSequence, std::uint64_t aFirst,
                       std::uint64_t aLast, std::uint64_t aTerm)
{
  PersistBatch batch;
  batch.mSequence = aSequence;
  for (std::uint64_t index = aFirst; index <= aLast; ++index) {
    LogEntry entry;
    entry.mIndex = index;
    entry.mTerm = aTerm;
    batch.mEntries.push_back(entry);
  }
  return batch;
}

/** Storage that refuses everything. */
class BrokenStorage final : public LogStorage
{
public:
  Result<RecoveredState> Recover() override { return RecoveredState{}; }
  Result<Unit> SetReplica(ReplicaId) override { return Success(); }
  Result<Unit> Persist(const PersistBatch&) override
  {
    return MakeError(ErrorCode::DiskFull, "storage.persist", "disk");
  }
};

} // namespace

TEST_CASE("a merged batch is what both would have left behind")
{
  PersistBatch batch = MakeBatch(1, 5, 9, 1);
  PersistBatch later = MakeBatch(2, 8, 10, 2);
  later.mHardState = HardState{ 2, ReplicaId(3) };
  MergeBatches(batch, later);
  CHECK(batch.mSequence == 2);
  CHECK(batch.mHardState->mTerm == 2);
  REQUIRE(batch.mEntries.size() == 6);
  for (std::size_t i = 0; i < batch.mEntries.size(); ++i) {
    CHECK(batch.mEntries[i].mIndex == 5 + i);
    CHECK(batch.mEntries[i].mTerm == (i < 3 ? 1 : 2));
  }
}

TEST_CASE("every batch is reported durable, the last one last")
{
  constexpr std::uint64_t kBatches = 200;
  std::promise<void> done;
  std::atomic<std::uint64_t> highest{ 0 };
  auto storage = MakeMemoryLogStorage();
  REQUIRE(storage->SetReplica(ReplicaId(1)));
  StorageWorker worker(
    std::move(storage),
    [&](std::uint64_t aSequence) {
      CHECK(aSequence > highest);
      highest = aSequence;
      if (aSequence == kBatches) {
        done.set_value();
      }
    },
    [](const Error&) { FAIL("storage failed"); });
  for (std::uint64_t i = 1; i <= kBatches; ++i) {
    worker.Enqueue(MakeBatch(i, i, i, 1));
  }
  done.get_future().wait();
  CHECK(highest == kBatches);
}

TEST_CASE("a refused batch is reported with its step")
{
  std::promise<Error> failed;
  StorageWorker worker(
    std::make_unique<BrokenStorage>(), [](std::uint64_t) {},
    [&](const Error& aError) { failed.set_value(aError); });
  worker.Enqueue(MakeBatch(1, 1, 1, 1));
  const Error error = failed.get_future().get();
  CHECK(error.mCode == ErrorCode::DiskFull);
  CHECK(error.mStep == "storage.persist");
}
