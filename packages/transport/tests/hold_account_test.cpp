// Guards against bytes that have a bound each and none in sum: a daemon that
// held many large answers or bodies for others was killed for its memory.
#include "carobtide/transport/hold_account.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace carobtide {

namespace {

using Claim = HoldAccount::Claim;
using Ticket = HoldAccount::Ticket;

HoldAccountOptions SmallOptions()
{
  HoldAccountOptions options;
  options.mTierBytes = { 10, 100, 1000, 1000 };
  options.mRequestRoom = { 100, 1000, 3000, 0 };
  options.mAnswerRoom = { 100, 1000, 3000, 0 };
  return options;
}

HoldParties Parties(const std::string& aGiver, const std::string& aReceiver,
                    const std::string& aService = "s")
{
  return { aGiver, aReceiver, aService };
}

/** Parties of their own for each hold. */
HoldParties Distinct(int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return { "t" + number, "c" + number, "s" + number };
}

} // namespace

TEST_CASE("a claim without room waits for it, first come first served")
{
  HoldAccount account(SmallOptions());
  std::vector<Ticket> tickets;
  for (int n = 0; n < 5; ++n) {
    tickets.push_back(account.Open(HoldKind::Answer, Distinct(n)));
    const Claim claim = account.Grow(tickets.back(), 1000);
    CHECK(claim == (n < 3 ? Claim::Granted : Claim::Waiting));
  }
  CHECK(account.Stats(HoldKind::Answer).mHeld == 3000);
  CHECK(account.Stats(HoldKind::Answer).mWaiting == 2);
  account.Close(tickets[1]);
  CHECK(account.TakeGranted() == std::vector{ tickets[3] });
  // One that gives up lets the next one through.
  const Ticket last = account.Open(HoldKind::Answer, Distinct(9));
  CHECK(account.Grow(last, 500) == Claim::Waiting);
  account.Withdraw(tickets[4]);
  account.Close(tickets[0]);
  CHECK(account.TakeGranted() == std::vector{ last });
  CHECK(account.Stats(HoldKind::Answer).mHeld == 2500);
  CHECK(account.Stats(HoldKind::Answer).mPeak == 3000);
}

TEST_CASE("small holds and other kinds do not wait for large ones")
{
  HoldAccount account(SmallOptions());
  for (int n = 0; n < 6; ++n) {
    account.Grow(account.Open(HoldKind::Answer, Distinct(n)), 1000);
  }
  CHECK(account.Grow(account.Open(HoldKind::Answer, Distinct(7)), 100) ==
        Claim::Granted);
  CHECK(account.Grow(account.Open(HoldKind::Request, Distinct(8)), 1000) ==
        Claim::Granted);
  CHECK(account.Grow(account.Open(HoldKind::Answer, Distinct(9)), 1001) ==
        Claim::TooLarge);
}

TEST_CASE("no target, client or service takes all of the room")
{
  const auto [parties, most] = GENERATE(std::pair{ Parties("t", "", ""), 50 },
                                        std::pair{ Parties("", "c", ""), 75 },
                                        std::pair{ Parties("", "", "s"), 75 });
  HoldAccount account(SmallOptions());
  Ticket granted = 0;
  for (int n = 0; n < 20; ++n) {
    const Ticket ticket = account.Open(HoldKind::Answer, parties);
    granted = account.Grow(ticket, 5) == Claim::Granted ? ticket : granted;
  }
  CHECK(account.Stats(HoldKind::Answer).mHeld == most);
  // Others pass by those that wait for their own share.
  CHECK(account.Grow(account.Open(HoldKind::Answer, Distinct(1)), 10) ==
        Claim::Granted);
  account.Close(granted);
  CHECK(account.TakeGranted().size() == 1);
}

TEST_CASE("a hold that outgrows its pool gives that room back")
{
  HoldAccount account(SmallOptions());
  const Ticket ticket = account.Open(HoldKind::Answer, Distinct(1));
  CHECK(account.Grow(ticket, account.TierBytesFor(3)) == Claim::Granted);
  CHECK(account.HeldBy(ticket) == 10);
  CHECK(account.Grow(ticket, account.TierBytesFor(11)) == Claim::Granted);
  CHECK(account.HeldBy(ticket) == 100);
  CHECK(account.Stats(HoldKind::Answer).mHeld == 100);
  CHECK(account.Grow(ticket, 50) == Claim::Granted);
  CHECK(account.HeldBy(ticket) == 100);
  account.Close(ticket);
  CHECK(account.Stats(HoldKind::Answer).mHeld == 0);
}

// Load pattern: bodies of unknown length, all of which outgrow every pool.
TEST_CASE("holds that all grow end one after another and none waits for itself")
{
  constexpr int kHolds = 200;
  RandomEngine random(7);
  HoldAccount account(SmallOptions());
  std::map<Ticket, Bytes> sizes;
  std::vector<Ticket> running;
  running.reserve(kHolds);
  for (int n = 0; n < kHolds; ++n) {
    running.push_back(account.Open(HoldKind::Answer, Distinct(n % 9)));
  }
  int ended = 0;
  while (!running.empty()) {
    std::shuffle(running.begin(), running.end(), random);
    const Ticket ticket = running.back();
    running.pop_back();
    const Bytes size = account.HeldBy(ticket);
    if (size >= 1000) {
      account.Close(ticket);
      ++ended;
    } else if (account.Grow(ticket, account.TierBytesFor(size + 1)) ==
               Claim::Granted) {
      running.push_back(ticket);
    }
    for (const Ticket granted : account.TakeGranted()) {
      running.push_back(granted);
    }
    REQUIRE(account.Stats(HoldKind::Answer).mHeld <= 4100);
  }
  CHECK(ended == kHolds);
  CHECK(account.Stats(HoldKind::Answer).mHeld == 0);
  CHECK(account.Stats(HoldKind::Answer).mWaiting == 0);
}

TEST_CASE("the room of all pools fits a small daemon's memory")
{
  // Of 260 MB: the rest is for connections, the process and its tables.
  CHECK(HoldAccount().Capacity() <= 160 * kMiB);
}

} // namespace carobtide
