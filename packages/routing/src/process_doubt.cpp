#include "carobtide/routing/process_doubt.hpp"

namespace carobtide {

void ProcessDoubt::OnConnectionLost(Instant aNow, Duration aWindow)
{
  mUntil = aNow + aWindow;
}

void ProcessDoubt::OnCheck(Instant aNow, ProcessCheck aCheck, Duration aWindow)
{
  switch (aCheck) {
    case ProcessCheck::Same:
      mUntil = Instant::min();
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
      break;
  }
}

} // namespace carobtide
      mUntil = aNow + aWindow;
