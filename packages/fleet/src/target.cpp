#include "carobtide/fleet/target.hpp"

namespace carobtide {

std::uint64_t ProcessHash(const TargetName& aTarget, Incarnation aIncarnation)
{
  // An incarnation as the seed lets short names collide whose incarnations
  // differ by little.
  return ComputeChecksum(std::to_string(aIncarnation.Value()),
                         ComputeChecksum(aTarget.Text()));
}

} // namespace carobtide
