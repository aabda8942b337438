#pragma once

/**
 * @file
 * Counters and times of an edge's requests, by kind.
 */

#include "carobtide/catalog.hpp"
#include "organisation_metrics.hpp"
#include "timing_histogram.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace carobtide {

/** What a caller got. */
enum class RequestOutcome : std::uint8_t
{
  Whole,
  /** A target's own failure was passed on. */
  TargetFailed,
  /** Refused with the promise that it did not run. */
  TurnedAway,
  /** Answered with an error; it may have run. */
  Failed,
  /** Its answer had begun and was cut. */
  BrokenOff,
  CallerGone,
};

inline constexpr EnumTable<RequestOutcome, 6> kRequestOutcomes{ { {
  { RequestOutcome::Whole, "whole" },
  { RequestOutcome::TargetFailed, "target-failed" },
  { RequestOutcome::TurnedAway, "turned-away" },
  { RequestOutcome::Failed, "failed" },
  { RequestOutcome::BrokenOff, "broken-off" },
  { RequestOutcome::CallerGone, "caller-gone" },
} } };

/**
 * Thread safety: none; the owner guards it.
 */
class RequestMetrics
{
public:
  void OnFirstByte(RequestKind aKind, Duration aTook);
  void OnEnd(RequestKind aKind, RequestOutcome aOutcome, Duration aTook);

  std::uint64_t Count(RequestKind aKind, RequestOutcome aOutcome) const;

  /** The same requests by organisation. */
  OrganisationMetrics& Organisations() { return mOrganisations; }

  /** Prometheus text. */
  std::string Render() const;

private:
  struct OfKind
  {
    std::array<std::uint64_t, kRequestOutcomes.mRows.size()> mOutcomes{};
    TimingHistogram mFirstByte;
    TimingHistogram mWhole;
  };

  std::array<OfKind, kRequestKinds.mRows.size()> mKinds;
  OrganisationMetrics mOrganisations;
};

} // namespace carobtide
