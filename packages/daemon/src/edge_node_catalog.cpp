// How an edge learns of a catalog, fetches it and puts it into force.
#include "carobtide/daemon/logging.hpp"
#include "catalog_digest.hpp"
#include "clock.hpp"
#include "edge_node.hpp"
#include "tasks.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/** A catalog of the largest size over a link of 7.5 Mbit/s, with a margin. */
constexpr Duration kFetchTimeout = std::chrono::seconds(12);
constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
/** A newer catalog is known of for this long before a line says so. */
constexpr Duration kLagLineAfter = std::chrono::seconds(1);
constexpr Duration kLagLineInterval = std::chrono::seconds(1);
/** Watches are answered within a second; this allows for two lost ones. */
constexpr Duration kMaxConfirmedAge = std::chrono::seconds(4);

std::int64_t Milliseconds(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

std::int64_t Signed(std::uint64_t aValue)
{
  return static_cast<std::int64_t>(aValue);
}

/** Has the plan know when a fetch ends, also if it does by an exception. */
class OpenFetch
{
public:
  OpenFetch(CatalogFetchPlan& aPlan, const Endpoint& aCore)
    : mPlan(aPlan)
    , mCore(aCore)
  {
  }
  ~OpenFetch() { mPlan.OnEnded(SteadyNow(), mCore, mIsTaken); }
  OpenFetch(const OpenFetch&) = delete;
  OpenFetch& operator=(const OpenFetch&) = delete;

  void SetTaken() { mIsTaken = true; }

private:
  CatalogFetchPlan& mPlan;
  const Endpoint mCore;
  bool mIsTaken = false;
};

} // namespace

void EdgeNode::OnCatalogVersion(Instant aSentAt, const Endpoint& aCore,
                                std::uint64_t aVersion)
{
  if (mCatalogProgress.OnAnswer(SteadyNow(), aSentAt, aCore, aVersion)) {
    const std::array inputs{
      LogInput{ "version", Signed(aVersion) },
      LogInput{ "in_force", Signed(mCatalogVersion) },
    };
    LogFields fields;
    fields.mStep = "catalog.announced";
    const std::string peer = aCore.ToString();
    fields.mPeer = peer;
    fields.mInputs = inputs;
    Log(LogLevel::Info, fields);
  }
  AdvanceCatalog();
}

void EdgeNode::AdvanceCatalog()
{
  const Instant now = SteadyNow();
  const auto core = mFetchPlan.Next(now, mCatalogProgress.HoldersOfNewer());
  if (core) {
    mFetchPlan.OnBegun(now, *core);
    SpawnTask(mExecutor, "edge.fetch-catalog",
              [this, core = *core] { return FetchCatalog(core); });
  }
}

