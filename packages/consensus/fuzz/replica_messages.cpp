// Arbitrary messages to a replica: none may stop it or break its assertions.

#include "carobtide/base/codec.hpp"
#include "carobtide/consensus/replicated_log.hpp"

#include <cstdint>
#include <string_view>

using namespace carobtide;

namespace {

const GroupId kGroup(1);
const ReplicaId kSelf(1);
/** Bytes that choose the event before each message. */
constexpr std::size_t kControlBytes = 2;

ReplicatedLog MakeReplica(bool aAlone)
{
  Membership members;
  for (std::uint64_t n = 1; n <= (aAlone ? 1 : 3); ++n) {
    members.mMembers.push_back(
      Member{ ReplicaId(n), DaemonName("d"), {}, MemberRole::Voter });
  }
  members.mMembers.push_back(
    Member{ ReplicaId(9), DaemonName("e"), {}, MemberRole::Learner });
  RecoveredState disk;
  disk.mReplica = kSelf;
  ReplicatedLogOptions options;
  options.mSnapshotInterval = 4;
  options.mTrailingEntries = 1;
  return ReplicatedLog(kGroup, disk, members, options, Instant{}, 1);
}

/** Makes batches durable at once. */
void Settle(ReplicatedLog& aLog, Instant aNow, LogEffects aEffects)
{
  while (true) {
    if (aEffects.mSnapshotWanted) {
      auto saved =
        aLog.OnSnapshotTaken(aNow, aLog.CommitIndex(), std::string(10, 's'));
      if (aEffects.mPersist.IsEmpty()) {
        aEffects.mPersist = std::move(saved.mPersist);
      }
    }
    if (aEffects.mPersist.IsEmpty()) {
      return;
    }
    aEffects = aLog.OnPersisted(aNow, aEffects.mPersist.mSequence);
  }
}

} // namespace

/** Input: first byte the group; then control, length and message, repeated. */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData,
                                      std::size_t aSize)
{
  std::string_view rest(reinterpret_cast<const char*>(aData), aSize);
  if (rest.empty()) {
    return 0;
  }
  auto log = MakeReplica((rest[0] & 1) != 0);
  rest.remove_prefix(1);
  Instant now{};
  Settle(log, now, log.Tick(now));
  while (rest.size() >= kControlBytes) {
    const auto control = static_cast<std::uint8_t>(rest[0]);
    const auto length = static_cast<std::uint8_t>(rest[1]);
    rest.remove_prefix(kControlBytes);
    now += std::chrono::milliseconds(control);
    Settle(log, now, log.Tick(now));
    if ((control & 1) != 0) {
      LogEffects effects;
      static_cast<void>(log.Propose(now, "x", effects));
      Settle(log, now, std::move(effects));
    }
    auto message = Decode<ConsensusMessage>(rest.substr(0, length));
    if (message) {
      const ReplicaId from((control & 2) != 0 ? 2 : 9);
      Settle(log, now,
             log.Receive(now, ConsensusEnvelope{ kGroup, from, kSelf,
                                                 std::move(*message) }));
    }
    rest.remove_prefix(std::min<std::size_t>(length, rest.size()));
  }
  return 0;
}
