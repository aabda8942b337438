#pragma once

/**
 * @file
 * The ring of typed events that the time line is made of.
 */

#include "carobtide/base.hpp"

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace carobtide {

/** What an event is about; empty and zero fields are left out. */
struct EventFacts
{
  EventStep mStep = EventStep::ProcessStarted;
  std::string mPeer;
  RequestId mRequest;
  OrderId mOrder;
  std::string mDetail;
};

/**
 * A bounded ring of events with hybrid logical stamps.
 *
 * Thread safety: all methods from any thread. Its mutex is the last in the
 * daemon's lock order: nothing else is locked while it is held.
 */
class EventLog
{
public:
  EventLog(std::string aProcess, std::size_t aCapacity);

  /** Stamps and keeps an event; the oldest one is dropped when full. */
  void Record(EventFacts aFacts);

  /** Advances the clock past a stamp received from a peer. */
  void Observe(HybridStamp aRemote);

  /** A stamp to send along with a message. */
  HybridStamp Stamp();

  /** Events at or after a wall time, oldest first. */
  std::vector<Event> Since(std::int64_t aWallMicros) const;

private:
  const std::string mProcess;
  const std::size_t mCapacity;
  /** Guards mClock and mEvents. */
  mutable std::mutex mMutex;
  HybridClock mClock;
  std::deque<Event> mEvents;
};

} // namespace carobtide
