#include "carobtide/base/codec.hpp"
#include "carobtide/fleet.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };
const ServiceName kService("lm");
const StreamOrigin kOld{ kService, SoftwareVersion("v1") };
const StreamOrigin kNew{ kService, SoftwareVersion("v2") };

const Endpoint kFirst{ "10.0.0.1", 1 };
const Endpoint kSecond{ "10.0.0.2", 1 };
const Endpoint kThird{ "10.0.0.3", 1 };
const Endpoint kStranger{ "10.0.0.4", 1 };
const std::set<Endpoint> kMembers{ kFirst, kSecond, kThird };

/** A daemon that has watched targets of these versions for some time. */
SoftwareHistory Watch(const std::vector<StreamOrigin>& aServing, Duration aTime)
{
  SoftwareHistory history;
  for (Duration at = Duration::zero(); at <= aTime; at += 1s) {
    history.OnContact(kStart + at);
    for (const StreamOrigin& origin : aServing) {
      history.Observe(kStart + at, origin.mService, origin.mSoftware);
    }
  }
  return history;
}

SoftwareSeen Seen(const std::vector<StreamOrigin>& aServing, Duration aTime)
{
  return Watch(aServing, aTime).Seen(kStart + aTime, kService);
}

} // namespace

TEST_CASE("a version counts for as long as its streams may be open")
{
  SoftwareHistory history;
  history.SetWindow(10s);
  history.Observe(kStart, kService, kOld.mSoftware);
  history.Observe(kStart + 1s, kService, kNew.mSoftware);
  CHECK(history.IsMixed(kStart + 9s, kService));
  history.Observe(kStart + 11s, kService, kNew.mSoftware);
  CHECK_FALSE(history.IsMixed(kStart + 11s, kService));
}

TEST_CASE("a history with a gap is not complete")
{
  SoftwareHistory history = Watch({ kOld }, 120s);
  CHECK(history.Seen(kStart + 121s, kService).mIsComplete);
  // Paused or cut off: versions may have come and gone.
  CHECK_FALSE(history.Seen(kStart + 130s, kService).mIsComplete);
  history.OnContact(kStart + 130s);
  CHECK_FALSE(history.Seen(kStart + 131s, kService).mIsComplete);
}

TEST_CASE("streams are reported only while several versions serve")
{
  StreamReporter reporter;
  const SoftwareHistory one = Watch({ kOld }, 10s);
  reporter.OnBegun(kStart + 10s, 1, kOld, one);
  reporter.Update(kStart + 10s, one);
  CHECK_FALSE(reporter.HasNotice());
  // The stream that is open becomes due with the second version.
  const SoftwareHistory two = Watch({ kOld, kNew }, 11s);
  reporter.Update(kStart + 11s, two);
  StreamNotice notice = reporter.TakeNotice();
  REQUIRE(notice.mGroups.size() == 1);
  CHECK(notice.mGroups[0].mOrigin == kOld);
  CHECK(notice.mGroups[0].mStreams == std::vector<StreamKey>{ 1 });
  reporter.OnBegun(kStart + 11s, 2, kNew, two);
  reporter.Update(kStart + 11s, two);
  notice = reporter.TakeNotice();
  REQUIRE(notice.mGroups.size() == 1);
  CHECK(notice.mGroups[0].mOrigin == kNew);
  CHECK_FALSE(reporter.HasNotice());
  // A control daemon restarted.
  reporter.Repeat();
  CHECK(reporter.TakeNotice().mGroups.size() == 2);
}

