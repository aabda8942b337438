#include "carobtide/base/version.hpp"

namespace carobtide {

std::string_view Version()
{
  return "0.1.0";
}

} // namespace carobtide
