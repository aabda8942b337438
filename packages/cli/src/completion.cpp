#include "carobtide/cli/completion.hpp"

#include <boost/json.hpp>

#include <charconv>
#include <optional>

namespace carobtide {

namespace json = boost::json;

namespace {

constexpr std::string_view kStep = "completion.parse";
constexpr std::uint32_t kDefaultPriority = 1;

Error Fault(std::string aDetail)
{
  return Error{ ErrorCode::Malformed, std::string(kStep), "",
                std::move(aDetail) };
}

std::string TextOf(const json::object& aObject, std::string_view aKey)
{
  const json::value* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_string()
           ? std::string(value->get_string())
           : std::string();
}

/** A non-negative number; nothing if present and something else. */
std::optional<std::uint32_t> CountOf(const json::object& aObject,
                                     std::string_view aKey)
{
  const json::value* value = aObject.if_contains(aKey);
  if (value == nullptr || value->is_null()) {
    return 0;
  }
  json::error_code ec;
  const auto count = value->to_number<std::uint32_t>(ec);
  if (ec) {
    return std::nullopt;
  }
  return count;
}

std::uint32_t PriorityOf(std::string_view aHeader)
{
  if (aHeader == "interactive") {
    return 0;
  }
  if (aHeader == "batch") {
    return 2;
  }
  std::uint32_t number = kDefaultPriority;
  std::from_chars(aHeader.data(), aHeader.data() + aHeader.size(), number);
  return number;
}

bool ReadPrompt(const json::object& aBody, Completion& aOut)
{
  if (!aOut.mIsChat) {
    const json::value* prompt = aBody.if_contains("prompt");
    if (prompt == nullptr || !prompt->is_string()) {
      return false;
    }
    aOut.mPrompt = prompt->get_string();
    return true;
  }
  const json::value* messages = aBody.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return false;
  }
  for (const json::value& message : messages->get_array()) {
    if (!message.is_object()) {
      return false;
    }
    aOut.mPrompt += TextOf(message.get_object(), "content") + "\n";
  }
  return !messages->get_array().empty();
}

std::string Quoted(std::string_view aText)
{
  return json::serialize(json::string(aText));
}

std::string RenderUsage(const Completion& aCompletion, const Answer& aAnswer)
{
  const std::uint32_t prompt = CountTokens(aCompletion.mPrompt);
  return R"({"prompt_tokens":)" + std::to_string(prompt) +
         R"(,"completion_tokens":)" + std::to_string(aAnswer.Length()) +
         R"(,"total_tokens":)" + std::to_string(prompt + aAnswer.Length()) +
         "}";
}

std::string RenderHead(const Completion& aCompletion, std::string_view aObject)
{
  return R"({"id":)" + Quoted(aCompletion.mRequestId) + R"(,"object":")" +
         std::string(aObject) + R"(","model":)" +
         Quoted(aCompletion.FullModel()) + R"(,"choices":[{"index":0,)";
}

} // namespace

std::string Completion::FullModel() const
{
  return mAdapter.IsEmpty() ? mModel.Text()
                            : mModel.Text() + ":" + mAdapter.Text();
}

Result<Completion> ParseCompletion(const HttpRequest& aRequest)
{
  json::error_code ec;
  const json::value value = json::parse(aRequest.mBody, ec);
  if (ec || !value.is_object()) {
    return Fault("body is not a JSON object");
  }
  const json::object& body = value.get_object();
  Completion completion;
  completion.mIsChat = aRequest.Path() == kChatPath;
  const std::string model = TextOf(body, "model");
  if (model.empty()) {
    return Fault("model is missing");
  }
  const auto colon = std::min(model.find(':'), model.size());
  completion.mModel = ModelName(model.substr(0, colon));
  if (colon < model.size()) {
    completion.mAdapter = AdapterName(model.substr(colon + 1));
  }
  if (!ReadPrompt(body, completion)) {
    return Fault(completion.mIsChat ? "messages are missing or malformed"
                                    : "prompt is missing");
  }
  const json::value* stream = body.if_contains("stream");
  completion.mStreaming =
    stream != nullptr && stream->is_bool() && stream->get_bool();
  const auto maxTokens = CountOf(body, "max_tokens");
  const auto offset = CountOf(body, "resume_offset");
  if (!maxTokens || !offset) {
    return Fault("max_tokens and resume_offset must be non-negative numbers");
  }
  completion.mMaxTokens = *maxTokens;
  completion.mResumeOffset = *offset;
  const auto resume = aRequest.mHeaders.Get("Carobtide-Resume-Offset");
  if (!resume.empty()) {
    const auto parsed = std::from_chars(
      resume.data(), resume.data() + resume.size(), completion.mResumeOffset);
    if (parsed.ec != std::errc{}) {
      return Fault("Carobtide-Resume-Offset is not a number");
    }
  }
  completion.mPriority =
    PriorityOf(aRequest.mHeaders.Get("Carobtide-Priority"));
  completion.mRequestId = aRequest.mHeaders.Get("Carobtide-Request-Id");
  completion.mAttempt = aRequest.mHeaders.Get("Carobtide-Attempt");
  return completion;
}

std::string RenderWholeAnswer(const Completion& aCompletion,
                              const Answer& aAnswer)
{
  const std::uint32_t first =
    std::min(aCompletion.mResumeOffset, aAnswer.Length());
  const std::string text = aAnswer.Text(first, aAnswer.Length());
  std::string body = RenderHead(
    aCompletion, aCompletion.mIsChat ? "chat.completion" : "text_completion");
  body += aCompletion.mIsChat
            ? R"("message":{"role":"assistant","content":")" + text + R"("})"
            : R"("text":")" + text + '"';
  body += R"(,"finish_reason":"stop"}],"usage":)";
  body += RenderUsage(aCompletion, aAnswer) + "}";
  return body;
}

StreamRenderer::StreamRenderer(const Completion& aCompletion,
                               const Answer& aAnswer)
  : mAnswer(&aAnswer)
{
  const bool isChat = aCompletion.mIsChat;
  const std::string head =
    "data: " + RenderHead(aCompletion,
                          isChat ? "chat.completion.chunk" : "text_completion");
  mPrefix = head + (isChat ? R"("delta":{"content":")" : R"("text":")");
  mSuffix = isChat ? "\"}}]}\n\n" : "\"}]}\n\n";
  mEnd = head + (isChat ? R"("delta":{},)" : R"("text":"",)") +
         R"("finish_reason":"stop"}],"usage":)" +
         RenderUsage(aCompletion, aAnswer) + "}\n\ndata: [DONE]\n\n";
}

void StreamRenderer::AppendTokens(std::uint32_t aFirst, std::uint32_t aLast,
                                  std::string& aOut) const
{
  for (std::uint32_t i = aFirst; i < aLast; ++i) {
    aOut += mPrefix;
    mAnswer->AppendToken(i, aOut);
    aOut += mSuffix;
  }
}

void StreamRenderer::AppendEnd(std::string& aOut) const
{
  aOut += mEnd;
}

std::string RenderError(std::string_view aCode, std::string_view aStep,
                        std::string_view aPeer, std::string_view aMessage)
{
  return R"({"error":{"code":)" + Quoted(aCode) + R"(,"step":)" +
         Quoted(aStep) + R"(,"peer":)" + Quoted(aPeer) + R"(,"message":)" +
         Quoted(aMessage) + "}}";
}

} // namespace carobtide
