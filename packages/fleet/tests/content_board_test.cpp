#include "carobtide/fleet.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };
const Digest kDeadly{ 1, 1 };

CrashNotice Crash(int aTarget)
{
  CrashNotice notice;
  notice.mCrashes.push_back(
    { kDeadly, TargetName("i-" + std::to_string(aTarget)), Incarnation(1) });
  return notice;
}

ContentBoard MakeBlocking()
{
  ContentBoard board;
  for (int n = 1; n <= 3; ++n) {
    board.OnNotice(kStart, Crash(n));
  }
  return board;
}

} // namespace

TEST_CASE("crashes that several routing daemons report add up to a block")
{
  ContentBoard board;
  CHECK(board.OnNotice(kStart, Crash(1)).mBlocked.empty());
  CHECK(board.OnNotice(kStart, Crash(2)).mBlocked.empty());
  CHECK(board.OnNotice(kStart, Crash(3)).mBlocked.size() == 1);
  const BlockChanges changes = board.Blocks().Since(kStart, 0);
  REQUIRE(changes.mBlocks.size() == 1);
  CHECK(changes.mBlocks[0].mFingerprint == kDeadly);
  CHECK(board.Blocks().Since(kStart, changes.mVersion).mBlocks.empty());
}

TEST_CASE("a control daemon that was away takes blocks for the rest of them")
{
  const ContentBoard board = MakeBlocking();
  const Instant later = kStart + 400s;
  ContentBoard other;
  CHECK(other.OnNotice(later, board.AllBlocks(later)).mBlocked.size() == 1);
  CHECK(other.OnNotice(later, board.AllBlocks(later)).mBlocked.empty());
  CHECK(other.Blocks().Until(later, kDeadly) == kStart + BlockList::kBlockTime);
  other.Expire(kStart + BlockList::kBlockTime);
  CHECK(other.Blocks().Size() == 0);
}

TEST_CASE("content that was answered in full is blocked nowhere any more")
{
  ContentBoard board = MakeBlocking();
  const CrashNotice underWay = board.AllBlocks(kStart);
  const std::uint64_t version = board.Blocks().Version();
  CrashNotice sound;
  sound.mSound.push_back(kDeadly);
  CHECK(board.OnNotice(kStart, sound).mLifted.size() == 1);
  CHECK(board.Blocks().Since(kStart, version).mLifted.size() == 1);
  // A block that was sent before does not bring it back.
  CHECK(board.OnNotice(kStart + 1s, underWay).mBlocked.empty());
  CHECK_FALSE(board.Blocks().Until(kStart + 1s, kDeadly));
}

TEST_CASE("a block from another daemon lasts no longer than one from here")
{
  ContentBoard board;
  CrashNotice notice;
  notice.mBlocks.push_back({ kDeadly, 4'000'000'000U });
  board.OnNotice(kStart, notice);
  CHECK(board.Blocks().Until(kStart, kDeadly) ==
        kStart + BlockList::kBlockTime);
}

TEST_CASE("blocks of any number take bounded memory")
{
  ContentBoard board;
  CrashNotice notice;
  for (std::uint32_t n = 0; n < 3 * BlockList::kCapacity; ++n) {
    notice.mBlocks.push_back({ { n, n }, 1000 + n });
  }
  board.OnNotice(kStart, notice);
  CHECK(board.Blocks().Size() == BlockList::kCapacity);
}

} // namespace carobtide
