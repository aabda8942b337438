#include "carobtide/fleet/observation_messages.hpp"

#include <algorithm>
#include <cmath>

namespace carobtide {

namespace {

template<class Integer>
Integer Saturate(double aValue)
{
  return static_cast<Integer>(
    std::clamp<double>(std::round(aValue), std::numeric_limits<Integer>::min(),
                       std::numeric_limits<Integer>::max()));
}

} // namespace

void TargetSample::Add(const TargetSample& aOther)
{
  mEnded += aOther.mEnded;
  mFailed += aOther.mFailed;
  mPrefill.Add(aOther.mPrefill);
  mTokens.Add(aOther.mTokens);
}

void TargetSums::Add(const TargetSums& aOther)
{
  mRecent.Add(aOther.mRecent);
  mLong.Add(aOther.mLong);
}

PackedSpeed PackedSpeed::Pack(const SpeedSum& aSum)
{
  return { Saturate<std::int8_t>(aSum.Mean() * kStepsPerOctave),
           Saturate<std::uint8_t>(aSum.mWeight * kTicksPerSample) };
}

SpeedSum PackedSpeed::Unpack() const
{
  const double weight = mWeight / kTicksPerSample;
  return { mLog / kStepsPerOctave * weight, weight };
}

PackedOutcomes PackedOutcomes::Pack(double aEnded, double aFailed)
{
  constexpr double kMost = std::numeric_limits<std::uint8_t>::max();
  const double scale = aEnded > kMost ? kMost / aEnded : 1.0;
  return { Saturate<std::uint8_t>(aEnded * scale),
           Saturate<std::uint8_t>(aFailed * scale) };
}

PackedSample PackedSample::Pack(TargetKey aTarget, const TargetSample& aSample)
{
  return { aTarget, PackedOutcomes::Pack(aSample.mEnded, aSample.mFailed),
           PackedSpeed::Pack(aSample.mPrefill),
           PackedSpeed::Pack(aSample.mTokens) };
}

TargetSample PackedSample::Unpack() const
{
  return { static_cast<double>(mOutcomes.mEnded),
           static_cast<double>(mOutcomes.mFailed), mPrefill.Unpack(),
           mTokens.Unpack() };
}

PackedSums PackedSums::Pack(TargetKey aTarget, const TargetSums& aSums)
{
  return { aTarget, PackedSample::Pack(aTarget, aSums.mRecent),
           PackedSample::Pack(aTarget, aSums.mLong) };
}

TargetSums PackedSums::Unpack() const
{
  return { mRecent.Unpack(), mLong.Unpack() };
}

} // namespace carobtide
