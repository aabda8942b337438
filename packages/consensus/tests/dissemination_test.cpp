#include "carobtide/consensus/dissemination.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace carobtide;

namespace {

std::vector<DaemonName> MakeNames(std::size_t aCount)
{
  std::vector<DaemonName> names;
  for (std::size_t i = 0; i < aCount; ++i) {
    names.emplace_back("entry-" + std::to_string(i));
  }
  return names;
}

/** Daemons that spread one epoch in rounds; some of them are dead. */
class Spread
{
public:
  Spread(std::size_t aCount, std::set<DaemonName> aDead)
    : mDead(std::move(aDead))
  {
    const auto names = MakeNames(aCount);
    for (const DaemonName& name : names) {
      mDaemons.emplace(
        name, Dissemination(name, names, {}, ComputeChecksum(name.Text())));
    }
  }

  /** The first daemon learns from the log; returns the rounds of the tree. */
  int Push(Epoch aEpoch, const DaemonName& aFirst)
  {
    std::vector<DaemonName> fresh{ aFirst };
    mKnowing = { aFirst };
    int rounds = 0;
    for (; !fresh.empty(); ++rounds) {
      std::vector<DaemonName> next;
      for (const DaemonName& name : fresh) {
        const auto to = mDaemons.at(name).Receivers(aEpoch, name == aFirst);
        mMostMessages = std::max(mMostMessages, to.size());
        std::ranges::copy_if(
          to, std::back_inserter(next), [this](const DaemonName& aName) {
            return !mDead.contains(aName) && mKnowing.insert(aName).second;
          });
      }
      fresh = std::move(next);
    }
    return rounds;
  }

  /** Every live daemon exchanges with one other. */
  void Exchange()
  {
    for (auto& [name, daemon] : mDaemons) {
      const DaemonName other = daemon.NextExchange();
      if (mDead.contains(name) || mDead.contains(other)) {
        continue;
      }
      if (mKnowing.contains(name) || mKnowing.contains(other)) {
        mKnowing.insert(name);
        mKnowing.insert(other);
      }
    }
  }

  bool IsComplete() const
  {
    return mKnowing.size() + mDead.size() == mDaemons.size();
  }
  std::size_t MostMessages() const { return mMostMessages; }

private:
  std::map<DaemonName, Dissemination> mDaemons;
  std::set<DaemonName> mDead;
  std::set<DaemonName> mKnowing;
  std::size_t mMostMessages = 0;
};

} // namespace

TEST_CASE("an epoch reaches all daemons in few rounds at a fixed cost")
{
  const std::size_t count = GENERATE(1, 2, 6, 100, 2100);
  Spread spread(count, {});
  const int rounds = spread.Push(Epoch(7), DaemonName("entry-0"));
  CHECK(spread.IsComplete());
  CHECK(rounds <= 9);
  CHECK(spread.MostMessages() <= 6);
}

TEST_CASE("dead daemons in the tree are made up for by the exchanges")
{
  constexpr std::size_t kCount = 2100;
  std::mt19937_64 random(3);
  for (std::uint64_t epoch = 1; epoch <= 5; ++epoch) {
    std::set<DaemonName> dead;
    while (dead.size() < kCount / 10) {
      dead.insert(
        DaemonName("entry-" + std::to_string(1 + random() % (kCount - 1))));
    }
    Spread spread(kCount, dead);
    spread.Push(Epoch(epoch), DaemonName("entry-0"));
    int exchanges = 0;
    for (; !spread.IsComplete() && exchanges < 100; ++exchanges) {
      spread.Exchange();
    }
    // Thirteen seconds hold 26 exchanges.
    CHECK(exchanges <= 26);
  }
}

TEST_CASE("inner nodes of the tree change with the epoch")
{
  const auto names = MakeNames(50);
  Dissemination daemon(names[0], names, { 4, 0 }, 1);
  std::set<std::size_t> sizes;
  for (std::uint64_t epoch = 1; epoch <= 20; ++epoch) {
    sizes.insert(daemon.Receivers(Epoch(epoch), false).size());
  }
  CHECK(sizes.size() > 1);
}
