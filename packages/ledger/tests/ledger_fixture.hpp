#pragma once

/**
 * @file
 * Short forms of the ledger's commands for tests.
 */

#include "carobtide/ledger.hpp"

#include <algorithm>
#include <string>

namespace carobtide {

inline LedgerKey KeyOf(const std::string& aText)
{
  return LedgerKey{ CallerName("caller"), IdempotencyKey(aText) };
}

inline ClaimantId ClaimantOf(const std::string& aDaemon,
                             std::uint64_t aIncarnation = 1)
{
  return ClaimantId{ DaemonName(aDaemon), aIncarnation };
}

inline ClaimKey Claim(const std::string& aKey, const ClaimantId& aClaimant,
                      std::uint64_t aAttempt,
                      const std::string& aContent = "content")
{
  return ClaimKey{ KeyOf(aKey), ComputeDigest(aContent), aClaimant, aAttempt,
                   0 };
}

inline CompleteKey Complete(const std::string& aKey,
                            const ClaimantId& aClaimant, std::uint64_t aAttempt,
                            const std::string& aBody = "done")
{
  return CompleteKey{ KeyOf(aKey), aClaimant, aAttempt,
                      StoredAnswer{ 201, "text/plain", aBody, false } };
}

inline ReleaseKey Release(const std::string& aKey, const ClaimantId& aClaimant,
                          std::uint64_t aAttempt)
{
  return ReleaseKey{ KeyOf(aKey), aClaimant, aAttempt };
}

inline AbandonKey Abandon(const std::string& aKey, const ClaimantId& aClaimant,
                          std::uint64_t aAttempt)
{
  return AbandonKey{ KeyOf(aKey), aClaimant, aAttempt };
}

/** ExpireKeys at a wall time. */
inline ExpireKeys Tick(Duration aWall)
{
  return ExpireKeys{ aWall.count() };
}

/** Lets ledger time pass in steps that count whole. */
inline void PassTime(Ledger& aLedger, Duration& aWall, Duration aTime)
{
  for (const Duration end = aWall + aTime; aWall < end;) {
    aWall += std::min<Duration>(end - aWall, kMaxExpiryStep);
    aLedger.Apply(Tick(aWall));
  }
}

} // namespace carobtide
