/**
 * @file
 * Every example parses, and has the sizes of its deployment.
 */

#include "carobtide/bundle.hpp"
#include "carobtide/settings.hpp"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string>

using namespace carobtide;

namespace {

struct Deployment
{
  const char* mFolder;
  std::size_t mModels;
  std::size_t mAdapters;
  std::size_t mFailureDomains;
  Bytes mEngines;
  double mLoadsPerSecond;
  std::uint32_t mConcurrentLoads;
  std::uint32_t mAdapterConcurrency;
};

constexpr Bytes kEngineMemory = 80 * kGiB;

std::string ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream in(aPath);
  REQUIRE(in);
  return std::string(std::istreambuf_iterator<char>(in), {});
}

std::filesystem::path Folder(const Deployment& aDeployment)
{
  return std::filesystem::path(CAROBTIDE_SOURCE_DIR) / "examples" /
         aDeployment.mFolder;
}

DaemonSettings ReadEntry(const Deployment& aDeployment, int aEntry)
{
  const auto path =
    Folder(aDeployment) / ("entry-" + std::to_string(aEntry) + ".yaml");
  auto parsed = ParseDaemonSettings(ReadFile(path));
  if (const auto* faults = std::get_if<std::vector<YamlFault>>(&parsed)) {
    FAIL(path << ": " << faults->front().ToString());
  }
  return std::get<DaemonSettings>(parsed);
}

Deployment AnyDeployment()
{
  return GENERATE(Deployment{ "sanglerie", 34, 100, 4, 18, 3.0, 9, 70 },
                  Deployment{ "lantern-reef", 17, 60, 3, 9, 1.5, 6, 50 });
}

} // namespace

TEST_CASE("the example settings describe six daemons that know each other")
{
  const Deployment deployment = AnyDeployment();
  constexpr int kEntries = 6;
  std::set<Endpoint> addresses;
  std::set<FailureDomain> domains;
  std::set<FailureDomain> diskDomains;
  for (int n = 1; n <= kEntries; ++n) {
    const DaemonSettings entry = ReadEntry(deployment, n);
    addresses.insert(entry.mCallerAddress);
    addresses.insert(entry.mOperatorAddress);
    addresses.insert(entry.mPeerAddress);
    domains.insert(entry.mFailureDomain);
    if (!entry.mDataDir.empty()) {
      diskDomains.insert(entry.mFailureDomain);
    }
    REQUIRE(entry.mPeers.size() == kEntries - 1);
    for (const PeerSettings& peer : entry.mPeers) {
      const std::string& name = peer.mName.Text();
      const DaemonSettings other =
        ReadEntry(deployment, std::stoi(name.substr(name.size() - 1)));
      CHECK(other.mName == peer.mName);
      CHECK(other.mPeerAddress == peer.mAddress);
      CHECK(other.mFailureDomain == peer.mFailureDomain);
      CHECK(other.mDataDir.empty() != peer.mHasDisk);
    }
  }
  CHECK(addresses.size() == 3 * kEntries);
  CHECK(domains.size() == deployment.mFailureDomains);
  CHECK(diskDomains.size() == 3);
}

TEST_CASE("the example bundles have the sizes of their deployments")
{
  const Deployment deployment = AnyDeployment();
  auto parsed = ParseBundle(ReadFile(Folder(deployment) / "bundle.yaml"));
  if (const auto* faults = std::get_if<std::vector<YamlFault>>(&parsed)) {
    FAIL(faults->front().ToString());
  }
  const Bundle& bundle = std::get<Bundle>(parsed);
  std::size_t adapters = 0;
  Bytes memory = 0;
  for (const ModelSpec& model : bundle.mModels) {
    adapters += model.mAdapters.size();
    memory += model.mMemory;
    for (const AdapterSpec& adapter : model.mAdapters) {
      memory += adapter.mMemory;
    }
  }
  CHECK(bundle.mModels.size() == deployment.mModels);
  CHECK(adapters == deployment.mAdapters);
  CHECK(bundle.mServices.size() == 1);
  CHECK(bundle.mStore.mLoadsPerSecond == deployment.mLoadsPerSecond);
  CHECK(bundle.mStore.mMaxConcurrentLoads == deployment.mConcurrentLoads);
  CHECK(bundle.mStore.mAdapterConcurrency == deployment.mAdapterConcurrency);
  // Each failure domain can hold one copy of everything and has room left.
  const auto domains = static_cast<Bytes>(deployment.mFailureDomains);
  const Bytes smallestDomain = deployment.mEngines / domains * kEngineMemory;
  CHECK(memory < smallestDomain * 9 / 10);
}
