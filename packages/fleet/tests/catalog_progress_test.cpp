#include "carobtide/fleet.hpp"

#include <catch2/catch.hpp>

namespace carobtide {

namespace {

const Instant kStart{ 1000s };
const Endpoint kFirst{ "10.0.0.1", 1 };
const Endpoint kSecond{ "10.0.0.2", 1 };
const Endpoint kThird{ "10.0.0.3", 1 };
const std::set<Endpoint> kMembers{ kFirst, kSecond, kThird };

} // namespace

TEST_CASE("a catalog is behind from the first time that a newer one is named")
{
  CatalogProgress progress;
  CHECK(progress.OnAnswer(kStart, kStart, kFirst, 3));
  progress.OnInForce(3);
  CHECK(progress.Lag(kStart + 1s) == Duration::zero());

  CHECK(progress.OnAnswer(kStart + 1s, kStart, kFirst, 5));
  CHECK_FALSE(progress.OnAnswer(kStart + 2s, kStart + 1s, kSecond, 5));
  CHECK(progress.OnAnswer(kStart + 3s, kStart + 2s, kSecond, 8));
  CHECK(progress.Known() == 8);
  CHECK(progress.Lag(kStart + 4s) == 3s);
  CHECK(progress.AnnouncementOf(5)->mFrom == kFirst);
  CHECK(progress.AnnouncementOf(8)->mFrom == kSecond);

  progress.OnInForce(5);
  CHECK(progress.Lag(kStart + 4s) == 1s);
  progress.OnInForce(8);
  CHECK(progress.Lag(kStart + 4s) == Duration::zero());
  CHECK_FALSE(progress.AnnouncementOf(8));
}

// Guards against contact that proves nothing: a control daemon that lags
// answers in time with an old version.
TEST_CASE("a catalog is confirmed by a majority that names none above it")
{
  CatalogProgress progress;
  progress.OnInForce(3);
  CHECK_FALSE(progress.ConfirmedAt(kMembers));
  progress.OnAnswer(kStart + 1s, kStart, kFirst, 3);
  CHECK_FALSE(progress.ConfirmedAt(kMembers));
  progress.OnAnswer(kStart + 3s, kStart + 2s, kSecond, 3);
  CHECK(progress.ConfirmedAt(kMembers) == kStart);

  SECTION("that one daemon answers again confirms nothing later")
  {
    progress.OnAnswer(kStart + 9s, kStart + 8s, kSecond, 3);
    CHECK(progress.ConfirmedAt(kMembers) == kStart);
  }
  SECTION("a newer version does not confirm the one in force")
  {
    progress.OnAnswer(kStart + 5s, kStart + 4s, kFirst, 6);
    progress.OnAnswer(kStart + 5s, kStart + 4s, kSecond, 6);
    CHECK(progress.ConfirmedAt(kMembers) == kStart);
    progress.OnInForce(6);
    CHECK(progress.ConfirmedAt(kMembers) == kStart + 4s);
  }
  SECTION("daemons that are no members do not count")
  {
    CHECK_FALSE(progress.ConfirmedAt({ kFirst, kThird }));
    progress.Forget(kFirst);
    CHECK_FALSE(progress.ConfirmedAt(kMembers));
  }
}

TEST_CASE("a storm of announcements takes bounded room")
{
  CatalogProgress progress;
  for (std::uint64_t version = 1; version <= 1000; ++version) {
    const Instant at = kStart + version * 1ms;
    CHECK(progress.OnAnswer(at, at, kFirst, version));
  }
  CHECK(progress.Known() == 1000);
  CHECK(progress.Lag(kStart + 2s) == 1999ms);
  // Those in the middle count as the next one that is known.
  CHECK(progress.AnnouncementOf(500)->mVersion == 1000);
}

} // namespace carobtide
