#pragma once

/**
 * @file
 * What a run of the load tool measured, and its rendering.
 */

#include "carobtide/cli/latency_histogram.hpp"
#include "carobtide/cli/load_scenario.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace carobtide {

/** How a request ended, as its caller sees it. */
enum class LoadOutcome : std::uint8_t
{
  /** The whole expected answer. */
  Whole,
  /** An answer that broke off visibly. */
  Cut,
  /** Another answer than the expected one, taken for whole. */
  Wrong,
  /** Refused, stated as not run. */
  NotRun,
  /** Failed, stated as of unknown outcome. */
  Unknown,
  /** Failed otherwise. */
  Failed,
  /** No daemon took the connection. */
  Unreachable,
  TimedOut,
};

inline constexpr std::size_t kLoadOutcomeCount = 8;

inline constexpr EnumTable<LoadOutcome, kLoadOutcomeCount> kLoadOutcomes{ { {
  { LoadOutcome::Whole, "whole" },
  { LoadOutcome::Cut, "cut" },
  { LoadOutcome::Wrong, "wrong" },
  { LoadOutcome::NotRun, "not_run" },
  { LoadOutcome::Unknown, "unknown" },
  { LoadOutcome::Failed, "failed" },
  { LoadOutcome::Unreachable, "unreachable" },
  { LoadOutcome::TimedOut, "timed_out" },
} } };

/** One finished request. */
struct LoadRecord
{
  std::size_t mPhase = 0;
  std::size_t mClass = 0;
  /** Intended start, after the start of the run. */
  Duration mAt{ 0 };
  LoadOutcome mOutcome = LoadOutcome::Failed;
  /** From the intended start; of whole answers only. */
  Duration mFirstByte{ 0 };
  Duration mTotal{ 0 };
  std::uint64_t mEvents = 0;
  std::uint32_t mResends = 0;
  /** Tries that were answered 401, 429 or 503. */
  std::uint32_t mRefusals = 0;
  std::size_t mOrganisation = 0;
  /** HTTP status of the last answer; 0 if there was none. */
  std::uint16_t mStatus = 0;
};

/** Counts and latencies of like requests. */
struct LoadCell
{
  std::array<std::uint64_t, kLoadOutcomeCount> mOutcomes{};
  std::uint64_t mAttained = 0;
  std::uint64_t mEvents = 0;
  std::uint64_t mResends = 0;
  /** Requests of which two or more tries were refused. */
  std::uint64_t mRefusedTwice = 0;
  std::map<std::uint16_t, std::uint64_t> mStatuses;
  LatencyHistogram mFirstByte;
  LatencyHistogram mTotal;

  std::uint64_t Offered() const;
  std::uint64_t Count(LoadOutcome aOutcome) const;
  void Add(const LoadRecord& aRecord, const LoadClass& aClass);
  void Merge(const LoadCell& aOther);
};

/** Statuses of refusals: key, allowance, no capacity. */
inline constexpr std::array<std::uint16_t, 3> kRefusalStatuses{ 401, 429, 503 };

/**
 * Cells by phase and class, and by second and class.
 *
 * Thread safety: none.
 */
class LoadStats
{
public:
  /** The scenario must outlive the stats. */
  explicit LoadStats(const LoadScenario& aScenario);

  void Add(const LoadRecord& aRecord);
  void Merge(const LoadStats& aOther);

  /** (phase, class) to its cell. */
  const std::map<std::pair<std::size_t, std::size_t>, LoadCell>& Cells() const
  {
    return mCells;
  }
  /** (second, class) to its cell. */
  const std::map<std::pair<std::int64_t, std::size_t>, LoadCell>& Seconds()
    const
  {
    return mSeconds;
  }

  /** Which cells of the measured phases a sum takes in. */
  enum class Part
  {
    All,
    ShortWork,
    /** Short work in phases that are a crest. */
    ShortAtCrest,
    LongWork,
  };

  /** Organisation to its cell over the measured phases; empty without any. */
  const std::map<std::size_t, LoadCell>& Organisations() const
  {
    return mOrganisations;
  }

  /** Sum over the measured phases. */
  LoadCell Total(Part aPart = Part::All) const;

  /** Length of the measured phases. */
  Duration MeasuredTime() const;

  /** The result file. */
  std::string RenderJson() const;

  /**
   * Tables for people: one row per phase and class, and one per organisation
   * over the measured phases.
   */
  std::string RenderText() const;

  /** A plot of latency and outcomes over time. */
  std::string RenderSvg() const;

private:
  const LoadScenario* mScenario;
  std::map<std::pair<std::size_t, std::size_t>, LoadCell> mCells;
  std::map<std::pair<std::int64_t, std::size_t>, LoadCell> mSeconds;
  /** By organisation, measured phases only. */
  std::map<std::size_t, LoadCell> mOrganisations;
};

} // namespace carobtide
