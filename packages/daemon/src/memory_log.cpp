#include "memory_log.hpp"

#include "carobtide/daemon/logging.hpp"
#include "clock.hpp"

#include <array>
#include <atomic>

namespace carobtide {

namespace {

/** At most one line in this time. */
constexpr Duration kLineInterval = std::chrono::milliseconds(100);

/** Writes decisions of the account, some of them. Thread safety: any thread. */
class DecisionLog
{
public:
  void Write(const HoldDecision& aDecision)
  {
    const Instant::rep now = SteadyNow().time_since_epoch().count();
    Instant::rep next = mNextAt;
    if (now < next ||
        !mNextAt.compare_exchange_strong(next, now + kLineInterval.count())) {
      ++mLeftOut;
      return;
    }
    const std::array inputs{
      LogInput{ "kind", kHoldKinds.Name(aDecision.mKind) },
      LogInput{ "bytes", std::int64_t{ aDecision.mBytes } },
      LogInput{ "held_bytes", std::int64_t{ aDecision.mHeld } },
      LogInput{ "giver", std::string_view(aDecision.mParties.mGiver) },
      LogInput{ "receiver", std::string_view(aDecision.mParties.mReceiver) },
      LogInput{ "service", std::string_view(aDecision.mParties.mService) },
      LogInput{ "waited_us", std::int64_t{ aDecision.mWaited.count() } },
      LogInput{ "left_out", static_cast<std::int64_t>(mLeftOut.exchange(0)) },
    };
    const std::string step =
      "memory." + std::string(kHoldOutcomes.Name(aDecision.mOutcome));
    LogFields fields;
    fields.mStep = step;
    fields.mInputs = inputs;
    Log(aDecision.mOutcome == HoldOutcome::Refused ? LogLevel::Warning
                                                   : LogLevel::Info,
        fields);
  }

private:
  std::atomic<Instant::rep> mNextAt{ 0 };
  std::atomic<std::uint64_t> mLeftOut{ 0 };
};

} // namespace

std::shared_ptr<MemoryRoom> MakeMemoryRoom()
{
  const auto log = std::make_shared<DecisionLog>();
  return std::make_shared<MemoryRoom>(
    HoldAccountOptions{},
    [log](const HoldDecision& aDecision) { log->Write(aDecision); });
}

std::vector<Gauge> MemoryGauges(const MemoryRoom& aRoom)
{
  const HoldStats request = aRoom.Stats(HoldKind::Request);
  const HoldStats head = aRoom.Stats(HoldKind::Head);
  const HoldStats answer = aRoom.Stats(HoldKind::Answer);
  const HoldStats event = aRoom.Stats(HoldKind::Event);
  return {
    { "memory_request_bytes", static_cast<double>(request.mHeld) },
    { "memory_request_peak_bytes", static_cast<double>(request.mPeak) },
    { "memory_requests_refused", static_cast<double>(request.mRefused) },
    { "memory_head_bytes", static_cast<double>(head.mHeld) },
    { "memory_answer_bytes", static_cast<double>(answer.mHeld) },
    { "memory_answer_peak_bytes", static_cast<double>(answer.mPeak) },
    { "memory_answers_waiting", static_cast<double>(answer.mWaiting) },
    { "memory_answers_delayed", static_cast<double>(answer.mDelayed) },
    { "memory_event_bytes", static_cast<double>(event.mHeld) },
    { "memory_events_delayed", static_cast<double>(event.mDelayed) },
  };
}

} // namespace carobtide
