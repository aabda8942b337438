// What a control daemon applies from the log and decides as leader.
#include "carobtide/base/codec.hpp"
#include "carobtide/daemon/logging.hpp"
#include "catalog_digest.hpp"
#include "clock.hpp"
#include "control_node.hpp"
#include "target_log.hpp"
#include "tasks.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <utility>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/** Added to the lease period before a new leader gives its first order. */
constexpr Duration kLeaseMargin = std::chrono::milliseconds(300);
/** An order or a report without an answer for this long is lost. */
constexpr Duration kTargetTimeout = std::chrono::milliseconds(400);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
constexpr Bytes kMaxAnswerBytes = kMiB;
/** An adapter is usable this long after its order was accepted. */
constexpr Duration kAdapterLoadTime = std::chrono::milliseconds(10);
/** Residency without new orders is compared this often. */
constexpr Duration kPublishInterval = std::chrono::milliseconds(100);
/** How often the planner's engines are compared with the directory. */
constexpr Duration kReconcileInterval = std::chrono::seconds(2);
constexpr std::uint16_t kOk = 200;

} // namespace

void ControlNode::ApplyCommand(const LogEntry& aEntry)
{
  auto command = Decode<CatalogCommand>(aEntry.mPayload, "log");
  if (!command) {
    LogError(command.GetError());
    return;
  }
  if (auto* put = std::get_if<PutCatalog>(&*command)) {
    if (mCatalogs.Apply(std::move(put->mCatalog)) == CatalogPut::InForce) {
      OnCatalogChange();
    }
  }
}

void ControlNode::OnCatalogChange()
{
  const CatalogText& text = mCatalogs.Current();
  if (text.mVersion == 0) {
    return;
  }
  auto catalog = mDialect->ReadCatalog(text.mText);
  if (!catalog) {
    LogError(catalog.GetError());
    return;
  }
  mCatalog = std::make_shared<const Catalog>(std::move(*catalog));
  mSoftware.SetWindow(LongestStream(*mCatalog));
  std::set<ServiceName> services;
  std::ranges::transform(mCatalog->mServices,
                         std::inserter(services, services.end()),
                         &CatalogService::mName);
  mTargets.SetServices(std::move(services));
  mAllowance.SetCatalog(SteadyNow(), mCatalog);
  if (mPlanner) {
    mPlanner->SetCatalog(mCatalog);
  }
  const std::string digest = DigestOf(text.mText);
  const std::array inputs{ LogInput{ "digest", digest } };
  LogFields fields;
  fields.mStep = "catalog.in-force";
  fields.mInputs = inputs;
  const std::string message = "version " + std::to_string(text.mVersion);
  fields.mMessage = message;
  Log(LogLevel::Info, fields);
  mNews.Notify();
}

void ControlNode::OnReplicaChange()
{
  const ReplicatedLog& log = mReplica.Log();
  const bool isLeader = log.Role() == ReplicaRole::Leader;
  if (std::exchange(mWasLeader, isLeader) != isLeader) {
    mMetrics.Add(isLeader ? ControlCounter::LeadershipsGained
                          : ControlCounter::LeadershipsLost);
  }
  if (isLeader && mPlannerTerm != log.Term()) {
    mPlannerTerm = log.Term();
    mPlanner.emplace(SteadyNow() + mSettings.mLeasePeriod + kLeaseMargin);
    if (mCatalog) {
      mPlanner->SetCatalog(mCatalog);
    }
    for (const FleetRecord* record : mTargets.All()) {
      mPlanner->OnTarget(SteadyNow(), *record);
    }
  } else if (!isLeader) {
    mPlanner.reset();
    mPlannerTerm = 0;
    mAdapterNews.Notify();
  }
  LogFields fields;
  fields.mStep = "replica.change";
  const std::string message =
    std::string(kReplicaRoles.Name(log.Role())) + " of term " +
    std::to_string(log.Term()) + ", " +
    std::to_string(log.CurrentMembership().VoterCount()) + " voters of " +
    std::to_string(log.CurrentMembership().mMembers.size());
  fields.mMessage = message;
  Log(LogLevel::Info, fields);
}

Endpoint ControlNode::LeaderAddress() const
{
  if (!mReplica.IsStarted()) {
    return {};
  }
  const ReplicatedLog& log = mReplica.Log();
  const Member* leader = log.CurrentMembership().Find(log.Leader());
  if (leader == nullptr) {
    return {};
  }
  return ParseEndpoint(leader->mDaemon.Text()).value_or(Endpoint{});
}

