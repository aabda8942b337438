#pragma once

/**
 * @file
 * When a request that waits, or returns, should be served.
 */

#include "carobtide/base.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <utility>

namespace carobtide {

/**
 * Forecasts by Little's law: the work ahead of a request divided by the rate at
 * which this daemon gets to send such work. Daemons compete for the same
 * targets with similar queues, so that the own rate includes the others; no
 * message is needed. A model that is sent too rarely for a rate of its own is
 * forecast by its service.
 *
 * Load: a shortage of seconds, in which most callers are told to return.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class WaitForecast
{
public:
  /** Requests that are served first. */
  struct Ahead
  {
    std::size_t mOfModel = 0;
    std::size_t mOfService = 0;
  };

  void OnSent(Instant aNow, const ServiceName& aService,
              const ModelName& aModel);
  /** A caller was told to return. */
  void OnRefused(Instant aNow, const ServiceName& aService,
                 const ModelName& aModel);

  /** Time until a waiting request is sent; nothing if too little is known. */
  std::optional<Duration> Wait(Instant aNow, const ServiceName& aService,
                               const ModelName& aModel,
                               const Ahead& aAhead) const;

  /** The same for one that is refused, behind those refused before it. */
  std::optional<Duration> Return(Instant aNow, const ServiceName& aService,
                                 const ModelName& aModel,
                                 const Ahead& aAhead) const;

private:
  /** A count in which older events weigh less. */
  struct DecayedCount
  {
    double mSum = 0;
    Instant mAt;
    double Current(Instant aNow) const;
    void Add(Instant aNow);
  };

  struct Flow
  {
    DecayedCount mSent;
    DecayedCount mRefused;
  };

  using Key = std::pair<ServiceName, ModelName>;

  Flow& FlowOf(Instant aNow, const ServiceName& aService,
               const ModelName& aModel);
  const Flow* Find(const Key& aKey) const;
  std::optional<Duration> Forecast(Instant aNow, const Key& aKey,
                                   const Ahead& aAhead,
                                   bool aWithRefused) const;

  std::map<Key, Flow> mModels;
  std::map<ServiceName, Flow> mServices;
};

} // namespace carobtide
