#pragma once

/**
 * @file
 * A blocking client of the operators' API.
 */

#include "carobtide/transport/http_types.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/** Where the daemons are and who asks. */
struct ApiOptions
{
  /** Operators' addresses, tried in order. */
  std::vector<Endpoint> mDaemons;
  std::string mToken;
  Duration mTimeout = std::chrono::seconds(10);
};

/** An answer with the daemon that gave it. */
struct ApiAnswer
{
  Endpoint mDaemon;
  std::string mBody;
};

/**
 * Calls daemons one after the other. All calls of the operators' API are safe
 * to resend, so a call whose answer was lost goes to the next daemon.
 *
 * Errors carry the step and the peer that the daemon named; ConnectRefused,
 * ConnectionLost or Timeout if no daemon answered.
 *
 * Thread safety: none.
 */
class ApiClient
{
public:
  explicit ApiClient(ApiOptions aOptions);

  /** Calls the first daemon that answers. */
  Result<ApiAnswer> Call(std::string_view aMethod, std::string_view aTarget,
                         const std::string& aBody = {}) const;

  /** Calls every daemon; one result each, in order. */
  std::vector<Result<ApiAnswer>> CallAll(std::string_view aMethod,
                                         std::string_view aTarget) const;

private:
  Result<ApiAnswer> CallOne(const Endpoint& aDaemon, std::string_view aMethod,
                            std::string_view aTarget,
                            const std::string& aBody) const;

  ApiOptions mOptions;
};

/** Reads {"error":{...}} of a daemon; the status alone if there is none. */
Error ParseApiError(std::uint16_t aStatus, std::string_view aBody,
                    const Endpoint& aDaemon);

/** True if the call may have reached no daemon at all. */
bool IsUnreachable(ErrorCode aCode);

} // namespace carobtide
