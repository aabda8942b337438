#include "carobtide/bundle.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace carobtide;

namespace {

std::string TextOf(std::uint64_t aVersion)
{
  return "name: desk\nversion: " + std::to_string(aVersion) +
         "\nmodels:\n  - {name: a, pool: p, memory: 1GiB}\n";
}

BundleRegistry Filled()
{
  BundleRegistry registry;
  std::uint64_t index = 0;
  for (std::uint64_t n = 1; n <= 3; ++n) {
    const Digest digest = ComputeDigest(TextOf(n));
    registry.Apply(++index, SubmitBundle{ TextOf(n), "lise" });
    registry.Apply(++index, SignOffBundle{ "desk", n, digest, "lise" });
    registry.Apply(++index, RollBundle{ "desk", n, digest, "lise" });
  }
  registry.Apply(++index, SubmitBundle{ TextOf(4), "joost" });
  return registry;
}

} // namespace

TEST_CASE("a restored registry is the same and decides alike")
{
  const BundleRegistry registry = Filled();
  BundleRegistry restored;
  REQUIRE(restored.Load(registry.Save()));
  CHECK(restored.Save() == registry.Save());
  CHECK(restored.CurrentEpoch() == registry.CurrentEpoch());
  CHECK(restored.CurrentText() == TextOf(3));
  REQUIRE(restored.Current());
  CHECK(restored.Current()->FindModel(ModelName("a")));
  CHECK(restored.Find("desk", 4)->mBundle);
  const auto resend =
    restored.Apply(99, RollBundle{ "desk", 1, ComputeDigest(TextOf(1)), "x" });
  CHECK(resend.mCode == ErrorCode::Ok);
  CHECK(restored.CurrentEpoch() == registry.CurrentEpoch());
}

TEST_CASE("a damaged snapshot is refused and changes nothing")
{
  const BundleRegistry registry = Filled();
  const std::string snapshot = registry.Save();
  BundleRegistry restored;
  REQUIRE(restored.Load(snapshot));
  for (std::size_t n = 0; n < snapshot.size(); n += 7) {
    CHECK_FALSE(restored.Load(snapshot.substr(0, n)));
  }
  CHECK_FALSE(restored.Load(snapshot + "x"));
  std::string changed = snapshot;
  changed[changed.find("1GiB")] = '2';
  CHECK(restored.Load(changed).Code() == ErrorCode::Corrupt);
  CHECK(restored.Save() == snapshot);
}
