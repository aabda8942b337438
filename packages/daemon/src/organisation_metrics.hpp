#pragma once

/**
 * @file
 * Counters of an edge's requests by organisation.
 */

#include "carobtide/catalog/organisation.hpp"
#include "carobtide/daemon/dialect.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>

namespace carobtide {

/** Why a request was refused without having run. */
enum class RefusalReason : std::uint8_t
{
  Key,
  Allowance,
  NoCapacity,
  /** A planned stop, blocked content, a stream of unknown origin. */
  Other,
};

inline constexpr EnumTable<RefusalReason, 4> kRefusalReasons{ { {
  { RefusalReason::Key, "key" },
  { RefusalReason::Allowance, "allowance" },
  { RefusalReason::NoCapacity, "no-capacity" },
  { RefusalReason::Other, "other" },
} } };

/**
 * Counts requests that callers sent, not those taken for other edges. Requests
 * without an organisation are not counted here; OnKeyRefused counts those
 * without a key of the catalog by the state of their key header.
 *
 * Thread safety: none; the owner guards it.
 */
class OrganisationMetrics
{
public:
  /** Organisations beyond these are counted together as "other". */
  static constexpr std::size_t kMaxNames = 64;

  void OnAsked(const OrganisationName& aName);
  void OnServed(const OrganisationName& aName);
  void OnRefused(const OrganisationName& aName, RefusalReason aReason);
  /** Units of the organisation's allowance that its request has cost. */
  void OnSpent(const OrganisationName& aName, double aUnits);

  void OnKeyRefused(KeyHeader aHeader);

  /** Writes Prometheus text. */
  void Render(std::ostream& aOut) const;

private:
  struct Counts
  {
    std::uint64_t mAsked = 0;
    std::uint64_t mServed = 0;
    std::array<std::uint64_t, kRefusalReasons.mRows.size()> mRefused{};
    double mSpent = 0;
  };

  /** Null for requests without an organisation. */
  Counts* Find(const OrganisationName& aName);

  std::map<OrganisationName, Counts> mByName;
  Counts mOther;
  bool mHasOther = false;
  std::array<std::uint64_t, kKeyHeaders.mRows.size()> mKeysRefused{};
};

} // namespace carobtide
