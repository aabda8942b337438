#pragma once

/**
 * @file
 * One caller's request at an edge, from its route to its answer.
 */

#include "caller_identity.hpp"
#include "edge_context.hpp"
#include "event_frames.hpp"
#include "relay_note.hpp"
#include "request_trail.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace carobtide {

/**
 * Asks the dispatcher, sends, relays. Bytes of an answer go to the caller only
 * while it is certain that they belong to it; an answer that breaks off ends
 * its connection, so that it does not look whole.
 *
 * Thread safety: everything on the edge's one thread.
 */
class EdgeRequest : public std::enable_shared_from_this<EdgeRequest>
{
public:
  /**
   * The exchange and the context outlive Run. `aRelayed` is set if the exchange
   * is with another daemon, which handed the caller's request on.
   */
  EdgeRequest(EdgeContext& aContext, HttpExchange& aExchange,
              CallerRequest aCaller, CallerIdentity aIdentity,
              const Route& aRoute, ServiceName aService, Instant aArrived,
              const std::optional<RelayCall>& aRelayed = std::nullopt);

  /** Returns once the caller has its answer or is gone. */
  boost::asio::awaitable<void> Run();

  /**
   * Gives the request up, since the daemon ends: its caller is told that it
   * took too long, or that it has not run.
   */
  void GiveUp();

  /**
   * Nothing gets through to a target any more: a request that may be repeated
   * does not wait for its answer.
   */
  void OnPathLost(const TargetName& aTarget);

private:
  /** How a send ended, and whether the caller has the final answer. */
  struct Attempt
  {
    SendEnd mEnd = SendEnd::Whole;
    bool mAnswered = false;
    /** The target answered that it succeeded. */
    bool mSucceeded = false;
    BodyFraming mFraming = BodyFraming::None;
  };

  /** How handing the request to another daemon ended. */
  struct RelayAttempt
  {
    RelayEnd mEnd = RelayEnd::Lost;
    /** Attempts that targets may have run there. */
    std::uint32_t mRuns = 0;
    /** The caller has the final answer, which ended so. */
    std::optional<SendEnd> mAnswered;
    BodyFraming mFraming = BodyFraming::None;
  };

  using AwaitAttempt = boost::asio::awaitable<Attempt>;
  using AwaitConnection =
    boost::asio::awaitable<std::unique_ptr<HttpConnection>>;
  using AwaitRelay = boost::asio::awaitable<RelayAttempt>;

  // edge_request_relay.cpp: requests between daemons.
  /** Hands the request on; true if it has ended, whatever the caller got. */
  boost::asio::awaitable<bool> RunRelayed(RelayTo aRelay);
  AwaitRelay HandOn(RelayTo aRelay);
  AwaitRelay ExchangeWithRelay(RelayTo aRelay, HttpConnection& aConnection);
  AwaitRelay TakeRelayAnswer(RelayTo aRelay, HttpConnection& aConnection,
                             HttpResponseHead aHead);
  HttpRequest MakeRelayRequest() const;
  /** How an exchange with another daemon failed. */
  RelayEnd RelayEndOf(const Error& aError) const;
  /** The headers of an answer for the caller, or for the daemon before. */
  HttpHeaders AnswerHeaders(const HttpHeaders& aHeaders) const;

  static bool IsSuccess(std::uint16_t aStatus);

