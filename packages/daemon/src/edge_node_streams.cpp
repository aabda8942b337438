// What began the streams that callers take up at this daemon.
#include "carobtide/base/codec.hpp"
#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"
#include "edge_node.hpp"
#include "tasks.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/** Streams that begin within this time share one notice. */
constexpr Duration kNoticeDelay = std::chrono::milliseconds(20);
/** A caller waits for its stream meanwhile. */
constexpr Duration kQueryTimeout = std::chrono::milliseconds(250);
/** Control daemons that do not answer yet are asked again for this long. */
constexpr Duration kOriginPatience = std::chrono::milliseconds(1500);
constexpr Duration kQueryPause = std::chrono::milliseconds(50);
/** How often it is looked whether the targets of a version are known. */
constexpr Duration kNewsPause = std::chrono::milliseconds(10);

void LogSearch(const StreamQuery& aQuery, const OriginEvidence& aEvidence,
               const std::optional<StreamOrigin>& aOrigin)
{
  const std::array inputs{
    LogInput{ "service", std::string_view(aQuery.mService.Text()) },
    LogInput{ "software",
              aOrigin ? std::string_view(aOrigin->mSoftware.Text()) : "" },
    LogInput{ "told", std::int64_t{ aEvidence.mIsTold } },
    LogInput{ "watched", std::int64_t{ aEvidence.mIsWatched } },
    LogInput{ "versions", static_cast<std::int64_t>(aEvidence.mVersions) },
    LogInput{ "replies", static_cast<std::int64_t>(aEvidence.mReplies) },
    LogInput{ "complete_replies",
              static_cast<std::int64_t>(aEvidence.mCompleteReplies) },
    LogInput{ "ended", static_cast<std::int64_t>(aEvidence.mEnded) },
  };
  LogFields fields;
  fields.mStep = aOrigin ? "stream.origin-found" : "stream.origin-unknown";
  fields.mInputs = inputs;
  Log(LogLevel::Info, fields);
}

} // namespace

void EdgeNode::OnStreamBegun(StreamKey aStream, const StreamOrigin& aOrigin)
{
  mStreams.OnBegun(SteadyNow(), aStream, aOrigin, mSoftware);
  ReportStreams();
}

void EdgeNode::UpdateStreams()
{
  const Instant now = SteadyNow();
  if (now >= mNextSoftware) {
    mNextSoftware = now + SoftwareHistory::kObserveInterval;
    mDispatcher.AddSoftware(now, mSoftware);
    for (const ServiceName& service : mControl.Services()) {
      mControl.ForgetSoftware(service, mSoftware.Seen(now, service));
    }
    UpdateUnestablished();
  }
  mStreams.Update(now, mSoftware);
  ReportStreams();
}

void EdgeNode::UpdateUnestablished()
{
  const Instant now = SteadyNow();
  std::set<StreamOrigin> versions;
  for (const ServiceName& service : mControl.Services()) {
    const SoftwareSeen seen = mSoftware.Seen(now, service);
    for (const auto& software : mControl.Unestablished(service, seen)) {
      versions.insert({ service, software });
    }
  }
  mDispatcher.SetUnestablished(std::move(versions));
}

void EdgeNode::ReportStreams()
{
  if (mStreams.HasNotice() && !std::exchange(mSendsStreams, true)) {
    SpawnLoop(mExecutor, "edge.streams", [this] { return SendStreams(); });
  }
}

awaitable<void> EdgeNode::SendStreams()
{
  asio::steady_timer timer(mExecutor, kNoticeDelay);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  mSendsStreams = false;
  const Instant now = SteadyNow();
  const std::string notice = Encode(mStreams.TakeNotice());
  for (const auto& core : { mHomes.Select(now), mHomes.SelectBackup(now) }) {
    if (core) {
      mNetwork.Send(*core,
                    static_cast<std::uint16_t>(FleetMessageType::StreamNotice),
                    notice);
    }
  }
}

awaitable<void> EdgeNode::QueryOrigin(Endpoint aCore, std::string aQuery,
                                      std::shared_ptr<OpenQuery> aOpen)
{
  auto calling = mNetwork.Call(
    aCore, static_cast<std::uint16_t>(FleetMessageType::StreamQuery),
    std::move(aQuery), kQueryTimeout);
  const auto answer = co_await std::move(calling);
  if (!answer) {
    LogError(answer.GetError());
    if (answer.Code() == ErrorCode::ConnectRefused &&
        mControl.HasEnded(aCore)) {
      aOpen->mSearch.OnEnded(aCore);
    }
  } else if (!answer->empty()) {
    const auto reply = Decode<StreamReply>(*answer, aCore.ToString());
    if (reply) {
      aOpen->mSearch.OnReply(aCore, *reply);
    } else {
      LogError(reply.GetError());
    }
  }
  --aOpen->mUnanswered;
  aOpen->mReplied.Notify();
}

awaitable<std::optional<StreamOrigin>> EdgeNode::FindOrigin(StreamQuery aQuery)
{
  if (auto known = mStreams.Find(aQuery.mStream)) {
    co_return known;
  }
  const Instant until = SteadyNow() + kOriginPatience;
  asio::steady_timer pause(mExecutor);
  while (true) {
    auto asking = AskForOrigin(aQuery);
    const OriginSearch search = co_await std::move(asking);
    auto origin = search.Result();
    if (origin || search.IsAnswered() || SteadyNow() >= until) {
      LogSearch(aQuery, search.Evidence(), origin);
      if (origin) {
        auto awaiting = AwaitVersion(*origin, until);
        co_await std::move(awaiting);
      }
      co_return origin;
    }
    pause.expires_after(kQueryPause);
    co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

awaitable<void> EdgeNode::AwaitVersion(StreamOrigin aOrigin, Instant aUntil)
{
  // Control daemons know it, and their news of its targets is on the way.
  asio::steady_timer pause(mExecutor);
  const auto isSeen = [&] {
    const SoftwareSeen seen = mSoftware.Seen(SteadyNow(), aOrigin.mService);
    return std::ranges::find(seen.mVersions, aOrigin.mSoftware) !=
           seen.mVersions.end();
  };
  while (!aOrigin.mSoftware.IsEmpty() && !isSeen() && SteadyNow() < aUntil) {
    pause.expires_after(kNewsPause);
    co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

awaitable<OriginSearch> EdgeNode::AskForOrigin(StreamQuery aQuery)
{
  const auto open = std::make_shared<OpenQuery>(
    OriginSearch(aQuery.mService, mSoftware.Seen(SteadyNow(), aQuery.mService),
                 mControl.Members()));
  // The daemon that began it may have had another home, or lost its home. What
  // this daemon knows may be older than the stream, whatever its age.
  open->mUnanswered = mCores.size();
  for (const Endpoint& core : mCores) {
    SpawnTask(mExecutor, "edge.query-origin",
              [this, core, query = Encode(aQuery), open] {
                return QueryOrigin(core, query, open);
              });
  }
  while (!open->mSearch.IsDecided() && open->mUnanswered > 0) {
    auto waiting = open->mReplied.Wait(kQueryTimeout);
    co_await std::move(waiting);
  }
  co_return open->mSearch;
}

} // namespace carobtide
