#include "operator_views.hpp"

#include <boost/json/array.hpp>

#include <algorithm>
#include <charconv>

namespace carobtide {

namespace json = boost::json;

namespace {

json::object RenderResident(const ResidentModel& aResident)
{
  json::object item;
  item["model"] = aResident.mModel.Text();
  item["adapter"] = aResident.mAdapter.Text();
  item["version"] = aResident.mVersion;
  item["memory_bytes"] = aResident.mMemory;
  item["order_id"] = aResident.mOrder.Value();
  return item;
}

json::object RenderTarget(const TargetName& aName, const TargetRecord& aRecord)
{
  const Announcement& announcement = aRecord.mAnnouncement;
  json::object item;
  item["target"] = aName.Text();
  item["state"] = kTargetStates.Name(aRecord.mState);
  item["kind"] = kTargetKinds.Name(announcement.mKind);
  item["pool"] = announcement.mPool;
  item["failure_domain"] = announcement.mFailureDomain.Text();
  item["address"] = announcement.mAddress.ToString();
  item["incarnation"] = announcement.mIncarnation.Value();
  item["memory_bytes"] = announcement.mMemory;
  item["running"] = announcement.mLoad.mRunning;
  item["waiting"] = announcement.mLoad.mWaiting;
  json::array resident;
  for (const ResidentModel& model : announcement.mResident) {
    resident.push_back(RenderResident(model));
  }
  item["resident"] = std::move(resident);
  return item;
}

json::object RenderBundleRecord(const BundleRegistry& aBundles,
                                const std::string& aName,
                                std::uint64_t aVersion)
{
  json::object item;
  const BundleRecord* record = aBundles.Find(aName, aVersion);
  if (record == nullptr) {
    return item;
  }
  item["name"] = aName;
  item["version"] = aVersion;
  item["digest"] = record->mDigest.ToHex();
  item["state"] = kBundleStates.Name(record->mState);
  item["submitted_by"] = record->mSubmittedBy;
  item["signed_off_by"] = record->mSignedOffBy;
  item["epoch"] = record->mEpoch.Value();
  return item;
}

} // namespace

json::object RenderStatus(const DaemonContext& aContext)
{
  const ControlStatus status = aContext.mControl.Status();
  const RouterStats router = aContext.mRouter.Stats();
  json::object body;
  body["daemon"] = aContext.mSettings.mName.Text();
  body["failure_domain"] = aContext.mSettings.mFailureDomain.Text();
  body["version"] = Version();
  body["ready"] = aContext.mReady.load();
  body["has_replica"] = status.mHasReplica;
  body["replica"] = status.mReplica.Value();
  body["role"] = kReplicaRoles.Name(status.mRole);
  body["term"] = status.mTerm;
  body["commit_index"] = status.mCommitIndex;
  body["last_index"] = status.mLastIndex;
  body["has_lease"] = status.mHasLease;
  body["leader"] = status.mLeader.Text();
  body["epoch"] = status.mEpoch.Value();
  body["ledger_keys"] = status.mLedgerKeys;
  body["open_orders"] = status.mOpenOrders;
  body["queued"] = router.mQueued;
  body["in_flight"] = router.mInFlight;
  return body;
}

json::object RenderTargets(const DaemonContext& aContext)
{
  json::array targets;
  aContext.mControl.Read(
    [&](const ControlState&, const TargetRegistry& aTargets) {
      for (const auto& [name, record] : aTargets.All()) {
        targets.push_back(RenderTarget(name, record));
      }
    });
  json::object body;
  body["targets"] = std::move(targets);
  return body;
}

json::object RenderPlacement(const DaemonContext& aContext)
{
  json::array orders;
  aContext.mControl.Read(
    [&](const ControlState& aState, const TargetRegistry&) {
      for (const auto& [id, order] : aState.GetPlacement().OpenOrders()) {
        json::object item;
        item["order_id"] = id.Value();
        item["target"] = order.mTarget.Text();
        item["action"] = kOrderActions.Name(order.mAction);
        item["model"] = order.mModel.Text();
        item["adapter"] = order.mAdapter.Text();
        item["version"] = order.mVersion;
        item["memory_bytes"] = order.mMemory;
        orders.push_back(std::move(item));
      }
    });
  json::object body;
  body["open_orders"] = std::move(orders);
  json::array unreachable;
  const auto bundle = aContext.mControl.CurrentBundle();
  if (bundle) {
    for (const ModelSpec& model : bundle->mModels) {
      if (!aContext.mRouter.IsReachable(model.mName)) {
        unreachable.push_back(json::value(model.mName.Text()));
      }
    }
  }
  body["unreachable_models"] = std::move(unreachable);
  return body;
}

json::object RenderMembers(const DaemonContext& aContext)
{
  const ControlStatus status = aContext.mControl.Status();
  json::array members;
  for (const Member& member : status.mMembership.mMembers) {
    json::object item;
    item["replica"] = member.mReplica.Value();
    item["daemon"] = member.mDaemon.Text();
    item["failure_domain"] = member.mFailureDomain.Text();
    item["role"] = kMemberRoles.Name(member.mRole);
    members.push_back(std::move(item));
  }
  json::object body;
  body["leader"] = status.mLeader.Text();
  body["members"] = std::move(members);
  return body;
}

json::object RenderBundles(const DaemonContext& aContext)
{
  json::array bundles;
  aContext.mControl.Read([&](const ControlState& aState,
                             const TargetRegistry&) {
    for (const BundleRecord* record : aState.Bundles().All()) {
      if (record->mBundle) {
        bundles.push_back(RenderBundleRecord(
          aState.Bundles(), record->mBundle->mName, record->mBundle->mVersion));
      }
    }
  });
  json::object body;
  body["bundles"] = std::move(bundles);
  return body;
}

json::object RenderInForce(const DaemonContext& aContext)
{
  json::object body;
  aContext.mControl.Read(
    [&](const ControlState& aState, const TargetRegistry&) {
      const auto bundle = aState.Bundles().Current();
      if (!bundle) {
        return;
      }
      body =
        RenderBundleRecord(aState.Bundles(), bundle->mName, bundle->mVersion);
      body["name"] = bundle->mName;
      body["version"] = bundle->mVersion;
      body["digest"] = bundle->mDigest.ToHex();
      body["epoch"] = aState.Bundles().CurrentEpoch().Value();
      body["text"] = aState.Bundles().CurrentText();
    });
  return body;
}

json::object RenderTimeline(const DaemonContext& aContext,
                            std::int64_t aSinceMicros)
{
  json::array events;
  for (const Event& event : aContext.mEvents.Since(aSinceMicros)) {
    json::object item;
    item["wall_us"] = event.mStamp.mWallMicros;
    item["counter"] = event.mStamp.mCounter;
    item["process"] = event.mProcess;
    item["step"] = kEventSteps.Name(event.mStep);
    item["peer"] = event.mPeer;
    item["request"] = event.mRequest.Value();
    item["order"] = event.mOrder.Value();
    item["detail"] = event.mDetail;
    events.push_back(std::move(item));
  }
  json::object body;
  body["process"] = aContext.mSettings.mName.Text();
  body["events"] = std::move(events);
  return body;
}

std::vector<Gauge> CollectGauges(const DaemonContext& aContext)
{
  const ControlStatus control = aContext.mControl.Status();
  const RouterStats router = aContext.mRouter.Stats();
  const auto number = [](auto aValue) { return static_cast<double>(aValue); };
  return {
    { "ready", aContext.mReady ? 1.0 : 0.0 },
    { "is_leader", control.mRole == ReplicaRole::Leader ? 1.0 : 0.0 },
    { "term", number(control.mTerm) },
    { "commit_index", number(control.mCommitIndex) },
    { "epoch", number(control.mEpoch.Value()) },
    { "ledger_keys", number(control.mLedgerKeys) },
    { "open_orders", number(control.mOpenOrders) },
    { "queued", number(router.mQueued) },
    { "in_flight", number(router.mInFlight) },
    { "retries", number(router.mRetries) },
    { "hedges", number(router.mHedges) },
    { "quarantined", number(router.mQuarantined) },
    { "peer_bytes_sent", number(aContext.mNetwork.BytesSent()) },
    { "peer_messages_sent", number(aContext.mNetwork.MessagesSent()) },
  };
}

std::string CheckStoredFit(const DaemonContext& aContext,
                           const std::string& aName, std::uint64_t aVersion)
{
  const auto bundle = aContext.mControl.Read(
    [&](const ControlState& aState, const TargetRegistry&) {
      const BundleRecord* record = aState.Bundles().Find(aName, aVersion);
      return record == nullptr ? nullptr : record->mBundle;
    });
  if (!bundle) {
    return {};
  }
  const auto shortfall = aContext.mControl.CheckFit(*bundle);
  if (!shortfall) {
    return {};
  }
  return "model " + shortfall->mModel.Text() + " is short of " +
         std::to_string(shortfall->mMissingMemory) + " bytes";
}

Result<Unit> ApplyMemberChange(DaemonContext& aContext,
                               const JsonFields& aFields)
{
  const std::string action = aFields.RequiredText("action");
  const std::string daemon = aFields.TextOr("daemon", "");
  const std::string text = aFields.RequiredText("replica");
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  if (std::from_chars(text.data(), end, number).ptr != end || number == 0) {
    aFields.AddFault("replica: expected a positive number as text");
    return Success();
  }
  const ReplicaId replica(number);
  Membership membership = aContext.mControl.Status().mMembership;
  auto& members = membership.mMembers;
  const auto it = std::ranges::find(members, replica, &Member::mReplica);
  if (action == "add" && it == members.end()) {
    Member member;
    member.mReplica = replica;
    member.mDaemon = DaemonName(daemon);
    member.mFailureDomain = FailureDomain(aFields.TextOr("failure_domain", ""));
    members.push_back(member);
  } else if (action == "promote" && it != members.end()) {
    it->mRole = MemberRole::Voter;
  } else if (action == "remove" && it != members.end()) {
    members.erase(it);
  } else {
    return MakeError(ErrorCode::NotFound, "member.change", daemon, action);
  }
  return aContext.mControl.ChangeMembers(membership);
}

} // namespace carobtide
