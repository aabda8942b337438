#pragma once

/**
 * @file
 * Maps the library's error codes to Error values.
 */

#include "carobtide/base.hpp"

#include <boost/beast/core/error.hpp>

#include <string>
#include <string_view>

namespace carobtide {

/** Builds an Error from a library code that is not success. */
Error TransportError(const boost::beast::error_code& aCode,
                     std::string_view aStep, const std::string& aPeer);

} // namespace carobtide