// Guards against a stream of an unknown process that goes on at the only
// version that other daemons have seen.
TEST_CASE("a stream without a known origin is reported at once")
{
  StreamReporter reporter;
  const SoftwareHistory one = Watch({ kOld }, 10s);
  const StreamOrigin unknown{ kService, SoftwareVersion() };
  reporter.OnBegun(kStart + 10s, 1, kOld, one);
  reporter.OnBegun(kStart + 10s, 2, unknown, one);
  REQUIRE(reporter.HasNotice());
  const StreamNotice notice = reporter.TakeNotice();
  REQUIRE(notice.mGroups.size() == 1);
  CHECK(notice.mGroups[0].mOrigin == unknown);
  CHECK(notice.mGroups[0].mStreams == std::vector<StreamKey>{ 2 });
  // A control daemon restarted.
  reporter.Repeat();
  CHECK(reporter.TakeNotice().mGroups.size() == 1);
  // It is known by now.
  reporter.OnBegun(kStart + 14s, 2, kOld, one);
  const StreamNotice later = reporter.TakeNotice();
  REQUIRE(later.mGroups.size() == 1);
  CHECK(later.mGroups[0].mOrigin == kOld);
  CHECK(later.mGroups[0].mStreams == std::vector<StreamKey>{ 2 });
  reporter.Repeat();
  CHECK_FALSE(reporter.HasNotice());
}

// A control daemon that restarted with an empty disk, or a repetition between
// the beginning of a stream and its notice.
TEST_CASE("streams without a known origin are repeated for a single version")
{
  StreamReporter reporter;
  const SoftwareHistory one = Watch({ kOld }, 10s);
  const StreamOrigin unknown{ kService, SoftwareVersion() };
  reporter.OnBegun(kStart + 10s, 1, kOld, one);
  reporter.OnBegun(kStart + 10s, 2, unknown, one);
  reporter.Repeat();
  for (int n = 0; n < 2; ++n) {
    const StreamNotice notice = reporter.TakeNotice();
    REQUIRE(notice.mGroups.size() == 1);
    CHECK(notice.mGroups[0].mOrigin == unknown);
    CHECK(notice.mGroups[0].mStreams == std::vector<StreamKey>{ 2 });
    reporter.Repeat();
  }
}

TEST_CASE("the origin of a stream is known where it was reported")
{
  StreamOrigins origins(3);
  origins.Put(kStart, StreamNotice{ { { kOld, { 1, 2 } }, { kNew, { 3 } } } });
  CHECK(origins.Find(1) == kOld);
  CHECK(origins.Find(3) == kNew);
  CHECK_FALSE(origins.Find(4));
  SECTION("until it is over")
  {
    origins.Put(kStart + 5s, 2, kOld);
    origins.Expire(kStart + 1s);
    CHECK_FALSE(origins.Find(1));
    CHECK(origins.Find(2) == kOld);
  }
  SECTION("or too many are newer")
  {
    for (StreamKey stream = 10; stream < 100; ++stream) {
      origins.Put(kStart + 1s, stream, kOld);
    }
    CHECK(origins.Size() <= 3);
    CHECK_FALSE(origins.Find(1));
    CHECK(origins.Find(99) == kOld);
  }
}

