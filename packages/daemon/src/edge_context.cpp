#include "edge_context.hpp"

#include "clock.hpp"

namespace carobtide {

void EdgeContext::NotifyCapacity()
{
  if (!mDispatcher.IsOrdered()) {
    mRoom.Notify();
    return;
  }
  mRoom.NotifyUnkeyed();
  NotifyOffers();
}

void EdgeContext::NotifyOffers()
{
  for (const WaiterId waiter : mDispatcher.TakeOffers(SteadyNow())) {
    mRoom.Wake(waiter);
  }
}

} // namespace carobtide
