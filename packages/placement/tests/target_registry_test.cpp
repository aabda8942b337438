#include "carobtide/placement.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

namespace {

Announcement MakeAnnouncement(std::uint64_t aIncarnation,
                              std::uint64_t aSequence,
                              std::uint16_t aPort = 9000)
{
  Announcement announcement;
  announcement.mTarget = TargetName("t");
  announcement.mIncarnation = Incarnation(aIncarnation);
  announcement.mSequence = aSequence;
  announcement.mAddress = { "127.0.0.1", aPort };
  announcement.mMemory = 10;
  return announcement;
}

Instant At(int aSeconds)
{
  return Instant(std::chrono::seconds(aSeconds));
}

} // namespace

TEST_CASE("older announcements of an incarnation are ignored")
{
  TargetRegistry registry;
  CHECK(registry.Apply(At(0), MakeAnnouncement(1, 5)) == TargetChange::Changed);
  CHECK(registry.Apply(At(1), MakeAnnouncement(1, 4)) == TargetChange::Ignored);
  CHECK(registry.Apply(At(1), MakeAnnouncement(1, 5)) == TargetChange::Ignored);
  CHECK(registry.Apply(At(1), MakeAnnouncement(1, 6)) ==
        TargetChange::Refreshed);
  Announcement smaller = MakeAnnouncement(1, 7);
  smaller.mMemory = 8;
  CHECK(registry.Apply(At(2), smaller) == TargetChange::Changed);
  CHECK(registry.Find(TargetName("t"))->mAnnouncement.mMemory == 8);
}

TEST_CASE("a restart at the same address replaces the incarnation at once")
{
  TargetRegistry registry;
  registry.Apply(At(0), MakeAnnouncement(1, 5));
  CHECK(registry.Apply(At(1), MakeAnnouncement(2, 1)) == TargetChange::Changed);
  CHECK(registry.Apply(At(1), MakeAnnouncement(1, 6)) == TargetChange::Ignored);
  CHECK(registry.Find(TargetName("t"))->mAnnouncement.mIncarnation ==
        Incarnation(2));
}

TEST_CASE("of two live processes with one name the earlier one is kept")
{
  TargetRegistry registry;
  registry.Apply(At(0), MakeAnnouncement(1, 1, 9000));
  CHECK(registry.Apply(At(1), MakeAnnouncement(2, 1, 9001)) ==
        TargetChange::NameConflict);
  CHECK(registry.Apply(At(2), MakeAnnouncement(1, 2, 9000)) ==
        TargetChange::Refreshed);
  // Once the earlier process is silent, the other one takes over the name.
  registry.Expire(At(5));
  CHECK(registry.Apply(At(6), MakeAnnouncement(2, 5, 9001)) ==
        TargetChange::Changed);
  CHECK(registry.Apply(At(6), MakeAnnouncement(1, 3, 9000)) ==
        TargetChange::Ignored);
}

TEST_CASE("silence, leaving and return change the state")
{
  TargetRegistry registry;
  registry.Apply(At(0), MakeAnnouncement(1, 1));
  CHECK(registry.Expire(At(2)).empty());
  CHECK(registry.Expire(At(3)).size() == 1);
  CHECK(registry.Find(TargetName("t"))->mState == TargetState::Silent);
  CHECK(registry.Apply(At(4), MakeAnnouncement(1, 2)) == TargetChange::Changed);
  Announcement leaving = MakeAnnouncement(1, 3);
  leaving.mLeaving = true;
  CHECK(registry.Apply(At(5), leaving) == TargetChange::Changed);
  CHECK(registry.Find(TargetName("t"))->mState == TargetState::Leaving);
  registry.Expire(At(4000));
  CHECK(registry.All().empty());
}

TEST_CASE("the measurement time of load figures accounts for their age")
{
  TargetRegistry registry;
  Announcement announcement = MakeAnnouncement(1, 1);
  announcement.mLoad.mAge = 250ms;
  registry.Apply(At(2), announcement);
  CHECK(registry.Find(TargetName("t"))->mLoadAsOf == At(2) - 250ms);
}
