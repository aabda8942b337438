#pragma once

/**
 * @file
 * Builds a request of the load tool and judges its answer, without I/O.
 */

#include "carobtide/cli/answer.hpp"
#include "carobtide/cli/load_arrivals.hpp"
#include "carobtide/cli/load_stats.hpp"
#include "carobtide/transport/http_types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobtide {

/** A request with what its answer must be. */
struct LoadRequest
{
  HttpRequest mRequest;
  Answer mAnswer;
  /** Empty if the request carries no Idempotency-Key. */
  std::string mKey;
};

/** Builds the request of an arrival; equal arrivals give equal requests. */
LoadRequest BuildLoadRequest(const LoadClass& aClass, const Arrival& aArrival,
                             std::uint64_t aSeed);

/** What one try of a request carries beside the request itself. */
struct LoadTryHeaders
{
  /** Unique among the tries of an arrival. */
  std::uint32_t mTry = 0;
  /** Time that is left to the caller. */
  Duration mLeft{ 0 };
  /** The organisation's API key; ignored without organisations. */
  std::string_view mKey;
};

/** Adds a class's headers of one try, the organisation's key and its counts. */
void AddTryHeaders(HttpHeaders& aHeaders, const LoadScenario& aScenario,
                   const Arrival& aArrival, std::uint64_t aSeed,
                   const LoadTryHeaders& aTry);

/** The pause that an answer asks for; nothing if it names no seconds. */
std::optional<Duration> ReadRetryAfter(const HttpHeaders& aHeaders);

/** Judges a whole response, of a status below 400. */
LoadOutcome JudgeWholeAnswer(const LoadClass& aClass,
                             const LoadRequest& aRequest,
                             std::string_view aRequestId,
                             std::string_view aBody);

/** Judges a refusal or failure by its status and outcome header. */
LoadOutcome JudgeFailure(const HttpResponseHead& aHead);

} // namespace carobtide
