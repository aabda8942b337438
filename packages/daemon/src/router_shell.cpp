#include "router_shell.hpp"

#include "clock.hpp"

#include <algorithm>
#include <type_traits>

namespace carobtide {

RouterShell::RouterShell(RouterOptions aOptions, StrikeHandler aOnStrike,
                         QuarantineHandler aOnQuarantine)
  : mOnStrike(std::move(aOnStrike))
  , mOnQuarantine(std::move(aOnQuarantine))
  , mRouter(std::move(aOptions))
{
}

std::vector<RouterShell::Delivery> RouterShell::Address(RouterEffects aEffects,
                                                        Notices& aNotices) const
{
  std::vector<Delivery> deliveries;
  const auto address = [&](auto& aEffect) {
    using Effect = std::decay_t<decltype(aEffect)>;
    if constexpr (std::is_same_v<Effect, AnnounceCrash>) {
      aNotices.mStrikes.push_back(std::move(aEffect.mCrashReport));
    } else if constexpr (std::is_same_v<Effect, AnnounceQuarantine>) {
      aNotices.mQuarantined.push_back(aEffect.mFingerprint);
    } else {
      const auto it = mMailboxes.find(aEffect.mRequest);
      if (it != mMailboxes.end()) {
        deliveries.emplace_back(it->second, std::move(aEffect));
      }
    }
  };
  for (RouterEffect& effect : aEffects) {
    std::visit(address, effect);
  }
  return deliveries;
}

template<class Function>
void RouterShell::Run(Function aFunction)
{
  std::vector<Delivery> deliveries;
  Notices notices;
  {
    const std::lock_guard lock(mMutex);
    deliveries = Address(aFunction(SteadyNow()), notices);
  }
  for (auto& [mailbox, message] : deliveries) {
    mailbox->Push(std::move(message));
  }
  std::ranges::for_each(notices.mStrikes, mOnStrike);
  std::ranges::for_each(notices.mQuarantined, mOnQuarantine);
}

void RouterShell::Open(const RequestFacts& aFacts,
                       std::shared_ptr<RequestMailbox> aMailbox)
{
  Run([&](Instant aNow) {
    mMailboxes.insert_or_assign(aFacts.mId, std::move(aMailbox));
    return mRouter.Admit(aNow, aFacts);
  });
}

void RouterShell::Close(RequestId aRequest)
{
  const std::lock_guard lock(mMutex);
  mMailboxes.erase(aRequest);
}

void RouterShell::SetBundle(const std::shared_ptr<const Bundle>& aBundle)
{
  const std::lock_guard lock(mMutex);
  mRouter.SetBundle(aBundle);
}

void RouterShell::OnAnnouncement(const Announcement& aTarget)
{
  Run([&](Instant aNow) { return mRouter.OnAnnouncement(aNow, aTarget); });
}

void RouterShell::OnTargetSilent(const TargetName& aTarget)
{
  Run([&](Instant aNow) { return mRouter.OnTargetSilent(aNow, aTarget); });
}

void RouterShell::OnFirstByte(AttemptId aAttempt)
{
  Run([&](Instant aNow) { return mRouter.OnFirstByte(aNow, aAttempt); });
}

void RouterShell::OnTokens(AttemptId aAttempt, std::uint32_t aTokens)
{
  const std::lock_guard lock(mMutex);
  mRouter.OnTokens(SteadyNow(), aAttempt, aTokens);
}

void RouterShell::OnFinished(AttemptId aAttempt, AttemptEnd aEnd,
                             bool aDelivered)
{
  Run([&](Instant aNow) {
    return mRouter.OnFinished(aNow, aAttempt, aEnd, aDelivered);
  });
}

void RouterShell::OnCallerGone(RequestId aRequest)
{
  Run([&](Instant aNow) { return mRouter.OnCallerGone(aNow, aRequest); });
}

void RouterShell::OnPeerHints(const DaemonName& aPeer,
                              const std::vector<InFlightHint>& aHints)
{
  const std::lock_guard lock(mMutex);
  mRouter.OnPeerHints(SteadyNow(), aPeer, aHints);
}

void RouterShell::OnCacheEvents(const std::vector<CacheEvent>& aEvents)
{
  const std::lock_guard lock(mMutex);
  const Instant now = SteadyNow();
  std::ranges::for_each(aEvents, [&](const CacheEvent& aEvent) {
    mRouter.OnCacheEvent(now, aEvent);
  });
}

void RouterShell::OnCrashReport(const CrashReport& aStrike)
{
  Run([&](Instant aNow) { return mRouter.OnCrashReport(aNow, aStrike); });
}

void RouterShell::OnQuarantine(const Digest& aFingerprint)
{
  Run([&](Instant aNow) { return mRouter.OnQuarantine(aNow, aFingerprint); });
}

void RouterShell::Tick()
{
  Run([&](Instant aNow) { return mRouter.Tick(aNow); });
}

std::vector<InFlightHint> RouterShell::Hints() const
{
  const std::lock_guard lock(mMutex);
  return mRouter.Hints();
}

DemandTable RouterShell::Demand() const
{
  const std::lock_guard lock(mMutex);
  return mRouter.Demand(SteadyNow());
}

RouterStats RouterShell::Stats() const
{
  const std::lock_guard lock(mMutex);
  return mRouter.Stats();
}

bool RouterShell::IsReachable(const ModelName& aModel) const
{
  const std::lock_guard lock(mMutex);
  return mRouter.IsReachable(aModel);
}

} // namespace carobtide
