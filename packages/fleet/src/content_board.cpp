#include "carobtide/fleet/content_board.hpp"

namespace carobtide {

TallyResult ContentBoard::OnNotice(Instant aNow, const CrashNotice& aNotice)
{
  TallyResult changes;
  const auto lift = [&](const Digest& aFingerprint) {
    if (mBlocks.Lift(aNow, aFingerprint)) {
      changes.mLifted.push_back(aFingerprint);
    }
  };
  const TallyResult counted = mTally.Add(aNow, aNotice.mCrashes);
  for (const Digest& fingerprint : counted.mBlocked) {
    if (mBlocks.Block(aNow, fingerprint, aNow + BlockList::kBlockTime)) {
      changes.mBlocked.push_back(fingerprint);
    }
  }
  for (const ContentBlock& block : aNotice.mBlocks) {
    if (mBlocks.Block(aNow, block)) {
      changes.mBlocked.push_back(block.mFingerprint);
    }
  }
  for (const Digest& fingerprint : counted.mLifted) {
    lift(fingerprint);
  }
  for (const Digest& fingerprint : aNotice.mSound) {
    mTally.Clear(fingerprint);
    lift(fingerprint);
  }
  return changes;
}

void ContentBoard::Expire(Instant aNow)
{
  for (const Digest& fingerprint : mBlocks.Expire(aNow)) {
    mTally.OnBlockEnded(fingerprint);
  }
  mTally.Expire(aNow);
}

CrashNotice ContentBoard::AllBlocks(Instant aNow) const
{
  CrashNotice notice;
  notice.mBlocks = mBlocks.Since(aNow, 0).mBlocks;
  notice.mIsRelayed = true;
  return notice;
}

} // namespace carobtide
