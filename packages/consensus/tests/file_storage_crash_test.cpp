// Each operation on the disk against a crash before or after it and a full
// disk; each byte of a small log against damage.

#include "../src/file_log_storage.hpp"
#include "../src/frame.hpp"
#include "../src/stored_state.hpp"
#include "carobtide/consensus/damaged_log.hpp"
#include "simulated_disk.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

namespace {

const std::string kFolder = "log";
const ReplicaId kReplica(77);
/** Small, so that the script rotates segments. */
constexpr FileLogStorageOptions kSmallSegments{ 300 };
constexpr FileLogStorageOptions kOneSegment{ 1'000'000 };

FileLogStorage MakeStorage(SimulatedDisk& aDisk, FileLogStorageOptions aOptions)
{
  return FileLogStorage(MakeSimulatedFileSystem(aDisk), kFolder, aOptions);
}

LogEntry Entry(std::uint64_t aIndex, std::uint64_t aTerm)
{
  return LogEntry{ aIndex, aTerm, EntryKind::Command,
                   "payload " + std::to_string(aIndex) + " of term " +
                     std::to_string(aTerm) };
}

PersistBatch Entries(std::uint64_t aFrom, std::uint64_t aTo,
                     std::uint64_t aTerm)
{
  PersistBatch batch;
  for (auto n = aFrom; n <= aTo; ++n) {
    batch.mEntries.push_back(Entry(n, aTerm));
  }
  return batch;
}

PersistBatch WithVote(PersistBatch aBatch, std::uint64_t aTerm)
{
  aBatch.mHardState = HardState{ aTerm, kReplica };
  return aBatch;
}

PersistBatch WithSnapshot(PersistBatch aBatch, std::uint64_t aIndex,
                          std::uint64_t aTerm)
{
  aBatch.mSnapshot =
    Snapshot{ aIndex, aTerm, {}, "state at " + std::to_string(aIndex) };
  return aBatch;
}

/** Votes, appends, an overwritten tail, own and received snapshots. */
std::vector<PersistBatch> Script()
{
  return {
    WithVote({}, 1),
    Entries(1, 3, 1),
    Entries(4, 6, 1),
    WithVote(Entries(5, 5, 2), 2),
    Entries(6, 8, 2),
    WithSnapshot({}, 4, 1),
    Entries(9, 12, 2),
    WithSnapshot(Entries(13, 13, 2), 10, 2),
    WithVote(Entries(14, 15, 3), 3),
    WithSnapshot(Entries(21, 22, 4), 20, 4),
    Entries(23, 25, 4),
    WithSnapshot({}, 24, 4),
    Entries(26, 27, 5),
  };
}

/** The state after each prefix of the script. */
std::vector<RecoveredState> ExpectedStates()
{
  std::vector<RecoveredState> states(1);
  states[0].mReplica = kReplica;
  for (const auto& batch : Script()) {
    states.push_back(states.back());
    ApplyBatch(states.back(), batch);
  }
  return states;
}

bool IsSame(const RecoveredState& aLeft, const RecoveredState& aRight)
{
  const auto position = [](const RecoveredState& aState) {
    return aState.mSnapshot
             ? std::tuple(aState.mSnapshot->mIndex, aState.mSnapshot->mTerm,
                          aState.mSnapshot->mState)
             : std::tuple(std::uint64_t{}, std::uint64_t{}, std::string{});
  };
  return aLeft.mReplica == aRight.mReplica &&
         aLeft.mHardState == aRight.mHardState &&
         aLeft.mEntries == aRight.mEntries &&
         position(aLeft) == position(aRight);
}

/** True if only the snapshot of the next batch arrived, which is whole. */
bool IsWithSnapshotOf(const RecoveredState& aState, RecoveredState aBefore,
                      std::size_t aBatch)
{
  PersistBatch snapshot;
  if (aBatch < Script().size()) {
    snapshot.mSnapshot = Script()[aBatch].mSnapshot;
  }
  ApplyBatch(aBefore, snapshot);
  return IsSame(aState, aBefore);
}

/** Progress of the script on one disk. */
struct ScriptRun
{
  /** Batches that were reported durable. */
  std::size_t mDone = 0;
  bool mIdentified = false;
  ErrorCode mCode = ErrorCode::Ok;
};

void Continue(FileLogStorage& aStorage, ScriptRun& aRun)
{
  if (!aRun.mIdentified) {
    aRun.mCode = aStorage.SetReplica(kReplica).Code();
    aRun.mIdentified = aRun.mCode == ErrorCode::Ok;
  }
  const auto script = Script();
  while (aRun.mCode == ErrorCode::Ok && aRun.mDone < script.size()) {
    aRun.mCode = aStorage.Persist(script[aRun.mDone]).Code();
    aRun.mDone += aRun.mCode == ErrorCode::Ok ? 1 : 0;
  }
}

ScriptRun RunScript(SimulatedDisk& aDisk)
{
  ScriptRun run;
  auto storage = MakeStorage(aDisk, kSmallSegments);
  try {
    run.mCode = storage.Recover().Code();
    if (run.mCode == ErrorCode::Ok) {
      Continue(storage, run);
    }
  } catch (const SimulatedCrash&) {
    run.mCode = ErrorCode::Io;
  }
  return run;
}

/** Recovers; what was reported durable must be there. Then goes on. */
void RequireRecovery(SimulatedDisk& aDisk, ScriptRun aRun)
{
  const auto expected = ExpectedStates();
  auto storage = MakeStorage(aDisk, kSmallSegments);
  const auto state = storage.Recover();
  INFO((state ? "" : state.GetError().ToString()));
  REQUIRE(state);
  const bool identified = state->mReplica == kReplica;
  REQUIRE((identified || !aRun.mIdentified));
  if (identified) {
    const auto next = std::min(aRun.mDone + 1, expected.size() - 1);
    const bool unreported = IsSame(*state, expected[next]);
    REQUIRE((unreported ||
             IsWithSnapshotOf(*state, expected[aRun.mDone], aRun.mDone) ||
             IsSame(*state, expected[aRun.mDone])));
    aRun.mDone = unreported ? next : aRun.mDone;
  }
  aRun.mIdentified = identified;
  aRun.mCode = ErrorCode::Ok;
  Continue(storage, aRun);
  REQUIRE(aRun.mCode == ErrorCode::Ok);
  const auto last = MakeStorage(aDisk, kSmallSegments).Recover();
  REQUIRE(last);
  REQUIRE(IsSame(*last, expected.back()));
}

std::uint64_t CountOperations()
{
  SimulatedDisk disk;
  REQUIRE(RunScript(disk).mDone == Script().size());
  return disk.Operations();
}

const std::string kSegment = kFolder + "/segment-0000000000000001";

/** One segment with four batches; `aSizes` gets the size after each. */
SimulatedDisk MakeSmallLog(std::vector<std::size_t>& aSizes)
{
  SimulatedDisk disk;
  auto storage = MakeStorage(disk, kOneSegment);
  REQUIRE(storage.Recover());
  REQUIRE(storage.SetReplica(kReplica));
  aSizes.push_back(disk.Names()[kSegment]->mContent.size());
  for (std::size_t n = 0; n < 4; ++n) {
    REQUIRE(storage.Persist(Script()[n]));
    aSizes.push_back(disk.Names()[kSegment]->mContent.size());
  }
  return disk;
}

} // namespace

