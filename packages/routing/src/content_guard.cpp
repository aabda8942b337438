#include "carobtide/routing/content_guard.hpp"

#include <algorithm>
#include <iterator>

namespace carobtide {

std::optional<TargetIndex> ContentGuard::Find(
  const TargetProcess& aProcess) const
{
  const auto it = mPending.find(aProcess);
  return it == mPending.end() ? std::nullopt : std::optional(it->second);
}

bool ContentGuard::OnConnectionLost(Instant aNow, const TargetProcess& aProcess,
                                    Instant aSentAt,
                                    const Fingerprints& aContent)
{
  const auto inserted = mPending.try_emplace(aProcess, mNextIndex);
  const TargetIndex index = inserted.first->second;
  const bool isFirst = inserted.second;
  mNextIndex += isFirst ? 1 : 0;
  const auto suspect = [&](const Digest& aFingerprint) {
    mDetector.OnConnectionLost(
      aNow, index,
      { RequestId(mNextLost++), aFingerprint, aProcess.mIncarnation });
  };
  suspect(aContent.Content());
  for (const Digest& part : aContent.Parts()) {
    if (!mParts.IsSound(aNow, part) && mParts.LastCrash(part) <= aSentAt) {
      suspect(part);
    }
  }
  return isFirst;
}

bool ContentGuard::OnAlive(Instant aNow, const TargetProcess& aProcess)
{
  const auto index = Find(aProcess);
  if (!index) {
    return false;
  }
  Take(aNow, mDetector.OnAlive(aNow, *index));
  return mDetector.IsPending(*index);
}

void ContentGuard::OnDead(Instant aNow, const TargetProcess& aProcess)
{
  if (const auto index = Find(aProcess)) {
    Take(aNow, mDetector.OnDead(*index));
  }
}

void ContentGuard::OnTarget(Instant aNow, const RoutedTarget& aState)
{
  const Heartbeat& last = aState.mLast;
  const bool isGone = last.mPhase == TargetPhase::Gone;
  auto it = mPending.lower_bound({ last.mTarget, Incarnation() });
  while (it != mPending.end() && it->first.mTarget == last.mTarget) {
    const auto [process, index] = *it++;
    if (process.mIncarnation < last.mIncarnation ||
        (isGone && process.mIncarnation == last.mIncarnation)) {
      Take(aNow, mDetector.OnDead(index));
    }
  }
}

void ContentGuard::Take(Instant aNow, const CrashDecision& aDecision)
{
  if (mDetector.IsPending(aDecision.mTarget)) {
    return;
  }
  const auto pending = std::ranges::find(
    mPending, aDecision.mTarget, [](const auto& aIt) { return aIt.second; });
  if (pending == mPending.end()) {
    return;
  }
  const TargetProcess process = pending->first;
  mPending.erase(pending);
  if (!aDecision.mCrashed) {
    return;
  }
  ++mStats.mCrashes;
  mChanges.mCrashed.push_back(process);
  std::vector<CrashReport> reports;
  for (const LostRequest& lost : aDecision.mLost) {
    mParts.OnCrash(aNow, lost.mFingerprint);
    if (TakeReportToken(aNow)) {
      reports.push_back(
        { lost.mFingerprint, process.mTarget, process.mIncarnation });
    } else {
      ++mStats.mReportsDropped;
    }
  }
  std::ranges::copy(reports, std::back_inserter(mNotice.mCrashes));
  Apply(aNow, mTally.Add(aNow, reports));
}

bool ContentGuard::TakeReportToken(Instant aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - mTokensAt).count();
  mTokensAt = aNow;
  mReportTokens =
    std::min(kMaxReportBurst, mReportTokens + seconds * kReportsPerSecond);
  if (mReportTokens < 1) {
    return false;
  }
  mReportTokens -= 1;
  return true;
}

void ContentGuard::Apply(Instant aNow, const TallyResult& aResult)
{
  for (const Digest& fingerprint : aResult.mBlocked) {
    Block(aNow, fingerprint);
  }
  for (const Digest& fingerprint : aResult.mLifted) {
    Lift(aNow, fingerprint);
  }
}

void ContentGuard::Block(Instant aNow, const Digest& aFingerprint)
{
  if (mBlocks.Block(aNow, aFingerprint, aNow + BlockList::kBlockTime)) {
    mChanges.mBlocks.mBlocked.push_back(aFingerprint);
    const auto lasts = std::chrono::duration_cast<std::chrono::milliseconds>(
      BlockList::kBlockTime);
    mNotice.mBlocks.push_back(
      { aFingerprint, static_cast<std::uint32_t>(lasts.count()) });
  }
}

void ContentGuard::Lift(Instant aNow, const Digest& aFingerprint)
{
  if (mBlocks.Lift(aNow, aFingerprint)) {
    mChanges.mBlocks.mLifted.push_back(aFingerprint);
  }
}

void ContentGuard::Clear(Instant aNow, const Digest& aFingerprint)
{
  mTally.Clear(aFingerprint);
  mNotice.mSound.push_back(aFingerprint);
  Lift(aNow, aFingerprint);
}

void ContentGuard::OnWhole(Instant aNow, const Fingerprints& aContent)
{
  for (const Digest& part : aContent.Parts()) {
    mParts.OnAnswer(aNow, part);
  }
  for (const Digest& fingerprint : aContent.All()) {
    if (mTally.Knows(fingerprint) || mBlocks.Until(aNow, fingerprint)) {
      Clear(aNow, fingerprint);
    }
  }
}

void ContentGuard::OnBlockChanges(Instant aNow, const BlockChanges& aChanges)
{
  for (const ContentBlock& block : aChanges.mBlocks) {
    if (mParts.IsSound(aNow, block.mFingerprint)) {
      Clear(aNow, block.mFingerprint);
    } else if (mBlocks.Block(aNow, block)) {
      mChanges.mBlocks.mBlocked.push_back(block.mFingerprint);
    }
  }
  for (const Digest& fingerprint : aChanges.mLifted) {
    mTally.Clear(fingerprint);
    Lift(aNow, fingerprint);
  }
}

void ContentGuard::Expire(Instant aNow)
{
  for (const CrashDecision& decision : mDetector.Expire(aNow)) {
    Take(aNow, decision);
  }
  for (const Digest& fingerprint : mBlocks.Expire(aNow)) {
    mTally.OnBlockEnded(fingerprint);
    mChanges.mBlocks.mLifted.push_back(fingerprint);
  }
  mTally.Expire(aNow);
  mParts.Expire(aNow);
}

std::optional<Instant> ContentGuard::BlockedUntil(
  Instant aNow, const Fingerprints& aContent) const
{
  std::optional<Instant> last;
  for (const Digest& fingerprint : aContent.All()) {
    const auto until = mBlocks.Until(aNow, fingerprint);
    if (until && (!last || *last < *until)) {
      last = until;
    }
  }
  return last;
}

bool ContentGuard::IsSuspect(const Fingerprints& aContent) const
{
  return std::ranges::any_of(
    aContent.All(), [this](const Digest& aIt) { return mTally.Knows(aIt); });
}

CrashNotice ContentGuard::TakeNotice()
{
  return std::exchange(mNotice, {});
}

CrashNotice ContentGuard::AllBlocks(Instant aNow) const
{
  CrashNotice notice;
  notice.mBlocks = mBlocks.Since(aNow, 0).mBlocks;
  return notice;
}

} // namespace carobtide
