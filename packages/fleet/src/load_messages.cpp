#include "carobtide/fleet/load_messages.hpp"

#include <algorithm>

namespace carobtide {

namespace {

std::uint16_t Saturate(std::uint64_t aValue)
{
  return static_cast<std::uint16_t>(
    std::min<std::uint64_t>(aValue, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace

TargetKey KeyOf(const TargetName& aTarget, Incarnation aIncarnation)
{
  return static_cast<TargetKey>(ProcessHash(aTarget, aIncarnation));
}

PackedLoad PackedLoad::Pack(TargetKey aTarget, const TargetLoad& aLoad)
{
  const auto ticks = std::max<Duration::rep>(
    (aLoad.mPrefillTime + kPrefillTick / 2) / kPrefillTick, 0);
  return { aTarget, Saturate(aLoad.mInFlight),
           Saturate(static_cast<std::uint64_t>(ticks)) };
}

TargetLoad PackedLoad::Unpack() const
{
  return { mInFlight, mPrefillTicks * kPrefillTick };
}

std::vector<LoadSection> MakeSections(std::vector<PackedLoad> aLoads)
{
  std::ranges::sort(aLoads, {}, &PackedLoad::mTarget);
  std::vector<LoadSection> sections(1);
  for (const PackedLoad& load : aLoads) {
    if (sections.back().mLoads.size() >= kMaxSectionLoads &&
        load.mTarget != sections.back().mLoads.back().mTarget) {
      sections.back().mLast = load.mTarget - 1;
      sections.push_back({});
      sections.back().mFirst = load.mTarget;
    }
    sections.back().mLoads.push_back(load);
  }
  return sections;
}

} // namespace carobtide
