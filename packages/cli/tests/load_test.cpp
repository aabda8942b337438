#include "carobtide/cli/load_request.hpp"
#include "carobtide/cli/stream_checker.hpp"

#include "carobtide/cli/completion.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace carobtide;

namespace {

constexpr const char* kScenario = R"(name: trial
seed: 5
classes:
  - name: short
    tokens: [t1, t2]
    models: [m1, "m2:a"]
    model_skew: 1.2
    stream: true
    prompt_tokens: {median: 40, sigma: 0.5, max: 300}
    answer_tokens: {median: 20, sigma: 0.5, max: 100}
  - name: long
    kind: completion
    tokens: [t3]
    models: [m1]
    answer_tokens: {median: 50, tail_share: 0.1, tail_from: 1000, max: 9000}
  - name: order
    kind: service
    tokens: [t1]
    path: /services/desk/reserve
    keyed: true
    duplicate_share: 0.5
phases:
  - name: calm
    duration: 20s
    rates: {short: 50, long: 5, order: 10}
  - name: crest
    duration: 10s
    rates: {short: 400}
    burst: {every: 2s, size: 30, class: short}
bench:
  daemons: 3
  standins: ["target --count 4"]
  faults:
    - {at: 12s, action: kill, process: daemon-1}
)";

LoadScenario Scenario()
{
  auto parsed = ParseLoadScenario(kScenario);
  REQUIRE(std::holds_alternative<LoadScenario>(parsed));
  return std::get<LoadScenario>(parsed);
}

std::vector<Arrival> AllArrivals(const LoadScenario& aScenario,
                                 std::uint64_t aSeed)
{
  ArrivalGenerator generator(aScenario, aSeed);
  std::vector<Arrival> arrivals;
  while (const auto arrival = generator.Next()) {
    arrivals.push_back(*arrival);
  }
  return arrivals;
}

} // namespace

TEST_CASE("faults of a scenario are all reported", "[load]")
{
  const auto parsed = ParseLoadScenario(R"(name: x
classes:
  - name: a
    kind: telegram
phases:
  - name: p
    rates: {b: 3}
colour: red
)");
  REQUIRE(std::holds_alternative<std::vector<YamlFault>>(parsed));
  const auto& faults = std::get<std::vector<YamlFault>>(parsed);
  std::string all;
  for (const auto& fault : faults) {
    all += fault.ToString() + "\n";
  }
  CHECK(all.find("chat, completion or service") != std::string::npos);
  CHECK(all.find("\"b\"") != std::string::npos);
  CHECK(all.find("colour") != std::string::npos);
  CHECK(all.find("tokens") != std::string::npos);
}

TEST_CASE("arrivals follow the rates and repeat with their seed", "[load]")
{
  const LoadScenario scenario = Scenario();
  const auto arrivals = AllArrivals(scenario, 5);
  const auto again = AllArrivals(scenario, 5);
  REQUIRE(arrivals.size() == again.size());
  CHECK(std::ranges::is_sorted(arrivals, {}, &Arrival::mAt));
  CHECK(std::ranges::equal(arrivals, again, {}, &Arrival::mAt, &Arrival::mAt));
  CHECK(AllArrivals(scenario, 6).size() != arrivals.size());
  const auto inPhase = [&](std::size_t aPhase) {
    return std::ranges::count(arrivals, aPhase, &Arrival::mPhase);
  };
  CHECK(inPhase(0) > 1300 * 0.9);
  CHECK(inPhase(0) < 1300 * 1.1);
  CHECK(inPhase(1) > 4120 * 0.95);
  CHECK(inPhase(1) < 4120 * 1.05);
  const auto duplicates =
    std::ranges::count(arrivals, true, &Arrival::mDuplicate);
  CHECK(duplicates > 60);
  CHECK(duplicates < 140);
}

TEST_CASE("bursts arrive together", "[load]")
{
  const auto arrivals = AllArrivals(Scenario(), 5);
  const Duration burst = std::chrono::seconds(22);
  CHECK(std::ranges::count(arrivals, burst, &Arrival::mAt) == 30);
}

TEST_CASE("some answers are from the heavy tail", "[load]")
{
  const auto arrivals = AllArrivals(Scenario(), 5);
  const auto heavy = std::ranges::count_if(arrivals, [](const auto& aArrival) {
    return aArrival.mClass == 1 && aArrival.mAnswerTokens >= 1000;
  });
  CHECK(heavy >= 3);
  CHECK(heavy <= 20);
}