// Fault: the daemon that knew the stream is gone, or nobody can be asked.
TEST_CASE("a stream of unknown origin goes on only if it can have one alone")
{
  SECTION("one version for as long as a stream lasts, as a majority says")
  {
    OriginSearch search(kService, Seen({ kOld }, 120s), kMembers);
    search.OnReply(kFirst, { std::nullopt, Seen({ kOld }, 120s) });
    CHECK_FALSE(search.IsDecided());
    CHECK_FALSE(search.Result());
    search.OnReply(kSecond, { std::nullopt, Seen({ kOld }, 120s) });
    CHECK(search.IsDecided());
    CHECK(search.Result() == kOld);
  }
  SECTION("several versions, and no daemon was told")
  {
    OriginSearch search(kService, Seen({ kOld, kNew }, 120s),
                        { kFirst, kSecond });
    search.OnReply(kFirst, { std::nullopt, Seen({ kOld, kNew }, 120s) });
    CHECK_FALSE(search.Result());
  }
  SECTION("a daemon was told")
  {
    OriginSearch search(kService, Seen({ kOld, kNew }, 120s),
                        { kFirst, kSecond });
    search.OnReply(kFirst, { std::nullopt, Seen({ kOld, kNew }, 120s) });
    search.OnReply(kSecond, { kNew, Seen({ kOld, kNew }, 120s) });
    CHECK(search.IsDecided());
    CHECK(search.Result() == kNew);
  }
  SECTION("this daemon just started and another one saw two versions")
  {
    OriginSearch search(kService, Seen({ kNew }, 1s), { kFirst });
    CHECK_FALSE(search.IsDecided());
    CHECK_FALSE(search.Result());
    search.OnReply(kFirst, { std::nullopt, Seen({ kOld, kNew }, 120s) });
    CHECK_FALSE(search.Result());
  }
  SECTION("this daemon just started and has heard of no member")
  {
    OriginSearch search(kService, Seen({ kOld }, 1s), {});
    search.OnReply(kFirst, { std::nullopt, Seen({ kOld }, 120s) });
    CHECK_FALSE(search.Result());
    CHECK_FALSE(search.IsAnswered());
  }
  SECTION("this daemon just started: a majority of three has to answer")
  {
    OriginSearch search(kService, Seen({ kOld }, 1s), kMembers);
    search.OnReply(kFirst, { std::nullopt, Seen({ kOld }, 120s) });
    CHECK_FALSE(search.Result());
    // The same daemon once more, and one that is no member.
    search.OnReply(kFirst, { std::nullopt, Seen({ kOld }, 120s) });
    search.OnReply(kStranger, { std::nullopt, Seen({ kOld }, 120s) });
    CHECK_FALSE(search.Result());
    search.OnReply(kSecond, { std::nullopt, Seen({ kOld }, 120s) });
    CHECK(search.Result() == kOld);
    CHECK_FALSE(search.IsAnswered());
    // The third one was on the other side of a cut.
    search.OnReply(kThird, { std::nullopt, Seen({ kNew }, 120s) });
    CHECK_FALSE(search.Result());
    CHECK(search.IsAnswered());
  }
  SECTION("no daemon answers after a cut")
  {
    SoftwareHistory history = Watch({ kOld }, 120s);
    OriginSearch search(kService, history.Seen(kStart + 125s, kService),
                        kMembers);
    CHECK_FALSE(search.Result());
  }
}

// Guards against a stream of a newer version that goes on at the old one at a
// daemon that was paused, or whose news is late, while the newer one began.
TEST_CASE("what a daemon watched itself decides nothing while others may know")
{
  OriginSearch search(kService, Seen({ kOld }, 120s), kMembers);
  CHECK_FALSE(search.IsDecided());
  CHECK_FALSE(search.Result());
  SECTION("one has heard of a newer version")
  {
    search.OnReply(kFirst, { std::nullopt, Seen({ kOld }, 120s) });
    search.OnReply(kSecond, { std::nullopt, Seen({ kOld, kNew }, 120s) });
    CHECK_FALSE(search.IsDecided());
    CHECK_FALSE(search.Result());
    search.OnReply(kThird, { kNew, Seen({ kOld, kNew }, 120s) });
    CHECK(search.Result() == kNew);
  }
  SECTION("a minority answers and the others do not")
  {
    search.OnReply(kFirst, { std::nullopt, Seen({ kOld }, 120s) });
    CHECK_FALSE(search.Result());
  }
}

// Fault: all control daemons, or a majority of them, are killed.
TEST_CASE("streams go on where the processes of control daemons have ended")
{
  SECTION("as watched by a daemon that knows a whole window")
  {
    OriginSearch search(kService, Seen({ kOld }, 120s), kMembers);
    search.OnReply(kFirst, { std::nullopt, Seen({ kOld }, 120s) });
    search.OnEnded(kStranger);
    CHECK_FALSE(search.Result());
    search.OnEnded(kSecond);
    CHECK(search.Result() == kOld);
    // It was started again.
    search.OnReply(kSecond, { std::nullopt, Seen({ kOld, kNew }, 120s) });
    CHECK_FALSE(search.Result());
  }
  SECTION("not as watched by one that just started")
  {
    OriginSearch search(kService, Seen({ kOld }, 1s), kMembers);
    search.OnEnded(kFirst);
    search.OnEnded(kSecond);
    search.OnEnded(kThird);
    CHECK_FALSE(search.Result());
  }
}

