#pragma once

/**
 * @file
 * The typed event of the time line.
 */

#include "carobtide/base/enum_table.hpp"
#include "carobtide/base/hybrid_clock.hpp"
#include "carobtide/base/ids.hpp"

#include <cstdint>
#include <string>

namespace carobtide {

/** The step of the system that an event records. */
enum class EventStep : std::uint8_t
{
  ProcessStarted,
  ProcessStopping,
  LeaderElected,
  LeaderLost,
  BundleSubmitted,
  BundleSignedOff,
  BundleRolled,
  BundleInForce,
  RequestAccepted,
  RequestRefused,
  AttemptDispatched,
  AttemptFailed,
  RequestFinished,
  KeyClaimed,
  KeyCompleted,
  KeyReleased,
  KeyReplayed,
  OrderCommitted,
  OrderSent,
  OrderConfirmed,
  TargetAnnounced,
  TargetLost,
  TargetLeaving,
  Quarantined,
  MemberChanged,
};

inline constexpr EnumTable<EventStep, 25> kEventSteps{ { {
  { EventStep::ProcessStarted, "process-started" },
  { EventStep::ProcessStopping, "process-stopping" },
  { EventStep::LeaderElected, "leader-elected" },
  { EventStep::LeaderLost, "leader-lost" },
  { EventStep::BundleSubmitted, "bundle-submitted" },
  { EventStep::BundleSignedOff, "bundle-signed-off" },
  { EventStep::BundleRolled, "bundle-rolled" },
  { EventStep::BundleInForce, "bundle-in-force" },
  { EventStep::RequestAccepted, "request-accepted" },
  { EventStep::RequestRefused, "request-refused" },
  { EventStep::AttemptDispatched, "attempt-dispatched" },
  { EventStep::AttemptFailed, "attempt-failed" },
  { EventStep::RequestFinished, "request-finished" },
  { EventStep::KeyClaimed, "key-claimed" },
  { EventStep::KeyCompleted, "key-completed" },
  { EventStep::KeyReleased, "key-released" },
  { EventStep::KeyReplayed, "key-replayed" },
  { EventStep::OrderCommitted, "order-committed" },
  { EventStep::OrderSent, "order-sent" },
  { EventStep::OrderConfirmed, "order-confirmed" },
  { EventStep::TargetAnnounced, "target-announced" },
  { EventStep::TargetLost, "target-lost" },
  { EventStep::TargetLeaving, "target-leaving" },
  { EventStep::Quarantined, "quarantined" },
  { EventStep::MemberChanged, "member-changed" },
} } };

/** One entry of the time line. */
struct Event
{
  HybridStamp mStamp;
  /** The process that recorded the event. */
  std::string mProcess;
  EventStep mStep = EventStep::ProcessStarted;
  /** The other process or target concerned; may be empty. */
  std::string mPeer;
  /** Zero if the event concerns no request. */
  RequestId mRequest;
  /** Zero if the event concerns no order. */
  OrderId mOrder;
  /** Free text for people. */
  std::string mDetail;
};

} // namespace carobtide
