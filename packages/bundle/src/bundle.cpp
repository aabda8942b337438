#include "carobtide/bundle/bundle.hpp"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <numeric>

namespace carobtide {

namespace {

static_assert(sizeof TokenDigest{}.mDigest == SHA256_DIGEST_LENGTH);

/** Deadlines of classes that a bundle does not state. */
const std::array<ClassSpec, kPriorityClassCount> kDefaultClasses{ {
  { PriorityClass::Interactive, std::chrono::seconds(2),
    std::chrono::minutes(2) },
  { PriorityClass::Standard, std::chrono::seconds(5), std::chrono::minutes(5) },
  { PriorityClass::Batch, std::chrono::hours(8), std::chrono::hours(8) },
} };

std::array<std::uint8_t, 32> DigestOfToken(std::string_view aToken)
{
  std::array<std::uint8_t, 32> digest;
  SHA256(reinterpret_cast<const unsigned char*>(aToken.data()), aToken.size(),
         digest.data());
  return digest;
}

/** Indexes of a list, ordered by the names of its elements. */
template<class Spec>
std::vector<std::uint32_t> IndexByName(const std::vector<Spec>& aList)
{
  std::vector<std::uint32_t> index(aList.size());
  std::iota(index.begin(), index.end(), 0U);
  std::ranges::stable_sort(index, [&](auto aLeft, auto aRight) {
    return aList[aLeft].mName < aList[aRight].mName;
  });
  return index;
}

template<class Spec, class Name>
const Spec* FindByName(const std::vector<Spec>& aList,
                       const std::vector<std::uint32_t>& aIndex,
                       const Name& aName)
{
  if (aIndex.size() != aList.size()) {
    const auto it = std::ranges::find(aList, aName, &Spec::mName);
    return it == aList.end() ? nullptr : &*it;
  }
  const auto it = std::lower_bound(aIndex.begin(), aIndex.end(), aName,
                                   [&](auto aElement, const Name& aWanted) {
                                     return aList[aElement].mName < aWanted;
                                   });
  if (it == aIndex.end() || aList[*it].mName != aName) {
    return nullptr;
  }
  return &aList[*it];
}

std::uint8_t FirstByte(const TokenDigest& aDigest)
{
  return aDigest.mDigest[0];
}

/** Digests of all tokens, ordered by their first byte. */
std::vector<TokenDigest> DigestsOfTokens(
  const std::vector<CallerSpec>& aCallers)
{
  std::vector<TokenDigest> digests;
  for (std::uint32_t n = 0; n < aCallers.size(); ++n) {
    for (const std::string& token : aCallers[n].mTokens) {
      digests.push_back(TokenDigest{ DigestOfToken(token), n });
    }
  }
  std::ranges::stable_sort(digests, {}, FirstByte);
  return digests;
}

/**
 * Compares with all digests that begin with the same byte, and with each to its
 * end, so that the time tells at most that byte of the token's own digest.
 */
const CallerSpec* FindInDigests(const std::vector<CallerSpec>& aCallers,
                                const std::vector<TokenDigest>& aDigests,
                                std::string_view aToken)
{
  const auto digest = DigestOfToken(aToken);
  const CallerSpec* found = nullptr;
  auto it = std::ranges::lower_bound(aDigests, digest[0], {}, FirstByte);
  for (; it != aDigests.end() && FirstByte(*it) == digest[0]; ++it) {
    if (CRYPTO_memcmp(it->mDigest.data(), digest.data(), digest.size()) == 0) {
      found = &aCallers[it->mCaller];
    }
  }
  return found;
}

bool Lists(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::ranges::any_of(aNames, [&](const std::string& aEntry) {
    return aEntry == "*" || aEntry == aName;
  });
}

} // namespace

void Bundle::BuildIndexes()
{
  mModelIndex = IndexByName(mModels);
  mServiceIndex = IndexByName(mServices);
  mTokenDigests = DigestsOfTokens(mCallers);
}

const ModelSpec* Bundle::FindModel(const ModelName& aName) const
{
  return FindByName(mModels, mModelIndex, aName);
}

const AdapterSpec* Bundle::FindAdapter(const ModelName& aModel,
                                       const AdapterName& aAdapter) const
{
  const ModelSpec* model = FindModel(aModel);
  if (!model) {
    return nullptr;
  }
  const auto it =
    std::ranges::find(model->mAdapters, aAdapter, &AdapterSpec::mName);
  return it == model->mAdapters.end() ? nullptr : &*it;
}

const ServiceSpec* Bundle::FindService(const ServiceName& aName) const
{
  return FindByName(mServices, mServiceIndex, aName);
}

const ClassSpec& Bundle::ClassFor(PriorityClass aClass) const
{
  const auto it = std::ranges::find(mClasses, aClass, &ClassSpec::mClass);
  return it != mClasses.end()
           ? *it
           : kDefaultClasses[static_cast<std::size_t>(aClass)];
}

const CallerSpec* Bundle::FindCallerByToken(std::string_view aToken) const
{
  if (aToken.empty()) {
    return nullptr;
  }
  if (mTokenDigests.empty()) {
    return FindInDigests(mCallers, DigestsOfTokens(mCallers), aToken);
  }
  return FindInDigests(mCallers, mTokenDigests, aToken);
}

bool IsEntitledToModel(const CallerSpec& aCaller, const ModelName& aModel)
{
  return Lists(aCaller.mModels, aModel.Text());
}

bool IsEntitledToService(const CallerSpec& aCaller, const ServiceName& aService)
{
  return Lists(aCaller.mServices, aService.Text());
}

} // namespace carobtide