  AwaitAttempt Send(SendTo aSend);
  /** A connection to a target; null if there is none. */
  AwaitConnection Connect(const Endpoint& aAddress);
  /** Tells the dispatcher of the target's idle connections that have ended. */
  void NoteEndedConnections(const SendTo& aSend);
  /** Why the request must not be sent any more, if so. */
  std::optional<SendEnd> FindObstacle(const SendTo& aSend);
  /**
   * Asks the target which process it is, on the connection for the request;
   * nothing if the connection fails.
   */
  boost::asio::awaitable<std::optional<ProcessCheck>> CheckProcess(
    SendTo aSend, HttpConnection& aConnection);
  AwaitAttempt Exchange(SendTo aSend, HttpConnection& aConnection);
  AwaitAttempt TakeAnswer(SendTo aSend, HttpConnection& aConnection,
                          HttpResponseHead aHead);
  AwaitAttempt RelayWhole(SendTo aSend, HttpConnection& aConnection,
                          HttpResponseHead aHead);
  AwaitAttempt RelayStream(SendTo aSend, HttpConnection& aConnection,
                           HttpResponseHead aHead);
  /** True if a stream that its framing calls ended was not broken off. */
  boost::asio::awaitable<bool> IsWholeAtEnd(SendTo aSend,
                                            HttpConnection& aConnection);
  /** Sends the head to the caller unless an earlier attempt has. */
  boost::asio::awaitable<Result<Unit>> BeginStream(
    const HttpResponseHead& aHead);
  HoldParties PartiesOf(const TargetName& aTarget) const;
  /** Takes room for a long event; gives it back if there is none any more. */
  boost::asio::awaitable<Result<Unit>> HoldEvents(std::size_t aBytes);
  /** Sends whole events to the caller; false if it is gone. */
  boost::asio::awaitable<bool> PassOn(const HttpResponseHead& aHead,
                                      std::string_view aEvents);
  /** Reads the rest of a body and keeps none of it. */
  boost::asio::awaitable<Result<Unit>> Drain(HttpConnection& aConnection);
  /** Reads heads until one answers this request. */
  boost::asio::awaitable<Result<HttpResponseHead>> ReadOwnHead(
    HttpConnection& aConnection, HttpResponseHead aFirst);
  boost::asio::awaitable<void> Wait(Instant aUntil);
  /** Until when the request may wait for a target. */
  Instant WaitLimit() const;
  /** A short pause, since the request may do better at another daemon. */
  static Rejection MakeRejection(std::string aReason);
  /** True if the caller has a part of the stream already. */
  bool IsTakenUp() const;
  StreamKey Stream() const;
  /** False if it is not certain what began the stream. */
  boost::asio::awaitable<bool> FindOrigin();
  // edge_request_identity.cpp: the organisation of the request.
  /**
   * Takes the request's cost from its organisation's allowance. False if the
   * caller was told that the allowance does not bear it.
   */
  boost::asio::awaitable<bool> TakeAllowance();
  /**
   * Identifies the caller again if the catalog has changed. True if the catalog
   * in force does not accept its key.
   */
  bool IsKeyWithdrawn();
  /** Tells the caller, or the daemon that has the key. */
  boost::asio::awaitable<void> RefuseKey();
  /** Returns the cost to the organisation if no target can have run it. */
  void ReturnCost();
  /** Why the request must not be sent, if its content is blocked. */
  std::optional<Rejection> FindBlock() const;
  /** Tells the guard what the end of a send shows of content and target. */
  boost::asio::awaitable<void> NoteEvidence(SendTo aSend, Instant aSentAt,
                                            Attempt aAttempt, bool aMayRetry);
  boost::asio::awaitable<void> Refuse(Rejection aAway);
  boost::asio::awaitable<void> Fail(SendEnd aEnd);
  boost::asio::awaitable<void> Answer(std::uint16_t aStatus,
                                      Duration aRetryAfter,
                                      std::string aReason);
  /** Also notes what made an answer none. */
  SendEnd EndOf(const Error& aError);
  Duration Left() const;
  /** True if the daemon may end before a target has answered. */
  bool IsTooLateToSend() const;
  void OnCallerGone();
  /** Gives back what the answer of an attempt was held in. */
  void EndHolds(HttpConnection& aConnection);
  /** Ends whatever the request is waiting for. */
  void CancelWork();
  void OnFirstByte(const SendTo& aSend);
  /** Takes note of what an answer's head says of the target. */
  void NoteTarget(const SendTo& aSend, const TargetHead& aSaid);
  void NoteEvent();
  /**
   * Takes note of what began the stream, or that it is not known; call before
   * an event is passed on.
   */
  void NoteOrigin(const SendTo& aSend);
  void End(RequestOutcome aOutcome, std::string_view aReason);

  EdgeContext& mContext;
  HttpExchange& mExchange;
  CallerRequest mCaller;
  CallerIdentity mIdentity;
  const Route mRoute;
  DispatchState mState;
  Instant mDeadline;
  /** Rank among those that wait for room: the earliest objective first. */
  std::int64_t mDue = 0;
  EventFrames mFrames;
  /** Room for a long event of a stream. */
  MemoryHold mEventHold;
  /** Not null while a target works on the request. */
  HttpConnection* mConnection = nullptr;
  /** What works on it is another daemon. */
  bool mIsAtRelay = false;
  /** Another daemon handed the request to this one. */
  const bool mIsRelayed;
  /** What may have run before the request came here. */
  const std::uint32_t mRunsBefore;
  /** The target that it was last sent to. */
  std::optional<SendTo> mLastSend;
  bool mIsPathLost = false;
  /** It was refused since no target for it can be reached from here. */
  bool mIsUnreachable = false;
  /** What the caller's key was last checked against. */
  std::shared_ptr<const OrganisationDirectory> mOrganisations;
  bool mIsKeyWithdrawn = false;
  /** Why it was refused, if it was. */
  std::optional<RefusalReason> mRefusal;
  /** The allowance of its organisation bore its cost. */
  bool mIsCharged = false;
  /** What it took from the allowance of its organisation. */
  Credit mCost = 0;
  /** A target may have begun to work on it. */
  bool mMayHaveRun = false;
  bool mIsGone = false;
  bool mIsGivenUp = false;
  /** How it showed that the caller is gone, for the log. */
  std::string mGoneReason = "connection closed";
  bool mHasBegun = false;
  std::uint32_t mSends = 0;
  /** When an event was last passed on, and the longest pause before one. */
  Instant mEventAt;
  Duration mLongestPause{ 0 };
  std::string mLastTarget;
  /** What made the last answer none in the protocol. */
  std::string mFlaw;
  Fingerprints mFingerprints;
  RequestTrail mTrail;
};

} // namespace carobtide