std::vector<Endpoint> ControlNode::MemberAddresses() const
{
  std::vector<Endpoint> addresses;
  if (mReplica.IsStarted()) {
    for (const Member& it : mReplica.Log().CurrentMembership().mMembers) {
      if (const auto address = ParseEndpoint(it.mDaemon.Text())) {
        addresses.push_back(*address);
      }
    }
  }
  return addresses;
}

void ControlNode::StepAllowance(Instant aNow)
{
  if (!mReplica.IsStarted()) {
    return;
  }
  ControlStanding standing;
  standing.mTerm = mReplica.Log().Term();
  standing.mLeader = LeaderAddress();
  standing.mIsLeading = mReplica.IsLeading();
  standing.mMembers = MemberAddresses();
  mAllowance.SetStanding(aNow, standing);
  mAllowance.Step(aNow);
}

void ControlNode::PassTarget(const TargetName& aTarget)
{
  const FleetRecord* record = mTargets.Find(aTarget);
  if (record != nullptr && !record->mSilent) {
    ObserveSoftware(*record);
  }
  if (!mPlanner) {
    return;
  }
  const bool wasTracked = mPlanner->Tracks(aTarget);
  if (record != nullptr) {
    mPlanner->OnTarget(SteadyNow(), *record);
  } else {
    mPlanner->OnForgotten(aTarget);
  }
  if (wasTracked && !mPlanner->Tracks(aTarget)) {
    Log(LogLevel::Info, { "engine.dropped",
                          aTarget.Text(),
                          {},
                          {},
                          record != nullptr ? "its process has ended"
                                            : "not heard of for long" });
  }
}

void ControlNode::PassDirectoryUpdates()
{
  for (const TargetName& target : mTargets.TakeUpdated()) {
    PassTarget(target);
  }
  if (mTargets.RoutingChange() != mNotifiedChange) {
    mNotifiedChange = mTargets.RoutingChange();
    mNews.Notify();
  }
}

void ControlNode::ReconcilePlanner(Instant aNow)
{
  if (!mPlanner || aNow < mNextReconcile) {
    return;
  }
  mNextReconcile = aNow + kReconcileInterval;
  const auto differing = mPlanner->FindDiffering(mTargets.All());
  for (const TargetName& target : differing) {
    mMetrics.Add(ControlCounter::TargetsReconciled);
    Log(LogLevel::Warning, { "target.reconciled",
                             target.Text(),
                             {},
                             {},
                             "not as in the directory" });
    PassTarget(target);
  }
}

void ControlNode::StepPlanner()
{
  if (!mPlanner) {
    return;
  }
  PassSpeeds(SteadyNow());
  const auto effects = mPlanner->Step(SteadyNow());
  for (const ResidencyEffect& effect : effects) {
    std::visit([this](const auto& aEffect) { Perform(aEffect); }, effect);
  }
  if (!effects.empty() || SteadyNow() >= mNextPublish) {
    mNextPublish = SteadyNow() + kPublishInterval;
    PublishResidency();
  }
}

void ControlNode::PublishResidency()
{
  if (const auto update =
        mResidency.Publish(SteadyNow(), mPlannerTerm, mPlanner->Map())) {
    SendToPeers(FleetMessageType::Residency, *update);
    mNews.Notify();
  }
}

void ControlNode::Perform(const RequestEngineReport& aEffect)
{
  SpawnTask(mExecutor, "control.fetch-report",
            [this, ask = aEffect] { return FetchReport(ask); });
}

void ControlNode::Perform(const IssueOrder& aEffect)
{
  mMetrics.Add(ControlCounter::OrdersSent);
  LogFields fields;
  fields.mStep = "order.send";
  fields.mPeer = aEffect.mOrder.mTarget.Text();
  fields.mOrder = aEffect.mOrder.mId;
  const std::string message =
    std::string(kResidencyActions.Name(aEffect.mOrder.mAction)) + " " +
    aEffect.mOrder.mModel.Text() + " " + aEffect.mOrder.mAdapter.Text() + ": " +
    aEffect.mReason;
  fields.mMessage = message;
  const std::array<LogInput, 1> inputs{ { { "speed", aEffect.mSpeed } } };
  if (aEffect.mSpeed != 1) {
    fields.mInputs = inputs;
  }
  Log(LogLevel::Info, fields);
  SpawnTask(mExecutor, "control.send-order",
            [this, order = aEffect.mOrder] { return SendOrder(order); });
}

