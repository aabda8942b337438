/**
 * @file
 * Log storage in memory.
 */

#include "carobtide/consensus/storage.hpp"
#include "stored_state.hpp"

namespace carobtide {

namespace {

/** Keeps everything in memory. Thread safety: none. */
class MemoryLogStorage : public LogStorage
{
public:
  Result<RecoveredState> Recover() override { return mState; }

  Result<Unit> SetReplica(ReplicaId aReplica) override
  {
    mState.mReplica = aReplica;
    return Success();
  }

  Result<Unit> Persist(const PersistBatch& aBatch) override
  {
    ApplyBatch(mState, aBatch);
    return Success();
  }

  Result<Unit> Resume() override { return Success(); }

private:
  RecoveredState mState;
};

} // namespace

std::unique_ptr<LogStorage> MakeMemoryLogStorage()
{
  return std::make_unique<MemoryLogStorage>();
}

} // namespace carobtide
