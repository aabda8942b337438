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
  Result<Unit> Resume() override { return Success(); }
};

/** Storage without room for the first tries of each batch. */
class CrampedStorage final : public LogStorage
{
public:
  explicit CrampedStorage(int aRefusals)
    : mRefusals(aRefusals)
  {
  }

  Result<RecoveredState> Recover() override { return RecoveredState{}; }
  Result<Unit> SetReplica(ReplicaId) override { return Success(); }
  Result<Unit> Persist(const PersistBatch& aBatch) override
  {
    CHECK_FALSE(std::exchange(mMustResume, false));
    CHECK((mRefused == 0 || mRefused == aBatch.mSequence));
    mRefused = aBatch.mSequence;
    if (mTries++ < mRefusals) {
      mMustResume = true;
      return MakeError(ErrorCode::DiskFull, "storage.persist", "disk");
    }
    mTries = 0;
    mRefused = 0;
    return Success();
  }
  Result<Unit> Resume() override
  {
    CHECK(std::exchange(mMustResume, false));
    return Success();
  }

private:
  int mRefusals;
  int mTries = 0;
  std::uint64_t mRefused = 0;
  bool mMustResume = false;
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

TEST_CASE("a batch that a full disk refused is written once there is room")
{
  constexpr std::uint64_t kBatches = 2;
  std::promise<void> done;
  std::atomic<int> failures{ 0 };
  std::vector<std::uint64_t> durable;
  StorageWorker worker(
    std::make_unique<CrampedStorage>(2),
    [&](std::uint64_t aSequence) {
      durable.push_back(aSequence);
      if (aSequence == kBatches) {
        done.set_value();
      }
    },
    [&](const Error&) { ++failures; });
  for (std::uint64_t n = 1; n <= kBatches; ++n) {
    worker.Enqueue(MakeBatch(n, n, n, 1));
  }
  done.get_future().wait();
  CHECK(durable.back() == kBatches);
  // Reported once for each batch, or once if both were written as one.
  CHECK(failures == static_cast<int>(durable.size()));
}

TEST_CASE("a worker that stops does not wait for room")
{
  std::promise<void> failed;
  StorageWorker worker(
    std::make_unique<BrokenStorage>(), [](std::uint64_t) {},
    [&](const Error&) { failed.set_value(); });
  worker.Enqueue(MakeBatch(1, 1, 1, 1));
  failed.get_future().wait();
}