void ControlNode::NoteTarget(const HttpResponseHead& aHead,
                             const TargetName& aTarget,
                             Incarnation aIncarnation)
{
  const TargetHead said = mDialect->ReadTargetHead(aHead, CallerRequest{});
  if (said.mLeaves) {
    OnDrainNotice({ aTarget, aIncarnation });
  }
  if (said.mPause) {
    if (mPlanner) {
      mPlanner->OnPause(aTarget, aIncarnation, SteadyNow() + *said.mPause);
    }
    LogPause(aTarget, *said.mPause);
  }
}

awaitable<void> ControlNode::FetchReport(RequestEngineReport aAsk)
{
  const Instant askedAt = SteadyNow();
  std::optional<EngineReport> report;
  auto acquiring = mPool.Acquire(aAsk.mAddress, kConnectTimeout);
  auto connection = co_await std::move(acquiring);
  if (connection) {
    const HttpRequest request = mDialect->MakeReportRequest(aAsk.mTarget);
    (*connection)->HoldIn(mMemory, { aAsk.mTarget.Text(), {}, {} });
    auto sending = (*connection)->Send(request, kTargetTimeout);
    const auto head = co_await std::move(sending);
    if (head) {
      NoteTarget(*head, aAsk.mTarget, aAsk.mIncarnation);
    } else {
      LogError(head.GetError());
    }
    if (head && head->mStatus == kOk) {
      auto reading = (*connection)->ReadAll(kMaxAnswerBytes, kTargetTimeout);
      const auto body = co_await std::move(reading);
      const auto read = body ? mDialect->ReadReport(*body)
                             : Result<EngineReport>(body.GetError());
      if (read) {
        report = *read;
        (*connection)->ReleaseMemory();
        mPool.Release(aAsk.mAddress, std::move(*connection));
      } else {
        LogError(read.GetError());
      }
    }
  } else {
    LogError(connection.GetError());
  }
  if (mPlanner) {
    mPlanner->OnReport(SteadyNow(), aAsk.mTarget, aAsk.mIncarnation, askedAt,
                       report);
  }
}

awaitable<void> ControlNode::SendOrder(ResidencyOrder aOrder)
{
  const std::uint64_t term = mPlannerTerm;
  ResidencyAnswer answer = ResidencyAnswer::Unknown;
  auto acquiring = mPool.Acquire(aOrder.mAddress, kConnectTimeout);
  auto connection = co_await std::move(acquiring);
  // Connecting takes time: the lease must hold when the order goes out.
  if (connection && mReplica.IsLeading() && mPlannerTerm == term) {
    const HttpRequest request =
      mDialect->MakeOrder(aOrder, mSettings.mName, FencingToken(term));
    // An order that is given up must not arrive after those of the next leader.
    const auto dropping = (*connection)->SetDropsUnsent(true);
    if (!dropping) {
      LogError(dropping.GetError());
    }
    (*connection)->HoldIn(mMemory, { aOrder.mTarget.Text(), {}, {} });
    auto sending = (*connection)->Send(request, kTargetTimeout);
    const auto head = co_await std::move(sending);
    if (head) {
      NoteTarget(*head, aOrder.mTarget, aOrder.mIncarnation);
      answer = mDialect->ReadOrderAnswer(head->mStatus);
      auto reading = (*connection)->ReadAll(kMaxAnswerBytes, kTargetTimeout);
      const auto body = co_await std::move(reading);
      if (body && (*connection)->SetDropsUnsent(false)) {
        (*connection)->ReleaseMemory();
        mPool.Release(aOrder.mAddress, std::move(*connection));
      }
    } else {
      LogError(head.GetError());
    }
  } else if (!connection) {
    LogError(connection.GetError());
  }
  if (answer == ResidencyAnswer::Accepted && !aOrder.mAdapter.IsEmpty()) {
    asio::steady_timer timer(mExecutor, kAdapterLoadTime);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (answer == ResidencyAnswer::Accepted) {
    mMetrics.Add(ControlCounter::OrdersAccepted);
  } else if (answer == ResidencyAnswer::Unknown) {
    mMetrics.Add(ControlCounter::OrdersUnanswered);
  }
  LogFields fields;
  fields.mStep = "order.answer";
  fields.mPeer = aOrder.mTarget.Text();
  fields.mOrder = aOrder.mId;
  fields.mMessage = kResidencyAnswers.Name(answer);
  Log(LogLevel::Info, fields);
  if (mPlanner && mPlannerTerm == term) {
    mPlanner->OnAnswer(SteadyNow(), aOrder.mTarget, aOrder.mId, answer);
    StepPlanner();
    mAdapterNews.Notify();
  }
}

} // namespace carobtide
