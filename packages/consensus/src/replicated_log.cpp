/**
 * @file
 * ReplicatedLog's public functions forward to the implementation.
 */

#include "carobtide/consensus/replicated_log.hpp"

#include "replica.hpp"

namespace carobtide {

ReplicatedLog::ReplicatedLog(GroupId aGroup, RecoveredState aRecovered,
                             const Membership& aInitial,
                             ReplicatedLogOptions aOptions, Instant aNow,
                             std::uint64_t aSeed)
  : mImpl(std::make_unique<Impl>(aGroup, std::move(aRecovered), aInitial,
                                 aOptions, aNow, aSeed))
{
}

ReplicatedLog::~ReplicatedLog() = default;
ReplicatedLog::ReplicatedLog(ReplicatedLog&&) noexcept = default;
ReplicatedLog& ReplicatedLog::operator=(ReplicatedLog&&) noexcept = default;

LogEffects ReplicatedLog::Tick(Instant aNow)
{
  return mImpl->Tick(aNow);
}

LogEffects ReplicatedLog::Receive(Instant aNow,
                                  const ConsensusEnvelope& aEnvelope)
{
  return mImpl->Receive(aNow, aEnvelope);
}

LogEffects ReplicatedLog::OnPersisted(Instant aNow, std::uint64_t aSequence)
{
  return mImpl->OnPersisted(aNow, aSequence);
}

LogEffects ReplicatedLog::OnPersistFailed(Instant aNow, const Error& aError)
{
  return mImpl->OnPersistFailed(aNow, aError);
}

Result<std::uint64_t> ReplicatedLog::Propose(Instant aNow, std::string aPayload,
                                             LogEffects& aEffects)
{
  return mImpl->Propose(aNow, std::move(aPayload), aEffects);
}

Result<std::uint64_t> ReplicatedLog::ProposeMembership(
  Instant aNow, const Membership& aMembership, LogEffects& aEffects)
{
  return mImpl->ProposeMembership(aNow, aMembership, aEffects);
}

LogEffects ReplicatedLog::TransferLeadership(Instant aNow,
                                             std::optional<ReplicaId> aTo)
{
  return mImpl->TransferLeadership(aNow, aTo);
}

LogEffects ReplicatedLog::OnSnapshotTaken(Instant aNow, std::uint64_t aIndex,
                                          std::string aState)
{
  return mImpl->OnSnapshotTaken(aNow, aIndex, std::move(aState));
}

Instant ReplicatedLog::NextWakeup() const
{
  return mImpl->NextWakeup();
}

ReplicaId ReplicatedLog::Self() const
{
  return mImpl->Self();
}

ReplicaRole ReplicatedLog::Role() const
{
  return mImpl->Role();
}

std::uint64_t ReplicatedLog::Term() const
{
  return mImpl->Term();
}

std::uint64_t ReplicatedLog::CommitIndex() const
{
  return mImpl->CommitIndex();
}

std::uint64_t ReplicatedLog::LastIndex() const
{
  return mImpl->LastIndex();
}

std::uint64_t ReplicatedLog::FirstIndex() const
{
  return mImpl->FirstIndex();
}

ReplicaId ReplicatedLog::Leader() const
{
  return mImpl->Leader();
}

const Membership& ReplicatedLog::CurrentMembership() const
{
  return mImpl->CurrentMembership();
}

bool ReplicatedLog::HasLease(Instant aNow) const
{
  return mImpl->HasLease(aNow);
}

std::optional<Instant> ReplicatedLog::LastContact(ReplicaId aReplica) const
{
  return mImpl->LastContact(aReplica);
}

std::uint64_t ReplicatedLog::MatchIndex(ReplicaId aReplica) const
{
  return mImpl->MatchIndex(aReplica);
}

} // namespace carobtide
