#pragma once

/**
 * @file
 * Counters and times of a control daemon.
 */

#include "carobtide/base.hpp"
#include "timing_histogram.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace carobtide {

/** What a control daemon counts. */
enum class ControlCounter : std::uint8_t
{
  LeadershipsGained,
  LeadershipsLost,
  CatalogsAcknowledged,
  CatalogsRefused,
  HeartbeatsTaken,
  TargetsSilent,
  OrdersSent,
  OrdersAccepted,
  OrdersUnanswered,
  CrashReportsTaken,
  /** Engines that the planner did not count as the directory does. */
  TargetsReconciled,
};

inline constexpr EnumTable<ControlCounter, 11> kControlCounters{ { {
  { ControlCounter::LeadershipsGained, "leaderships_gained" },
  { ControlCounter::LeadershipsLost, "leaderships_lost" },
  { ControlCounter::CatalogsAcknowledged, "catalogs_acknowledged" },
  { ControlCounter::CatalogsRefused, "catalogs_refused" },
  { ControlCounter::HeartbeatsTaken, "heartbeats_taken" },
  { ControlCounter::TargetsSilent, "targets_silent" },
  { ControlCounter::OrdersSent, "orders_sent" },
  { ControlCounter::OrdersAccepted, "orders_accepted" },
  { ControlCounter::OrdersUnanswered, "orders_unanswered" },
  { ControlCounter::CrashReportsTaken, "crash_reports_taken" },
  { ControlCounter::TargetsReconciled, "targets_reconciled" },
} } };

/**
 * Thread safety: none; the owner guards it.
 */
class ControlMetrics
{
public:
  void Add(ControlCounter aCounter, std::uint64_t aCount = 1)
  {
    mCounts[static_cast<std::size_t>(aCounter)] += aCount;
  }

  /** From a command's arrival at the leader until it is applied. */
  void OnCommit(Duration aTook) { mCommits.Record(aTook); }

  /** Prometheus text. */
  std::string Render() const;

private:
  std::array<std::uint64_t, kControlCounters.mRows.size()> mCounts{};
  TimingHistogram mCommits;
};

} // namespace carobtide
