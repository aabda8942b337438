#include "carobtide/cli/load_worker.hpp"

#include "carobtide/cli/clock.hpp"
#include "carobtide/cli/stream_checker.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kIdlePerDaemon = 4096;
constexpr Duration kConnectTimeout = std::chrono::seconds(2);
constexpr Bytes kMaxAnswer = 64 * kMiB;
constexpr std::uint16_t kFirstErrorStatus = 400;

LoadOutcome OutcomeOf(ErrorCode aCode, LoadOutcome aElse)
{
  return aCode == ErrorCode::Timeout ? LoadOutcome::TimedOut : aElse;
}

} // namespace

LoadWorker::LoadWorker(const LoadScenario& aScenario,
                       const LoadRunOptions& aOptions, std::size_t aIndex)
  : mScenario(aScenario)
  , mOptions(aOptions)
  , mIndex(aIndex)
  , mPool(HttpPoolOptions{ .mMaxIdlePerAddress = kIdlePerDaemon })
  , mArrivals(aScenario, aOptions.mSeed)
  , mStats(aScenario)
{
}

void LoadWorker::Run(Instant aStart)
{
  mStart = aStart;
  asio::co_spawn(mContext, SendAll(), asio::detached);
  mContext.run();
}

asio::awaitable<void> LoadWorker::SendAll()
{
  asio::steady_timer timer(mContext);
  while (const auto arrival = mArrivals.Next()) {
    if (arrival->mNumber % mOptions.mThreads != mIndex) {
      continue;
    }
    const Instant at = mStart + arrival->mAt;
    if (SteadyNow() < at) {
      timer.expires_at(ToSteady(at));
      co_await timer.async_wait(asio::use_awaitable);
    }
    Launch(*arrival, false);
    if (arrival->mDuplicate) {
      Launch(*arrival, true);
    }
  }
}

void LoadWorker::Launch(const Arrival& aArrival, bool aIsDuplicate)
{
  ++mProgress.mSent;
  if (mProgress.mOpen >= mOptions.mMaxOpen) {
    Record(aArrival, Try{}, {});
    return;
  }
  ++mProgress.mOpen;
  asio::co_spawn(mContext, Serve(aArrival, aIsDuplicate), asio::detached);
}

asio::awaitable<void> LoadWorker::Serve(Arrival aArrival, bool aIsDuplicate)
{
  const LoadClass& loadClass = mScenario.mClasses[aArrival.mClass];
  const LoadRequest request =
    BuildLoadRequest(loadClass, aArrival, mOptions.mSeed);
  Try result;
  Tries tries;
  while (true) {
    const std::uint64_t first = aArrival.mNumber / mOptions.mThreads +
                                tries.mResends + (aIsDuplicate ? 1 : 0);
    LoadRequest attempt = request;
    LoadTryHeaders headers;
    headers.mTry = 2 * tries.mResends + (aIsDuplicate ? 1 : 0);
    headers.mLeft = mStart + aArrival.mAt + loadClass.mTimeout - SteadyNow();
    if (aArrival.mOrganisation < mOptions.mKeys.size()) {
      headers.mKey = mOptions.mKeys[aArrival.mOrganisation];
    }
    AddTryHeaders(attempt.mRequest.mHeaders, mScenario, aArrival,
                  mOptions.mSeed, headers);
    result = co_await TryOnce(loadClass, attempt, first);
    if (std::ranges::find(kRefusalStatuses, result.mStatus) !=
        kRefusalStatuses.end()) {
      ++tries.mRefusals;
    }
    const auto pause = PauseBefore(aArrival, result, tries.mResends);
    if (!pause) {
      break;
    }
    ++tries.mResends;
    asio::steady_timer timer(mContext, *pause);
    co_await timer.async_wait(asio::use_awaitable);
  }
  --mProgress.mOpen;
  Record(aArrival, result, tries);
}

std::optional<Duration> LoadWorker::PauseBefore(const Arrival& aArrival,
                                                const Try& aTry,
                                                std::uint32_t aResends) const
{
  const LoadClass& loadClass = mScenario.mClasses[aArrival.mClass];
  const bool isSettled =
    aTry.mOutcome == LoadOutcome::Whole || aTry.mOutcome == LoadOutcome::Wrong;
  if (isSettled || aResends == loadClass.mResends) {
    return std::nullopt;
  }
  if (!loadClass.mResendsAsTold || !aTry.mRetryAfter) {
    return loadClass.mResendPause;
  }
  const Instant end = mStart + aArrival.mAt + loadClass.mTimeout;
  return SteadyNow() + *aTry.mRetryAfter < end ? aTry.mRetryAfter
                                               : std::nullopt;
}

asio::awaitable<Result<LoadWorker::OpenDaemon>> LoadWorker::Connect(
  const LoadClass& aClass, std::uint64_t aFirst)
{
  const bool isService = aClass.mKind == LoadKind::Service;
  Error last{ ErrorCode::ConnectRefused, "load.connect", "", "" };
  for (std::size_t i = 0; i < mOptions.mDaemons.size(); ++i) {
    const Endpoint& daemon =
      mOptions.mDaemons[(aFirst + i) % mOptions.mDaemons.size()];
    Result<std::unique_ptr<HttpConnection>> connection =
      std::unique_ptr<HttpConnection>();
    if (isService) {
      connection = co_await ConnectHttp(daemon, kConnectTimeout);
    } else {
      connection = co_await mPool.Acquire(daemon, kConnectTimeout);
    }
    if (connection) {
      OpenDaemon open{ daemon, std::move(*connection) };
      co_return std::move(open);
    }
    last = connection.GetError();
  }
  co_return last;
}

