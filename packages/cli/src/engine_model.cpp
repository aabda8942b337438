#include "carobtide/cli/engine_model.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <utility>

namespace carobtide {

namespace {

/** Rounding slack, in tokens. */
constexpr double kTokenSlack = 1e-6;
constexpr double kNever = std::numeric_limits<double>::infinity();
/** Stands for an unlimited rate. */
constexpr double kInstantRate = 1e15;

Duration FromSeconds(double aSeconds)
{
  constexpr double kMicrosPerSecond = 1e6;
  return Duration(
    static_cast<std::int64_t>(std::ceil(aSeconds * kMicrosPerSecond)));
}

double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

EngineModel::EngineModel(EngineOptions aOptions)
  : mOptions(aOptions)
{
  assert(mOptions.mSlots > 0 && mOptions.mMaxRunning > 0);
}

void EngineModel::Submit(Instant aNow, const SequenceSpec& aSpec)
{
  assert(aSpec.mAnswerTokens > 0);
  Integrate(aNow);
  const auto it = std::ranges::upper_bound(
    mWaiting, aSpec.mPriority, {},
    [](const SequenceSpec& aOther) { return aOther.mPriority; });
  mWaiting.insert(it, aSpec);
  Admit();
}

void EngineModel::Cancel(Instant aNow, SequenceId aId)
{
  Integrate(aNow);
  std::erase_if(mWaiting, [&](const auto& aSpec) { return aSpec.mId == aId; });
  std::erase_if(mRunning, [&](const Sequence& aSequence) {
    if (aSequence.mSpec.mId != aId) {
      return false;
    }
    mKvUsed -= KvTokens(aSequence.mSpec);
    return true;
  });
  std::erase_if(mPending,
                [&](const auto& aOther) { return aOther.mId == aId; });
  Admit();
}

void EngineModel::SetSlowness(Instant aNow, double aFactor)
{
  assert(aFactor > 0);
  Integrate(aNow);
  mSlowness = aFactor;
}

std::vector<SequenceProgress> EngineModel::Advance(Instant aNow)
{
  Integrate(aNow);
  for (Sequence& sequence : mRunning) {
    const auto whole =
      static_cast<std::uint32_t>(sequence.mDecoded + kTokenSlack);
    if (sequence.mSpec.mStreaming && whole > sequence.mReported) {
      sequence.mReported = whole;
      mPending.push_back({ sequence.mSpec.mId, whole, false });
    }
  }
  return std::exchange(mPending, {});
}

std::optional<Instant> EngineModel::NextDue() const
{
  if (!mPending.empty()) {
    return mAt;
  }
  const Rates rates = CurrentRates();
  double soonest = kNever;
  for (const Sequence& sequence : mRunning) {
    soonest = std::min(soonest, SecondsToReport(sequence, rates));
  }
  if (soonest == kNever) {
    return std::nullopt;
  }
  return mAt + FromSeconds(soonest);
}

EngineLoad EngineModel::Load() const
{
  const auto total =
    static_cast<double>(std::max<std::uint64_t>(mOptions.mKvTokens, 1));
  return { static_cast<std::uint32_t>(mRunning.size()),
           static_cast<std::uint32_t>(mWaiting.size()),
           std::min(1.0, static_cast<double>(mKvUsed) / total) };
}

void EngineModel::Integrate(Instant aNow)
{
  Collect();
  while (mAt < aNow && !mRunning.empty()) {
    const double left = ToSeconds(aNow - mAt);
    const double change = SecondsToNextChange();
    if (change >= left) {
      Step(left);
      mAt = aNow;
    } else {
      Step(change);
      mAt = std::min(aNow, mAt + FromSeconds(change));
    }
    Collect();
  }
  mAt = std::max(mAt, aNow);
}

void EngineModel::Step(double aSeconds)
{
  const Rates rates = CurrentRates();
  const double prefill = rates.mPrefill * aSeconds;
  const double decode = rates.mDecode * aSeconds;
  for (Sequence& sequence : mRunning) {
    if (sequence.mPrefillLeft > 0) {
      sequence.mPrefillLeft -= prefill;
      if (sequence.mPrefillLeft < kTokenSlack) {
        sequence.mPrefillLeft = 0;
      }
    } else {
      sequence.mDecoded = std::min<double>(sequence.mSpec.mAnswerTokens,
                                           sequence.mDecoded + decode);
    }
  }
}

void EngineModel::Collect()
{
  const auto isFinished = [](const Sequence& aSequence) {
    return aSequence.mDecoded + kTokenSlack >= aSequence.mSpec.mAnswerTokens;
  };
  bool changed = false;
  std::erase_if(mRunning, [&](const Sequence& aSequence) {
    if (!isFinished(aSequence)) {
      return false;
    }
    mPending.push_back(
      { aSequence.mSpec.mId, aSequence.mSpec.mAnswerTokens, true });
    mKvUsed -= KvTokens(aSequence.mSpec);
    changed = true;
    return true;
  });
  if (changed) {
    Admit();
  }
}

void EngineModel::Admit()
{
  while (!mWaiting.empty() && mRunning.size() < mOptions.mMaxRunning) {
    const SequenceSpec& next = mWaiting.front();
    const std::uint64_t kv = KvTokens(next);
    if (mKvUsed + kv > mOptions.mKvTokens && !mRunning.empty()) {
      return;
    }
    mKvUsed += kv;
    Sequence sequence{ next };
    sequence.mPrefillLeft =
      mOptions.mPrefillTokensPerSecond > 0 ? next.mPromptTokens : 0.0;
    if (mOptions.mTokensPerSecond <= 0 && sequence.mPrefillLeft <= 0) {
      sequence.mDecoded = next.mAnswerTokens;
    }
    mRunning.push_back(sequence);
    mWaiting.erase(mWaiting.begin());
  }
}

EngineModel::Rates EngineModel::CurrentRates() const
{
  const auto prefilling = static_cast<double>(
    std::ranges::count_if(mRunning, [](const Sequence& aSequence) {
      return aSequence.mPrefillLeft > 0;
    }));
  const double decoding = static_cast<double>(mRunning.size()) - prefilling;
  const double share =
    decoding <= mOptions.mSlots ? 1.0 : mOptions.mSlots / decoding;
  const double decode = mOptions.mTokensPerSecond > 0
                          ? mOptions.mTokensPerSecond * share / mSlowness
                          : kInstantRate;
  return { decode, mOptions.mPrefillTokensPerSecond / mSlowness /
                     std::max(prefilling, 1.0) };
}

double EngineModel::SecondsToNextChange() const
{
  double soonest = kNever;
  const Rates rates = CurrentRates();
  for (const Sequence& sequence : mRunning) {
    const double seconds =
      sequence.mPrefillLeft > 0
        ? sequence.mPrefillLeft / rates.mPrefill
        : (sequence.mSpec.mAnswerTokens - sequence.mDecoded) / rates.mDecode;
    soonest = std::min(soonest, std::max(seconds, 0.0));
  }
  return soonest;
}

double EngineModel::SecondsToReport(const Sequence& aSequence,
                                    const Rates& aRates) const
{
  if (aSequence.mPrefillLeft > 0) {
    return aSequence.mPrefillLeft / aRates.mPrefill;
  }
  const double step = ToSeconds(mOptions.mStepTime);
  const double rate = aRates.mDecode;
  if (aSequence.mSpec.mStreaming) {
    const double next = std::floor(aSequence.mDecoded + kTokenSlack) + 1.0;
    const double toToken = (next - aSequence.mDecoded) / rate;
    const double toEnd =
      (aSequence.mSpec.mAnswerTokens - aSequence.mDecoded) / rate;
    return std::min(toEnd, std::max(toToken, step));
  }
  return (aSequence.mSpec.mAnswerTokens - aSequence.mDecoded) / rate;
}

std::uint64_t EngineModel::KvTokens(const SequenceSpec& aSpec) const
{
  return std::uint64_t{ aSpec.mPromptTokens } + aSpec.mAnswerTokens;
}

} // namespace carobtide
