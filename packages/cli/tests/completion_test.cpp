#include "carobtide/cli/completion.hpp"

#include <catch2/catch.hpp>

#include <boost/json.hpp>

using namespace carobtide;

namespace {

HttpRequest ChatRequest(std::string aBody)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = std::string(kChatPath);
  request.mHeaders.Add("Carobtide-Request-Id", "r-7");
  request.mBody = std::move(aBody);
  return request;
}

} // namespace

TEST_CASE("an answer depends on model and prompt only", "[completion]")
{
  const Answer answer("m", "hello answer-tokens=30", 0);
  CHECK(answer.Length() == 30);
  CHECK(Answer("m", "hello answer-tokens=30", 12).Length() == 12);
  CHECK(answer.Text(0, 30) ==
        Answer("m", "hello answer-tokens=30", 0).Text(0, 30));
  CHECK(answer.Text(0, 30) !=
        Answer("n", "hello answer-tokens=30", 0).Text(0, 30));
  CHECK(answer.Text(0, 10) + answer.Text(10, 30) == answer.Text(0, 30));
}

TEST_CASE("chat requests are read", "[completion]")
{
  HttpRequest request =
    ChatRequest(R"({"model":"m:a","stream":true,"max_tokens":9,)"
                R"("messages":[{"role":"user","content":"hi"}]})");
  request.mHeaders.Add("Carobtide-Resume-Offset", "4");
  request.mHeaders.Add("Carobtide-Priority", "interactive");
  const auto completion = ParseCompletion(request);
  REQUIRE(completion);
  CHECK(completion->mModel == ModelName("m"));
  CHECK(completion->mAdapter == AdapterName("a"));
  CHECK(completion->mPrompt == "hi\n");
  CHECK(completion->mStreaming);
  CHECK(completion->mMaxTokens == 9);
  CHECK(completion->mResumeOffset == 4);
  CHECK(completion->mPriority == 0);
  CHECK(completion->mRequestId == "r-7");
}

TEST_CASE("malformed requests are refused", "[completion]")
{
  const char* body = GENERATE(
    "", "[]", "{}", R"({"model":"m"})", R"({"model":"m","messages":[]})",
    R"({"model":"m","messages":[1]})",
    R"({"model":"m","messages":[{"role":"u","content":"x"}],"max_tokens":-1})",
    R"({"model":7,"messages":[{"role":"u","content":"x"}]})");
  CHECK_FALSE(ParseCompletion(ChatRequest(body)));
}

TEST_CASE("a stream's events hold the whole answer in order", "[completion]")
{
  const auto completion = ParseCompletion(ChatRequest(
    R"({"model":"m","messages":[{"role":"user","content":"hi"}]})"));
  REQUIRE(completion);
  const Answer answer("m", completion->mPrompt, 5);
  const StreamRenderer renderer(*completion, answer);
  std::string text;
  renderer.AppendTokens(0, 5, text);
  renderer.AppendEnd(text);
  std::string joined;
  std::size_t at = 0;
  bool done = false;
  while (at < text.size()) {
    const auto end = text.find("\n\n", at);
    REQUIRE(end != std::string::npos);
    const std::string data = text.substr(at + 6, end - at - 6);
    at = end + 2;
    if (data == "[DONE]") {
      done = true;
      continue;
    }
    const auto event = boost::json::parse(data);
    CHECK(event.at("id") == "r-7");
    const auto& delta = event.at("choices").at(0).at("delta").as_object();
    if (const auto* content = delta.if_contains("content")) {
      joined += content->as_string().c_str();
    }
  }
  CHECK(done);
  CHECK(joined == answer.Text(0, 5));
  const auto whole = boost::json::parse(RenderWholeAnswer(*completion, answer));
  CHECK(whole.at("usage").at("completion_tokens").to_number<int>() == 5);
  const auto& message = whole.at("choices").at(0).at("message");
  CHECK(message.at("content").as_string() == joined.c_str());
}
