#pragma once

/**
 * @file
 * The replicated state that says which catalog is in force.
 */

#include "carobtide/base.hpp"

#include <cereal/types/string.hpp>

#include <cstdint>
#include <string>

namespace carobtide {

/** A catalog as the operators sent it. */
struct CatalogText
{
  std::uint64_t mVersion = 0;
  /** Kept to the letter, so that it is read back as it was sent. */
  std::string mText;

  bool operator==(const CatalogText&) const = default;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mText);
  }
};

/** What a put came to. Both are an acknowledgement. */
enum class CatalogPut : std::uint8_t
{
  InForce,
  /** A version at least as high was held already; nothing changed. */
  Superseded,
};

/**
 * Holds the catalog of the highest version. The first text of a version wins,
 * and the version never falls. Commands come in log order; deterministic.
 *
 * Thread safety: none; the owner guards it.
 */
class CatalogRegister
{
public:
  CatalogPut Apply(CatalogText aText);

  /** Version 0 before the first put. */
  const CatalogText& Current() const { return mCurrent; }

  std::string Save() const;
  Result<Unit> Load(const std::string& aSnapshot);

private:
  CatalogText mCurrent;
};

} // namespace carobtide
