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

} // namespace carobtide
