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
                           std::size_t aAsked)
  : mService(std::move(aService))
  , mVersions(aSeen.mVersions.begin(), aSeen.mVersions.end())
  , mIsComplete(aSeen.mIsComplete)
  , mAsked(aAsked)
{
}

void OriginSearch::OnReply(const StreamReply& aReply)
{
  ++mReplies;
  if (aReply.mSeen.mIsComplete) {
    ++mCompleteReplies;
  }
  if (aReply.mOrigin) {
    mOrigin = aReply.mOrigin;
  }
  mVersions.insert(aReply.mSeen.mVersions.begin(),
                   aReply.mSeen.mVersions.end());
}

bool OriginSearch::IsDecided() const
{
  return mOrigin || (mIsComplete && mVersions.size() == 1);
}

std::optional<StreamOrigin> OriginSearch::Result() const
{
  if (mOrigin) {
    return mOrigin;
  }
  const bool isMajority = 2 * mReplies > mAsked;
  if (mVersions.size() == 1 && (mIsComplete || isMajority)) {
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
  return { mReplies, mCompleteReplies, mVersions.size(), mOrigin.has_value(),
           mIsComplete };
}

} // namespace carobtide
