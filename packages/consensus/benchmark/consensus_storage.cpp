// Commits a second of FileLogStorage with group commit against one plain
// fdatasync per record on the same disk, and the time to recover a log.
// Usage: bench_consensus_storage [FOLDER]; the folder must not exist.

#include "carobtide/consensus/replicated_log.hpp"

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace carobtide;

namespace {

using WallClock = std::chrono::steady_clock;

constexpr std::size_t kPayloadBytes = 256;
constexpr int kSyncs = 400;
constexpr std::uint64_t kRecoveredEntries = 100'000;
constexpr std::uint64_t kRecoveryBatch = 500;
constexpr double kMillisecondsPerSecond = 1000;

double SecondsSince(WallClock::time_point aStart)
{
  return std::chrono::duration<double>(WallClock::now() - aStart).count();
}

PersistBatch MakeBatch(std::uint64_t aFirst, std::uint64_t aCount)
{
  PersistBatch batch;
  for (auto n = aFirst; n < aFirst + aCount; ++n) {
    batch.mEntries.push_back(
      LogEntry{ n, 1, EntryKind::Command, std::string(kPayloadBytes, 'p') });
  }
  return batch;
}

std::unique_ptr<LogStorage> OpenEmpty(const std::string& aFolder)
{
  auto storage = OpenFileLogStorage(aFolder);
  std::move(storage->Recover()).ValueOrThrow();
  storage->SetReplica(ReplicaId(1)).ValueOrThrow();
  return storage;
}

/** Records a second with one write and one fdatasync each. */
double MeasurePlainSync(const std::string& aFolder)
{
  std::filesystem::create_directories(aFolder);
  const auto path = aFolder + "/plain";
  const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  const std::string record(kPayloadBytes, 'p');
  const auto start = WallClock::now();
  for (int n = 0; n < kSyncs; ++n) {
    if (::write(file, record.data(), record.size()) < 0 ||
        ::fdatasync(file) != 0) {
      std::perror("plain sync");
      break;
    }
  }
  const auto seconds = SecondsSince(start);
  ::close(file);
  return kSyncs / seconds;
}

double MeasureGroupCommit(const std::string& aFolder, std::uint64_t aBatch)
{
  auto storage = OpenEmpty(aFolder + "/batch-" + std::to_string(aBatch));
  std::uint64_t next = 1;
  const auto start = WallClock::now();
  for (int n = 0; n < kSyncs; ++n) {
    storage->Persist(MakeBatch(next, aBatch)).ValueOrThrow();
    next += aBatch;
  }
  return static_cast<double>(next - 1) / SecondsSince(start);
}

/** From an opened folder to a single voter that has handed out every entry. */
void MeasureRecovery(const std::string& aFolder)
{
  {
    auto storage = OpenEmpty(aFolder);
    PersistBatch vote;
    vote.mHardState = HardState{ 1, ReplicaId(1) };
    storage->Persist(vote).ValueOrThrow();
    for (std::uint64_t n = 1; n <= kRecoveredEntries; n += kRecoveryBatch) {
      storage->Persist(MakeBatch(n, kRecoveryBatch)).ValueOrThrow();
    }
  }
  const auto start = WallClock::now();
  auto storage = OpenFileLogStorage(aFolder);
  auto state = std::move(storage->Recover()).ValueOrThrow();
  const auto read = SecondsSince(start);
  const Membership self{ { Member{ ReplicaId(1), DaemonName("a"),
                                   FailureDomain("x"), MemberRole::Voter } } };
  ReplicatedLog log(GroupId(1), std::move(state), self, {}, Instant{}, 1);
  std::size_t applied = 0;
  auto effects = log.Tick(Instant{});
  while (!effects.mPersist.IsEmpty()) {
    storage->Persist(effects.mPersist).ValueOrThrow();
    effects = log.OnPersisted(Instant{}, effects.mPersist.mSequence);
    applied += effects.mCommitted.size();
  }
  std::printf("recovery of %zu entries of %zu bytes: read %.0f ms, "
              "leading and handed out %.0f ms\n",
              applied, kPayloadBytes, read * kMillisecondsPerSecond,
              SecondsSince(start) * kMillisecondsPerSecond);
}

} // namespace

int main(int argc, char** argv)
{
  const std::string folder = argc > 1 ? argv[1] : "bench-consensus-storage";
  const auto plain = MeasurePlainSync(folder);
  std::printf("plain fdatasync: %.0f records/s\n", plain);
  for (const std::uint64_t batch : { 1, 8, 64, 512 }) {
    const auto rate = MeasureGroupCommit(folder, batch);
    std::printf("batches of %3llu: %.0f commits/s, %.2f of plain\n",
                static_cast<unsigned long long>(batch), rate, rate / plain);
  }
  MeasureRecovery(folder + "/recovery");
  std::filesystem::remove_all(folder);
  return 0;
}