TEST_CASE("a crash at any operation loses nothing that was reported durable")
{
  const auto operations = CountOperations();
  REQUIRE(operations > 50);
  for (std::uint64_t at = 1; at <= operations; ++at) {
    for (const auto fault : { DiskFault::CrashBefore, DiskFault::CrashAfter }) {
      for (int fate = 0; fate < 12; ++fate) {
        CAPTURE(at, static_cast<int>(fault), fate);
        SimulatedDisk disk;
        disk.Inject(fault, at);
        const auto run = RunScript(disk);
        disk.Crash(static_cast<UnsyncedFate>(fate % 4),
                   static_cast<NamesFate>(fate / 4));
        RequireRecovery(disk, run);
      }
    }
  }
}

TEST_CASE("a crash during recovery can be recovered from")
{
  const auto operations = CountOperations();
  for (std::uint64_t at = 1; at <= operations; at += 3) {
    for (std::uint64_t second = 1; second <= 4; ++second) {
      CAPTURE(at, second);
      SimulatedDisk disk;
      disk.Inject(DiskFault::CrashAfter, at);
      const auto run = RunScript(disk);
      disk.Crash(UnsyncedFate::HalfKept, NamesFate::Kept);
      disk.Inject(DiskFault::CrashAfter, second);
      try {
        static_cast<void>(MakeStorage(disk, kSmallSegments).Recover());
      } catch (const SimulatedCrash&) {
        disk.Crash(UnsyncedFate::Lost, NamesFate::Kept);
      }
      disk.Inject(DiskFault::None, 0);
      RequireRecovery(disk, run);
    }
  }
}

