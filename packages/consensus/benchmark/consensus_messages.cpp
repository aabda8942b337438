// Processor time, messages and bytes of a group by its size, and the catch-up
// of a follower that lags far behind. All replicas run in this process, with
// messages passed by value and disks that are durable at once, so the figures
// are those of the decisions alone.

#include "carobtide/base/codec.hpp"
#include "carobtide/consensus/replicated_log.hpp"

#include <chrono>
#include <cstdio>
#include <deque>
#include <set>
#include <string>

using namespace carobtide;

namespace {

using WallClock = std::chrono::steady_clock;

constexpr std::size_t kPayloadBytes = 256;
constexpr int kCommits = 20'000;
constexpr int kIdleSeconds = 60;
constexpr double kMicrosPerSecond = 1e6;

double SecondsSince(WallClock::time_point aStart)
{
  return std::chrono::duration<double>(WallClock::now() - aStart).count();
}

/** Replicas joined by a first-in first-out queue. */
class DirectGroup
{
public:
  DirectGroup(std::size_t aSize, const ReplicatedLogOptions& aOptions)
  {
    Membership members;
    for (std::size_t n = 1; n <= aSize; ++n) {
      const auto name = std::to_string(n);
      members.mMembers.push_back(Member{ ReplicaId(n), DaemonName("d" + name),
                                         FailureDomain("f" + name),
                                         MemberRole::Voter });
    }
    for (std::size_t n = 1; n <= aSize; ++n) {
      RecoveredState disk;
      disk.mReplica = ReplicaId(n);
      mLogs.emplace_back(GroupId(1), disk, members, aOptions, mNow, n);
    }
    while (Leader() == nullptr) {
      Advance(Duration(1000));
    }
  }

  ReplicatedLog* Leader()
  {
    for (auto& log : mLogs) {
      if (log.HasLease(mNow)) {
        return &log;
      }
    }
    return nullptr;
  }

  void Advance(Duration aBy)
  {
    mNow += aBy;
    for (std::size_t n = 0; n < mLogs.size(); ++n) {
      if (!mSilent.contains(n) && mLogs[n].NextWakeup() <= mNow) {
        Apply(n, mLogs[n].Tick(mNow));
      }
    }
    Deliver();
  }

  void Propose(const std::string& aPayload)
  {
    const auto leader = static_cast<std::size_t>(Leader() - mLogs.data());
    LogEffects effects;
    mLogs[leader].Propose(mNow, aPayload, effects).ValueOrThrow();
    Apply(leader, std::move(effects));
    Deliver();
  }

  /** Cuts a follower off, or lets it back in. */
  void SetSilent(std::size_t aNode, bool aSilent)
  {
    if (aSilent) {
      mSilent.insert(aNode);
    } else {
      mSilent.erase(aNode);
    }
  }

  std::size_t FirstFollower() { return Leader() == mLogs.data() ? 1 : 0; }
  ReplicatedLog& At(std::size_t aNode) { return mLogs[aNode]; }
  std::uint64_t Messages() const { return mMessages; }
  std::uint64_t MessageBytes() const { return mBytes; }
  void CountBytes(bool aCount) { mCountBytes = aCount; }

private:
  void Apply(std::size_t aNode, LogEffects aEffects)
  {
    while (true) {
      for (auto& envelope : aEffects.mMessages) {
        mQueue.push_back(std::move(envelope));
      }
      if (aEffects.mSnapshotWanted) {
        auto saved = mLogs[aNode].OnSnapshotTaken(
          mNow, mLogs[aNode].CommitIndex(), std::string(1000, 's'));
        // A batch of the first effects comes before this one.
        if (aEffects.mPersist.IsEmpty()) {
          aEffects.mPersist = std::move(saved.mPersist);
        }
      }
      if (aEffects.mPersist.IsEmpty()) {
        return;
      }
      aEffects = mLogs[aNode].OnPersisted(mNow, aEffects.mPersist.mSequence);
    }
  }

  void Deliver()
  {
    while (!mQueue.empty()) {
      const ConsensusEnvelope envelope = std::move(mQueue.front());
      mQueue.pop_front();
      mMessages++;
      mBytes += mCountBytes ? Encode(envelope).size() : 0;
      const auto to = static_cast<std::size_t>(envelope.mTo.Value() - 1);
      const auto from = static_cast<std::size_t>(envelope.mFrom.Value() - 1);
      if (!mSilent.contains(to) && !mSilent.contains(from)) {
        Apply(to, mLogs[to].Receive(mNow, envelope));
      }
    }
  }

  Instant mNow{ std::chrono::seconds(1) };
  std::vector<ReplicatedLog> mLogs;
  std::deque<ConsensusEnvelope> mQueue;
  std::set<std::size_t> mSilent;
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
  bool mCountBytes = false;
};

void MeasureCommits(std::size_t aSize)
{
  DirectGroup group(aSize, {});
  const std::string payload(kPayloadBytes, 'p');
  const auto before = group.Messages();
  const auto start = WallClock::now();
  for (int n = 0; n < kCommits; ++n) {
    group.Propose(payload);
  }
  const auto micros = SecondsSince(start) * kMicrosPerSecond;
  const auto messages = static_cast<double>(group.Messages() - before);
  std::printf("%zu voters: %.2f us and %.1f messages a commit, "
              "%.2f us a message\n",
              aSize, micros / kCommits, messages / kCommits, micros / messages);
}

void MeasureIdle(std::size_t aSize)
{
  DirectGroup group(aSize, {});
  group.CountBytes(true);
  const auto messages = group.Messages();
  const auto bytes = group.MessageBytes();
  for (int n = 0; n < kIdleSeconds * 1000; ++n) {
    group.Advance(Duration(1000));
  }
  std::printf("%zu voters, idle: %.0f messages/s, %.0f bytes/s in the group\n",
              aSize,
              static_cast<double>(group.Messages() - messages) / kIdleSeconds,
              static_cast<double>(group.MessageBytes() - bytes) / kIdleSeconds);
}

void MeasureCatchUp(std::uint64_t aBehind, std::uint64_t aSnapshotInterval)
{
  ReplicatedLogOptions options;
  options.mSnapshotInterval = aSnapshotInterval;
  DirectGroup group(3, options);
  const auto late = group.FirstFollower();
  group.SetSilent(late, true);
  const std::string payload(kPayloadBytes, 'p');
  for (std::uint64_t n = 0; n < aBehind; ++n) {
    group.Propose(payload);
  }
  group.SetSilent(late, false);
  const auto messages = group.Messages();
  const auto start = WallClock::now();
  while (group.At(late).CommitIndex() < aBehind) {
    group.Advance(Duration(1000));
  }
  std::printf("%llu entries behind, snapshots every %llu: %.0f ms, "
              "%llu messages\n",
              static_cast<unsigned long long>(aBehind),
              static_cast<unsigned long long>(aSnapshotInterval),
              SecondsSince(start) * 1000,
              static_cast<unsigned long long>(group.Messages() - messages));
}

} // namespace

int main()
{
  for (const std::size_t size : { 1, 3, 5, 7 }) {
    MeasureCommits(size);
  }
  for (const std::size_t size : { 3, 5, 7 }) {
    MeasureIdle(size);
  }
  constexpr std::uint64_t kNever = 100'000'000;
  MeasureCatchUp(300, kNever);
  MeasureCatchUp(300'000, kNever);
  MeasureCatchUp(300'000, ReplicatedLogOptions{}.mSnapshotInterval);
  return 0;
}