asio::awaitable<LoadWorker::Try> LoadWorker::TryOnce(
  const LoadClass& aClass, const LoadRequest& aRequest, std::uint64_t aFirst)
{
  Try result;
  auto open = co_await Connect(aClass, aFirst);
  if (!open) {
    co_return result;
  }
  const Endpoint daemon = open->mDaemon;
  std::unique_ptr<HttpConnection> connection = std::move(open->mConnection);
  auto head = co_await connection->Send(aRequest.mRequest, aClass.mTimeout);
  if (head.Code() == ErrorCode::ConnectionLost &&
      aClass.mKind != LoadKind::Service) {
    // A pooled connection may have been closed while it was idle.
    auto fresh = co_await ConnectHttp(daemon, kConnectTimeout);
    if (!fresh) {
      co_return result;
    }
    connection = std::move(*fresh);
    head = co_await connection->Send(aRequest.mRequest, aClass.mTimeout);
  }
  if (!head) {
    result.mOutcome = OutcomeOf(head.Code(), LoadOutcome::Cut);
    co_return result;
  }
  result.mFirstByte = SteadyNow();
  result.mStatus = head->mStatus;
  result.mRetryAfter = ReadRetryAfter(head->mHeaders);
  co_await Exchange(*connection, aClass, aRequest, *head, result);
  mPool.Release(daemon, std::move(connection));
  co_return result;
}

asio::awaitable<void> LoadWorker::Exchange(HttpConnection& aConnection,
                                           const LoadClass& aClass,
                                           const LoadRequest& aRequest,
                                           const HttpResponseHead& aHead,
                                           Try& aTry)
{
  if (aHead.mStatus < kFirstErrorStatus && aClass.mStreaming) {
    co_await ReadStream(aConnection, aClass, aRequest, aHead, aTry);
    co_return;
  }
  const auto body = co_await aConnection.ReadAll(kMaxAnswer, aClass.mTimeout);
  if (!body) {
    aTry.mOutcome = OutcomeOf(body.Code(), LoadOutcome::Cut);
  } else if (aHead.mStatus >= kFirstErrorStatus) {
    aTry.mOutcome = JudgeFailure(aHead);
  } else {
    aTry.mOutcome = JudgeWholeAnswer(
      aClass, aRequest, aHead.mHeaders.Get("Carobtide-Request-Id"), *body);
  }
}

asio::awaitable<void> LoadWorker::ReadStream(HttpConnection& aConnection,
                                             const LoadClass& aClass,
                                             const LoadRequest& aRequest,
                                             const HttpResponseHead& aHead,
                                             Try& aTry)
{
  StreamChecker checker(aRequest.mAnswer,
                        aHead.mHeaders.Get("Carobtide-Request-Id"));
  std::string chunk;
  bool isFirst = true;
  while (true) {
    const auto more = co_await aConnection.ReadSome(chunk, aClass.mTimeout);
    if (!more) {
      aTry.mOutcome = OutcomeOf(more.Code(), LoadOutcome::Cut);
      break;
    }
    if (isFirst && !chunk.empty()) {
      aTry.mFirstByte = SteadyNow();
      isFirst = false;
    }
    checker.Feed(chunk);
    if (!*more) {
      aTry.mOutcome = checker.IsWhole() ? LoadOutcome::Whole : LoadOutcome::Cut;
      break;
    }
  }
  const StreamFault fault = checker.Fault();
  if (fault != StreamFault::None && fault != StreamFault::Error) {
    aTry.mOutcome = LoadOutcome::Wrong;
  }
  aTry.mEvents = checker.Events();
}

void LoadWorker::Record(const Arrival& aArrival, const Try& aTry,
                        const Tries& aTries)
{
  LoadRecord record;
  record.mPhase = aArrival.mPhase;
  record.mClass = aArrival.mClass;
  record.mAt = aArrival.mAt;
  record.mOutcome = aTry.mOutcome;
  record.mStatus = aTry.mStatus;
  record.mEvents = aTry.mEvents;
  record.mResends = aTries.mResends;
  record.mRefusals = aTries.mRefusals;
  record.mOrganisation = aArrival.mOrganisation;
  const Instant intended = mStart + aArrival.mAt;
  record.mTotal = SteadyNow() - intended;
  record.mFirstByte = aTry.mFirstByte - intended;
  mStats.Add(record);
  mProgress.mEvents += aTry.mEvents;
  switch (aTry.mOutcome) {
    case LoadOutcome::Whole:
      ++mProgress.mWhole;
      break;
    case LoadOutcome::NotRun:
      ++mProgress.mNotRun;
      break;
    default:
      ++mProgress.mOther;
  }
}

} // namespace carobtide
