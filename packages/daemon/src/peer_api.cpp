#include "peer_api.hpp"

#include "carobtide/base/codec.hpp"
#include "carobtide/daemon/logging.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace carobtide {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr Duration kFetchTimeout = std::chrono::seconds(2);

std::uint16_t ToWire(PeerMessageType aType)
{
  return static_cast<std::uint16_t>(aType);
}

/** Decodes a message and hands it on, or logs why it could not. */
template<class T, class Function>
void Take(const std::string& aPayload, const std::string& aPeer,
          Function aFunction)
{
  const auto message = Decode<T>(aPayload, aPeer);
  if (message) {
    aFunction(*message);
  } else {
    LogError(message.GetError());
  }
}

const PeerSettings* FindPeer(const DaemonContext& aContext,
                             const DaemonName& aDaemon)
{
  const auto& peers = aContext.mSettings.mPeers;
  const auto it = std::ranges::find(peers, aDaemon, &PeerSettings::mName);
  return it == peers.end() ? nullptr : &*it;
}

void RecordChange(DaemonContext& aContext, const Announcement& aAnnouncement)
{
  EventFacts facts;
  facts.mStep = aAnnouncement.mLeaving ? EventStep::TargetLeaving
                                       : EventStep::TargetAnnounced;
  facts.mPeer = aAnnouncement.mTarget.Text();
  facts.mDetail = std::to_string(aAnnouncement.mResident.size()) +
                  " resident, incarnation " +
                  std::to_string(aAnnouncement.mIncarnation.Value());
  aContext.mEvents.Record(std::move(facts));
}

} // namespace

void Broadcast(DaemonContext& aContext, PeerMessageType aType,
               const std::string& aPayload)
{
  for (const PeerSettings& peer : aContext.mSettings.mPeers) {
    aContext.mNetwork.Send(peer.mAddress, ToWire(aType), aPayload);
  }
}

void SendToDisks(DaemonContext& aContext, PeerMessageType aType,
                 const std::string& aPayload)
{
  for (const PeerSettings& peer : aContext.mSettings.mPeers) {
    if (peer.mHasDisk) {
      aContext.mNetwork.Send(peer.mAddress, ToWire(aType), aPayload);
    }
  }
}

void SendTo(DaemonContext& aContext, const DaemonName& aDaemon,
            PeerMessageType aType, const std::string& aPayload)
{
  const PeerSettings* peer = FindPeer(aContext, aDaemon);
  if (peer != nullptr) {
    aContext.mNetwork.Send(peer->mAddress, ToWire(aType), aPayload);
  }
}

void SendDatagramTo(DaemonContext& aContext, const DaemonName& aDaemon,
                    PeerMessageType aType, const std::string& aPayload)
{
  const PeerSettings* peer = FindPeer(aContext, aDaemon);
  if (peer != nullptr) {
    aContext.mNetwork.SendDatagram(peer->mAddress, ToWire(aType), aPayload);
  }
}

void TakeTargetAnnouncement(DaemonContext& aContext,
                            const Announcement& aAnnouncement, bool aIsSource)
{
  const TargetChange change = aContext.mControl.OnAnnouncement(aAnnouncement);
  if (change == TargetChange::Ignored || change == TargetChange::NameConflict) {
    return;
  }
  aContext.mRouter.OnAnnouncement(aAnnouncement);
  if (change == TargetChange::Changed) {
    RecordChange(aContext, aAnnouncement);
  }
  const auto names = aContext.mGossip.Receivers(aAnnouncement, aIsSource);
  if (names.empty()) {
    return;
  }
  const std::string payload = Encode(aAnnouncement);
  for (const DaemonName& name : names) {
    SendTo(aContext, name, PeerMessageType::AnnouncementGossip, payload);
  }
}

PeerApi::PeerApi(DaemonContext& aContext)
  : mContext(aContext)
{
}

