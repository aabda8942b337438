#include "carobtide/bundle.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace carobtide;

namespace {

std::string TextOf(std::uint64_t aVersion, const std::string& aModel,
                   const std::string& aName = "desk")
{
  return "name: " + aName + "\nversion: " + std::to_string(aVersion) +
         "\nmodels:\n  - {name: " + aModel + ", pool: p, memory: 1GiB}\n";
}

/** A registry and the index of its log. */
struct Replica
{
  BundleRegistry mRegistry;
  std::uint64_t mIndex = 0;

  BundleOutcome Apply(const BundleCommand& aCommand)
  {
    return mRegistry.Apply(++mIndex, aCommand);
  }

  BundleOutcome Submit(const std::string& aText,
                       const std::string& aOperator = "lise")
  {
    return Apply(SubmitBundle{ aText, aOperator });
  }

  BundleOutcome SignOff(const std::string& aText, std::uint64_t aVersion,
                        const std::string& aOperator = "lise")
  {
    return Apply(
      SignOffBundle{ "desk", aVersion, ComputeDigest(aText), aOperator });
  }

  BundleOutcome Roll(const std::string& aText, std::uint64_t aVersion,
                     const std::string& aOperator = "lise")
  {
    return Apply(
      RollBundle{ "desk", aVersion, ComputeDigest(aText), aOperator });
  }

  void PutInForce(const std::string& aText, std::uint64_t aVersion)
  {
    REQUIRE(Submit(aText).mCode == ErrorCode::Ok);
    REQUIRE(SignOff(aText, aVersion).mCode == ErrorCode::Ok);
    REQUIRE(Roll(aText, aVersion).mCode == ErrorCode::Ok);
  }
};

} // namespace

TEST_CASE("a version goes from draft to in force")
{
  Replica replica;
  const std::string text = TextOf(1, "a");
  CHECK(replica.Submit(text).mState == BundleState::Draft);
  CHECK(replica.mRegistry.Current() == nullptr);
  CHECK(replica.SignOff(text, 1).mState == BundleState::SignedOff);
  const BundleOutcome rolled = replica.Roll(text, 1);
  CHECK(rolled.mState == BundleState::Rolling);
  CHECK(replica.mRegistry.CurrentEpoch() == Epoch(3));
  CHECK(replica.mRegistry.CurrentText() == text);
  REQUIRE(replica.mRegistry.Current());
  CHECK(replica.mRegistry.Current()->FindModel(ModelName("a")));
  CHECK(replica.Apply(FinishRoll{ Epoch(3) }).mState == BundleState::InForce);
  CHECK(replica.mRegistry.Find("desk", 1)->mState == BundleState::InForce);
}

TEST_CASE("an unsigned, unknown or wrong digest is not rolled")
{
  Replica replica;
  const std::string text = TextOf(1, "a");
  CHECK(replica.Roll(text, 1).mCode == ErrorCode::NotFound);
  CHECK(replica.SignOff(text, 1).mCode == ErrorCode::NotFound);
  replica.Submit(text);
  CHECK(replica.Roll(text, 1).mCode == ErrorCode::InvalidState);
  CHECK(replica.SignOff("other", 1).mCode == ErrorCode::Conflict);
  CHECK(replica.Roll(text, 1).mCode == ErrorCode::InvalidState);
  replica.SignOff(text, 1);
  CHECK(replica.Roll("other", 1).mCode == ErrorCode::Conflict);
  CHECK(replica.mRegistry.CurrentEpoch() == Epoch(0));
}

TEST_CASE("a faulty text is refused with every fault")
{
  Replica replica;
  const BundleOutcome outcome = replica.Submit("name: desk\nverson: 1\n");
  CHECK(outcome.mCode == ErrorCode::Malformed);
  CHECK(outcome.mState == BundleState::Refused);
  CHECK(outcome.mDetail.find("version") != std::string::npos);
  CHECK(outcome.mDetail.find("verson") != std::string::npos);
  CHECK(replica.mRegistry.All().empty());
}

TEST_CASE("a conflict names the digest and the operator that won")
{
  Replica replica;
  const std::string winner = TextOf(1, "a");
  replica.Submit(winner, "lise");
  const BundleOutcome outcome = replica.Submit(TextOf(1, "b"), "joost");
  CHECK(outcome.mCode == ErrorCode::Conflict);
  CHECK(outcome.mDigest == ComputeDigest(winner));
  CHECK(outcome.mDetail.find(ComputeDigest(winner).ToHex()) !=
        std::string::npos);
  CHECK(outcome.mDetail.find("lise") != std::string::npos);
}

