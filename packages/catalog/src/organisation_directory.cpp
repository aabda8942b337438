#include "carobtide/catalog/organisation_directory.hpp"

#include <openssl/sha.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace carobtide {

KeyDigest ComputeKeyDigest(std::string_view aKey)
{
  static_assert(KeyDigest::kBytes == SHA256_DIGEST_LENGTH);
  KeyDigest digest;
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()), aKey.size(),
         digest.mBytes.data());
  return digest;
}

std::size_t OrganisationDirectory::Hasher::operator()(
  const KeyDigest& aDigest) const noexcept
{
  std::size_t head = 0;
  std::memcpy(&head, aDigest.mBytes.data(), sizeof(head));
  return head;
}

OrganisationDirectory::OrganisationDirectory(
  std::shared_ptr<const Catalog> aCatalog)
  : mCatalog(std::move(aCatalog))
{
  for (const Organisation& organisation : mCatalog->mOrganisations) {
    mByName.emplace(organisation.mName, &organisation);
    std::ranges::for_each(organisation.mKeys, [&](const KeyDigest& aKey) {
      mByKey.emplace(aKey, &organisation);
    });
  }
}

const Organisation* OrganisationDirectory::FindByKey(
  const KeyDigest& aKey) const
{
  const auto it = mByKey.find(aKey);
  return it == mByKey.end() ? nullptr : it->second;
}

const Organisation* OrganisationDirectory::Find(
  const OrganisationName& aName) const
{
  const auto it = mByName.find(aName);
  return it == mByName.end() ? nullptr : it->second;
}

} // namespace carobtide
