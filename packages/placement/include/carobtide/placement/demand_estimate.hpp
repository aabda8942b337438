#pragma once

/**
 * @file
 * How many slots each model and adapter needs, from routing daemons' reports.
 */

#include "carobtide/fleet/messages.hpp"

#include <compare>
#include <map>

namespace carobtide {

/** A model, or an adapter of it, of one service. */
struct ModelKey
{
  ServiceName mService;
  ModelName mModel;
  /** Empty for the model itself. */
  AdapterName mAdapter;

  auto operator<=>(const ModelKey&) const = default;
};

/**
 * Smooths the demand that routing daemons report: quickly up, slowly down, so
 * that a crest is followed within a second and a pause empties nothing.
 *
 * Thread safety: none; the owner guards it.
 */
class DemandEstimate
{
public:
  /**
   * Takes a report; it replaces the daemon's report before. `aSlots` is what
   * an engine has: one that reads prompts for kReadingShare of its time counts
   * as if all were taken.
   *
   * Answers: models whose prompts take long to read are asked for, and their
   * streams pause while most slots are free.
   */
  void OnReport(Instant aNow, const DemandReport& aReport, double aSlots);

  /** From this share on, the prompts that come hold up the streams that run. */
  static constexpr double kReadingShare = 0.4;

  /** Moves the estimates towards the newest reports. Call every 100 ms. */
  void Step(Instant aNow);

  /** Slots needed for a model with all its adapters. */
  double NeedOf(const ServiceName& aService, const ModelName& aModel) const;

  /** Slots needed for one adapter. */
  double NeedOf(const ModelKey& aKey) const;

  /** A request for it arrived, told of before the daemon's next report. */
  void NoteArrival(Instant aNow, const ModelKey& aKey);

  /** True if routing daemons lately reported requests for it in flight. */
  bool IsInUse(Instant aNow, const ModelKey& aKey) const;

  /** When a request for it arrived last; the epoch's start if never. */
  Instant LastArrival(const ModelKey& aKey) const;

private:
  struct Source
  {
    Instant mHeardAt;
    std::map<ModelKey, double> mSlots;
  };

  std::map<Endpoint, Source> mSources;
  std::map<ModelKey, double> mNeed;
  std::map<std::pair<ServiceName, ModelName>, double> mModelNeed;
  std::map<ModelKey, Instant> mArrivedAt;
};

} // namespace carobtide
