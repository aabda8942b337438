#include "carobtide/routing/process_doubt.hpp"

#include <algorithm>

namespace carobtide {

void ProcessDoubt::OnHeardAtStart(Instant aNow, Duration aWindow)
{
  mSettledAt = aNow + 2 * aWindow;
}

void ProcessDoubt::OnAnswer(Instant aNow, Duration aWindow)
{
  if (!mHasAnswered) {
    mHasAnswered = true;
    mSettledAt = std::min(mSettledAt, aNow + aWindow);
  }
}

void ProcessDoubt::OnConnectionLost(Instant aNow, Duration aWindow)
{
  mUntil = aNow + aWindow;
}

void ProcessDoubt::SetSilent(Instant aNow, bool aIsSilent, Duration aWindow)
{
  // The news of the silence may come after the end of the window.
  const bool isRecent = mUntil != Instant::min() && aNow < mUntil + aWindow;
  mIsHeld = aIsSilent && (mIsHeld || isRecent);
}

void ProcessDoubt::OnCheck(Instant aNow, ProcessCheck aCheck, Duration aWindow)
{
  switch (aCheck) {
    case ProcessCheck::Same:
      mUntil = Instant::min();
      mIsHeld = false;
      mIsOther = false;
      break;
    case ProcessCheck::Other:
      // It is asked again after that, until it is heard of as this process.
      mUntil = aNow + aWindow;
      mIsOther = true;
      break;
    case ProcessCheck::Unstated:
      mStatesProcess = false;
      break;
    case ProcessCheck::Unclear:
      mUntil = aNow + aWindow;
      break;
  }
}

} // namespace carobtide