TEST_CASE("what recovery returned survives a crash of the machine")
{
  const auto operations = CountOperations();
  for (std::uint64_t at = 1; at <= operations; ++at) {
    CAPTURE(at);
    SimulatedDisk disk;
    disk.Inject(DiskFault::CrashAfter, at);
    const auto run = RunScript(disk);
    // Only the process died: what it wrote is in the cache, not on the disk.
    const auto returned = MakeStorage(disk, kSmallSegments).Recover();
    REQUIRE(returned);
    disk.Crash(UnsyncedFate::Lost, NamesFate::Lost);
    const auto again = MakeStorage(disk, kSmallSegments).Recover();
    REQUIRE(again);
    REQUIRE(IsSame(*returned, *again));
    RequireRecovery(disk, run);
  }
}

TEST_CASE("a full disk at any operation is reported and leaves the log whole")
{
  const auto operations = CountOperations();
  for (std::uint64_t at = 1; at <= operations; ++at) {
    CAPTURE(at);
    SimulatedDisk disk;
    disk.Inject(DiskFault::Full, at);
    const auto run = RunScript(disk);
    REQUIRE(run.mCode == ErrorCode::DiskFull);
    RequireRecovery(disk, run);
  }
}

TEST_CASE("after a full disk storage goes on with the batch that it refused")
{
  const auto operations = CountOperations();
  const std::uint64_t crashAt = GENERATE(0, 1, 4);
  for (std::uint64_t at = 1; at <= operations; ++at) {
    CAPTURE(at, crashAt);
    SimulatedDisk disk;
    disk.Inject(DiskFault::Full, at);
    auto storage = MakeStorage(disk, kSmallSegments);
    ScriptRun run;
    run.mCode = storage.Recover().Code();
    if (run.mCode == ErrorCode::Ok) {
      Continue(storage, run);
    }
    REQUIRE(run.mCode == ErrorCode::DiskFull);
    if (!run.mIdentified) {
      // Without an identity the daemon does not start.
      continue;
    }
    disk.Inject(crashAt > 0 ? DiskFault::CrashAfter : DiskFault::None, crashAt);
    try {
      const auto resumed = storage.Resume();
      REQUIRE(resumed);
      run.mCode = ErrorCode::Ok;
      Continue(storage, run);
      REQUIRE(run.mCode == ErrorCode::Ok);
    } catch (const SimulatedCrash&) {
      // Died on the way: RequireRecovery goes on.
    }
    disk.Crash(UnsyncedFate::Lost, NamesFate::Lost);
    disk.Inject(DiskFault::None, 0);
    RequireRecovery(disk, run);
  }
}

TEST_CASE("after another failure than a full disk storage does not go on")
{
  SimulatedDisk disk;
  auto storage = MakeStorage(disk, kOneSegment);
  REQUIRE(storage.Recover());
  REQUIRE(storage.SetReplica(kReplica));
  REQUIRE(storage.Persist(Script()[0]));
  CHECK(storage.Resume());
  disk.Inject(DiskFault::Broken, 2);
  CHECK(storage.Persist(Script()[1]).Code() == ErrorCode::Io);
  CHECK(storage.Resume().Code() == ErrorCode::Io);
  CHECK(storage.Persist(Script()[1]).Code() == ErrorCode::Io);
}

TEST_CASE("storage does not go on if its files are not as it left them")
{
  SimulatedDisk disk;
  auto storage = MakeStorage(disk, kOneSegment);
  REQUIRE(storage.Recover());
  REQUIRE(storage.SetReplica(kReplica));
  REQUIRE(storage.Persist(Script()[0]));
  REQUIRE(storage.Persist(Script()[1]));
  disk.Inject(DiskFault::Full, 1);
  REQUIRE(storage.Persist(Script()[2]).Code() == ErrorCode::DiskFull);
  // The last batch that was reported durable is gone.
  const auto& file = disk.Names().at(kSegment);
  const std::size_t rest = file->mContent.size() - 10;
  file->mContent.resize(rest);
  file->mSynced = file->mContent;
  CHECK(storage.Resume().Code() == ErrorCode::Corrupt);
  CHECK(storage.Resume().Code() == ErrorCode::Io);
}

