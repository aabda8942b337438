#include "carobtide/routing/router.hpp"

#include "router_impl.hpp"

namespace carobtide {

Router::Router(RouterOptions aOptions)
  : mImpl(std::make_unique<Impl>(std::move(aOptions)))
{
}

Router::~Router() = default;

void Router::SetBundle(std::shared_ptr<const Bundle> aBundle)
{
  mImpl->SetBundle(std::move(aBundle));
}

RouterEffects Router::OnAnnouncement(Instant aNow, const Announcement& aTarget)
{
  return mImpl->OnAnnouncement(aNow, aTarget);
}

RouterEffects Router::OnTargetSilent(Instant aNow, const TargetName& aTarget)
{
  return mImpl->OnTargetSilent(aNow, aTarget);
}

RouterEffects Router::Admit(Instant aNow, const RequestFacts& aFacts)
{
  return mImpl->Admit(aNow, aFacts);
}

RouterEffects Router::OnFirstByte(Instant aNow, AttemptId aAttempt)
{
  return mImpl->OnFirstByte(aNow, aAttempt);
}

void Router::OnTokens(Instant aNow, AttemptId aAttempt, std::uint32_t aTokens)
{
  mImpl->OnTokens(aNow, aAttempt, aTokens);
}

RouterEffects Router::OnFinished(Instant aNow, AttemptId aAttempt,
                                 AttemptEnd aEnd, bool aDelivered)
{
  return mImpl->OnFinished(aNow, aAttempt, aEnd, aDelivered);
}

RouterEffects Router::OnCallerGone(Instant aNow, RequestId aRequest)
{
  return mImpl->OnCallerGone(aNow, aRequest);
}

void Router::OnPeerHints(Instant aNow, const DaemonName& aPeer,
                         const std::vector<InFlightHint>& aHints)
{
  mImpl->OnPeerHints(aNow, aPeer, aHints);
}

std::vector<InFlightHint> Router::Hints() const
{
  return mImpl->Hints();
}

void Router::OnCacheEvent(Instant aNow, const CacheEvent& aEvent)
{
  mImpl->OnCacheEvent(aNow, aEvent);
}

RouterEffects Router::OnCrashReport(Instant aNow, const CrashReport& aReport)
{
  return mImpl->OnCrashReport(aNow, aReport);
}

RouterEffects Router::OnQuarantine(Instant aNow, const Digest& aFingerprint)
{
  return mImpl->OnQuarantine(aNow, aFingerprint);
}

RouterEffects Router::Tick(Instant aNow)
{
  return mImpl->Tick(aNow);
}

DemandTable Router::Demand(Instant aNow) const
{
  return mImpl->Demand(aNow);
}

bool Router::IsReachable(const ModelName& aModel) const
{
  return mImpl->IsReachable(aModel);
}

RouterStats Router::Stats() const
{
  return mImpl->Stats();
}

} // namespace carobtide
