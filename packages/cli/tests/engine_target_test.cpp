#include "carobtide/cli/clock.hpp"
#include "carobtide/cli/engine_target.hpp"
#include "carobtide/cli/service_target.hpp"
#include "carobtide/transport/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <catch2/catch.hpp>

#include <functional>
#include <optional>

using namespace carobtide;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration kTimeout = std::chrono::seconds(10);

HttpRequest Post(std::string aTarget, std::string aBody)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = std::move(aTarget);
  request.mHeaders.Add("Carobtide-Request-Id", "r-1");
  request.mBody = std::move(aBody);
  return request;
}

std::string ChatBody(const std::string& aContent, bool aStreaming)
{
  return json::serialize(json::object{
    { "model", "m" },
    { "stream", aStreaming },
    { "messages",
      json::array{ { { "role", "user" }, { "content", aContent } } } } });
}

/** A target and a fake daemon that takes its announcements. */
struct TargetFixture
{
  TargetFixture()
    : mDaemon(mContext.get_executor(), HttpLimits{},
              [this](HttpExchange& aExchange) { return Take(aExchange); })
  {
    REQUIRE(mDaemon.Listen({ "127.0.0.1", 0 }));
    EngineTargetOptions options;
    options.mCore.mName = TargetName("t-0");
    options.mCore.mPool = "pool";
    options.mCore.mMemory = 100;
    options.mCore.mEngine.mTokensPerSecond = 2000;
    options.mDaemons = { mDaemon.Address() };
    options.mRestartDelay = std::chrono::milliseconds(50);
    options.mAnnounceInterval = std::chrono::milliseconds(50);
    mTarget.emplace(mContext.get_executor(), options, mStore);
    REQUIRE(mTarget->Start());
  }

  /** Handlers that have yet to return refer to the target. */
  ~TargetFixture()
  {
    while (mTarget->OpenExchanges() > 0) {
      mContext.run_one();
    }
  }
  TargetFixture(const TargetFixture&) = delete;
  TargetFixture& operator=(const TargetFixture&) = delete;

  asio::awaitable<void> Take(HttpExchange& aExchange)
  {
    if (aExchange.Request().mTarget == "/targets/announce") {
      mLast = json::parse(aExchange.Request().mBody).as_object();
    }
    (void)co_await aExchange.Respond(
      MakeResponse(200, "application/json", "{}"));
  }

  /** Runs a coroutine to its end. */
  void Run(const std::function<asio::awaitable<void>()>& aBody)
  {
    bool done = false;
    std::exception_ptr failure;
    asio::co_spawn(mContext, aBody(), [&](std::exception_ptr aError) {
      failure = std::move(aError);
      done = true;
    });
    while (!done) {
      mContext.run_one();
    }
    if (failure) {
      std::rethrow_exception(failure);
    }
  }

  asio::awaitable<HttpResponse> Fetch(HttpRequest aRequest)
  {
    auto response =
      co_await FetchOnce(mTarget->Address(), std::move(aRequest), kTimeout);
    REQUIRE(response);
    co_return std::move(*response);
  }