TEST_CASE("after a failure storage refuses more until it is recovered")
{
  SimulatedDisk disk;
  auto storage = MakeStorage(disk, kOneSegment);
  REQUIRE(storage.Recover());
  REQUIRE(storage.SetReplica(kReplica));
  disk.Inject(DiskFault::Full, 1);
  CHECK(storage.Persist(Script()[0]).Code() == ErrorCode::DiskFull);
  CHECK(storage.Persist(Script()[0]).Code() == ErrorCode::Io);
  REQUIRE(storage.Recover());
  CHECK(storage.Persist(Script()[0]));
}

TEST_CASE("a log cut at any length recovers the whole batches before the cut")
{
  std::vector<std::size_t> sizes;
  const auto whole = MakeSmallLog(sizes).Names()[kSegment]->mContent;
  const auto expected = ExpectedStates();
  for (std::size_t length = 0; length <= whole.size(); ++length) {
    CAPTURE(length);
    std::vector<std::size_t> unused;
    auto disk = MakeSmallLog(unused);
    disk.Names()[kSegment]->mContent.resize(length);
    const auto state = MakeStorage(disk, kOneSegment).Recover();
    // The header is durable before the segment gets its name.
    if (length < sizes.front()) {
      REQUIRE(state.Code() == ErrorCode::Corrupt);
      continue;
    }
    const auto batches = static_cast<std::size_t>(
      std::ranges::upper_bound(sizes, length) - sizes.begin() - 1);
    REQUIRE(state);
    REQUIRE(IsSame(*state, expected[batches]));
    REQUIRE(disk.Names()[kSegment]->mContent.size() == sizes[batches]);
  }
}

TEST_CASE("a changed byte anywhere is refused with file and offset")
{
  std::vector<std::size_t> sizes;
  const auto whole = MakeSmallLog(sizes).Names()[kSegment]->mContent;
  const auto expected = ExpectedStates();
  for (std::size_t at = 0; at < whole.size(); ++at) {
    for (const char flip : { '\x01', '\x80', '\xff' }) {
      CAPTURE(at, static_cast<int>(flip));
      std::vector<std::size_t> unused;
      auto disk = MakeSmallLog(unused);
      disk.Names()[kSegment]->mContent[at] ^= flip;
      const auto state = MakeStorage(disk, kOneSegment).Recover();
      const auto frame = std::ranges::upper_bound(sizes, at) - sizes.begin();
      const auto offset = frame == 0 ? 0 : sizes[frame - 1];
      REQUIRE(state.Code() == ErrorCode::Corrupt);
      CHECK(state.GetError().mPeer == kSegment);
      CHECK(state.GetError().mDetail.find("offset " + std::to_string(offset) +
                                          ":") == 0);
    }
  }
}

TEST_CASE("zeros in the last batch are a torn write, in an earlier one damage")
{
  std::vector<std::size_t> sizes;
  auto disk = MakeSmallLog(sizes);
  auto& content = disk.Names()[kSegment]->mContent;
  const auto expected = ExpectedStates();
  SECTION("the last batch")
  {
    std::fill(content.begin() + static_cast<std::ptrdiff_t>(sizes[3]),
              content.end(), '\0');
    const auto state = MakeStorage(disk, kOneSegment).Recover();
    REQUIRE(state);
    CHECK(IsSame(*state, expected[3]));
  }
  SECTION("an earlier batch")
  {
    std::fill(content.begin() + static_cast<std::ptrdiff_t>(sizes[1]),
              content.begin() + static_cast<std::ptrdiff_t>(sizes[2]), '\0');
    CHECK(MakeStorage(disk, kOneSegment).Recover().Code() ==
          ErrorCode::Corrupt);
  }
}

TEST_CASE("a damaged or missing file is refused")
{
  SimulatedDisk disk;
  REQUIRE(RunScript(disk).mDone == Script().size());
  const auto names = disk.Names();
  REQUIRE(names.size() >= 4);
  for (const auto& [path, file] : names) {
    CAPTURE(path);
    SimulatedDisk damaged;
    for (const auto& [other, content] : names) {
      damaged.Names()[other] = std::make_shared<SimulatedDisk::File>(*content);
    }
    damaged.Names()[path]->mContent[10] ^= '\x10';
    const auto state = MakeStorage(damaged, kSmallSegments).Recover();
    REQUIRE(state.Code() == ErrorCode::Corrupt);
    CHECK(state.GetError().mPeer == path);
    // Losing the newest segment whole cannot be seen; any other file can.
    const bool newest = path == std::prev(names.end(), 2)->first;
    damaged.Names().erase(path);
    if (!newest) {
      CHECK(MakeStorage(damaged, kSmallSegments).Recover().Code() ==
            ErrorCode::Corrupt);
    }
  }
}

