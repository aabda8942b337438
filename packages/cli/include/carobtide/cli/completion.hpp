#pragma once

/**
 * @file
 * Completion requests and answers in the callers' API, as the stand-in engine
 * reads and writes them. No I/O.
 */

#include "carobtide/base.hpp"
#include "carobtide/cli/answer.hpp"
#include "carobtide/transport/http_types.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace carobtide {

inline constexpr std::string_view kChatPath = "/v1/chat/completions";
inline constexpr std::string_view kCompletionPath = "/v1/completions";

/** What a stand-in engine needs of a completion request. */
struct Completion
{
  bool mIsChat = true;
  bool mStreaming = false;
  ModelName mModel;
  AdapterName mAdapter;
  /** All that the answer depends on beside the model. */
  std::string mPrompt;
  /** 0 if the request sets no bound. */
  std::uint32_t mMaxTokens = 0;
  /** Tokens that the caller already has; the answer starts after them. */
  std::uint32_t mResumeOffset = 0;
  /** Lower is more urgent. */
  std::uint32_t mPriority = 1;
  std::string mRequestId;
  std::string mAttempt;

  /** "NAME" or "NAME:ADAPTER". */
  std::string FullModel() const;
};

/** Reads a completion request. Malformed on any fault. */
Result<Completion> ParseCompletion(const HttpRequest& aRequest);

/** The whole answer as JSON, with usage. */
std::string RenderWholeAnswer(const Completion& aCompletion,
                              const Answer& aAnswer);

/**
 * Renders the events of one stream. The constant parts are made once.
 *
 * Thread safety: immutable.
 */
class StreamRenderer
{
public:
  StreamRenderer(const Completion& aCompletion, const Answer& aAnswer);

  /** Appends one event for each token from aFirst up to, not including, aLast.
   */
  void AppendTokens(std::uint32_t aFirst, std::uint32_t aLast,
                    std::string& aOut) const;

  /** Appends the last event with the usage, and the end marker. */
  void AppendEnd(std::string& aOut) const;

private:
  std::string mPrefix;
  std::string mSuffix;
  std::string mEnd;
  const Answer* mAnswer;
};

/** The error body of the callers' API. */
std::string RenderError(std::string_view aCode, std::string_view aStep,
                        std::string_view aPeer, std::string_view aMessage);

} // namespace carobtide
