#include "carobtide/fleet/stream_origins.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace carobtide {

StreamKey MakeStreamKey(std::string_view aRequestId)
{
  return ComputeChecksum(aRequestId);
}

void StreamOrigins::Put(Instant aNow, StreamKey aStream,
                        const StreamOrigin& aOrigin)
{
  mStreams[aStream] = { aNow, mOrigins.insert(aOrigin).first };
  mUses.push_back({ aNow, aStream });
  while (mUses.size() > mMaxStreams) {
    DropOldest();
  }
}

void StreamOrigins::Put(Instant aNow, const StreamNotice& aNotice)
{
  for (const StreamGroup& group : aNotice.mGroups) {
    for (const StreamKey stream : group.mStreams) {
      Put(aNow, stream, group.mOrigin);
    }
  }
}

void StreamOrigins::DropOldest()
{
  const Use oldest = mUses.front();
  mUses.pop_front();
  const auto it = mStreams.find(oldest.mStream);
  if (it != mStreams.end() && it->second.mPutAt <= oldest.mAt) {
    mStreams.erase(it);
  }
}

std::optional<StreamOrigin> StreamOrigins::Find(StreamKey aStream) const
{
  const auto it = mStreams.find(aStream);
  if (it == mStreams.end()) {
    return std::nullopt;
  }
  return *it->second.mOrigin;
}

void StreamOrigins::Expire(Instant aBefore)
{
  while (!mUses.empty() && mUses.front().mAt < aBefore) {
    DropOldest();
  }
}

std::map<StreamOrigin, std::vector<StreamKey>> StreamOrigins::OfServices(
  const std::set<ServiceName>& aServices) const
{
  std::map<StreamOrigin, std::vector<StreamKey>> groups;
  for (const auto& [stream, entry] : mStreams) {
    if (entry.mOrigin->mSoftware.IsEmpty() ||
        aServices.contains(entry.mOrigin->mService)) {
      groups[*entry.mOrigin].push_back(stream);
    }
  }
  return groups;
}

void StreamReporter::OnBegun(Instant aNow, StreamKey aStream,
                             const StreamOrigin& aOrigin,
                             const SoftwareHistory& aHistory)
{
  const auto before = mStreams.Find(aStream);
  mStreams.Put(aNow, aStream, aOrigin);
  mServices.insert(aOrigin.mService);
  // Without a notice, the only version that is seen would be taken for it.
  const bool isTold =
    aOrigin.mSoftware.IsEmpty() || (before && before->mSoftware.IsEmpty());
  if (isTold || aHistory.IsMixed(aNow, aOrigin.mService)) {
    mDue[aOrigin].push_back(aStream);
  }
}

void StreamReporter::Update(Instant aNow, const SoftwareHistory& aHistory)
{
  mStreams.Expire(aNow - aHistory.Window());
  std::set<ServiceName> mixed;
  std::ranges::copy_if(
    mServices, std::inserter(mixed, mixed.end()),
    [&](const auto& aService) { return aHistory.IsMixed(aNow, aService); });
  const bool isNew = !std::ranges::includes(mMixed, mixed);
  mMixed = std::move(mixed);
  if (isNew) {
    Repeat();
  }
}

void StreamReporter::Repeat()
{
  mDue = mStreams.OfServices(mMixed);
}

StreamNotice StreamReporter::TakeNotice()
{
  StreamNotice notice;
  std::ranges::transform(
    std::exchange(mDue, {}), std::back_inserter(notice.mGroups),
    [](auto& aGroup) {
      return StreamGroup{ aGroup.first, std::move(aGroup.second) };
    });
  return notice;
}

OriginSearch::OriginSearch(ServiceName aService, const SoftwareSeen& aSeen,
                           std::set<Endpoint> aMembers)
  : mService(std::move(aService))
  , mVersions(aSeen.mVersions.begin(), aSeen.mVersions.end())
  , mIsComplete(aSeen.mIsComplete)
  , mMembers(std::move(aMembers))
{
}

void OriginSearch::OnReply(const Endpoint& aCore, const StreamReply& aReply)
{
  if (mMembers.contains(aCore)) {
    mReplied.insert(aCore);
    mEnded.erase(aCore);
  }
  if (aReply.mSeen.mIsComplete) {
    ++mCompleteReplies;
  }
  if (aReply.mOrigin) {
    mOrigin = aReply.mOrigin;
  }
  mVersions.insert(aReply.mSeen.mVersions.begin(),
                   aReply.mSeen.mVersions.end());
}

void OriginSearch::OnEnded(const Endpoint& aCore)
{
  if (mMembers.contains(aCore) && !mReplied.contains(aCore)) {
    mEnded.insert(aCore);
  }
}

bool OriginSearch::IsDecided() const
{
  return mOrigin ||
         (mVersions.size() == 1 && 2 * mReplied.size() > mMembers.size());
}

std::optional<StreamOrigin> OriginSearch::Result() const
{
  if (mOrigin) {
    return mOrigin;
  }
  const std::size_t known = mReplied.size() + (mIsComplete ? mEnded.size() : 0);
  if (mVersions.size() == 1 && 2 * known > mMembers.size()) {
    return StreamOrigin{ mService, *mVersions.begin() };
  }
  return std::nullopt;
}

std::optional<StreamReply> AnswerQuery(Instant aNow, const StreamQuery& aQuery,
                                       const StreamOrigins& aStreams,
                                       const SoftwareHistory& aHistory)
{
  StreamReply reply{ aStreams.Find(aQuery.mStream),
                     aHistory.Seen(aNow, aQuery.mService) };
  return reply.mOrigin || reply.mSeen.mIsComplete ? std::optional(reply)
                                                  : std::nullopt;
}

OriginEvidence OriginSearch::Evidence() const
{
  OriginEvidence evidence;
  evidence.mReplies = mReplied.size();
  evidence.mCompleteReplies = mCompleteReplies;
  evidence.mVersions = mVersions.size();
  evidence.mIsTold = mOrigin.has_value();
  evidence.mEnded = mEnded.size();
  evidence.mIsWatched = mIsComplete;
  return evidence;
}

} // namespace carobtide
