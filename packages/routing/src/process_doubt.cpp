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
      break;
    case ProcessCheck::Other:
      mUntil = aNow + aWindow;
      mStatesProcess = false;
      break;
    case ProcessCheck::Unstated:
      mStatesProcess = false;
      break;
  }
}

} // namespace carobtide
