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
  return { mInFlight, mPrefillTicks * kPrefillTick, 0 };
}

PackedSends PackedSends::Pack(TargetKey aTarget, double aRecent)
{
  const double ticks = std::max(aRecent, 0.0) * kTicksPerSend;
  constexpr double kMost = std::numeric_limits<std::uint16_t>::max();
  return { aTarget, static_cast<std::uint16_t>(std::min(ticks, kMost)) };
}

std::vector<LoadSection> MakeSections(std::vector<PackedLoad> aLoads,
                                      std::vector<PackedSends> aSends)
{
  std::ranges::sort(aLoads, {}, &PackedLoad::mTarget);
  std::ranges::sort(aSends, {}, &PackedSends::mTarget);
  std::vector<LoadSection> sections(1);
  // Precondition of each call: no entry of a later key was added.
  const auto sectionOf = [&](TargetKey aKey) -> LoadSection& {
    const LoadSection& last = sections.back();
    const bool isFull =
      last.mLoads.size() + last.mSends.size() >= kMaxSectionLoads;
    const bool isNewKey =
      (last.mLoads.empty() || last.mLoads.back().mTarget != aKey) &&
      (last.mSends.empty() || last.mSends.back().mTarget != aKey);
    if (isFull && isNewKey) {
      sections.back().mLast = aKey - 1;
      sections.push_back({});
      sections.back().mFirst = aKey;
    }
    return sections.back();
  };
  auto sends = aSends.begin();
  const auto addSendsBefore = [&](auto aIsBefore) {
    for (; sends != aSends.end() && aIsBefore(sends->mTarget); ++sends) {
      sectionOf(sends->mTarget).mSends.push_back(*sends);
    }
  };
  for (const PackedLoad& load : aLoads) {
    addSendsBefore([&](TargetKey aKey) { return aKey < load.mTarget; });
    sectionOf(load.mTarget).mLoads.push_back(load);
  }
  addSendsBefore([](TargetKey) { return true; });
  return sections;
}

} // namespace carobtide