TEST_CASE("a resend is given the first answer at any later time")
{
  Replica replica;
  const std::string text = TextOf(1, "a");
  const BundleOutcome submitted = replica.Submit(text);
  const BundleOutcome signedOff = replica.SignOff(text, 1);
  const BundleOutcome rolled = replica.Roll(text, 1);
  replica.Apply(FinishRoll{ Epoch(3) });
  replica.PutInForce(TextOf(2, "b"), 2);
  const Epoch epoch = replica.mRegistry.CurrentEpoch();
  for (const std::string name : { "lise", "joost" }) {
    CHECK(replica.Submit(text, name).mDetail == submitted.mDetail);
    CHECK(replica.SignOff(text, 1, name).mDetail == signedOff.mDetail);
    CHECK(replica.Roll(text, 1, name).mDetail == rolled.mDetail);
    CHECK(replica.Submit(text, name).mState == submitted.mState);
    CHECK(replica.SignOff(text, 1, name).mState == signedOff.mState);
    CHECK(replica.Roll(text, 1, name).mState == rolled.mState);
    CHECK(replica.Roll(text, 1, name).mCode == ErrorCode::Ok);
  }
  CHECK(replica.mRegistry.CurrentEpoch() == epoch);
  CHECK(replica.mRegistry.Find("desk", 1)->mState == BundleState::Superseded);
}

TEST_CASE("a version older than one that was rolled is refused")
{
  Replica replica;
  const std::string old = TextOf(1, "a");
  const std::string draft = TextOf(2, "b");
  replica.Submit(old);
  replica.SignOff(old, 1);
  replica.Submit(draft);
  replica.PutInForce(TextOf(3, "c"), 3);
  const Epoch epoch = replica.mRegistry.CurrentEpoch();
  CHECK(replica.Roll(old, 1).mCode == ErrorCode::InvalidState);
  CHECK(replica.SignOff(draft, 2).mCode == ErrorCode::InvalidState);
  CHECK(replica.Submit(TextOf(1, "z")).mCode == ErrorCode::Conflict);
  CHECK(replica.Submit(TextOf(2, "b")).mCode == ErrorCode::Ok);
  CHECK(replica.mRegistry.CurrentEpoch() == epoch);
  CHECK(replica.mRegistry.Find("desk", 1)->mState == BundleState::Superseded);
}

TEST_CASE("a bundle of another name does not bring an older version back")
{
  Replica replica;
  const std::string first = TextOf(2, "a");
  const std::string older = TextOf(1, "a");
  replica.Submit(older);
  replica.SignOff(older, 1);
  replica.PutInForce(first, 2);
  const std::string other = TextOf(1, "b", "night");
  replica.Submit(other);
  replica.Apply(SignOffBundle{ "night", 1, ComputeDigest(other), "lise" });
  replica.Apply(RollBundle{ "night", 1, ComputeDigest(other), "lise" });
  CHECK(replica.mRegistry.Current()->mName == "night");
  CHECK(replica.Roll(older, 1).mCode == ErrorCode::InvalidState);
  CHECK(replica.Roll(first, 2).mCode == ErrorCode::Ok);
  CHECK(replica.mRegistry.Current()->mName == "night");
}

TEST_CASE("a late report of a finished roll changes nothing")
{
  Replica replica;
  replica.PutInForce(TextOf(1, "a"), 1);
  replica.PutInForce(TextOf(2, "b"), 2);
  CHECK(replica.Apply(FinishRoll{ Epoch(3) }).mCode == ErrorCode::InvalidState);
  CHECK(replica.Apply(FinishRoll{ Epoch(0) }).mCode == ErrorCode::InvalidState);
  CHECK(replica.mRegistry.Find("desk", 2)->mState == BundleState::Rolling);
  CHECK(replica.Apply(FinishRoll{ Epoch(6) }).mCode == ErrorCode::Ok);
  CHECK(replica.Apply(FinishRoll{ Epoch(6) }).mCode == ErrorCode::Ok);
}