  /** Waits until the last announcement satisfies a condition. */
  asio::awaitable<void> WaitFor(
    std::function<bool(const json::object&)> aCondition)
  {
    asio::steady_timer timer(mContext);
    while (mLast.empty() || !aCondition(mLast)) {
      timer.expires_after(std::chrono::milliseconds(5));
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  asio::awaitable<void> LoadModel(std::uint64_t aOrder)
  {
    co_await WaitFor([](const json::object&) { return true; });
    const json::object order{
      { "order_id", aOrder }, { "fence", 1 },
      { "target", "t-0" },    { "incarnation", mLast.at("incarnation") },
      { "action", "load" },   { "model", "m" },
      { "adapter", "" },      { "version", 1 },
      { "memory", 60 }
    };
    const auto reply = co_await Fetch(Post("/orders", json::serialize(order)));
    REQUIRE(reply.mHead.mStatus == 202);
    co_await WaitFor([](const json::object& aAnnouncement) {
      return !aAnnouncement.at("resident").as_array().empty();
    });
  }

  asio::io_context mContext{ 1 };
  WeightStore mStore{ WeightStoreOptions{ std::chrono::milliseconds(20) } };
  json::object mLast;
  HttpServer mDaemon;
  std::optional<EngineTarget> mTarget;
};

} // namespace

TEST_CASE_METHOD(TargetFixture, "a target refuses a model until it is loaded",
                 "[target]")
{
  Run([&]() -> asio::awaitable<void> {
    const auto refused = co_await Fetch(
      Post("/v1/chat/completions", ChatBody("answer-tokens=5", false)));
    CHECK(refused.mHead.mStatus == 404);
    CHECK(refused.mHead.mHeaders.Get("Carobtide-Request-Id") == "r-1");
    co_await LoadModel(31);
    CHECK(mLast.at("resident").at(0).at("order_id").to_number<int>() == 31);
    const auto answer = co_await Fetch(
      Post("/v1/chat/completions", ChatBody("answer-tokens=5", false)));
    CHECK(answer.mHead.mStatus == 200);
    CHECK(answer.mHead.mHeaders.Get("Carobtide-Request-Id") == "r-1");
    const auto body = json::parse(answer.mBody);
    CHECK(body.at("id") == "r-1");
    CHECK(body.at("usage").at("completion_tokens").to_number<int>() == 5);
  });
}

TEST_CASE_METHOD(TargetFixture, "a stream resumes exactly at an offset",
                 "[target]")
{
  Run([&]() -> asio::awaitable<void> {
    co_await LoadModel(1);
    const auto whole = co_await Fetch(
      Post("/v1/chat/completions", ChatBody("answer-tokens=40", true)));
    HttpRequest resume =
      Post("/v1/chat/completions", ChatBody("answer-tokens=40", true));
    resume.mHeaders.Add("Carobtide-Resume-Offset", "15");
    const auto rest = co_await Fetch(std::move(resume));
    const auto skipped = whole.mBody.size() - rest.mBody.size();
    const Answer answer("m", "answer-tokens=40\n", 0);
    CHECK(rest.mBody == whole.mBody.substr(skipped));
    CHECK(rest.mBody.find(answer.Text(15, 16)) != std::string::npos);
    CHECK(rest.mBody.find(answer.Text(14, 15)) == std::string::npos);
    CHECK(whole.mBody.ends_with("data: [DONE]\n\n"));
  });
}

TEST_CASE_METHOD(TargetFixture, "a crash cuts every request and empties memory",
                 "[target]")
{
  Run([&]() -> asio::awaitable<void> {
    co_await LoadModel(1);
    const auto before = mLast.at("incarnation").to_number<std::uint64_t>();
    auto connection = co_await ConnectHttp(mTarget->Address(), kTimeout);
    REQUIRE(connection);
    const HttpRequest stream =
      Post("/v1/chat/completions", ChatBody("answer-tokens=9000", true));
    const auto head = co_await (*connection)->Send(stream, kTimeout);
    REQUIRE(head);
    const HttpRequest poison =
      Post("/v1/chat/completions", ChatBody("please crash-the-target", false));
    const auto lost = co_await FetchOnce(mTarget->Address(), poison, kTimeout);
    CHECK_FALSE(lost);
    const auto rest = co_await (*connection)->ReadAll(64 * kMiB, kTimeout);
    CHECK(rest.Code() == ErrorCode::ConnectionLost);
    co_await WaitFor([&](const json::object& aAnnouncement) {
      return aAnnouncement.at("incarnation").to_number<std::uint64_t>() !=
             before;
    });
    CHECK(mLast.at("resident").as_array().empty());
    co_await LoadModel(2);
    const auto answer = co_await Fetch(
      Post("/v1/chat/completions", ChatBody("answer-tokens=5", false)));
    CHECK(answer.mHead.mStatus == 200);
  });
}

TEST_CASE_METHOD(TargetFixture, "a disconnect cancels the request", "[target]")
{
  Run([&]() -> asio::awaitable<void> {
    co_await LoadModel(1);
    {
      auto connection = co_await ConnectHttp(mTarget->Address(), kTimeout);
      REQUIRE(connection);
      const HttpRequest stream =
        Post("/v1/chat/completions", ChatBody("answer-tokens=900000", true));
      const auto head = co_await (*connection)->Send(stream, kTimeout);
      REQUIRE(head);
    }
    co_await WaitFor([&](const json::object& aAnnouncement) {
      return mTarget->OpenExchanges() == 0 &&
             aAnnouncement.at("load").at("running").to_number<int>() == 0;
    });
  });
  CHECK(mTarget->OpenExchanges() == 0);
}

TEST_CASE_METHOD(TargetFixture, "a leaving target says so and goes on serving",
                 "[target]")
{
  Run([&]() -> asio::awaitable<void> {
    co_await LoadModel(1);
    mTarget->Leave();
    co_await WaitFor([](const json::object& aAnnouncement) {
      return aAnnouncement.at("leaving").as_bool();
    });
    const auto answer = co_await Fetch(
      Post("/v1/chat/completions", ChatBody("answer-tokens=5", false)));
    CHECK(answer.mHead.mStatus == 200);
  });
}

TEST_CASE("a service counts each run by key and by content", "[target]")
{
  RunCounts counts;
  CHECK(counts.Record("k1", "a") == 1);
  CHECK(counts.Record("k1", "a") == 2);
  CHECK(counts.Record("", "b") == 1);
  const auto table = json::parse(counts.Render());
  CHECK(table.at("total").to_number<int>() == 3);
  CHECK(table.at("max_per_key").to_number<int>() == 2);
  CHECK(table.at("by_key").at("k1").to_number<int>() == 2);
}

TEST_CASE("a service drops calls before or after they ran", "[target]")
{
  const bool isAfter = GENERATE(false, true);
  asio::io_context context{ 1 };
  ServiceTargetOptions options;
  options.mName = TargetName("s-0");
  (isAfter ? options.mDropAfter : options.mDropBefore) = 1.0;
  ServiceTarget service(context.get_executor(), options);
  REQUIRE(service.Start());
  std::string counts;
  bool done = false;
  const auto body = [&]() -> asio::awaitable<void> {
    HttpRequest call = Post("/book", "{}");
    call.mHeaders.Add("Idempotency-Key", "k1");
    const auto dropped =
      co_await FetchOnce(service.Address(), std::move(call), kTimeout);
    CHECK(dropped.Code() == ErrorCode::ConnectionLost);
    HttpRequest ask;
    ask.mTarget = "/counts";
    const auto answer =
      co_await FetchOnce(service.Address(), std::move(ask), kTimeout);
    counts = answer ? answer->mBody : "";
    done = true;
  };
  asio::co_spawn(context, body, asio::detached);
  while (!done) {
    context.run_one();
  }
  CHECK(json::parse(counts).at("total").to_number<int>() == (isAfter ? 1 : 0));
}
