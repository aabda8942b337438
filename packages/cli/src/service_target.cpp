#include "carobtide/cli/service_target.hpp"

#include "carobtide/cli/announcer.hpp"
#include "carobtide/cli/clock.hpp"

#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::uint16_t kOk = 200;

json::object RenderTable(const std::map<std::string, std::uint64_t>& aTable)
{
  json::object rows;
  for (const auto& [name, count] : aTable) {
    rows[name] = count;
  }
  return rows;
}

std::uint64_t Highest(const std::map<std::string, std::uint64_t>& aTable)
{
  std::uint64_t highest = 0;
  for (const auto& [name, count] : aTable) {
    highest = std::max(highest, count);
  }
  return highest;
}

} // namespace

std::uint64_t RunCounts::Record(const std::string& aKey,
                                const std::string& aBody)
{
  ++mTotal;
  const std::uint64_t byBody = ++mByBody[ComputeDigest(aBody).ToHex()];
  return aKey.empty() ? byBody : ++mByKey[aKey];
}

std::string RunCounts::Render() const
{
  return json::serialize(json::object{ { "total", mTotal },
                                       { "keys", mByKey.size() },
                                       { "max_per_key", Highest(mByKey) },
                                       { "by_key", RenderTable(mByKey) },
                                       { "by_body", RenderTable(mByBody) } });
}

ServiceTarget::ServiceTarget(asio::any_io_executor aExecutor,
                             ServiceTargetOptions aOptions)
  : mExecutor(std::move(aExecutor))
  , mOptions(std::move(aOptions))
  , mPoster(mExecutor, mOptions.mDaemons)
  , mRandom(mOptions.mSeed)
  , mServer(std::make_unique<HttpServer>(
      mExecutor, HttpLimits{},
      [this](HttpExchange& aExchange) { return Handle(aExchange); }))
  , mAnnounceTimer(mExecutor)
  , mIncarnation(static_cast<std::uint64_t>(WallMicros()))
{
}

Result<Unit> ServiceTarget::Start()
{
  auto bound = mServer->Listen(mOptions.mListen);
  if (bound) {
    Announce();
    ArmAnnounceTimer();
  }
  return bound;
}

void ServiceTarget::Leave()
{
  mLeaving = true;
  Announce();
}

void ServiceTarget::StopAccepting()
{
  mServer->StopAccepting();
}

std::size_t ServiceTarget::OpenExchanges() const
{
  return mOpen;
}

asio::awaitable<void> ServiceTarget::Handle(HttpExchange& aExchange)
{
  ++mOpen;
  const HttpRequest& request = aExchange.Request();
  if (request.mMethod == "GET" && request.Path() == "/counts") {
    (void)co_await aExchange.Respond(
      MakeResponse(kOk, "application/json", mCounts.Render()));
  } else {
    co_await Call(aExchange);
  }
  --mOpen;
}

asio::awaitable<void> ServiceTarget::Call(HttpExchange& aExchange)
{
  if (Draw(mOptions.mDropBefore)) {
    aExchange.Abort();
    co_return;
  }
  const HttpRequest& request = aExchange.Request();
  const std::uint64_t runs = mCounts.Record(
    std::string(request.mHeaders.Get("Idempotency-Key")), request.mBody);
  if (mOptions.mDelay > Duration::zero()) {
    asio::steady_timer timer(mExecutor, mOptions.mDelay);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (Draw(mOptions.mDropAfter)) {
    aExchange.Abort();
    co_return;
  }
  (void)co_await aExchange.Respond(MakeAnswer(request, runs));
}

HttpResponse ServiceTarget::MakeAnswer(const HttpRequest& aRequest,
                                       std::uint64_t aRuns)
{
  const bool isFailure = Draw(mOptions.mFailShare);
  const json::object body{ { "target", Name().Text() },
                           { "method", aRequest.mMethod },
                           { "path", aRequest.mTarget },
                           { "runs", aRuns },
                           { "key", aRequest.mHeaders.Get("Idempotency-Key") },
                           { "content_digest",
                             ComputeDigest(aRequest.mBody).ToHex() },
                           { "failed", isFailure } };
  HttpResponse response =
    MakeResponse(isFailure ? mOptions.mFailStatus : kOk, "application/json",
                 json::serialize(body));
  response.mHead.mHeaders.Add(
    "Carobtide-Request-Id",
    std::string(aRequest.mHeaders.Get("Carobtide-Request-Id")));
  return response;
}

void ServiceTarget::Announce()
{
  Announcement announcement;
  announcement.mTarget = mOptions.mName;
  announcement.mIncarnation = mIncarnation;
  announcement.mSequence = ++mSequence;
  announcement.mFailureDomain = mOptions.mFailureDomain;
  announcement.mAddress = Address();
  announcement.mKind = TargetKind::Service;
  announcement.mPool = mOptions.mPool;
  announcement.mLeaving = mLeaving;
  announcement.mLoad.mRunning = static_cast<std::uint32_t>(mOpen);
  mPoster.Post("/targets/announce", RenderAnnouncement(announcement));
}

void ServiceTarget::ArmAnnounceTimer()
{
  mAnnounceTimer.expires_after(mOptions.mAnnounceInterval);
  mAnnounceTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Announce();
      ArmAnnounceTimer();
    }
  });
}

bool ServiceTarget::Draw(double aShare)
{
  return std::bernoulli_distribution(aShare)(mRandom);
}

} // namespace carobtide
