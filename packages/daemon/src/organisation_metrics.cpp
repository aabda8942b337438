#include "organisation_metrics.hpp"

#include "metrics.hpp"

#include <cstdint>
#include <limits>
#include <string_view>

namespace carobtide {

namespace {

/** Label of the organisations without a counter of their own. */
constexpr std::string_view kRest = "other";

} // namespace

OrganisationMetrics::Counts* OrganisationMetrics::Find(
  const OrganisationName& aName)
{
  if (aName.IsEmpty()) {
    return nullptr;
  }
  const auto it = mByName.find(aName);
  if (it != mByName.end()) {
    return &it->second;
  }
  // An organisation that is named so is counted with the rest, since two
  // series must not have the same labels.
  if (mByName.size() < kMaxNames && aName.Text() != kRest) {
    return &mByName[aName];
  }
  mHasOther = true;
  return &mOther;
}

void OrganisationMetrics::OnAsked(const OrganisationName& aName)
{
  if (Counts* counts = Find(aName)) {
    ++counts->mAsked;
  }
}

void OrganisationMetrics::OnServed(const OrganisationName& aName)
{
  if (Counts* counts = Find(aName)) {
    ++counts->mServed;
  }
}

void OrganisationMetrics::OnRefused(const OrganisationName& aName,
                                    RefusalReason aReason)
{
  if (Counts* counts = Find(aName)) {
    ++counts->mRefused[static_cast<std::size_t>(aReason)];
  }
}

void OrganisationMetrics::OnSpent(const OrganisationName& aName, double aUnits)
{
  if (Counts* counts = Find(aName)) {
    counts->mSpent += aUnits;
  }
}

void OrganisationMetrics::OnKeyRefused(KeyHeader aHeader)
{
  ++mKeysRefused[static_cast<std::size_t>(aHeader)];
}

void OrganisationMetrics::Render(std::ostream& aOut) const
{
  aOut << "# TYPE carobtide_keys_refused_total counter\n";
  for (const auto& [header, name] : kKeyHeaders.mRows) {
    aOut << "carobtide_keys_refused_total{key=\""
         << (header == KeyHeader::Usable ? "unknown" : name) << "\"} "
         << mKeysRefused[static_cast<std::size_t>(header)] << '\n';
  }
  const auto forEach = [&](const auto& aWrite) {
    for (const auto& [name, counts] : mByName) {
      aWrite("organisation=\"" + EscapeLabel(name.Text()) + '"', counts);
    }
    if (mHasOther) {
      aWrite("organisation=\"" + std::string(kRest) + '"', mOther);
    }
  };
  const auto render = [&](std::string_view aName, auto aValueOf) {
    aOut << "# TYPE carobtide_" << aName << " counter\n";
    forEach([&](const std::string& aLabels, const Counts& aCounts) {
      aOut << "carobtide_" << aName << '{' << aLabels << "} "
           << aValueOf(aCounts) << '\n';
    });
  };
  const auto precision =
    aOut.precision(std::numeric_limits<double>::max_digits10);
  render("organisation_requests_total",
         [](const Counts& aIt) { return aIt.mAsked; });
  render("organisation_served_total",
         [](const Counts& aIt) { return aIt.mServed; });
  render("organisation_units_spent_total",
         [](const Counts& aIt) { return aIt.mSpent; });
  aOut.precision(precision);
  aOut << "# TYPE carobtide_organisation_refused_total counter\n";
  forEach([&](const std::string& aLabels, const Counts& aCounts) {
    for (const auto& [reason, name] : kRefusalReasons.mRows) {
      aOut << "carobtide_organisation_refused_total{" << aLabels << ",reason=\""
           << name << "\"} "
           << aCounts.mRefused[static_cast<std::size_t>(reason)] << '\n';
    }
  });
}

} // namespace carobtide
