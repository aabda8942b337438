#include "carobtide/base/error.hpp"

namespace carobtide {

std::string Error::ToString() const
{
  std::string text = mStep;
  if (!mPeer.empty()) {
    text += " (" + mPeer + ")";
  }
  text += ": ";
  text += ErrorMessage(mCode);
  if (!mDetail.empty()) {
    text += ": " + mDetail;
  }
  return text;
}

Error MakeError(ErrorCode aCode, std::string_view aStep, std::string_view aPeer,
                std::string_view aDetail)
{
  return Error(aCode, std::string(aStep), std::string(aPeer),
               std::string(aDetail));
}

} // namespace carobtide
