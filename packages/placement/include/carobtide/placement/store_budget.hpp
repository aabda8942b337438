#pragma once

/**
 * @file
 * Rate limit for loads from the weight store.
 */

#include "carobtide/base.hpp"

namespace carobtide {

/**
 * Token bucket with a capacity of one second's worth of tokens, at least one.
 * It starts empty because a former leader may just have used up the store's
 * rate.
 *
 * Thread safety: none; the caller must synchronize access.
 */
class TokenBucket
{
public:
  /** Adds the tokens since the last call, at `aRate` tokens per second. */
  void Refill(Instant aNow, double aRate);

  bool HasToken() const { return mTokens >= 1.0; }

  /** Takes one token; returns false if none is available. */
  bool Take();

private:
  Instant mFilledAt;
  bool mHasStarted = false;
  double mTokens = 0.0;
};

} // namespace carobtide
