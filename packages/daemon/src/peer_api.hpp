#pragma once

/**
 * @file
 * Calls and messages from other daemons, and those to all of them.
 */

#include "context.hpp"

#include <string>

namespace carobtide {

/** Sends a one-way frame to every other daemon. Thread safety: any thread. */
void Broadcast(DaemonContext& aContext, PeerMessageType aType,
               const std::string& aPayload);

/** Sends a one-way frame to the daemons with a disk. Thread safety: any. */
void SendToDisks(DaemonContext& aContext, PeerMessageType aType,
                 const std::string& aPayload);

/** Sends a one-way frame to one daemon by name. Thread safety: any thread. */
void SendTo(DaemonContext& aContext, const DaemonName& aDaemon,
            PeerMessageType aType, const std::string& aPayload);

/** Sends a datagram to one daemon by name. Thread safety: any thread. */
void SendDatagramTo(DaemonContext& aContext, const DaemonName& aDaemon,
                    PeerMessageType aType, const std::string& aPayload);

/**
 * Takes an announcement from a target (`aIsSource`) or a peer into registry
 * and router, and passes it on. Thread safety: any thread.
 */
void TakeTargetAnnouncement(DaemonContext& aContext,
                            const Announcement& aAnnouncement, bool aIsSource);

/**
 * Answers the other daemons.
 *
 * Thread safety: any worker, concurrently.
 */
class PeerApi
{
public:
  explicit PeerApi(DaemonContext& aContext);

  /** Answers a call; an unknown type gets an empty reply. */
  boost::asio::awaitable<std::string> HandleCall(std::uint16_t aType,
                                                 std::string aPayload,
                                                 std::string aPeer);

  /** Takes a message; an unknown type is ignored. */
  void HandleMessage(std::uint16_t aType, const std::string& aPayload,
                     const std::string& aPeer);

private:
  void OnEpochNotice(const EpochNotice& aNotice);

  DaemonContext& mContext;
};

/** Asks a peer for the bundle in force and adopts it if it is newer. */
boost::asio::awaitable<bool> FetchBundleFrom(DaemonContext& aContext,
                                             Endpoint aPeer);

} // namespace carobtide
