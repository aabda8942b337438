#pragma once

/**
 * @file
 * What began the streams that are open.
 */

#include "carobtide/fleet/software_history.hpp"
#include "carobtide/fleet/stream_messages.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace carobtide {

/**
 * Streams and their origins, the newest up to a bound.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class StreamOrigins
{
public:
  static constexpr std::size_t kMaxStreams = 500'000;

  explicit StreamOrigins(std::size_t aMaxStreams = kMaxStreams)
    : mMaxStreams(aMaxStreams)
  {
  }

  /** A stream has begun or goes on. */
  void Put(Instant aNow, StreamKey aStream, const StreamOrigin& aOrigin);
  void Put(Instant aNow, const StreamNotice& aNotice);

  std::optional<StreamOrigin> Find(StreamKey aStream) const;

  /** Forgets the streams that were last put before a time. */
  void Expire(Instant aBefore);

  /** The streams of the services in a set, and all without a known version. */
  std::map<StreamOrigin, std::vector<StreamKey>> OfServices(
    const std::set<ServiceName>& aServices) const;

  std::size_t Size() const { return mStreams.size(); }

private:
  using OriginSet = std::set<StreamOrigin>;

  struct Entry
  {
    Instant mPutAt;
    OriginSet::const_iterator mOrigin;
  };

  struct Use
  {
    Instant mAt;
    StreamKey mStream = 0;
  };

  void DropOldest();

  std::size_t mMaxStreams;
  /** One copy of each origin. */
  OriginSet mOrigins;
  std::unordered_map<StreamKey, Entry> mStreams;
  /** In the order of time. A stream that was put again is in it twice. */
  std::deque<Use> mUses;
};

/**
 * The streams of one routing daemon, and which of them control daemons have to
 * be told of: those of services whose targets run several software versions.
 *
 * Answers: a daemon dies, and callers take its streams up at others. While all
 * targets of a service run one version, nothing is sent.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class StreamReporter
{
public:
  /** A stream brought its first event at this daemon. */
  void OnBegun(Instant aNow, StreamKey aStream, const StreamOrigin& aOrigin,
               const SoftwareHistory& aHistory);

  /**
   * Forgets streams that are over. The streams of a service that got a second
   * version become due.
   */
  void Update(Instant aNow, const SoftwareHistory& aHistory);

  /** A control daemon lost what it was told. */
  void Repeat();

  /** What is due since the last call; no groups if nothing is. */
  StreamNotice TakeNotice();
  bool HasNotice() const { return !mDue.empty(); }

  std::optional<StreamOrigin> Find(StreamKey aStream) const
  {
    return mStreams.Find(aStream);
  }

private:
  StreamOrigins mStreams;
  std::map<StreamOrigin, std::vector<StreamKey>> mDue;
  std::set<ServiceName> mServices;
  /** Those of them that run several versions. */
  std::set<ServiceName> mMixed;
};

/**
 * A control daemon's answer to a query. Nothing if it was not told of the
 * stream and does not know a whole window: then it has nothing to say, and a
 * daemon that asks must not take what it sees now for all that served.
 */
std::optional<StreamReply> AnswerQuery(Instant aNow, const StreamQuery& aQuery,
                                       const StreamOrigins& aStreams,
                                       const SoftwareHistory& aHistory);

/** What the search for a stream's origin has to go by. */
struct OriginEvidence
{
  /** Control daemons that answered. */
  std::size_t mReplies = 0;
  /** Those of them that say to know a whole window. */
  std::size_t mCompleteReplies = 0;
  /** Software versions that any daemon has seen within the window. */
  std::size_t mVersions = 0;
  /** A daemon was told of the stream. */
  bool mIsTold = false;
  /** Members whose processes are known to have ended. */
  std::size_t mEnded = 0;
  /** The daemon that asks knows a whole window itself. */
  bool mIsWatched = false;
};

/**
 * Finds what began a stream that a caller takes up, from the answers of several
 * daemons. Where none was told of the stream, it is certain only if one
 * software version alone has served for as long as a stream lasts, by the
 * answers of a majority of the control daemons to a question that was asked
 * after the stream was taken up. Streams begin at a version only once a
 * majority has named it (see ControlWatch), so that one of any other majority
 * knows it.
 *
 * What this daemon watched itself is never certain while others may know more:
 * its news may be late. It stands in only for control daemons whose processes
 * ended while this daemon watched them, which have told nobody anything since.
 *
 * Answers: daemons that restarted, all at once too, were paused or cut off,
 * lost their disks, or see a new version later than others; no daemon answers.
 *
 * Thread safety: none; the owner synchronizes access.
 */
class OriginSearch
{
public:
  /**
   * Preconditions: aSeen is what this daemon itself has seen of the service;
   * aMembers are the control daemons that count for a majority, also those that
   * cannot be reached.
   */
  OriginSearch(ServiceName aService, const SoftwareSeen& aSeen,
               std::set<Endpoint> aMembers);

  /**
   * A control daemon has answered; see AnswerQuery. One of a build that kept
   * nothing over restarts answers also if it knows no whole window.
   * Precondition: it was asked after the stream was taken up.
   */
  void OnReply(const Endpoint& aCore, const StreamReply& aReply);

  /** The process of a control daemon has ended; see ControlWatch::HasEnded. */
  void OnEnded(const Endpoint& aCore);

  /** True if no further reply changes the result. */
  bool IsDecided() const;

  /** True if all have replied: asking again is of no use. */
  bool IsAnswered() const
  {
    return !mMembers.empty() && mReplied.size() == mMembers.size();
  }

  /** Nothing if it is not certain from the replies so far. */
  std::optional<StreamOrigin> Result() const;

  OriginEvidence Evidence() const;

private:
  ServiceName mService;
  std::optional<StreamOrigin> mOrigin;
  std::set<SoftwareVersion> mVersions;
  /** This daemon has watched for as long as a stream lasts. */
  bool mIsComplete = false;
  std::set<Endpoint> mMembers;
  /** Members that have answered. */
  std::set<Endpoint> mReplied;
  /** Members whose processes have ended. */
  std::set<Endpoint> mEnded;
  std::size_t mCompleteReplies = 0;
};

} // namespace carobtide