TEST_CASE("a log that is set aside leaves an empty disk, whenever that is cut")
{
  SimulatedDisk whole;
  REQUIRE(RunScript(whole).mDone == Script().size());
  const auto names = whole.Names();
  const auto damage = [&](SimulatedDisk& aDisk) {
    for (const auto& [path, file] : names) {
      aDisk.Names()[path] = std::make_shared<SimulatedDisk::File>(*file);
    }
    aDisk.Names()[kFolder + "/identity"]->mContent += 'x';
    aDisk.Names()[kFolder + "/identity"]->mSynced += 'x';
    aDisk.SyncNames();
  };
  constexpr int kMostOperations = 64;
  for (std::uint64_t at = 0; at <= kMostOperations; ++at) {
    for (int fate = 0; fate < 3; ++fate) {
      CAPTURE(at, fate);
      SimulatedDisk disk;
      damage(disk);
      disk.Inject(DiskFault::CrashAfter, at);
      try {
        auto files = MakeSimulatedFileSystem(disk);
        const auto found = MakeStorage(disk, kSmallSegments).Recover();
        CHECK(found.Code() == ErrorCode::Corrupt);
        const auto moved = SetLogAside(*files, kFolder);
        CHECK(moved);
      } catch (const SimulatedCrash&) {
        disk.Crash(UnsyncedFate::Lost, static_cast<NamesFate>(fate));
      }
      disk.Inject(DiskFault::None, 0);
      auto files = MakeSimulatedFileSystem(disk);
      auto state = MakeStorage(disk, kSmallSegments).Recover();
      if (!state) {
        REQUIRE(state.Code() == ErrorCode::Corrupt);
        REQUIRE(SetLogAside(*files, kFolder));
        state = MakeStorage(disk, kSmallSegments).Recover();
      }
      REQUIRE(state);
      CHECK(IsSame(*state, RecoveredState{}));
      const auto isAside = HasSetLogAside(*files, kFolder);
      REQUIRE(isAside);
      CHECK(*isAside);
      // Nothing is thrown away.
      CHECK(disk.Names().contains(kFolder + "/damaged/identity"));
    }
  }
}

// Guards against a loss of power that keeps the move of a damaged segment and
// loses that of the identity: the rest of the log looked whole.
TEST_CASE("no file of a damaged log is moved before its identity is, for good")
{
  SimulatedDisk disk;
  REQUIRE(RunScript(disk).mDone == Script().size());
  auto files = MakeSimulatedFileSystem(disk);
  disk.SyncNames();
  std::vector<std::string> segments;
  for (const auto& [path, file] : disk.Names()) {
    if (path.starts_with(kFolder + "/segment-")) {
      segments.push_back(path);
    }
  }
  REQUIRE(segments.size() > 1);
  disk.Names()[segments.back()]->mContent[10] ^= '\x10';
  disk.Names()[segments.back()]->mSynced[10] ^= '\x10';
  for (std::uint64_t at = 1; at < 16; ++at) {
    CAPTURE(at);
    SimulatedDisk copy = disk;
    auto copied = MakeSimulatedFileSystem(copy);
    copy.Inject(DiskFault::CrashAfter, at);
    try {
      const auto moved = SetLogAside(*copied, kFolder);
      CHECK(moved);
    } catch (const SimulatedCrash&) {
      const bool isMoved = !copy.Names().contains(segments.back());
      copy.Crash(UnsyncedFate::Lost, NamesFate::Lost);
      CHECK((!isMoved || !copy.Names().contains(kFolder + "/identity")));
    }
  }
}

TEST_CASE("files of another format are not taken for damaged ones")
{
  SimulatedDisk disk;
  REQUIRE(RunScript(disk).mDone == Script().size());
  auto& content = disk.Names()[kFolder + "/identity"]->mContent;
  content = MakeFrame("later format", 0, 0);
  CHECK(MakeStorage(disk, kSmallSegments).Recover().Code() ==
        ErrorCode::Unsupported);
}
