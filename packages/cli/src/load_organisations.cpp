#include "carobtide/cli/load_organisations.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <set>
#include <sstream>

namespace carobtide {

namespace {

constexpr double kMaxShare = 1e6;
constexpr double kMaxFactor = 1000;

using Members = std::vector<LoadOrganisation>;

template<class Weight>
double Sum(const Members& aMembers, Weight aWeight)
{
  return std::accumulate(aMembers.begin(), aMembers.end(), 0.0,
                         [&](double aSum, const LoadOrganisation& aIt) {
                           return aSum + aWeight(aIt);
                         });
}

double Shares(const Members& aMembers)
{
  return Sum(aMembers, [](const auto& aIt) { return aIt.mShare; });
}

LoadOrganisation ReadMember(const YamlNode& aNode)
{
  LoadOrganisation member;
  member.mName = aNode.Child("name").RequiredName();
  const YamlNode share = aNode.Child("share");
  member.mShare = share.NumberOr(1, 0, kMaxShare);
  if (member.mShare <= 0) {
    share.AddFault("expected a share above zero");
  }
  for (const YamlNode& node : aNode.Child("peaks").Items()) {
    LoadPeak peak;
    peak.mAt = node.Child("at").DurationOr(peak.mAt);
    peak.mDuration = node.Child("duration").DurationOr(peak.mDuration);
    peak.mFactor = node.Child("factor").NumberOr(peak.mFactor, 0, kMaxFactor);
    member.mPeaks.push_back(peak);
  }
  return member;
}

Error KeyError(const std::string& aFile, int aLine, std::string aReason)
{
  return { ErrorCode::Malformed, "load.keys",
           aFile + ":" + std::to_string(aLine), std::move(aReason) };
}

} // namespace

double LoadOrganisation::WeightAt(Duration aAt) const
{
  const auto it = std::ranges::find_if(mPeaks, [&](const LoadPeak& aPeak) {
    return aAt >= aPeak.mAt && aAt < aPeak.mAt + aPeak.mDuration;
  });
  return it == mPeaks.end() ? mShare : mShare * it->mFactor;
}

double LoadOrganisation::HighestWeight() const
{
  return std::accumulate(mPeaks.begin(), mPeaks.end(), mShare,
                         [&](double aMost, const LoadPeak& aPeak) {
                           return std::max(aMost, mShare * aPeak.mFactor);
                         });
}

double LoadOrganisations::FactorAt(Duration aAt) const
{
  return mMembers.empty()
           ? 1
           : Sum(mMembers, [&](const auto& aIt) { return aIt.WeightAt(aAt); }) /
               Shares(mMembers);
}

double LoadOrganisations::HighestFactor() const
{
  return mMembers.empty()
           ? 1
           : Sum(mMembers,
                 [](const auto& aIt) { return aIt.HighestWeight(); }) /
               Shares(mMembers);
}

std::size_t LoadOrganisations::Draw(Duration aAt, double aPoint) const
{
  double left = aPoint * FactorAt(aAt) * Shares(mMembers);
  const auto it =
    std::ranges::find_if(mMembers, [&](const LoadOrganisation& aIt) {
      left -= aIt.WeightAt(aAt);
      return left < 0;
    });
  // Rounding may leave a rest at the end.
  return it == mMembers.end() ? mMembers.size() - 1
                              : static_cast<std::size_t>(it - mMembers.begin());
}

LoadOrganisations ReadLoadOrganisations(const YamlNode& aNode)
{
  LoadOrganisations organisations;
  if (!aNode.IsPresent()) {
    return organisations;
  }
  organisations.mKeyHeader = aNode.Child("key_header").RequiredText();
  organisations.mTokenCountsHeader =
    aNode.Child("token_counts_header").TextOr("");
  std::set<std::string> names;
  for (const YamlNode& node : aNode.Child("members").Items()) {
    organisations.mMembers.push_back(ReadMember(node));
    if (!names.insert(organisations.mMembers.back().mName).second) {
      node.AddFault("expected a name that no other organisation has");
    }
  }
  if (organisations.mMembers.empty()) {
    aNode.AddFault("expected at least one entry under members");
  }
  return organisations;
}

Result<std::vector<std::string>> ParseLoadKeys(
  const LoadOrganisations& aOrganisations, const std::string& aFile,
  std::string_view aText)
{
  std::map<std::string, std::string> keys;
  std::map<std::string, int> lines;
  std::istringstream text{ std::string(aText) };
  int number = 0;
  for (std::string line; std::getline(text, line);) {
    ++number;
    std::istringstream words(line);
    std::string name;
    std::string key;
    std::string rest;
    if (!(words >> name) || name.front() == '#') {
      continue;
    }
    if (!(words >> key) || words >> rest) {
      return KeyError(aFile, number, "expected a name and a key");
    }
    if (std::ranges::find(aOrganisations.mMembers, name,
                          &LoadOrganisation::mName) ==
        aOrganisations.mMembers.end()) {
      return KeyError(aFile, number,
                      "no organisation of the scenario has this name");
    }
    const auto [first, isNew] = lines.emplace(key, number);
    if (!isNew) {
      return KeyError(aFile, number,
                      "the same key as in line " +
                        std::to_string(first->second));
    }
    if (!keys.emplace(name, key).second) {
      return KeyError(aFile, number, "a second key for " + name);
    }
  }
  std::vector<std::string> ordered;
  for (const LoadOrganisation& it : aOrganisations.mMembers) {
    const auto found = keys.find(it.mName);
    if (found == keys.end()) {
      return KeyError(aFile, number, "no key for " + it.mName);
    }
    ordered.push_back(found->second);
  }
  return ordered;
}

} // namespace carobtide
