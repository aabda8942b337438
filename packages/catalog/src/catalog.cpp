#include "carobtide/catalog/catalog.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <numeric>
#include <set>
#include <string_view>
#include <utility>

namespace carobtide {

namespace {

Error Invalid(const Route& aRoute, std::string aReason)
{
  return Error{ ErrorCode::Malformed, "catalog.check", aRoute.mName,
                std::move(aReason) };
}

Result<Unit> CheckRoute(const Catalog& aCatalog, const Route& aRoute)
{
  const auto& prefix = aRoute.mPathPrefix;
  if (aRoute.mHost.empty() || prefix.empty() || prefix.front() != '/' ||
      prefix.back() != '/') {
    return Invalid(aRoute, "host or path prefix is not usable");
  }
  if (aRoute.mTimeout <= Duration::zero()) {
    return Invalid(aRoute, "the timeout is not positive");
  }
  const auto unknown =
    std::ranges::find_if(aRoute.mServices, [&](const ServiceShare& aShare) {
      return aCatalog.FindService(aShare.mService) == nullptr;
    });
  if (unknown != aRoute.mServices.end()) {
    return Invalid(aRoute, "unknown service " + unknown->mService.Text());
  }
  const auto total = std::accumulate(
    aRoute.mServices.begin(), aRoute.mServices.end(), std::uint64_t{ 0 },
    [](std::uint64_t aSum, const ServiceShare& aShare) {
      return aSum + aShare.mWeight;
    });
  if (total == 0) {
    return Invalid(aRoute, "the weights add up to 0");
  }
  return Success();
}

bool IsUsable(const Allowance& aAllowance)
{
  const std::array limits{ aAllowance.mRate, aAllowance.mBurst,
                           aAllowance.mPlainTokens };
  return std::ranges::all_of(
    limits, [](double aLimit) { return std::isfinite(aLimit) && aLimit >= 0; });
}

/** Names are sent as header values, where control characters end the line. */
bool HasControlCharacter(std::string_view aText)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return std::ranges::any_of(aText, [](unsigned char aByte) {
    return aByte < kFirstPrintable || aByte == kDelete;
  });
}

Result<Unit> CheckOrganisations(const Catalog& aCatalog)
{
  const auto invalid = [](const Organisation& aIt, std::string aReason) {
    return Error{ ErrorCode::Malformed, "catalog.check", aIt.mName.Text(),
                  std::move(aReason) };
  };
  std::set<OrganisationName> names;
  std::map<KeyDigest, const Organisation*> holders;
  for (const Organisation& it : aCatalog.mOrganisations) {
    if (it.mName.IsEmpty() || !names.insert(it.mName).second) {
      return invalid(it, "an organisation has no name or one that another has");
    }
    if (HasControlCharacter(it.mName.Text())) {
      return invalid(it, "the name has control characters");
    }
    if (it.mAllowance && !IsUsable(*it.mAllowance)) {
      return invalid(it, "a limit is negative or not finite");
    }
    for (const KeyDigest& key : it.mKeys) {
      const auto [holder, isNew] = holders.emplace(key, &it);
      if (!isNew && holder->second != &it) {
        return invalid(it, "it shares a key with organisation " +
                             holder->second->mName.Text());
      }
    }
  }
  return Success();
}

} // namespace

const CatalogModel* EngineSpec::FindModel(const ModelName& aName) const
{
  const auto it = std::ranges::find(mModels, aName, &CatalogModel::mName);
  return it == mModels.end() ? nullptr : &*it;
}

const CatalogService* Catalog::FindService(const ServiceName& aName) const
{
  const auto it = std::ranges::find(mServices, aName, &CatalogService::mName);
  return it == mServices.end() ? nullptr : &*it;
}

Duration LongestStream(const Catalog& aCatalog)
{
  constexpr int kTimesOpen = 2;
  Duration longest{ 0 };
  for (const Route& route : aCatalog.mRoutes) {
    if (route.mKind == RequestKind::ResumableStream) {
      longest = std::max(longest, route.mTimeout);
    }
  }
  return kTimesOpen * longest;
}

Result<Unit> CheckCatalog(const Catalog& aCatalog)
{
  std::set<ServiceName> services;
  for (const CatalogService& service : aCatalog.mServices) {
    if (service.mName.IsEmpty() || !services.insert(service.mName).second) {
      return Error{ ErrorCode::Malformed, "catalog.check", service.mName.Text(),
                    "a service has no name or one that another has" };
    }
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : aCatalog.mRoutes) {
    if (auto checked = CheckRoute(aCatalog, route); !checked) {
      return checked;
    }
    if (!places.emplace(route.mHost, route.mPathPrefix).second) {
      return Invalid(route, "another route has the same host and prefix");
    }
  }
  return CheckOrganisations(aCatalog);
}

} // namespace carobtide
