#include "carobtide/placement.hpp"

#include <catch2/catch.hpp>

using namespace carobtide;

namespace {

Announcement Say(std::uint64_t aIncarnation, std::uint64_t aSequence,
                 std::uint16_t aPort = 9000)
{
  Announcement said;
  said.mTarget = TargetName("t");
  said.mIncarnation = Incarnation(aIncarnation);
  said.mSequence = aSequence;
  said.mAddress = { "127.0.0.1", aPort };
  said.mMemory = 10;
  return said;
}

Instant At(int aSeconds)
{
  return Instant(std::chrono::seconds(aSeconds));
}

} // namespace

TEST_CASE("older announcements of an incarnation are ignored")
{
  TargetRegistry registry;
  CHECK(registry.Apply(At(0), Say(1, 5)) == TargetChange::Changed);
  CHECK(registry.Apply(At(1), Say(1, 4)) == TargetChange::Ignored);
  CHECK(registry.Apply(At(1), Say(1, 5)) == TargetChange::Ignored);
  CHECK(registry.Apply(At(1), Say(1, 6)) == TargetChange::Refreshed);
  Announcement smaller = Say(1, 7);
  smaller.mMemory = 8;
  CHECK(registry.Apply(At(2), smaller) == TargetChange::Changed);
  CHECK(registry.Find(TargetName("t"))->mAnnouncement.mMemory == 8);
}

TEST_CASE("a restart at the same address replaces the incarnation at once")
{
  TargetRegistry registry;
  registry.Apply(At(0), Say(1, 5));
  CHECK(registry.Apply(At(1), Say(2, 1)) == TargetChange::Changed);
  CHECK(registry.Apply(At(1), Say(1, 6)) == TargetChange::Ignored);
  CHECK(registry.Find(TargetName("t"))->mAnnouncement.mIncarnation ==
        Incarnation(2));
}

TEST_CASE("of two live processes with one name the earlier one is kept")
{
  TargetRegistry registry;
  registry.Apply(At(0), Say(1, 1, 9000));
  CHECK(registry.Apply(At(1), Say(2, 1, 9001)) == TargetChange::NameConflict);
  CHECK(registry.Apply(At(2), Say(1, 2, 9000)) == TargetChange::Refreshed);
  // Once the earlier one is silent, the other one may take the name.
  registry.Expire(At(5));
  CHECK(registry.Apply(At(6), Say(2, 5, 9001)) == TargetChange::Changed);
  CHECK(registry.Apply(At(6), Say(1, 3, 9000)) == TargetChange::Ignored);
}

TEST_CASE("silence, leaving and return change the state")
{
  TargetRegistry registry;
  registry.Apply(At(0), Say(1, 1));
  CHECK(registry.Expire(At(2)).empty());
  CHECK(registry.Expire(At(3)).size() == 1);
  CHECK(registry.Find(TargetName("t"))->mState == TargetState::Silent);
  CHECK(registry.Apply(At(4), Say(1, 2)) == TargetChange::Changed);
  Announcement leaving = Say(1, 3);
  leaving.mLeaving = true;
  CHECK(registry.Apply(At(5), leaving) == TargetChange::Changed);
  CHECK(registry.Find(TargetName("t"))->mState == TargetState::Leaving);
  registry.Expire(At(4000));
  CHECK(registry.All().empty());
}

TEST_CASE("the time of load figures allows for their age")
{
  TargetRegistry registry;
  Announcement said = Say(1, 1);
  said.mLoad.mAge = 250ms;
  registry.Apply(At(2), said);
  CHECK(registry.Find(TargetName("t"))->mLoadAsOf == At(2) - 250ms);
}
