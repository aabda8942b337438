#pragma once

/**
 * @file
 * Finds the organisation that holds an API key.
 */

#include "carobtide/catalog/catalog.hpp"

#include <cstddef>
#include <memory>
#include <unordered_map>

namespace carobtide {

/**
 * Organisations of one catalog by the digests of their keys.
 *
 * Keys are looked up by SHA-256 digest: one hash and one table probe for a
 * known and for an unknown key, so that the time does not depend on how many
 * bytes of a guess are right.
 *
 * Thread safety: immutable after construction, safe from any thread.
 */
class OrganisationDirectory
{
public:
  /** Precondition: the catalog passed CheckCatalog. */
  explicit OrganisationDirectory(std::shared_ptr<const Catalog> aCatalog);

  /** True if the catalog has no organisations: requests carry no keys. */
  bool IsEmpty() const { return mCatalog->mOrganisations.empty(); }

  /** The holder of the key; null if no organisation holds it. */
  const Organisation* FindByKey(const KeyDigest& aKey) const;

  /** The organisation of that name; null if the catalog does not name it. */
  const Organisation* Find(const OrganisationName& aName) const;

private:
  struct Hasher
  {
    std::size_t operator()(const KeyDigest& aDigest) const noexcept;
  };

  std::shared_ptr<const Catalog> mCatalog;
  std::unordered_map<KeyDigest, const Organisation*, Hasher> mByKey;
  std::unordered_map<OrganisationName, const Organisation*> mByName;
};

} // namespace carobtide
