#pragma once

/**
 * @file
 * Hashes that recognize content of requests when it comes again.
 */

#include "carobtide/base.hpp"

#include <initializer_list>
#include <string>
#include <string_view>

namespace carobtide {

/** Recognizes a request's content, or a part of it; zero stands for none. */
using Fingerprint = NumericId<struct FingerprintTag>;

/** The fingerprint of some texts in order. Thread safety: any thread. */
Fingerprint FingerprintOf(std::initializer_list<std::string_view> aTexts);

/** Renders 16 lower-case hexadecimal digits. Thread safety: any thread. */
std::string ToHex(Fingerprint aFingerprint);

} // namespace carobtide