awaitable<void> EdgeNode::CatalogLoop()
{
  asio::steady_timer timer(mExecutor);
  while (true) {
    AdvanceCatalog();
    CheckCatalogAge(SteadyNow());
    timer.expires_after(kCheckInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

awaitable<void> EdgeNode::FetchCatalog(Endpoint aCore)
{
  OpenFetch fetch(mFetchPlan, aCore);
  const Instant begunAt = SteadyNow();
  auto calling = mNetwork.Call(
    aCore, static_cast<std::uint16_t>(FleetMessageType::GetCatalog),
    EncodeCatalogCall(CatalogEncoding::Deflated), kFetchTimeout,
    [this, aCore] { mFetchPlan.OnProgress(SteadyNow(), aCore); });
  const auto answer = co_await std::move(calling);
  const Duration took = SteadyNow() - begunAt;
  const auto text = answer ? ReadCatalogReply(*answer, aCore.ToString())
                           : Result<CatalogText>(answer.GetError());
  const auto taken =
    text ? TakeCatalog(*text, aCore, took) : Result<Unit>(text.GetError());
  if (taken) {
    fetch.SetTaken();
    co_return;
  }
  LogError(taken.GetError());
  const std::array inputs{
    LogInput{ "wanted", Signed(mCatalogProgress.Known()) },
    LogInput{ "in_force", Signed(mCatalogVersion) },
    LogInput{ "ms", Milliseconds(took) },
    LogInput{ "lag_ms", Milliseconds(mCatalogProgress.Lag(SteadyNow())) },
  };
  LogFields fields;
  fields.mStep = "catalog.fetch-failed";
  const std::string peer = aCore.ToString();
  fields.mPeer = peer;
  fields.mInputs = inputs;
  Log(LogLevel::Warning, fields);
}

Result<Unit> EdgeNode::TakeCatalog(const CatalogText& aText,
                                   const Endpoint& aFrom, Duration aTook)
{
  if (aText.mVersion <= mCatalogVersion) {
    return Success();
  }
  const Instant now = SteadyNow();
  auto catalog = mDialect->ReadCatalog(aText.mText);
  if (!catalog) {
    return catalog.GetError();
  }
  const auto announced = mCatalogProgress.AnnouncementOf(aText.mVersion);
  const auto shared = std::make_shared<const Catalog>(std::move(*catalog));
  auto routes = std::make_shared<const RouteMap>(shared);
  auto organisations = std::make_shared<const OrganisationDirectory>(shared);
  mDispatcher.SetCatalog(shared);
  mAllowance.SetCatalog(*shared);
  mSoftware.SetWindow(LongestStream(*shared));
  mRoutes = std::move(routes);
  mContext.mOrganisations = std::move(organisations);
  // Last: what has taken only a part of it has to be given it again.
  mCatalogVersion = aText.mVersion;
  mContext.mCatalogVersion = mCatalogVersion;
  mCatalogProgress.OnInForce(mCatalogVersion);
  // Requests that wait are checked against the keys now in force.
  mRoom.Notify();
  const std::string digest = DigestOf(aText.mText);
  const std::string announcer =
    announced ? announced->mFrom.ToString() : std::string();
  const std::array inputs{
    LogInput{ "digest", digest },
    LogInput{ "bytes", static_cast<std::int64_t>(aText.mText.size()) },
    LogInput{ "announced_by", announcer },
    LogInput{ "announced_ms_ago",
              announced ? Milliseconds(now - announced->mAt) : 0 },
    LogInput{ "fetch_ms", Milliseconds(aTook) },
    LogInput{ "read_ms", Milliseconds(SteadyNow() - now) },
  };
  LogFields fields;
  fields.mStep = "catalog.in-force";
  const std::string peer = aFrom.ToString();
  fields.mPeer = peer;
  const std::string message = "version " + std::to_string(mCatalogVersion);
  fields.mMessage = message;
  fields.mInputs = inputs;
  Log(LogLevel::Info, fields);
  return Success();
}

Duration EdgeNode::CatalogAge(Instant aNow) const
{
  return aNow -
         mCatalogProgress.ConfirmedAt(mControl.Members()).value_or(mStartedAt);
}

void EdgeNode::CheckCatalogAge(Instant aNow)
{
  const Duration lag = mCatalogProgress.Lag(aNow);
  const Duration age = CatalogAge(aNow);
  const std::array inputs{
    LogInput{ "known", Signed(mCatalogProgress.Known()) },
    LogInput{ "in_force", Signed(mCatalogVersion) },
    LogInput{ "lag_ms", Milliseconds(lag) },
    LogInput{ "unconfirmed_ms", Milliseconds(age) },
    LogInput{ "fetches", Signed(mFetchPlan.Begun()) },
    LogInput{ "failed", Signed(mFetchPlan.Failed()) },
  };
  LogFields fields;
  fields.mInputs = inputs;
  if (lag >= kLagLineAfter && aNow >= mNextLagLine) {
    mNextLagLine = aNow + kLagLineInterval;
    fields.mStep = "catalog.behind";
    Log(LogLevel::Warning, fields);
  }
  const bool isUnconfirmed = age >= kMaxConfirmedAge;
  if (std::exchange(mIsCatalogUnconfirmed, isUnconfirmed) != isUnconfirmed) {
    fields.mStep = isUnconfirmed ? "catalog.unconfirmed" : "catalog.confirmed";
    Log(isUnconfirmed ? LogLevel::Warning : LogLevel::Info, fields);
  }
}

std::vector<Gauge> EdgeNode::CatalogGauges(Instant aNow) const
{
  const auto seconds = [](Duration aTime) {
    return std::chrono::duration<double>(aTime).count();
  };
  return {
    { "catalog_version", static_cast<double>(mCatalogVersion) },
    { "catalog_known_version", static_cast<double>(mCatalogProgress.Known()) },
    { "catalog_lag_seconds", seconds(mCatalogProgress.Lag(aNow)) },
    { "catalog_unconfirmed_seconds", seconds(CatalogAge(aNow)) },
    { "catalog_fetches", static_cast<double>(mFetchPlan.Begun()) },
    { "catalog_fetch_failures", static_cast<double>(mFetchPlan.Failed()) },
  };
}

} // namespace carobtide
