#include "carobtide/cli/clock.hpp"
#include "carobtide/cli/completion.hpp"
#include "carobtide/cli/load_worker.hpp"
#include "carobtide/transport/http_server.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <thread>

using namespace carobtide;
namespace asio = boost::asio;

namespace {

/** No process listens there. */
const Endpoint kNobody{ "127.0.0.1", 1 };

/** How a fake daemon answers a stream. */
enum class Behaviour
{
  Whole,
  /** Breaks the connection after half of the answer. */
  Cut,
  /** Ends the body after half of the answer, as if it were whole. */
  Shortened,
  /** Sends the answer to another request. */
  Crossed,
  Refuse,
};

/** A fake daemon on a thread of its own. */
class FakeDaemon
{
public:
  explicit FakeDaemon(Behaviour aBehaviour)
    : mBehaviour(aBehaviour)
    , mServer(mContext.get_executor(), HttpLimits{},
              [this](HttpExchange& aExchange) { return Serve(aExchange); })
  {
    REQUIRE(mServer.Listen({ "127.0.0.1", 0 }));
    mThread = std::thread([this] { mContext.run(); });
  }
  ~FakeDaemon()
  {
    mContext.stop();
    mThread.join();
  }
  FakeDaemon(const FakeDaemon&) = delete;
  FakeDaemon& operator=(const FakeDaemon&) = delete;

  Endpoint Address() const { return mServer.Address(); }

private:
  asio::awaitable<void> Serve(HttpExchange& aExchange)
  {
    if (mBehaviour == Behaviour::Refuse) {
      HttpResponse response = MakeResponse(503, "application/json", "{}");
      response.mHead.mHeaders.Add("Carobtide-Outcome", "not-run");
      (void)co_await aExchange.Respond(std::move(response));
      co_return;
    }
    auto completion = ParseCompletion(aExchange.Request());
    completion->mRequestId = "7";
    const Answer answer(completion->FullModel(), completion->mPrompt,
                        completion->mMaxTokens);
    const StreamRenderer renderer(*completion, answer);
    std::string text;
    const bool isHalf =
      mBehaviour == Behaviour::Cut || mBehaviour == Behaviour::Shortened;
    renderer.AppendTokens(0, isHalf ? answer.Length() / 2 : answer.Length(),
                          text);
    if (!isHalf) {
      renderer.AppendEnd(text);
    }
    HttpResponseHead head;
    head.mHeaders.Add("Content-Type", "text/event-stream");
    head.mHeaders.Add("Carobtide-Request-Id",
                      mBehaviour == Behaviour::Crossed ? "8" : "7");
    (void)co_await aExchange.BeginStream(std::move(head));
    (void)co_await aExchange.WriteChunk(text);
    if (mBehaviour == Behaviour::Cut) {
      aExchange.Abort();
      co_return;
    }
    (void)co_await aExchange.FinishStream();
  }

  Behaviour mBehaviour;
  asio::io_context mContext{ 1 };
  HttpServer mServer;
  std::thread mThread;
};

LoadScenario Scenario(std::uint32_t aResends)
{
  LoadScenario scenario;
  LoadClass loadClass;
  loadClass.mName = "short";
  loadClass.mTokens = { "token" };
  loadClass.mModels = { "m" };
  loadClass.mStreaming = true;
  loadClass.mResends = aResends;
  loadClass.mResendPause = std::chrono::milliseconds(1);
  scenario.mClasses.push_back(loadClass);
  LoadPhase phase;
  phase.mName = "steady";
  phase.mDuration = std::chrono::milliseconds(100);
  phase.mRates = { { 0, 400.0 } };
  scenario.mPhases.push_back(phase);
  return scenario;
}

LoadCell RunAgainst(std::vector<Endpoint> aDaemons, std::uint32_t aResends = 0)
{
  const LoadScenario scenario = Scenario(aResends);
  LoadRunOptions options;
  options.mDaemons = std::move(aDaemons);
  options.mThreads = 1;
  LoadWorker worker(scenario, options, 0);
  worker.Run(SteadyNow());
  return worker.Stats().Total();
}

} // namespace

TEST_CASE("each answer is judged as its caller sees it", "[load]")
{
  const auto [behaviour, outcome] = GENERATE(table<Behaviour, LoadOutcome>(
    { { Behaviour::Whole, LoadOutcome::Whole },
      { Behaviour::Cut, LoadOutcome::Cut },
      { Behaviour::Shortened, LoadOutcome::Cut },
      { Behaviour::Crossed, LoadOutcome::Wrong },
      { Behaviour::Refuse, LoadOutcome::NotRun } }));
  const FakeDaemon daemon(behaviour);
  const LoadCell total = RunAgainst({ daemon.Address() });
  CHECK(total.Offered() > 10);
  CHECK(total.Count(outcome) == total.Offered());
}

TEST_CASE("callers resend what did not succeed", "[load]")
{
  const FakeDaemon daemon(Behaviour::Refuse);
  const LoadCell total = RunAgainst({ daemon.Address() }, 2);
  CHECK(total.mResends == 2 * total.Offered());
}

TEST_CASE("a daemon that is not there counts as unreachable", "[load]")
{
  const LoadCell total = RunAgainst({ kNobody });
  CHECK(total.Offered() > 10);
  CHECK(total.Count(LoadOutcome::Unreachable) == total.Offered());
}

TEST_CASE("requests go to the next daemon when one is gone", "[load]")
{
  const FakeDaemon daemon(Behaviour::Whole);
  const LoadCell total = RunAgainst({ kNobody, daemon.Address() });
  CHECK(total.Offered() > 10);
  CHECK(total.Count(LoadOutcome::Whole) == total.Offered());
}
