/**
 * @file
 * Two operators race with equal versions and resend; every order of their
 * commands is tried.
 */

#include "carobtide/bundle.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace carobtide;

namespace {

const std::string kLiseText =
  "name: desk\nversion: 2\nmodels: [{name: a, pool: p, memory: 1GiB}]\n";
const std::string kJoostText =
  "name: desk\nversion: 2\nmodels: [{name: b, pool: p, memory: 1GiB}]\n";
const std::string kOldText =
  "name: desk\nversion: 1\nmodels: [{name: c, pool: p, memory: 1GiB}]\n";

SubmitBundle Submit(const std::string& aText, const char* aOperator)
{
  return SubmitBundle{ aText, aOperator };
}

SignOffBundle SignOff(const std::string& aText, std::uint64_t aVersion,
                      const char* aOperator)
{
  return SignOffBundle{ "desk", aVersion, ComputeDigest(aText), aOperator };
}

RollBundle Roll(const std::string& aText, std::uint64_t aVersion,
                const char* aOperator)
{
  return RollBundle{ "desk", aVersion, ComputeDigest(aText), aOperator };
}

std::string Print(const BundleOutcome& aOutcome)
{
  return std::string(ErrorMessage(aOutcome.mCode)) + "|" +
         std::string(kBundleStates.Name(aOutcome.mState)) + "|" +
         aOutcome.mDigest.ToHex() + "|" + aOutcome.mDetail;
}

/** Checks one order of commands; returns false at the first breach. */
bool HoldsInOrder(const std::vector<BundleCommand>& aCommands,
                  const std::vector<int>& aOrder)
{
  BundleRegistry registry;
  std::map<int, std::string> firstAnswers;
  std::uint64_t index = 0;
  Epoch epoch;
  std::uint64_t version = 0;
  Digest winner;
  for (const int n : aOrder) {
    const auto& command = aCommands[static_cast<std::size_t>(n)];
    const BundleOutcome outcome = registry.Apply(++index, command);
    if (outcome.mCode == ErrorCode::Ok) {
      const auto [it, isFirst] = firstAnswers.emplace(n, Print(outcome));
      if (!isFirst && it->second != Print(outcome)) {
        return false;
      }
    }
    if (registry.CurrentEpoch() < epoch) {
      return false;
    }
    epoch = registry.CurrentEpoch();
    if (const auto current = registry.Current()) {
      if (current->mVersion < version) {
        return false;
      }
      version = current->mVersion;
    }
    const BundleRecord* record = registry.Find("desk", 2);
    if (record && winner == Digest{}) {
      winner = record->mDigest;
    }
    if (record && record->mDigest != winner) {
      return false;
    }
    if (outcome.mCode == ErrorCode::Conflict && outcome.mDigest != winner) {
      return false;
    }
  }
  BundleRegistry restored;
  return restored.Load(registry.Save()) && restored.Save() == registry.Save();
}

/** Tries every order of the commands, each as often as listed. */
std::size_t BreachesOverAllOrders(const std::vector<BundleCommand>& aCommands,
                                  std::vector<int> aOrder)
{
  std::ranges::sort(aOrder);
  std::size_t breaches = 0;
  do {
    breaches += HoldsInOrder(aCommands, aOrder) ? 0 : 1;
  } while (std::ranges::next_permutation(aOrder).found);
  return breaches;
}

} // namespace

TEST_CASE("of two equal versions exactly one wins in every order")
{
  const std::vector<BundleCommand> commands{
    Submit(kLiseText, "lise"),       SignOff(kLiseText, 2, "lise"),
    Roll(kLiseText, 2, "lise"),      Submit(kJoostText, "joost"),
    SignOff(kJoostText, 2, "joost"), Roll(kJoostText, 2, "joost"),
  };
  CHECK(BreachesOverAllOrders(commands, { 0, 1, 2, 3, 4, 5 }) == 0);
}

TEST_CASE("resends change nothing in every order")
{
  const std::vector<BundleCommand> commands{ Submit(kLiseText, "lise"),
                                             SignOff(kLiseText, 2, "lise"),
                                             Roll(kLiseText, 2, "lise"),
                                             Submit(kJoostText, "joost") };
  CHECK(BreachesOverAllOrders(commands, { 0, 0, 1, 1, 2, 2, 3 }) == 0);
}

TEST_CASE("an older version never follows a newer one in every order")
{
  const std::vector<BundleCommand> commands{
    Submit(kOldText, "lise"),        SignOff(kOldText, 1, "lise"),
    Roll(kOldText, 1, "lise"),       Submit(kJoostText, "joost"),
    SignOff(kJoostText, 2, "joost"), Roll(kJoostText, 2, "joost"),
  };
  CHECK(BreachesOverAllOrders(commands, { 0, 1, 2, 2, 3, 4, 5 }) == 0);
}

TEST_CASE("both operators' commands in order: the loser is told who won")
{
  BundleRegistry registry;
  registry.Apply(1, Submit(kLiseText, "lise"));
  const auto submitted = registry.Apply(2, Submit(kJoostText, "joost"));
  const auto signedOff = registry.Apply(3, SignOff(kJoostText, 2, "joost"));
  const auto rolled = registry.Apply(4, Roll(kJoostText, 2, "joost"));
  for (const auto& outcome : { submitted, signedOff, rolled }) {
    CHECK(outcome.mCode == ErrorCode::Conflict);
    CHECK(outcome.mDigest == ComputeDigest(kLiseText));
    CHECK(outcome.mDetail.find("lise") != std::string::npos);
  }
}
