#include "event_log.hpp"

#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"

#include <algorithm>
#include <iterator>

namespace carobtide {

namespace {

/** Steps that every request takes are logged for debugging only. */
LogLevel LevelOf(EventStep aStep)
{
  switch (aStep) {
    case EventStep::RequestAccepted:
    case EventStep::RequestRefused:
    case EventStep::RequestFinished:
    case EventStep::AttemptDispatched:
    case EventStep::AttemptFailed:
    case EventStep::KeyClaimed:
    case EventStep::KeyCompleted:
    case EventStep::KeyReleased:
    case EventStep::KeyReplayed:
      return LogLevel::Debug;
    default:
      return LogLevel::Info;
  }
}

} // namespace

EventLog::EventLog(std::string aProcess, std::size_t aCapacity)
  : mProcess(std::move(aProcess))
  , mCapacity(aCapacity)
{
}

void EventLog::Record(EventFacts aFacts)
{
  const LogLevel level = LevelOf(aFacts.mStep);
  if (IsLogged(level)) {
    LogFields fields;
    fields.mStep = kEventSteps.Name(aFacts.mStep);
    fields.mPeer = aFacts.mPeer;
    fields.mRequest = aFacts.mRequest;
    fields.mOrder = aFacts.mOrder;
    fields.mMessage = aFacts.mDetail;
    Log(level, fields);
  }
  const std::lock_guard lock(mMutex);
  Event event;
  event.mStamp = mClock.Now(WallMicros());
  event.mProcess = mProcess;
  event.mStep = aFacts.mStep;
  event.mPeer = std::move(aFacts.mPeer);
  event.mRequest = aFacts.mRequest;
  event.mOrder = aFacts.mOrder;
  event.mDetail = std::move(aFacts.mDetail);
  if (mEvents.size() >= mCapacity) {
    mEvents.pop_front();
  }
  mEvents.push_back(std::move(event));
}

void EventLog::Observe(HybridStamp aRemote)
{
  const std::lock_guard lock(mMutex);
  mClock.Observe(aRemote, WallMicros());
}

HybridStamp EventLog::Stamp()
{
  const std::lock_guard lock(mMutex);
  return mClock.Now(WallMicros());
}

std::vector<Event> EventLog::Since(std::int64_t aWallMicros) const
{
  const std::lock_guard lock(mMutex);
  const auto first =
    std::ranges::lower_bound(mEvents, aWallMicros, {}, [](const Event& aEvent) {
      return aEvent.mStamp.mWallMicros;
    });
  return { first, mEvents.end() };
}

} // namespace carobtide
