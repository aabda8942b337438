#include "carobtide/routing/wait_forecast.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace carobtide {

namespace {

/** Time in which the weight of an event falls by a factor of e, in seconds. */
constexpr double kDecaySeconds = 2.0;
/** Sends below which no rate is derived from them. */
constexpr double kMinSends = 8;
/** Models whose flows are kept; those without recent events go first. */
constexpr std::size_t kMaxModels = 2048;
constexpr double kNegligible = 0.01;
constexpr double kMaxForecastSeconds = 600;

} // namespace

double WaitForecast::DecayedCount::Current(Instant aNow) const
{
  const double age = std::chrono::duration<double>(aNow - mAt).count();
  return mSum * std::exp(-std::max(age, 0.0) / kDecaySeconds);
}

void WaitForecast::DecayedCount::Add(Instant aNow)
{
  mSum = Current(aNow) + 1;
  mAt = aNow;
}

WaitForecast::Flow& WaitForecast::FlowOf(Instant aNow,
                                         const ServiceName& aService,
                                         const ModelName& aModel)
{
  if (mModels.size() >= kMaxModels) {
    std::erase_if(mModels, [&](const auto& aItem) {
      const Flow& flow = aItem.second;
      return flow.mSent.Current(aNow) + flow.mRefused.Current(aNow) <
             kNegligible;
    });
  }
  return mModels[{ aService, aModel }];
}

void WaitForecast::OnSent(Instant aNow, const ServiceName& aService,
                          const ModelName& aModel)
{
  FlowOf(aNow, aService, aModel).mSent.Add(aNow);
  mServices[aService].mSent.Add(aNow);
}

void WaitForecast::OnRefused(Instant aNow, const ServiceName& aService,
                             const ModelName& aModel)
{
  FlowOf(aNow, aService, aModel).mRefused.Add(aNow);
  mServices[aService].mRefused.Add(aNow);
}

const WaitForecast::Flow* WaitForecast::Find(const Key& aKey) const
{
  const auto it = mModels.find(aKey);
  return it == mModels.end() ? nullptr : &it->second;
}

std::optional<Duration> WaitForecast::Forecast(Instant aNow, const Key& aKey,
                                               const Ahead& aAhead,
                                               bool aWithRefused) const
{
  const Flow* flow = Find(aKey);
  std::size_t ahead = aAhead.mOfModel;
  if (flow == nullptr || flow->mSent.Current(aNow) < kMinSends) {
    const auto service = mServices.find(aKey.first);
    if (service == mServices.end() ||
        service->second.mSent.Current(aNow) < kMinSends) {
      return std::nullopt;
    }
    flow = &service->second;
    ahead = aAhead.mOfService;
  }
  const double perSecond = flow->mSent.Current(aNow) / kDecaySeconds;
  const double refused = aWithRefused ? flow->mRefused.Current(aNow) : 0;
  const double seconds = (static_cast<double>(ahead) + refused + 1) / perSecond;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(seconds, kMaxForecastSeconds)));
}

std::optional<Duration> WaitForecast::Wait(Instant aNow,
                                           const ServiceName& aService,
                                           const ModelName& aModel,
                                           const Ahead& aAhead) const
{
  return Forecast(aNow, { aService, aModel }, aAhead, false);
}

std::optional<Duration> WaitForecast::Return(Instant aNow,
                                             const ServiceName& aService,
                                             const ModelName& aModel,
                                             const Ahead& aAhead) const
{
  return Forecast(aNow, { aService, aModel }, aAhead, true);
}

} // namespace carobtide