awaitable<std::string> PeerApi::HandleCall(std::uint16_t aType,
                                           std::string aPayload,
                                           std::string aPeer)
{
  std::string reply;
  switch (static_cast<PeerMessageType>(aType)) {
    case PeerMessageType::Execute: {
      auto executing = mContext.mControl.ExecuteForwarded(std::move(aPayload));
      const ControlReply outcome = co_await std::move(executing);
      reply = Encode(outcome);
      break;
    }
    case PeerMessageType::Bootstrap:
      reply = Encode(mContext.mControl.GetBootstrapStatus());
      break;
    case PeerMessageType::FetchBundle:
      Take<BundleQuery>(aPayload, aPeer, [&](const BundleQuery& aQuery) {
        reply = Encode(mContext.mControl.GetBundle(aQuery.mKnown));
      });
      break;
    default:
      break;
  }
  co_return reply;
}

void PeerApi::HandleMessage(std::uint16_t aType, const std::string& aPayload,
                            const std::string& aPeer)
{
  switch (static_cast<PeerMessageType>(aType)) {
    case PeerMessageType::Consensus:
      mContext.mControl.OnConsensus(aPayload, aPeer);
      break;
    case PeerMessageType::EpochNotice:
      Take<EpochNotice>(aPayload, aPeer, [this](const EpochNotice& aNotice) {
        OnEpochNotice(aNotice);
      });
      break;
    case PeerMessageType::AnnouncementGossip:
      Take<Announcement>(aPayload, aPeer, [this](const Announcement& aItem) {
        TakeTargetAnnouncement(mContext, aItem, false);
      });
      break;
    case PeerMessageType::CacheEvents:
      Take<std::vector<CacheEvent>>(
        aPayload, aPeer, [this](const std::vector<CacheEvent>& aEvents) {
          mContext.mRouter.OnCacheEvents(aEvents);
        });
      break;
    case PeerMessageType::Hints:
      Take<HintsMessage>(aPayload, aPeer, [this](const HintsMessage& aHints) {
        mContext.mRouter.OnPeerHints(aHints.mFrom, aHints.mHints);
      });
      break;
    case PeerMessageType::Quarantine:
      Take<Digest>(aPayload, aPeer, [this](const Digest& aFingerprint) {
        mContext.mRouter.OnQuarantine(aFingerprint);
      });
      break;
    case PeerMessageType::Strike:
      Take<CrashReport>(aPayload, aPeer, [this](const CrashReport& aStrike) {
        mContext.mRouter.OnCrashReport(aStrike);
      });
      break;
    case PeerMessageType::Heartbeat:
      Take<HeartbeatMessage>(aPayload, aPeer,
                             [this](const HeartbeatMessage& aMessage) {
                               mContext.mControl.OnHeartbeat(aMessage);
                             });
      break;
    default:
      break;
  }
}

void PeerApi::OnEpochNotice(const EpochNotice& aNotice)
{
  mContext.mControl.OnLeaderHint(aNotice.mLeader);
  const Epoch own = mContext.mControl.CurrentEpoch();
  if (aNotice.mEpoch < own) {
    EpochNotice answer;
    answer.mFrom = mContext.mSettings.mName;
    answer.mEpoch = own;
    answer.mLeader = mContext.mControl.Status().mLeader;
    SendDatagramTo(mContext, aNotice.mFrom, PeerMessageType::EpochNotice,
                   Encode(answer));
  }
  if (aNotice.mEpoch <= own) {
    return;
  }
  const PeerSettings* peer = FindPeer(mContext, aNotice.mFrom);
  if (peer == nullptr) {
    return;
  }
  asio::co_spawn(mContext.mWorkers.Next(),
                 FetchBundleFrom(mContext, peer->mAddress),
                 [](const std::exception_ptr&, bool) {});
}

awaitable<bool> FetchBundleFrom(DaemonContext& aContext, Endpoint aPeer)
{
  BundleQuery query;
  query.mKnown = aContext.mControl.CurrentEpoch();
  const std::string payload = Encode(query);
  auto calling = aContext.mNetwork.Call(
    aPeer, ToWire(PeerMessageType::FetchBundle), payload, kFetchTimeout);
  const auto reply = co_await std::move(calling);
  if (!reply) {
    co_return false;
  }
  const auto bundle = Decode<BundleInForce>(*reply);
  if (bundle) {
    aContext.mControl.AdoptBundle(*bundle);
  }
  co_return bundle.HasValue();
}

} // namespace carobtide