TEST_CASE("a stand-in's whole answer to a built request is judged whole",
          "[load]")
{
  const LoadScenario scenario = Scenario();
  const auto arrivals = AllArrivals(scenario, 5);
  const auto it = std::ranges::find(arrivals, 1U, &Arrival::mClass);
  const LoadClass& loadClass = scenario.mClasses[1];
  LoadRequest request = BuildLoadRequest(loadClass, *it, 5);
  CHECK(request.mRequest.mHeaders.Get("Authorization") == "Bearer t3");
  request.mRequest.mHeaders.Add("Carobtide-Request-Id", "77");
  const auto completion = ParseCompletion(request.mRequest);
  REQUIRE(completion);
  const Answer answer(completion->FullModel(), completion->mPrompt,
                      completion->mMaxTokens);
  CHECK(answer.Length() == it->mAnswerTokens);
  const std::string body = RenderWholeAnswer(*completion, answer);
  CHECK(JudgeWholeAnswer(loadClass, request, "77", body) == LoadOutcome::Whole);
  CHECK(JudgeWholeAnswer(loadClass, request, "78", body) == LoadOutcome::Wrong);
  const auto next =
    std::ranges::find(std::next(it), arrivals.end(), 1U, &Arrival::mClass);
  const LoadRequest other = BuildLoadRequest(loadClass, *next, 5);
  CHECK(JudgeWholeAnswer(loadClass, other, "77", body) == LoadOutcome::Wrong);
}

TEST_CASE("a service call carries one key per arrival", "[load]")
{
  const LoadScenario scenario = Scenario();
  Arrival arrival;
  arrival.mClass = 2;
  arrival.mNumber = 9;
  const LoadRequest request =
    BuildLoadRequest(scenario.mClasses[2], arrival, 5);
  CHECK(request.mKey == "order-5-9");
  CHECK(request.mRequest.mHeaders.Get("Idempotency-Key") == request.mKey);
  CHECK(request.mRequest.mTarget == "/services/desk/reserve");
}

namespace {

struct StreamFixture
{
  StreamFixture()
  {
    mCompletion.mModel = ModelName("m");
    mCompletion.mPrompt = "hi\n";
    mCompletion.mRequestId = "r1";
    const StreamRenderer renderer(mCompletion, mAnswer);
    renderer.AppendTokens(0, 6, mText);
    renderer.AppendEnd(mText);
  }

  Completion mCompletion;
  Answer mAnswer{ "m", "hi\n", 6 };
  std::string mText;
};

} // namespace

TEST_CASE_METHOD(StreamFixture, "a whole stream is whole in any chunks",
                 "[load]")
{
  const std::size_t size = GENERATE(1, 7, 64, 100000);
  StreamChecker checker(mAnswer, "r1");
  for (std::size_t at = 0; at < mText.size(); at += size) {
    CHECK_FALSE(checker.IsWhole());
    checker.Feed(std::string_view(mText).substr(at, size));
  }
  CHECK(checker.IsWhole());
  CHECK(checker.Events() == 6);
}

TEST_CASE_METHOD(StreamFixture, "no cut stream is whole", "[load]")
{
  for (std::size_t length = 0; length < mText.size(); ++length) {
    StreamChecker checker(mAnswer, "r1");
    checker.Feed(std::string_view(mText).substr(0, length));
    REQUIRE_FALSE(checker.IsWhole());
  }
}

TEST_CASE_METHOD(StreamFixture, "crossed, doubled and skipped text is wrong",
                 "[load]")
{
  StreamChecker crossed(mAnswer, "r2");
  crossed.Feed(mText);
  CHECK(crossed.Fault() == StreamFault::WrongId);
  const StreamRenderer renderer(mCompletion, mAnswer);
  std::string doubled;
  renderer.AppendTokens(0, 3, doubled);
  renderer.AppendTokens(2, 6, doubled);
  StreamChecker second(mAnswer, "r1");
  second.Feed(doubled);
  CHECK(second.Fault() == StreamFault::WrongText);
  std::string skipped;
  renderer.AppendTokens(1, 6, skipped);
  StreamChecker third(mAnswer, "r1");
  third.Feed(skipped);
  CHECK(third.Fault() == StreamFault::WrongText);
  std::string shortened;
  renderer.AppendTokens(0, 5, shortened);
  renderer.AppendEnd(shortened);
  StreamChecker fourth(mAnswer, "r1");
  fourth.Feed(shortened);
  CHECK_FALSE(fourth.IsWhole());
}