// Fault: all daemons are killed while a version ends. What serves now was taken
// for all that had served, and streams went on at another version.
TEST_CASE("a daemon that knows no whole window does not answer for it")
{
  const StreamOrigins none;
  const StreamQuery query{ 7, kService };
  SoftwareHistory young = Watch({ kNew }, 1s);
  CHECK_FALSE(AnswerQuery(kStart + 1s, query, none, young));
  SECTION("but of a stream that it was told of")
  {
    StreamOrigins streams;
    streams.Put(kStart, query.mStream, kOld);
    const auto reply = AnswerQuery(kStart + 1s, query, streams, young);
    REQUIRE(reply);
    CHECK(reply->mOrigin == kOld);
  }
  SECTION("it does after a window")
  {
    CHECK(AnswerQuery(kStart + 61s, query, none, Watch({ kNew }, 61s)));
  }
  SECTION("it does with the record of the process before")
  {
    SoftwareHistory before = Watch({ kOld, kNew }, 120s);
    const SoftwareRecord record = before.Record(kStart + 120s);
    young.Restore(kStart + 1s, record);
    const auto reply = AnswerQuery(kStart + 1s, query, none, young);
    REQUIRE(reply);
    CHECK(reply->mSeen.mVersions.size() == 2);
    // The age of what was kept is unknown: it counts for a whole window.
    CHECK(young.IsMixed(kStart + 60s, kService));
    CHECK_FALSE(young.IsMixed(kStart + 62s, kService));
  }
  SECTION("a record that was not complete does not help")
  {
    young.Restore(kStart + 1s, Watch({ kOld }, 1s).Record(kStart + 1s));
    CHECK_FALSE(AnswerQuery(kStart + 1s, query, none, young));
  }
  SECTION("it does at the first start of a deployment")
  {
    young.SetComplete();
    CHECK(AnswerQuery(kStart + 1s, query, none, young));
  }
}

TEST_CASE("what has to be kept changes with the versions alone")
{
  SoftwareHistory history = Watch({ kOld }, 120s);
  const SoftwareRecord record = history.Record(kStart + 120s);
  history.OnContact(kStart + 121s);
  CHECK_FALSE(history.Observe(kStart + 121s, kService, kOld.mSoftware));
  CHECK(history.Record(kStart + 121s) == record);
  CHECK(history.Observe(kStart + 121s, kService, kNew.mSoftware));
  CHECK(history.Record(kStart + 121s) != record);
}

// Fault: VMs of control daemons are replaced faster than a window passes.
TEST_CASE("a daemon with an empty disk learns from a majority what has served")
{
  const ServiceName other("other");
  SoftwareCatchUp catchUp({ kService, other }, 3);
  CHECK_FALSE(catchUp.IsDone());
  catchUp.OnReply(kService);
  catchUp.OnReply(kService);
  catchUp.OnReply(other);
  CHECK_FALSE(catchUp.IsDone());
  catchUp.OnReply(ServiceName("none of these"));
  CHECK_FALSE(catchUp.IsDone());
  catchUp.OnReply(other);
  CHECK(catchUp.IsDone());
}

// 48 resumable streams a second at each of 2,100 daemons while all services
// change versions; the control of a daemon may take 16 KB a second.
TEST_CASE("reports of streams stay within the control traffic of a daemon")
{
  constexpr std::size_t kStreamsPerSecond = 48;
  constexpr std::size_t kNoticesPerSecond = 20;
  constexpr std::size_t kCopies = 2;
  constexpr std::size_t kMaxBytesPerSecond = 16'000;
  StreamReporter reporter;
  const SoftwareHistory mixed = Watch({ kOld, kNew }, 1s);
  std::size_t bytes = 0;
  StreamKey stream = 0;
  for (std::size_t n = 0; n < kNoticesPerSecond; ++n) {
    while (stream * kNoticesPerSecond < kStreamsPerSecond * (n + 1)) {
      ++stream;
      reporter.OnBegun(kStart + 1s, stream, stream % 2 == 0 ? kOld : kNew,
                       mixed);
    }
    bytes += kCopies * Encode(reporter.TakeNotice()).size();
  }
  CHECK(stream == kStreamsPerSecond);
  CHECK(bytes < kMaxBytesPerSecond);
}

} // namespace carobtide
