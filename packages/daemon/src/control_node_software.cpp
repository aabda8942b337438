// Which software versions have served, and what began open streams.
#include "carobtide/base/codec.hpp"
#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"
#include "control_node.hpp"

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

constexpr Duration kCatchUpInterval = std::chrono::milliseconds(250);
constexpr Duration kCatchUpTimeout = std::chrono::milliseconds(500);
/** No stream has this key; asked for what has served alone. */
constexpr StreamKey kNoStream = 0;

} // namespace

void ControlNode::RestoreSoftware(bool aIsFirstStart)
{
  const StoredSoftware stored = mSoftwareStore.Load();
  const Instant now = SteadyNow();
  if (aIsFirstStart) {
    // Nothing has served before a deployment's first start.
    mSoftware.SetComplete();
  }
  if (stored.mRecord) {
    mSoftware.Restore(now, *stored.mRecord);
  }
  for (const StreamNotice& notice : stored.mNotices) {
    mStreams.Put(now, notice);
  }
  mNextRotation = now + mSoftware.Window();
  const std::array inputs{
    LogInput{ "record", std::int64_t{ stored.mRecord.has_value() } },
    LogInput{ "complete", std::int64_t{ mSoftware.Record(now).mIsComplete } },
    LogInput{ "streams", static_cast<std::int64_t>(mStreams.Size()) },
  };
  LogFields fields;
  fields.mStep = "software.restored";
  fields.mInputs = inputs;
  Log(LogLevel::Info, fields);
  mSoftwareStore.Start();
  KeepSoftware(now);
}

void ControlNode::KeepSoftware(Instant aNow)
{
  SoftwareRecord record = mSoftware.Record(aNow);
  if (record != mKeptSoftware) {
    mSoftwareStore.Save(record);
    mKeptSoftware = std::move(record);
  }
}

void ControlNode::ObserveSoftware(const FleetRecord& aRecord)
{
  const Instant now = SteadyNow();
  if (mSoftware.Observe(now, aRecord.mLast)) {
    KeepSoftware(now);
  }
}

void ControlNode::UpdateSoftware(Instant aNow)
{
  mSoftware.OnContact(aNow);
  if (aNow < mNextSoftware) {
    return;
  }
  mNextSoftware = aNow + SoftwareHistory::kObserveInterval;
  for (const FleetRecord* record : mTargets.All()) {
    if (!record->mSilent) {
      mSoftware.Observe(aNow, record->mLast);
    }
  }
  mStreams.Expire(aNow - mSoftware.Window());
  KeepSoftware(aNow);
  if (aNow >= mNextRotation) {
    mNextRotation = aNow + mSoftware.Window();
    mSoftwareStore.Rotate();
  }
}

awaitable<void> ControlNode::CatchUpSoftware()
{
  asio::steady_timer timer(mExecutor);
  while (!mSoftware.Record(SteadyNow()).mIsComplete) {
    timer.expires_after(kCatchUpInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!mCatalog) {
      continue;
    }
    std::vector<ServiceName> services;
    std::ranges::transform(mCatalog->mServices, std::back_inserter(services),
                           &CatalogService::mName);
    // Addresses of daemons that were replaced never answer.
    auto peers = MemberAddresses();
    if (std::erase(peers, mSettings.mPeerAddress) == 0) {
      continue;
    }
    SoftwareCatchUp catchUp(services, peers.size() + 1);
    for (const Endpoint& peer : peers) {
      for (const ServiceName& service : services) {
        auto calling = mNetwork.Call(
          peer, static_cast<std::uint16_t>(FleetMessageType::StreamQuery),
          Encode(StreamQuery{ kNoStream, service }), kCatchUpTimeout);
        const auto answer = co_await std::move(calling);
        if (!answer || answer->empty()) {
          break; // It is away, or does not know a whole window either.
        }
        const auto reply = Decode<StreamReply>(*answer, peer.ToString());
        if (!reply) {
          LogError(reply.GetError());
          break;
        }
        catchUp.OnReply(service);
        for (const SoftwareVersion& software : reply->mSeen.mVersions) {
          mSoftware.Observe(SteadyNow(), service, software);
        }
      }
    }
    if (catchUp.IsDone()) {
      mSoftware.SetComplete();
    }
  }
  KeepSoftware(SteadyNow());
  Log(LogLevel::Info, { "software.complete", {}, {}, {}, {} });
}

void ControlNode::OnStreamNotice(const StreamNotice& aNotice)
{
  mStreams.Put(SteadyNow(), aNotice);
  mSoftwareStore.Append(aNotice);
}

std::string ControlNode::OnStreamQuery(const StreamQuery& aQuery) const
{
  const auto reply = AnswerQuery(SteadyNow(), aQuery, mStreams, mSoftware);
  return reply ? Encode(*reply) : std::string();
}

} // namespace carobtide
