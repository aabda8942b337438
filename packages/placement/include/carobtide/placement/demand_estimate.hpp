#pragma once

/**
 * @file
 * Estimates the slots that each model and adapter needs from the demand
 * reports of the routing daemons.
 */

#include "carobtide/fleet/messages.hpp"

#include <compare>
#include <map>

namespace carobtide {

/** Identifies a model of a service, or one of the model's adapters. */
struct ModelKey
{
  ServiceName mService;
  ModelName mModel;
  /** Empty for the model itself. */
  AdapterName mAdapter;

  auto operator<=>(const ModelKey&) const = default;
};

/**
 * Smooths the demand that routing daemons report. Estimates rise quickly, to
 * follow a peak within a second, and fall slowly, so that a short pause does
 * not cause unloads.
 *
 * Thread safety: none; the caller must synchronize access.
 */
class DemandEstimate
{
public:
  /**
   * Replaces the previous report of the same daemon. `aSlots` is the number of
   * slots of an engine: an engine that spends kSaturatingPrefillShare of its
   * time on prefill counts as fully occupied.
   *
   * This covers models with expensive prompts, whose running streams stall
   * during prefill although most slots are free.
   */
  void OnReport(Instant aNow, const DemandReport& aReport, double aSlots);

  /** Share of an engine's time above which prefill stalls running streams. */
  static constexpr double kSaturatingPrefillShare = 0.4;

  /** Moves the estimates towards the latest reports. Call every 100 ms. */
  void Step(Instant aNow);

  /** Slots needed for a model including all its adapters; 0 if unknown. */
  double SlotsNeeded(const ServiceName& aService,
                     const ModelName& aModel) const;

  /**
   * Slots needed on average over the last ten seconds or so: the value of
   * holding a model that is requested now and then.
   */
  double AverageSlotsNeeded(const ServiceName& aService,
                            const ModelName& aModel) const;

  /** Slots needed for exactly this model or adapter; 0 if unknown. */
  double SlotsNeeded(const ModelKey& aKey) const;

  /** Records the arrival of a request before the next report lists it. */
  void NoteArrival(Instant aNow, const ModelKey& aKey);

  /** True if a recent report of a routing daemon shows demand for the key. */
  bool IsInUse(Instant aNow, const ModelKey& aKey) const;

  /** Time of the last arrival; a default-constructed Instant if none. */
  Instant LastArrival(const ModelKey& aKey) const;

private:
  struct Source
  {
    Instant mReceivedAt;
    std::map<ModelKey, double> mSlots;
  };

  std::map<Endpoint, Source> mSources;
  std::map<ModelKey, double> mSlotsNeeded;
  std::map<std::pair<ServiceName, ModelName>, double> mModelSlotsNeeded;
  std::map<std::pair<ServiceName, ModelName>, double> mModelAverages;
  std::map<ModelKey, Instant> mLastArrivals;
};

} // namespace carobtide
