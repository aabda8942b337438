#include "carobtide/routing/target_path.hpp"

#include <algorithm>

namespace carobtide {

namespace {

/** Requests in flight without any byte for this long: test the path. */
constexpr Duration kQuietTime = std::chrono::milliseconds(300);
/** Doublings of that while tests succeed. */
constexpr std::uint32_t kMaxQuietDoublings = 3;
/** Failed tests in a row after which open connections count as dead. */
constexpr std::uint32_t kSilentAfter = 3;
/** Between tests of a path that fails; doubles up to the second one. */
constexpr Duration kFirstPause = std::chrono::milliseconds(250);
constexpr Duration kMaxPause = std::chrono::milliseconds(1000);
constexpr std::uint32_t kMaxPauseDoublings = 2;
/** Two doubts within this time share one test. */
constexpr Duration kMinPause = std::chrono::milliseconds(50);

} // namespace

void TargetPath::OnBytes(Instant aNow)
{
  mProvenAt = aNow;
  mQuietChecks = 0;
  if (mState == PathState::Doubtful || mState == PathState::Silent) {
    // Open connections carry bytes: only new ones fail.
    mState = PathState::Refused;
  }
}

void TargetPath::OnConnectFailed(Instant aNow)
{
  if (mState == PathState::Works) {
    mState = PathState::Doubtful;
    mFailures = 1;
    mCheckAt = aNow;
  }
}

void TargetPath::OnDoubt(Instant aNow)
{
  if (mState == PathState::Works) {
    mCheckAt = std::min(mCheckAt, std::max(aNow, mCheckBegunAt + kMinPause));
  }
}

void TargetPath::OnHeartbeat(Instant aNow)
{
  if (mState == PathState::Silent) {
    mCheckAt = std::min(mCheckAt, std::max(aNow, mCheckBegunAt + kMinPause));
  } else {
    mState = PathState::Works;
    mFailures = 0;
  }
}

bool TargetPath::IsCheckDue(Instant aNow, bool aInFlight) const
{
  if (mIsChecking) {
    return false;
  }
  if (aNow >= mCheckAt) {
    return true;
  }
  const Duration quiet =
    kQuietTime * (1U << std::min(mQuietChecks, kMaxQuietDoublings));
  return mState == PathState::Works && aInFlight &&
         aNow - std::max({ mProvenAt, mQuietSince, mCheckBegunAt }) >= quiet;
}

void TargetPath::OnCheckBegun(Instant aNow)
{
  mIsChecking = true;
  mCheckBegunAt = aNow;
}

void TargetPath::Fail(Instant aNow, PathState aState, double aJitter)
{
  mState = aState;
  const bool isOpen = aState == PathState::Doubtful;
  const Duration pause =
    isOpen
      ? kMinPause
      : std::min(kFirstPause * (1U << std::min(mFailures, kMaxPauseDoublings)),
                 kMaxPause);
  mCheckAt =
    aNow + std::chrono::duration_cast<Duration>(pause * (0.75 + aJitter / 2));
  ++mFailures;
}

bool TargetPath::OnChecked(Instant aNow, PathEvidence aEvidence, double aJitter)
{
  mIsChecking = false;
  const PathState before = mState;
  if (aEvidence == PathEvidence::Accepted) {
    mState = PathState::Works;
    mProvenAt = aNow;
    mFailures = 0;
    ++mQuietChecks;
    mCheckAt = Instant::max();
  } else if (aEvidence == PathEvidence::Refused || mProvenAt > mCheckBegunAt) {
    Fail(aNow, PathState::Refused, aJitter);
  } else {
    const bool isSilent = before == PathState::Silent ||
                          before == PathState::Refused ||
                          mFailures + 1 >= kSilentAfter;
    Fail(aNow, isSilent ? PathState::Silent : PathState::Doubtful, aJitter);
  }
  return mState != before;
}

} // namespace carobtide
