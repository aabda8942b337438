#include "carobtide/cli/memory_account.hpp"

#include <cassert>
#include <string>

namespace carobtide {

MemoryAccount::MemoryAccount(Bytes aTotal)
  : mTotal(aTotal)
{
}

Result<Unit> MemoryAccount::Take(Bytes aBytes)
{
  assert(aBytes >= 0);
  if (aBytes > mTotal - mUsed) {
    return Error{ ErrorCode::TooLarge, "target.take-memory", "",
                  std::to_string(aBytes) + " bytes asked, " +
                    std::to_string(mTotal - mUsed) + " of " +
                    std::to_string(mTotal) + " left" };
  }
  mUsed += aBytes;
  return Success();
}

void MemoryAccount::Free(Bytes aBytes)
{
  assert(aBytes >= 0 && aBytes <= mUsed);
  mUsed -= aBytes;
}

} // namespace carobtide
