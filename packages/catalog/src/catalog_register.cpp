#include "carobtide/catalog/catalog_register.hpp"

#include "carobtide/base/codec.hpp"

#include <utility>

namespace carobtide {

CatalogPut CatalogRegister::Apply(CatalogText aText)
{
  if (aText.mVersion <= mCurrent.mVersion) {
    return CatalogPut::Superseded;
  }
  mCurrent = std::move(aText);
  return CatalogPut::InForce;
}

std::string CatalogRegister::Save() const
{
  return Encode(mCurrent);
}

Result<Unit> CatalogRegister::Load(const std::string& aSnapshot)
{
  auto loaded = Decode<CatalogText>(aSnapshot, "snapshot");
  if (!loaded) {
    return loaded.GetError();
  }
  mCurrent = std::move(*loaded);
  return Success();
}

} // namespace carobtide
