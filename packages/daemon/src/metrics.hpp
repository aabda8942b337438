#pragma once

/**
 * @file
 * Counters and histograms of one daemon, rendered as Prometheus text.
 */

#include "carobtide/base.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace carobtide {

/** What is counted. */
enum class Counter : std::uint8_t
{
  RequestsAccepted,
  RequestsRefused,
  RequestsWhole,
  RequestsFailed,
  AttemptsDispatched,
  AttemptsFailed,
  KeysClaimed,
  KeysReplayed,
  OrdersSent,
  AnnouncementsTaken,
  CommandsCommitted,
};

inline constexpr EnumTable<Counter, 11> kCounters{ { {
  { Counter::RequestsAccepted, "requests_accepted" },
  { Counter::RequestsRefused, "requests_refused" },
  { Counter::RequestsWhole, "requests_whole" },
  { Counter::RequestsFailed, "requests_failed" },
  { Counter::AttemptsDispatched, "attempts_dispatched" },
  { Counter::AttemptsFailed, "attempts_failed" },
  { Counter::KeysClaimed, "keys_claimed" },
  { Counter::KeysReplayed, "keys_replayed" },
  { Counter::OrdersSent, "orders_sent" },
  { Counter::AnnouncementsTaken, "announcements_taken" },
  { Counter::CommandsCommitted, "commands_committed" },
} } };

/** Which durations are recorded. */
enum class Timing : std::uint8_t
{
  FirstByte,
  Whole,
  Commit,
};

inline constexpr EnumTable<Timing, 3> kTimings{ { {
  { Timing::FirstByte, "first_byte_seconds" },
  { Timing::Whole, "whole_seconds" },
  { Timing::Commit, "commit_seconds" },
} } };

/** A value read at rendering time, e.g. a queue's length. */
struct Gauge
{
  std::string_view mName;
  double mValue = 0.0;
};

/** Label values escape backslash, quote and line feed. */
std::string EscapeLabel(std::string_view aText);

/** Gauges in Prometheus' text format. */
std::string RenderGauges(const std::vector<Gauge>& aGauges);

/**
 * Thread safety: all methods from any thread; Add and Record take no lock.
 */
class Metrics
{
public:
  Metrics();
  ~Metrics();

  void Add(Counter aCounter, std::uint64_t aCount = 1);
  void Record(Timing aTiming, Duration aDuration);

  /** Renders everything, gauges included, in Prometheus' text format. */
  std::string Render(const std::vector<Gauge>& aGauges) const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace carobtide
