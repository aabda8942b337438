#include "carobtide/catalog/catalog_pack.hpp"

#include "carobtide/base/codec.hpp"

#include <zlib.h>

#include <limits>

namespace carobtide {

namespace {

/** Versions of catalogs are positive and fit a signed integer. */
constexpr std::uint64_t kDeflatedMark =
  std::numeric_limits<std::uint64_t>::max();
/** Bodies of operators are bounded well below this. */
constexpr std::uint64_t kMaxTextBytes = 16 * 1024 * 1024;

struct CatalogCall
{
  CatalogEncoding mWanted = CatalogEncoding::Plain;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mWanted);
  }
};

struct DeflatedCatalog
{
  std::uint64_t mMark = kDeflatedMark;
  std::uint64_t mVersion = 0;
  std::uint64_t mTextBytes = 0;
  std::string mDeflated;

  template<class Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMark, mVersion, mTextBytes, mDeflated);
  }
};

/** Empty if it cannot be compressed. */
std::string Deflate(const std::string& aText)
{
  uLongf size = compressBound(static_cast<uLong>(aText.size()));
  std::string deflated(size, '\0');
  const int code = compress2(reinterpret_cast<Bytef*>(deflated.data()), &size,
                             reinterpret_cast<const Bytef*>(aText.data()),
                             static_cast<uLong>(aText.size()), Z_BEST_SPEED);
  deflated.resize(code == Z_OK ? size : 0);
  return deflated;
}

bool IsDeflated(std::string_view aReply)
{
  return aReply.starts_with(Encode(kDeflatedMark));
}

Result<CatalogText> Inflate(const DeflatedCatalog& aCatalog,
                            std::string_view aPeer)
{
  if (aCatalog.mTextBytes > kMaxTextBytes) {
    return MakeError(ErrorCode::TooLarge, "catalog.inflate", aPeer,
                     std::to_string(aCatalog.mTextBytes) + " bytes");
  }
  CatalogText text;
  text.mVersion = aCatalog.mVersion;
  text.mText.resize(aCatalog.mTextBytes);
  auto size = static_cast<uLongf>(text.mText.size());
  const int code =
    uncompress(reinterpret_cast<Bytef*>(text.mText.data()), &size,
               reinterpret_cast<const Bytef*>(aCatalog.mDeflated.data()),
               static_cast<uLong>(aCatalog.mDeflated.size()));
  if (code != Z_OK || size != text.mText.size()) {
    return MakeError(ErrorCode::Malformed, "catalog.inflate", aPeer,
                     "zlib code " + std::to_string(code));
  }
  return text;
}

} // namespace

std::string EncodeCatalogCall(CatalogEncoding aWanted)
{
  return aWanted == CatalogEncoding::Plain ? std::string()
                                           : Encode(CatalogCall{ aWanted });
}

CatalogEncoding ReadCatalogCall(std::string_view aPayload)
{
  const auto call = Decode<CatalogCall>(aPayload, "call");
  return call && call->mWanted == CatalogEncoding::Deflated
           ? CatalogEncoding::Deflated
           : CatalogEncoding::Plain;
}

std::string EncodeCatalogReply(const CatalogText& aText,
                               CatalogEncoding aEncoding)
{
  if (aEncoding == CatalogEncoding::Deflated) {
    DeflatedCatalog packed;
    packed.mVersion = aText.mVersion;
    packed.mTextBytes = aText.mText.size();
    packed.mDeflated = Deflate(aText.mText);
    if (!packed.mDeflated.empty()) {
      return Encode(packed);
    }
  }
  return Encode(aText);
}

Result<CatalogText> ReadCatalogReply(std::string_view aReply,
                                     std::string_view aPeer)
{
  if (!IsDeflated(aReply)) {
    return Decode<CatalogText>(aReply, aPeer);
  }
  const auto packed = Decode<DeflatedCatalog>(aReply, aPeer);
  return packed ? Inflate(*packed, aPeer)
                : Result<CatalogText>(packed.GetError());
}

} // namespace carobtide
