// Which targets an edge reaches, and the requests that it takes for edges that
// reach fewer.
#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"
#include "edge_node.hpp"
#include "edge_request.hpp"
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

constexpr std::uint16_t kUnavailable = 503;
/** How often it is looked which paths to test. */
constexpr Duration kCheckInterval = std::chrono::milliseconds(50);
/** A target that lives accepts within milliseconds. */
constexpr Duration kCheckTimeout = std::chrono::milliseconds(300);

PathEvidence EvidenceOf(ProbeResult aResult)
{
  switch (aResult) {
    case ProbeResult::Accepted:
      return PathEvidence::Accepted;
    case ProbeResult::Refused:
      return PathEvidence::Refused;
    case ProbeResult::Unknown:
      break;
  }
  return PathEvidence::NoReply;
}

} // namespace

Endpoint EdgeNode::RelayAddress() const
{
  return mStop.IsStopping() ? Endpoint{}
                            : mSettings.mRelayAddress.value_or(Endpoint{});
}

awaitable<void> EdgeNode::PathLoop()
{
  asio::steady_timer timer(mExecutor);
  while (true) {
    for (const PathCheck& check : mDispatcher.TakePathChecks(SteadyNow())) {
      SpawnTask(mExecutor, "edge.check-path",
                [this, check] { return CheckPath(check); });
    }
    timer.expires_after(kCheckInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

awaitable<void> EdgeNode::CheckPath(PathCheck aCheck)
{
  auto probing = ProbeAddress(aCheck.mAddress, kCheckTimeout);
  const ProbeResult result = co_await std::move(probing);
  if (const auto state =
        mDispatcher.OnPathChecked(SteadyNow(), aCheck, EvidenceOf(result))) {
    OnPathChange(aCheck, *state);
  }
}

void EdgeNode::OnPathChange(const PathCheck& aCheck, PathState aState)
{
  const std::array inputs{
    LogInput{ "state", kPathStates.Name(aState) },
    LogInput{ "incarnation",
              static_cast<std::int64_t>(aCheck.mIncarnation.Value()) },
  };
  LogFields fields;
  fields.mStep = "target.path";
  fields.mPeer = aCheck.mTarget.Text();
  fields.mInputs = inputs;
  Log(LogLevel::Info, fields);
  if (aState == PathState::Silent) {
    mPool.DropIdle(aCheck.mAddress);
    for (const auto& [key, request] : mOpen) {
      if (const auto open = request.lock()) {
        open->OnPathLost(aCheck.mTarget);
      }
    }
  }
  mContext.NotifyCapacity();
}

awaitable<void> EdgeNode::RefuseRelayed(HttpExchange& aExchange,
                                        std::string_view aReason)
{
  const CallerRequest caller = mDialect->ReadCaller(aExchange.Request());
  HttpResponse response =
    mDialect->MakeAnswer(kUnavailable, caller, Duration::zero(), aReason);
  RelayAnswer note;
  note.mEnd = RelayEnd::Refused;
  WriteRelayAnswer(note, response.mHead.mHeaders);
  auto sending = aExchange.Respond(std::move(response));
  const auto sent = co_await std::move(sending);
  if (!sent) {
    LogError(sent.GetError());
  }
}

awaitable<void> EdgeNode::HandleRelayed(HttpExchange& aExchange)
{
  const Instant now = SteadyNow();
  const HttpRequest& request = aExchange.Request();
  const auto call = ReadRelayCall(request.mHeaders, aExchange.PeerName());
  CallerRequest caller = mDialect->ReadCaller(request);
  const auto routes = mRoutes;
  const Route* route =
    call && routes ? routes->Find(caller.mHost, request.Path()) : nullptr;
  std::string_view reason;
  if (!call) {
    LogError(call.GetError());
    reason = "not handed on by a daemon";
  } else if (mCatalogVersion < call->mCatalogVersion) {
    reason = "older catalog";
  } else if (route == nullptr) {
    reason = "no route";
  } else if (mStop.IsTooLateFor(now, *route)) {
    reason = "stopping";
  }
  CallerIdentity identity;
  if (reason.empty()) {
    identity = ReadIdentity(*mContext.mOrganisations, request.mHeaders, *route);
    if (!identity.mIsAccepted) {
      reason = "unknown organisation";
    }
  }
  if (!reason.empty()) {
    auto refusing = RefuseRelayed(aExchange, reason);
    co_await std::move(refusing);
    co_return;
  }
  ++mTakenForOthers;
  const bool leadsThere =
    std::ranges::find(route->mServices, call->mService,
                      &ServiceShare::mService) != route->mServices.end();
  auto run = std::make_shared<EdgeRequest>(
    mContext, aExchange, std::move(caller), std::move(identity), *route,
    leadsThere ? call->mService : PickService(*route), now, *call);
  auto running = RunRequest(std::move(run));
  co_await std::move(running);
}

} // namespace carobtide