TEST_CASE("only the version in force last keeps its text")
{
  Replica replica;
  for (std::uint64_t n = 1; n <= 3; ++n) {
    replica.PutInForce(TextOf(n, "a"), n);
  }
  CHECK(replica.mRegistry.Find("desk", 1)->mText.empty());
  CHECK(replica.mRegistry.Find("desk", 2)->mText == TextOf(2, "a"));
  CHECK(replica.mRegistry.Find("desk", 2)->mBundle);
  CHECK(replica.mRegistry.Find("desk", 3)->mText == TextOf(3, "a"));
}

TEST_CASE("waiting versions are bounded and a roll makes room")
{
  Replica replica;
  const auto most = BundleLimits::kMaxOpenVersions;
  for (std::uint64_t n = 1; n <= most; ++n) {
    REQUIRE(replica.Submit(TextOf(n, "a")).mCode == ErrorCode::Ok);
  }
  const std::string next = TextOf(most + 1, "a");
  CHECK(replica.Submit(next).mCode == ErrorCode::Overloaded);
  CHECK(replica.Submit(TextOf(1, "a")).mCode == ErrorCode::Ok);
  replica.SignOff(TextOf(most, "a"), most);
  replica.Roll(TextOf(most, "a"), most);
  CHECK(replica.Submit(next).mCode == ErrorCode::Ok);
}

TEST_CASE("the oldest superseded versions are forgotten, never accepted again")
{
  Replica replica;
  const std::uint64_t versions = BundleLimits::kMaxSuperseded + 10;
  for (std::uint64_t n = 1; n <= versions; ++n) {
    const std::string text = TextOf(n, "a");
    replica.Submit(text);
    replica.SignOff(text, n);
    replica.Roll(text, n);
  }
  CHECK(replica.mRegistry.All().size() == BundleLimits::kMaxSuperseded + 1);
  CHECK(replica.Submit(TextOf(1, "a")).mCode == ErrorCode::InvalidState);
  CHECK(replica.Roll(TextOf(1, "a"), 1).mCode == ErrorCode::NotFound);
  CHECK(replica.mRegistry.Current()->mVersion == versions);
}

TEST_CASE("a daemon without a log adopts higher epochs only")
{
  BundleRegistry registry;
  CHECK_FALSE(registry.Adopt(Epoch(0), TextOf(1, "a")));
  CHECK_FALSE(registry.Adopt(Epoch(9), "version: x"));
  CHECK(registry.CurrentEpoch() == Epoch(0));
  CHECK(registry.Adopt(Epoch(9), TextOf(2, "a")));
  CHECK_FALSE(registry.Adopt(Epoch(9), TextOf(3, "a")));
  CHECK_FALSE(registry.Adopt(Epoch(8), TextOf(3, "a")));
  CHECK(registry.CurrentEpoch() == Epoch(9));
  CHECK(registry.Current()->mVersion == 2);
  CHECK(registry.Find("desk", 2)->mState == BundleState::InForce);
  CHECK(registry.All().size() == 1);
}

TEST_CASE("an adopted epoch stands until the log reaches it")
{
  Replica replica;
  replica.PutInForce(TextOf(1, "a"), 1);
  CHECK(replica.mRegistry.Adopt(Epoch(6), TextOf(2, "b")));
  const std::string snapshot = replica.mRegistry.Save();
  CHECK(replica.mRegistry.CurrentEpoch() == Epoch(6));
  replica.Submit(TextOf(2, "b"));
  replica.SignOff(TextOf(2, "b"), 2);
  CHECK(replica.mRegistry.CurrentText() == TextOf(2, "b"));
  replica.Roll(TextOf(2, "b"), 2);
  CHECK(replica.mRegistry.CurrentEpoch() == Epoch(6));
  CHECK(replica.mRegistry.Find("desk", 2)->mState == BundleState::Rolling);
  BundleRegistry restored;
  REQUIRE(restored.Load(snapshot));
  CHECK(restored.CurrentEpoch() == Epoch(3));
}

TEST_CASE("loading an older snapshot does not undo an adopted epoch")
{
  Replica replica;
  replica.PutInForce(TextOf(1, "a"), 1);
  const std::string snapshot = replica.mRegistry.Save();
  BundleRegistry registry;
  registry.Adopt(Epoch(50), TextOf(9, "c"));
  REQUIRE(registry.Load(snapshot));
  CHECK(registry.CurrentEpoch() == Epoch(50));
  CHECK(registry.Current()->mVersion == 9);
}
