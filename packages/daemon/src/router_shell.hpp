#pragma once

/**
 * @file
 * The router behind its mutex, and the delivery of its effects.
 */

#include "carobtide/routing.hpp"
#include "request_mailbox.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carobtide {

/**
 * Guards the Router and hands each effect to the request that it concerns.
 *
 * Thread safety: all methods from any thread. Its mutex comes after the
 * control plane's and before the event log's.
 */
class RouterShell
{
public:
  using StrikeHandler = std::function<void(const CrashReport&)>;
  using QuarantineHandler = std::function<void(const Digest&)>;

  /** The handlers tell the other daemons; they are called without the lock. */
  RouterShell(RouterOptions aOptions, StrikeHandler aOnStrike,
              QuarantineHandler aOnQuarantine);

  /** Admits a request; its effects go to the mailbox from now on. */
  void Open(const RequestFacts& aFacts,
            std::shared_ptr<RequestMailbox> aMailbox);

  /** The request is over: no more effects are delivered. */
  void Close(RequestId aRequest);

  void SetBundle(const std::shared_ptr<const Bundle>& aBundle);
  void OnAnnouncement(const Announcement& aTarget);
  void OnTargetSilent(const TargetName& aTarget);
  void OnFirstByte(AttemptId aAttempt);
  void OnTokens(AttemptId aAttempt, std::uint32_t aTokens);
  void OnFinished(AttemptId aAttempt, AttemptEnd aEnd, bool aDelivered);
  void OnCallerGone(RequestId aRequest);
  void OnPeerHints(const DaemonName& aPeer,
                   const std::vector<InFlightHint>& aHints);
  void OnCacheEvents(const std::vector<CacheEvent>& aEvents);
  void OnCrashReport(const CrashReport& aStrike);
  void OnQuarantine(const Digest& aFingerprint);
  void Tick();

  std::vector<InFlightHint> Hints() const;
  DemandTable Demand() const;
  RouterStats Stats() const;
  bool IsReachable(const ModelName& aModel) const;

private:
  /** An effect with the mailbox that it goes to. */
  using Delivery = std::pair<std::shared_ptr<RequestMailbox>, RequestMessage>;

  /** What the other daemons have to hear. */
  struct Notices
  {
    std::vector<CrashReport> mStrikes;
    std::vector<Digest> mQuarantined;
  };

  template<class Function>
  void Run(Function aFunction);
  std::vector<Delivery> Address(RouterEffects aEffects,
                                Notices& aNotices) const;

  StrikeHandler mOnStrike;
  QuarantineHandler mOnQuarantine;
  /** Guards mRouter and mMailboxes. */
  mutable std::mutex mMutex;
  Router mRouter;
  std::unordered_map<RequestId, std::shared_ptr<RequestMailbox>> mMailboxes;
};

} // namespace carobtide
