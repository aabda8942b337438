#include "carobtide/cli/load_request.hpp"

#include "carobtide/cli/completion.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace carobtide {

namespace json = boost::json;

namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr std::string_view kFiller = "the strap needs lugs of twenty mm and ";

/** Appends filler text until the prompt has its length. */
void Pad(std::string& aPrompt, std::size_t aTokens)
{
  const std::size_t bytes = aTokens * kBytesPerToken;
  while (aPrompt.size() < bytes) {
    aPrompt += kFiller.substr(0, bytes - aPrompt.size());
  }
}

std::string MakePrompt(const LoadClass& aClass, const Arrival& aArrival,
                       std::uint64_t aSeed)
{
  std::string prompt;
  if (aClass.mSharedPrefixTokens > 0) {
    prompt = "instructions " + std::to_string(aArrival.mToken) + " ";
    Pad(prompt, aClass.mSharedPrefixTokens);
  }
  prompt += " " + aClass.mName + " " + std::to_string(aSeed) + "/" +
            std::to_string(aArrival.mNumber) + " " +
            std::string(kAnswerLengthMarker) +
            std::to_string(aArrival.mAnswerTokens) + " " + aClass.mMarker + " ";
  Pad(prompt, aClass.mSharedPrefixTokens + aArrival.mPromptTokens);
  return prompt;
}

std::uint32_t MaxTokens(const LoadClass& aClass, const Arrival& aArrival)
{
  return static_cast<std::uint32_t>(
    std::ceil(aArrival.mAnswerTokens * aClass.mMaxTokensSlack));
}

std::string RenderBody(const LoadClass& aClass, const std::string& aModel,
                       const std::string& aPrompt, std::uint32_t aMaxTokens)
{
  json::object body{ { "model", aModel } };
  if (aClass.mKind == LoadKind::Chat) {
    body["messages"] =
      json::array{ { { "role", "user" }, { "content", aPrompt } } };
  } else {
    body["prompt"] = aPrompt;
  }
  if (aMaxTokens > 0) {
    body["max_tokens"] = aMaxTokens;
  }
  body["stream"] = aClass.mStreaming;
  return json::serialize(body);
}

LoadRequest BuildServiceRequest(const LoadClass& aClass,
                                const Arrival& aArrival, std::uint64_t aSeed)
{
  LoadRequest request{ {}, Answer("", "", 1), {} };
  const std::string id =
    std::to_string(aSeed) + "-" + std::to_string(aArrival.mNumber);
  request.mRequest.mTarget = aClass.mPath;
  request.mRequest.mBody =
    json::serialize(json::object{ { "order", id }, { "class", aClass.mName } });
  if (aClass.mKeyed) {
    request.mKey = aClass.mName + "-" + id;
    request.mRequest.mHeaders.Add("Idempotency-Key", request.mKey);
  }
  return request;
}

void Replace(std::string& aText, std::string_view aName,
             const std::string& aValue)
{
  if (const auto at = aText.find(aName); at != std::string::npos) {
    aText.replace(at, aName.size(), aValue);
  }
}

/** The text of a whole completion; nothing if it has another form. */
const json::string* AnswerText(const json::value& aBody, bool aIsChat)
{
  json::error_code ec;
  const json::value* text = aBody.find_pointer(
    aIsChat ? "/choices/0/message/content" : "/choices/0/text", ec);
  return text != nullptr ? text->if_string() : nullptr;
}

bool HasField(const json::value& aBody, std::string_view aKey,
              std::string_view aText)
{
  const json::value* value = aBody.get_object().if_contains(aKey);
  return value != nullptr && value->is_string() &&
         std::string_view(value->get_string()) == aText;
}

} // namespace

