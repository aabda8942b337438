#include "carobtide/placement.hpp"

#include <catch2/catch.hpp>

#include <vector>

namespace carobtide {

namespace {

constexpr Instant kNow{ 1000s };

FleetRecord MakeEngine(const char* aName, std::uint64_t aBorn)
{
  FleetRecord record;
  record.mLast.mTarget = TargetName(aName);
  record.mLast.mIncarnation = Incarnation(aBorn);
  record.mLast.mService = ServiceName("lm");
  record.mLast.mEngine = true;
  return record;
}

} // namespace

// Guards against engines that the planner counts for as long as its daemon
// leads, after the one message that ended them was lost.
TEST_CASE("the planner's engines are compared with all that is known")
{
  ResidencyPlanner planner(kNow);
  FleetRecord first = MakeEngine("1", 5);
  FleetRecord second = MakeEngine("2", 5);
  FleetRecord service = MakeEngine("3", 5);
  service.mLast.mEngine = false;
  const std::vector<const FleetRecord*> known{ &first, &second, &service };
  CHECK(planner.FindDiffering(known).size() == 2);
  for (const FleetRecord* record : known) {
    planner.OnTarget(kNow, *record);
  }
  CHECK(planner.FindDiffering(known).empty());
  const std::vector<TargetName> one{ TargetName("1") };
  SECTION("one has ended")
  {
    first.mLast.mPhase = TargetPhase::Gone;
    CHECK(planner.FindDiffering(known) == one);
    planner.OnTarget(kNow, first);
    CHECK_FALSE(planner.Tracks(TargetName("1")));
    CHECK(planner.FindDiffering(known).empty());
  }
  SECTION("one is another process")
  {
    first.mLast.mIncarnation = Incarnation(6);
    CHECK(planner.FindDiffering(known) == one);
    planner.OnTarget(kNow, first);
    CHECK(planner.FindDiffering(known).empty());
  }
  SECTION("one fell silent")
  {
    first.mSilent = true;
    CHECK(planner.FindDiffering(known) == one);
  }
  SECTION("one was forgotten")
  {
    CHECK(planner.FindDiffering({ &second, &service }) == one);
    planner.OnForgotten(TargetName("1"));
    CHECK(planner.FindDiffering({ &second, &service }).empty());
  }
}

} // namespace carobtide
