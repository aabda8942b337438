#include "carobtide/cli/api_client.hpp"
#include "carobtide/cli/command_line.hpp"
#include "carobtide/cli/command_options.hpp"
#include "carobtide/transport/http_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <thread>

using namespace carobtide;
namespace asio = boost::asio;

namespace {

struct Outcome
{
  int mExit = 0;
  std::string mOut;
  std::string mErr;
};

Outcome RunCommand(std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.begin(), "carobtide");
  std::vector<const char*> argv(aArguments.size());
  std::ranges::transform(aArguments, argv.begin(), &std::string::c_str);
  std::ostringstream out;
  std::ostringstream err;
  const int code =
    RunCommandLine(static_cast<int>(argv.size()), argv.data(), out, err);
  return { code, out.str(), err.str() };
}

/** A file that lives as long as this object. */
class TemporaryFile
{
public:
  TemporaryFile(const std::string& aName, const std::string& aText)
    : mPath("carobtide-test-" + aName)
  {
    REQUIRE(WriteFile(mPath, aText));
  }
  ~TemporaryFile() { std::remove(mPath.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& Path() const { return mPath; }

private:
  std::string mPath;
};

/** A fake operators' API on a thread of its own. */
class FakeDaemon
{
public:
  FakeDaemon()
    : mServer(mContext.get_executor(), HttpLimits{},
              [this](HttpExchange& aExchange) { return Answer(aExchange); })
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

  std::string Address() const { return mServer.Address().ToString(); }
  /** Requests so far as "METHOD TARGET". Read once the command ended. */
  const std::vector<std::string>& Seen() const { return mSeen; }

private:
  asio::awaitable<void> Answer(HttpExchange& aExchange)
  {
    const HttpRequest& request = aExchange.Request();
    mSeen.push_back(request.mMethod + " " + request.mTarget);
    HttpResponse response;
    if (request.mHeaders.Get("Authorization") != "Bearer right-token") {
      response = MakeResponse(
        401, "application/json",
        R"({"error":{"code":"unknown credentials","step":"operator.authorize",)"
        R"("peer":"","message":"token"}})");
    } else {
      response =
        MakeResponse(200, "application/json",
                     R"({"bundles":[{"name":"desk","version":7,"digest":"abc",)"
                     R"("state":"draft"}]})");
    }
    (void)co_await aExchange.Respond(std::move(response));
  }

  asio::io_context mContext{ 1 };
  HttpServer mServer;
  std::vector<std::string> mSeen;
  std::thread mThread;
};

} // namespace

TEST_CASE("docs/cli.md names every command", "[commands]")
{
  const auto page = ReadFile(CAROBTIDE_SOURCE_DIR "/docs/cli.md");
  REQUIRE(page);
  const auto names = ListCommands();
  CHECK(names.size() >= 15);
  for (const std::string& name : names) {
    INFO(name);
    CHECK(page->find("`carobtide " + name) != std::string::npos);
  }
}

TEST_CASE("wrong usage exits with 2", "[commands]")
{
  CHECK(RunCommand({}).mExit == 2);
  CHECK(RunCommand({ "no-such-command" }).mExit == 2);
  CHECK(RunCommand({ "status" }).mExit == 2);
  CHECK(RunCommand({ "status", "--daemon", "not-an-address" }).mExit == 2);
  CHECK(RunCommand({ "standin", "target", "--memory", "12" }).mExit == 2);
  CHECK(RunCommand({ "--version" }).mExit == 0);
}

TEST_CASE("faults of files are printed with their place", "[commands]")
{
  const TemporaryFile settings("settings.yaml", "name: d-1\ncolour: red\n");
  const Outcome faults = RunCommand({ "settings", "check", settings.Path() });
  CHECK(faults.mExit == 2);
  CHECK(faults.mErr.find(settings.Path() + ":2:") != std::string::npos);
  CHECK(faults.mErr.find("colour") != std::string::npos);
  const Outcome missing = RunCommand({ "bundle", "check", "no-such-file" });
  CHECK(missing.mExit == 2);
  CHECK(missing.mErr.find("no-such-file") != std::string::npos);
  const TemporaryFile bundle("bundle.yaml", "name: b\nversion: 3\n");
  const Outcome fine = RunCommand({ "bundle", "check", bundle.Path() });
  CHECK(fine.mExit == 0);
  CHECK(fine.mOut.find("version 3") != std::string::npos);
}

TEST_CASE("an unreachable daemon exits with 3 and is named", "[commands]")
{
  const Outcome outcome = RunCommand(
    { "status", "--daemon", "127.0.0.1:1", "--token", "right-token" });
  CHECK(outcome.mExit == 3);
  CHECK(outcome.mErr.find("127.0.0.1:1") != std::string::npos);
}

TEST_CASE("the next daemon is asked when one is unreachable", "[commands]")
{
  const FakeDaemon daemon;
  const Outcome outcome =
    RunCommand({ "bundle", "show", "--daemon", "127.0.0.1:1", "--daemon",
                 daemon.Address(), "--token", "right-token" });
  CHECK(outcome.mExit == 0);
  CHECK(outcome.mOut.find("desk") != std::string::npos);
}

TEST_CASE("a refusal exits with 1 and names step and peer", "[commands]")
{
  const FakeDaemon daemon;
  const Outcome outcome = RunCommand(
    { "status", "--daemon", daemon.Address(), "--token", "wrong-token" });
  CHECK(outcome.mExit == 1);
  CHECK(outcome.mErr.find("operator.authorize") != std::string::npos);
  CHECK(outcome.mErr.find(daemon.Address()) != std::string::npos);
}

TEST_CASE("sign-off binds to the digest that was shown", "[commands]")
{
  const FakeDaemon daemon;
  const Outcome outcome =
    RunCommand({ "bundle", "sign-off", "desk", "7", "--daemon",
                 daemon.Address(), "--token", "right-token" });
  CHECK(outcome.mExit == 0);
  CHECK(outcome.mErr.find("abc") != std::string::npos);
  REQUIRE(daemon.Seen().size() == 2);
  CHECK(daemon.Seen()[1] == "PUT /bundles/desk/7/sign-off?digest=abc");
  const Outcome unknown =
    RunCommand({ "bundle", "roll", "desk", "8", "--daemon", daemon.Address(),
                 "--token", "right-token" });
  CHECK(unknown.mExit == 1);
  CHECK(daemon.Seen().size() == 3);
}

TEST_CASE("errors of a daemon keep their step and peer", "[commands]")
{
  const Endpoint daemon{ "10.0.0.1", 7 };
  const Error error =
    ParseApiError(409,
                  R"({"error":{"code":"does not fit","step":"bundle.roll",)"
                  R"("peer":"listing","message":"5 bytes short"}})",
                  daemon);
  CHECK(error.mCode == ErrorCode::Infeasible);
  CHECK(error.mStep == "bundle.roll");
  CHECK(error.mPeer == "listing");
  const Error bare = ParseApiError(503, "busy", daemon);
  CHECK(bare.mCode == ErrorCode::NoQuorum);
  CHECK(bare.mPeer == "10.0.0.1:7");
}