LoadRequest BuildLoadRequest(const LoadClass& aClass, const Arrival& aArrival,
                             std::uint64_t aSeed)
{
  const bool hasPath =
    aClass.mKind == LoadKind::Service || aClass.mKind == LoadKind::Call;
  LoadRequest request =
    hasPath ? BuildServiceRequest(aClass, aArrival, aSeed) : [&] {
      const std::string& model = aClass.mModels[aArrival.mModel];
      const std::string prompt = MakePrompt(aClass, aArrival, aSeed);
      const std::uint32_t maxTokens = MaxTokens(aClass, aArrival);
      const bool isChat = aClass.mKind == LoadKind::Chat;
      const std::string seen = isChat ? prompt + "\n" : prompt;
      LoadRequest made{ {}, Answer(model, seen, maxTokens), {} };
      made.mRequest.mTarget = isChat ? kChatPath : kCompletionPath;
      made.mRequest.mBody = RenderBody(aClass, model, prompt, maxTokens);
      return made;
    }();
  request.mRequest.mMethod = "POST";
  request.mRequest.mHeaders.Add("Content-Type", "application/json");
  if (!aClass.mTokens.empty()) {
    request.mRequest.mHeaders.Add("Authorization",
                                  "Bearer " + aClass.mTokens[aArrival.mToken]);
  }
  return request;
}

void AddTryHeaders(HttpHeaders& aHeaders, const LoadScenario& aScenario,
                   const Arrival& aArrival, std::uint64_t aSeed,
                   const LoadTryHeaders& aTry)
{
  const LoadClass& loadClass = aScenario.mClasses[aArrival.mClass];
  const auto left =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTry.mLeft).count();
  for (auto [name, value] : loadClass.mHeaders) {
    Replace(value, "{id}",
            std::to_string(aSeed) + "-" + std::to_string(aArrival.mNumber) +
              "-" + std::to_string(aTry.mTry));
    Replace(value, "{left_ms}",
            std::to_string(std::max<std::int64_t>(left, 1)));
    aHeaders.Add(std::move(name), std::move(value));
  }
  const LoadOrganisations& organisations = aScenario.mOrganisations;
  if (organisations.mMembers.empty()) {
    return;
  }
  aHeaders.Add(organisations.mKeyHeader, std::string(aTry.mKey));
  if (!organisations.mTokenCountsHeader.empty()) {
    aHeaders.Add(
      organisations.mTokenCountsHeader,
      std::to_string(loadClass.mSharedPrefixTokens + aArrival.mPromptTokens) +
        "," + std::to_string(MaxTokens(loadClass, aArrival)));
  }
}

std::optional<Duration> ReadRetryAfter(const HttpHeaders& aHeaders)
{
  constexpr double kMaxSeconds = 3600;
  constexpr double kMicrosPerSecond = 1e6;
  const std::string_view text = aHeaders.Get("Retry-After");
  double seconds = 0;
  const auto [end, fault] =
    std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (fault != std::errc() || end != text.data() + text.size() ||
      !(seconds >= 0 && seconds <= kMaxSeconds)) {
    return std::nullopt;
  }
  return Duration(static_cast<std::int64_t>(seconds * kMicrosPerSecond));
}

LoadOutcome JudgeWholeAnswer(const LoadClass& aClass,
                             const LoadRequest& aRequest,
                             std::string_view aRequestId,
                             std::string_view aBody)
{
  if (aClass.mKind == LoadKind::Call) {
    return LoadOutcome::Whole;
  }
  json::error_code ec;
  const json::value body =
    json::parse(json::string_view(aBody.data(), aBody.size()), ec);
  if (ec || !body.is_object()) {
    return LoadOutcome::Wrong;
  }
  if (aClass.mKind == LoadKind::Service) {
    const bool isOwn =
      HasField(body, "content_digest",
               ComputeDigest(aRequest.mRequest.mBody).ToHex()) &&
      HasField(body, "key", aRequest.mKey);
    return isOwn ? LoadOutcome::Whole : LoadOutcome::Wrong;
  }
  const json::string* text = AnswerText(body, aClass.mKind == LoadKind::Chat);
  const std::string expected =
    aRequest.mAnswer.Text(0, aRequest.mAnswer.Length());
  const bool isOwn = aRequestId.empty() || HasField(body, "id", aRequestId);
  return isOwn && text != nullptr && std::string_view(*text) == expected
           ? LoadOutcome::Whole
           : LoadOutcome::Wrong;
}

LoadOutcome JudgeFailure(const HttpResponseHead& aHead)
{
  const std::string_view outcome = aHead.mHeaders.Get("Carobtide-Outcome");
  if (outcome == "not-run") {
    return LoadOutcome::NotRun;
  }
  return outcome == "unknown" ? LoadOutcome::Unknown : LoadOutcome::Failed;
}

} // namespace carobtide
