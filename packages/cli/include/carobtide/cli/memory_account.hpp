#pragma once

/**
 * @file
 * Accelerator memory of one stand-in target.
 */

#include "carobtide/base.hpp"

namespace carobtide {

/**
 * Memory taken and left. Taking more than there is fails; a real engine would
 * run out of memory at that point.
 *
 * Thread safety: none; the owner guards it.
 */
class MemoryAccount
{
public:
  explicit MemoryAccount(Bytes aTotal);

  /** TooLarge, with the shortfall, if it does not fit. */
  Result<Unit> Take(Bytes aBytes);

  /** Precondition: that much is taken. */
  void Free(Bytes aBytes);

  Bytes Total() const { return mTotal; }
  Bytes Used() const { return mUsed; }

private:
  Bytes mTotal;
  Bytes mUsed = 0;
};

} // namespace carobtide
