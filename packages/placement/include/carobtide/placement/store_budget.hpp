#pragma once

/**
 * @file
 * Limits of the weight store: a token bucket over load orders.
 */

#include "carobtide/base.hpp"

namespace carobtide {

/**
 * Token bucket. It starts empty, since an earlier leader may just have used
 * the store to its limit.
 *
 * Thread safety: none; the owner guards it.
 */
class TokenBucket
{
public:
  /** Adds what came in since the last call, at a rate per second. */
  void Refill(Instant aNow, double aRate);

  bool HasToken() const { return mTokens >= 1.0; }

  /** Takes one token; false if there is none. */
  bool Take();

private:
  Instant mFilledAt;
  bool mHasStarted = false;
  double mTokens = 0.0;
};

} // namespace carobtide
