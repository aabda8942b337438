// Calls of operators and targets to a control daemon.
#include "carobtide/base/codec.hpp"
#include "carobtide/daemon/logging.hpp"
#include "catalog_digest.hpp"
#include "clock.hpp"
#include "control_node.hpp"

#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <utility>

namespace carobtide {

using boost::asio::awaitable;

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kUnavailable = 503;

/** Operators move on to another daemon after a second without an answer. */
constexpr Duration kCommitTimeout = std::chrono::milliseconds(900);

HttpResponse MakeAnswer(std::uint16_t aStatus, std::string aBody = "{}")
{
  return MakeResponse(aStatus, "application/json", std::move(aBody));
}

} // namespace

awaitable<void> ControlNode::HandleCall(HttpExchange& aExchange)
{
  auto answering = Answer(aExchange.Request());
  auto response = co_await std::move(answering);
  auto sending = aExchange.Respond(std::move(response));
  const auto sent = co_await std::move(sending);
  if (!sent) {
    LogError(sent.GetError());
  }
}

awaitable<HttpResponse> ControlNode::Answer(const HttpRequest& aRequest)
{
  if (mStop.HasEnded()) {
    co_return MakeAnswer(kUnavailable);
  }
  const ControlCall call = mDialect->ReadControlCall(aRequest);
  switch (call.mKind) {
    case ControlCallKind::Heartbeat:
      co_return OnHeartbeatCall(call.mTarget, aRequest);
    case ControlCallKind::Leave:
      co_return OnLeaveCall(call.mTarget, aRequest);
    case ControlCallKind::PutCatalog: {
      auto putting = OnPutCatalog(aRequest.mBody);
      auto response = co_await std::move(putting);
      co_return response;
    }
    case ControlCallKind::GetCatalog: {
      auto getting = OnGetCatalog();
      auto response = co_await std::move(getting);
      co_return response;
    }
    case ControlCallKind::Unknown:
      break;
  }
  co_return MakeAnswer(kNotFound);
}

HttpResponse ControlNode::OnHeartbeatCall(const TargetName& aTarget,
                                          const HttpRequest& aRequest)
{
  const auto heartbeat = mDialect->ReadHeartbeat(aTarget, aRequest.mBody);
  if (!heartbeat) {
    LogError(heartbeat.GetError());
    return MakeAnswer(kBadRequest);
  }
  mMetrics.Add(ControlCounter::HeartbeatsTaken);
  const auto effect = mTargets.OnHeartbeat(SteadyNow(), *heartbeat);
  if (effect != HeartbeatEffect::Stale) {
    SendToPeers(FleetMessageType::HeartbeatNotice, *heartbeat);
    PassDirectoryUpdates();
  }
  return MakeAnswer(kOk);
}

HttpResponse ControlNode::OnLeaveCall(const TargetName& aTarget,
                                      const HttpRequest& aRequest)
{
  const auto incarnation = mDialect->ReadLeave(aRequest.mBody);
  if (!incarnation) {
    LogError(incarnation.GetError());
    return MakeAnswer(kBadRequest);
  }
  if (mTargets.OnLeave(SteadyNow(), aTarget, *incarnation)) {
    Log(LogLevel::Info, { "target.left", aTarget.Text(), {}, {}, {} });
    LeaveNotice notice;
    notice.mTarget = aTarget;
    notice.mIncarnation = mTargets.Find(aTarget)->mLast.mIncarnation;
    SendToPeers(FleetMessageType::LeaveNotice, notice);
    PassDirectoryUpdates();
  }
  return MakeAnswer(kOk);
}

Result<std::uint64_t> ControlNode::CheckedVersion(std::string_view aText) const
{
  const auto catalog = mDialect->ReadCatalog(aText);
  if (!catalog) {
    return catalog.GetError();
  }
  if (const auto checked = CheckCatalog(*catalog); !checked) {
    return checked.GetError();
  }
  return catalog->mVersion;
}

awaitable<HttpResponse> ControlNode::OnPutCatalog(const std::string& aText)
{
  const auto version = CheckedVersion(aText);
  if (!version) {
    LogError(version.GetError());
    mMetrics.Add(ControlCounter::CatalogsRefused);
    co_return MakeAnswer(kBadRequest);
  }
  PutCatalog put;
  put.mCatalog = CatalogText{ *version, aText };
  auto executing = Execute(std::move(put));
  const auto reply = co_await std::move(executing);
  const auto outcome = static_cast<CommitOutcome>(reply.mOutcome);
  const bool isCommitted = outcome == CommitOutcome::Committed;
  if (isCommitted) {
    mMetrics.Add(ControlCounter::CatalogsAcknowledged);
  }
  const std::string digest = DigestOf(aText);
  const std::array inputs{ LogInput{ "digest", digest } };
  LogFields fields;
  fields.mStep = "catalog.put";
  fields.mInputs = inputs;
  const std::string message =
    "version " + std::to_string(*version) +
    (isCommitted ? " committed" : " not known to be committed");
  fields.mMessage = message;
  Log(LogLevel::Info, fields);
  co_return MakeAnswer(isCommitted ? kOk : kUnavailable);
}

awaitable<HttpResponse> ControlNode::OnGetCatalog()
{
  auto executing = Execute(ReadBarrier{});
  auto reply = co_await std::move(executing);
  const auto outcome = static_cast<CommitOutcome>(reply.mOutcome);
  const bool isKnown =
    outcome == CommitOutcome::Committed && reply.mCatalog.mVersion > 0;
  co_return isKnown ? MakeAnswer(kOk, std::move(reply.mCatalog.mText))
                    : MakeAnswer(kUnavailable);
}

awaitable<ProposeReply> ControlNode::ExecuteHere(std::string aCommand)
{
  const Instant startedAt = SteadyNow();
  auto committing = mReplica.Commit(std::move(aCommand), kCommitTimeout);
  const CommitOutcome outcome = co_await std::move(committing);
  if (outcome == CommitOutcome::Committed) {
    mMetrics.OnCommit(SteadyNow() - startedAt);
  }
  ProposeReply reply;
  reply.mOutcome = static_cast<std::uint8_t>(outcome);
  if (outcome == CommitOutcome::Committed) {
    reply.mCatalog = mCatalogs.Current();
  }
  co_return reply;
}

awaitable<ProposeReply> ControlNode::Execute(CatalogCommand aCommand)
{
  std::string command = Encode(aCommand);
  // The wait below holds one copy of a large catalog, not two.
  aCommand = ReadBarrier{};
  if (mReplica.IsLeading()) {
    auto executing = ExecuteHere(std::move(command));
    auto reply = co_await std::move(executing);
    co_return reply;
  }
  ProposeReply unknown;
  unknown.mOutcome = static_cast<std::uint8_t>(CommitOutcome::Unknown);
  const Endpoint leader = LeaderAddress();
  if (leader.mHost.empty() || leader == mSettings.mPeerAddress) {
    co_return unknown;
  }
  auto calling =
    mNetwork.Call(leader, static_cast<std::uint16_t>(FleetMessageType::Propose),
                  std::move(command), kCommitTimeout);
  const auto answer = co_await std::move(calling);
  if (!answer) {
    LogError(answer.GetError());
    co_return unknown;
  }
  auto reply = Decode<ProposeReply>(*answer, leader.ToString());
  if (!reply) {
    LogError(reply.GetError());
    co_return unknown;
  }
  co_return std::move(*reply);
}

} // namespace carobtide
