#pragma once

/**
 * @file
 * HTTP messages without a library's types.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carobtide {

/** Header fields in order. Names compare without case. */
class HttpHeaders
{
public:
  /** Appends a field. */
  void Add(std::string aName, std::string aValue);
  /** Value of the first field of that name; empty if none. */
  std::string_view Get(std::string_view aName) const;
  bool Has(std::string_view aName) const;

  const std::vector<std::pair<std::string, std::string>>& All() const
  {
    return mFields;
  }

private:
  std::vector<std::pair<std::string, std::string>> mFields;
};

struct HttpRequest
{
  std::string mMethod = "GET";
  /** Path with query. */
  std::string mTarget = "/";
  HttpHeaders mHeaders;
  std::string mBody;

  /** The part of mTarget before '?'. */
  std::string_view Path() const;
  /** A query parameter's value, undecoded; empty if absent. */
  std::string_view Query(std::string_view aName) const;
};

/** Status and headers of a response, without its body. */
struct HttpResponseHead
{
  std::uint16_t mStatus = 200;
  HttpHeaders mHeaders;
};

struct HttpResponse
{
  HttpResponseHead mHead;
  std::string mBody;
};

/** True if the body is of server-sent events. Thread safety: any thread. */
bool IsEventStream(const HttpResponseHead& aHead);

/** Makes a response with a body of the given type. */
HttpResponse MakeResponse(std::uint16_t aStatus, std::string aContentType,
                          std::string aBody);

} // namespace carobtide
