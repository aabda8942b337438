#include "carobtide/fleet.hpp"

#include <catch2/catch.hpp>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };
const ServiceName kService("lm");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");
const Endpoint kFirst{ "10.0.0.1", 1 };
const Endpoint kSecond{ "10.0.0.2", 1 };
const Endpoint kThird{ "10.0.0.3", 1 };
const std::vector<Endpoint> kAll{ kFirst, kSecond, kThird };
const SoftwareSeen kBoth{ { kOld, kNew }, true };

/** Reports a target of each version. */
WatchReply MakeReply(const std::vector<SoftwareVersion>& aVersions,
                     std::vector<Endpoint> aCores = kAll)
{
  WatchReply reply;
  reply.mCores = std::move(aCores);
  for (const SoftwareVersion& version : aVersions) {
    FleetRecord record;
    record.mLast.mTarget = TargetName("t-" + version.Text());
    record.mLast.mService = kService;
    record.mLast.mSoftware = version;
    reply.mTargets.push_back(record);
  }
  return reply;
}

} // namespace

// Guards against streams of a version that one control daemon alone knows:
// a majority that is asked what began them might not.
TEST_CASE("a version is established once a majority has named it")
{
  ControlWatch watch;
  watch.OnReply(kStart, kFirst, MakeReply({ kOld, kNew }));
  watch.OnReply(kStart, kSecond, MakeReply({ kOld }));
  watch.OnReply(kStart, kThird, MakeReply({ kOld }));
  CHECK(watch.Unestablished(kService, kBoth) ==
        std::set<SoftwareVersion>{ kNew });
  // The only version that serves is not held back.
  CHECK(watch.Unestablished(kService, { { kNew }, true }).empty());
  SECTION("by a second daemon of three")
  {
    watch.OnReply(kStart, kSecond, MakeReply({ kNew }));
    CHECK(watch.Unestablished(kService, kBoth).empty());
  }
  SECTION("not by one that only says that its target is gone")
  {
    WatchReply reply = MakeReply({ kNew });
    reply.mTargets.front().mLast.mPhase = TargetPhase::Gone;
    watch.OnReply(kStart, kSecond, reply);
    CHECK_FALSE(watch.Unestablished(kService, kBoth).empty());
  }
  SECTION("again after it has not served for a window")
  {
    watch.OnReply(kStart, kSecond, MakeReply({ kNew }));
    watch.ForgetSoftware(kService, { { kOld }, true });
    CHECK_FALSE(watch.Unestablished(kService, kBoth).empty());
  }
}

TEST_CASE("a majority is counted over the daemons that others mention")
{
  ControlWatch watch;
  CHECK(watch.Members().empty());
  CHECK_FALSE(watch.HearsMajority(kStart, 2s));
  watch.OnReply(kStart, kFirst, MakeReply({}));
  CHECK(watch.Members().size() == 3);
  CHECK_FALSE(watch.HearsMajority(kStart, 2s));
  watch.OnReply(kStart, kSecond, MakeReply({}));
  CHECK(watch.HearsMajority(kStart, 2s));
  CHECK_FALSE(watch.HearsMajority(kStart + 3s, 2s));
  SECTION("one that was replaced no longer counts")
  {
    const Endpoint fourth{ "10.0.0.4", 1 };
    for (const Endpoint& core : { kFirst, kSecond, fourth }) {
      watch.OnReply(kStart + 10s, core,
                    MakeReply({}, { kFirst, kSecond, fourth }));
    }
    CHECK(watch.Members() == std::set<Endpoint>{ kFirst, kSecond, fourth });
  }
  SECTION("all count that were mentioned last while none answers")
  {
    watch.OnLoss(kStart + 60s, kFirst, kStart + 59s, WatchLoss::Unclear);
    CHECK(watch.Members().size() == 3);
  }
}

// Fault: control daemons that were killed, as against paths that are cut.
TEST_CASE("a process has ended if it ended under a watch and nothing listens")
{
  ControlWatch watch;
  watch.OnReply(kStart, kFirst, MakeReply({}));
  CHECK_FALSE(watch.HasEnded(kFirst));
  SECTION("killed while it was watched")
  {
    watch.OnLoss(kStart + 500ms, kFirst, kStart, WatchLoss::Closed);
    watch.OnLoss(kStart + 700ms, kFirst, kStart + 700ms, WatchLoss::Refused);
    CHECK(watch.HasEnded(kFirst));
    SECTION("until it answers again")
    {
      watch.OnReply(kStart + 1s, kFirst, MakeReply({}));
      CHECK_FALSE(watch.HasEnded(kFirst));
    }
    SECTION("or cannot be reached for another reason")
    {
      watch.OnLoss(kStart + 1s, kFirst, kStart + 900ms, WatchLoss::Unclear);
      CHECK_FALSE(watch.HasEnded(kFirst));
    }
  }
  SECTION("not if the watch was sent after the end, as after a pause")
  {
    watch.OnLoss(kStart + 501ms, kFirst, kStart + 500ms, WatchLoss::Closed);
    CHECK_FALSE(watch.HasEnded(kFirst));
  }
  SECTION("not if nothing was heard of it before")
  {
    watch.OnLoss(kStart + 500ms, kSecond, kStart + 500ms, WatchLoss::Refused);
    CHECK_FALSE(watch.HasEnded(kSecond));
  }
}

} // namespace carobtide
