#include "checker.hpp"

namespace carobtide::matrix {

void Checker::Fail(Invariant aInvariant, std::string aWhat)
{
  mViolations.push_back({ aInvariant, std::move(aWhat) });
}

void Checker::OnLeader(std::uint64_t aTerm, ReplicaId aReplica)
{
  const auto [it, isNew] = mLeaders.emplace(aTerm, aReplica);
  if (!isNew && it->second != aReplica) {
    Fail(Invariant::Agreement, "two leaders in term " + std::to_string(aTerm));
  }
}

void Checker::OnCommitted(std::uint64_t aIndex, const std::string& aEntry)
{
  const auto [it, isNew] = mCommitted.emplace(aIndex, aEntry);
  if (!isNew && it->second != aEntry) {
    Fail(Invariant::Agreement,
         "two entries committed at index " + std::to_string(aIndex));
  }
}

void Checker::OnInForce(const std::string& aDaemon, Epoch aEpoch,
                        const std::string& aText)
{
  Epoch& last = mInForce[aDaemon];
  if (aEpoch < last) {
    Fail(Invariant::Configuration, aDaemon + " went back from epoch " +
                                     std::to_string(last.Value()) + " to " +
                                     std::to_string(aEpoch.Value()));
  }
  last = aEpoch;
  const auto [it, isNew] = mTexts.emplace(aEpoch, aText);
  if (!isNew && it->second != aText) {
    Fail(Invariant::Configuration, aDaemon + " holds another text of epoch " +
                                     std::to_string(aEpoch.Value()));
  }
}

void Checker::OnMemory(const std::string& aTarget, Bytes aUsed, Bytes aMemory)
{
  if (aUsed > aMemory) {
    Fail(Invariant::Memory, aTarget + " holds " + std::to_string(aUsed) +
                              " of " + std::to_string(aMemory));
  }
}

void Checker::OnChunk(RequestId aRequest, RequestId aWritten,
                      std::uint32_t aNumber)
{
  std::uint32_t& next = mChunks[aRequest];
  if (aWritten != aRequest || aNumber != next) {
    Fail(Invariant::WholeAnswer, "request " + std::to_string(aRequest.Value()) +
                                   " got chunk " + std::to_string(aNumber) +
                                   " of request " +
                                   std::to_string(aWritten.Value()) +
                                   " for its chunk " + std::to_string(next));
  }
  ++next;
}

void Checker::OnWhole(RequestId aRequest)
{
  if (mChunks[aRequest] != kChunks) {
    Fail(Invariant::WholeAnswer,
         "request " + std::to_string(aRequest.Value()) + " was ended after " +
           std::to_string(mChunks[aRequest]) + " chunks");
  }
}

void Checker::OnRun(std::uint64_t aSubmission, const std::string& aKey)
{
  mRun.insert(aSubmission);
  if (mToldNotRun.contains(aSubmission)) {
    Fail(Invariant::NotRun, "submission " + std::to_string(aSubmission) +
                              " ran after its caller was told not-run");
  }
  if (!aKey.empty() && ++mRunsOfKey[aKey] > 1) {
    Fail(Invariant::AtMostOnce, "key " + aKey + " ran again");
  }
}

void Checker::OnToldNotRun(std::uint64_t aSubmission)
{
  mToldNotRun.insert(aSubmission);
  if (mRun.contains(aSubmission)) {
    Fail(Invariant::NotRun, "submission " + std::to_string(aSubmission) +
                              " ran and its caller was told not-run");
  }
}

void Checker::OnToldRan(const std::string& aKey, const std::string& aBody)
{
  if (aBody != aKey) {
    Fail(Invariant::WholeAnswer,
         "key " + aKey + " was given the answer " + aBody);
  }
  if (mRunsOfKey[aKey] == 0) {
    Fail(Invariant::NotRun, "key " + aKey +
                              " never ran, its caller was told "
                              "that it did");
  }
}

} // namespace carobtide::matrix
