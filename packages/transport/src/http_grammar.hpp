#pragma once

/**
 * @file
 * What makes a message's head sound beyond what its parser asks for.
 */

#include "carobtide/base.hpp"
#include "carobtide/transport/http_types.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <string>
#include <string_view>

namespace carobtide {

/** What follows the head of an answer. */
enum class ResponseHeadKind : std::uint8_t
{
  /** Its body, if it has one. */
  Final,
  /** Another head. */
  Interim,
};

/** True for a token of RFC 9110. Thread safety: any thread. */
bool IsFieldName(std::string_view aName);

/** True without control bytes other than tabs. Thread safety: any thread. */
bool IsFieldValue(std::string_view aValue);

/**
 * The one check that the heads of all answers pass before anything of them is
 * used: a status from 200 to 599, or an interim one that has a meaning without
 * being asked for (100, 102, 103); fields that are fields; a transfer coding
 * that is read, which is chunked alone.
 *
 * Errors: Malformed, whose detail names what is wrong. Thread safety: any
 * thread.
 */
Result<ResponseHeadKind> CheckResponseHead(
  const boost::beast::http::header<false>& aHead, const std::string& aPeer);

/**
 * True if a request with these parts is one request for its receiver, whatever
 * the parts came from. Thread safety: any thread.
 */
bool MayBeSent(const HttpRequest& aRequest);

/**
 * True if a message has no transfer coding, or the one that is read: chunked
 * alone. With another one its end is not known. Thread safety: any thread.
 */
bool HasReadableCoding(const boost::beast::http::fields& aFields);

/** The same for fields alone, such as those behind the last chunk. */
Result<Unit> CheckFields(const boost::beast::http::fields& aFields,
                         const std::string& aPeer);

} // namespace carobtide
