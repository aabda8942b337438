#pragma once

/**
 * @file
 * The life of one non-idempotent request on a daemon, from the claim of its
 * key to the settled key, as events and effects.
 */

#include "carobtide/ledger/ledger.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace carobtide {

/** What a caller is told about its request, in Carobtide-Outcome. */
enum class RunOutcome : std::uint8_t
{
  /** It ran; the answer is that of the one run. */
  Ran,
  /** No byte of it reached or will reach a target. */
  NotRun,
  /** It may have run, once. */
  Unknown,
};

inline constexpr EnumTable<RunOutcome, 3> kRunOutcomes{ { {
  { RunOutcome::Ran, "ran" },
  { RunOutcome::NotRun, "not-run" },
  { RunOutcome::Unknown, "unknown" },
} } };

/** What identifies the request and its attempt. */
struct ClaimFacts
{
  LedgerKey mKey;
  Digest mContent;
  ClaimantId mClaimant;
  /** Unique within the claimant's incarnation. */
  std::uint64_t mAttempt = 0;
  std::int64_t mWallMicros = 0;
};

/** Tuning of a flow. */
struct ClaimFlowLimits
{
  /** Most targets that are tried while each refuses the connection. */
  int mMaxConnects = 3;
  /** Pause before a settling command is proposed again; doubles each time. */
  Duration mRetryPause = std::chrono::milliseconds(100);
  Duration mMaxRetryPause = std::chrono::seconds(5);
  /** Proposals of a completion with its body; later ones omit the body. */
  int mMaxBodyProposals = 10;
};

/** The claim was committed with this outcome. */
struct ClaimDecided
{
  LedgerOutcome mOutcome;
};

/** The claim is certain never to be committed, e.g. no leader is known. */
struct ClaimRefused
{};

/** The claim may or may not be committed, now or later. */
struct ClaimUncertain
{};

/** The target refused the connection; no byte of the request was sent. */
struct ConnectFailed
{};

/** There is no (other) target to connect to; no byte was sent. */
struct NoTargetLeft
{};

/** The target's whole answer arrived. */
struct AnswerArrived
{
  StoredAnswer mAnswer;
};

/** The connection broke after the first byte was sent, or may have been. */
struct ConnectionBroke
{};

/** The answer did not arrive in time; the connection was closed. */
struct AnswerTimedOut
{};

/** The command that settles the key was committed with this verdict. */
struct SettleDecided
{
  LedgerVerdict mVerdict = LedgerVerdict::Settled;
};

/** That command was not committed, or it is not known whether it was. */
struct SettleUncertain
{};

/** The pause that StartRetryPause asked for is over. */
struct RetryPauseOver
{};

/** The caller closed its connection. */
struct CallerLeft
{};

using ClaimEvent =
  std::variant<ClaimDecided, ClaimRefused, ClaimUncertain, ConnectFailed,
               NoTargetLeft, AnswerArrived, ConnectionBroke, AnswerTimedOut,
               SettleDecided, SettleUncertain, RetryPauseOver, CallerLeft>;

/** Propose a claim; answer with ClaimDecided, ClaimRefused or ClaimUncertain.
 */
struct ProposeClaim
{
  ClaimKey mCommand;
};

/** Propose a settling command; answer with SettleDecided or SettleUncertain. */
struct ProposeSettle
{
  LedgerCommand mCommand;
};

/**
 * Send the request to a target not tried before, on a fresh connection. Answer
 * with ConnectFailed or NoTargetLeft only if no byte of it was handed to the
 * connection.
 */
struct DispatchRequest
{};

/** Answer the caller. Emitted once, unless the caller left before. */
struct AnswerCaller
{
  std::uint16_t mStatus = 0;
  RunOutcome mOutcome = RunOutcome::Unknown;
  /** For people, if there is no stored answer. */
  std::string mDetail;
  /** The target's answer, now or from an earlier run. */
  std::optional<StoredAnswer> mAnswer;
  /** Zero for none. */
  Duration mRetryAfter{ 0 };
};

/** Answer with RetryPauseOver after this time. */
struct StartRetryPause
{
  Duration mPause{ 0 };
};

/** The claimant was taken for gone: claim under a new incarnation from now. */
struct RenewClaimant
{};

using ClaimEffect = std::variant<ProposeClaim, ProposeSettle, DispatchRequest,
                                 AnswerCaller, StartRetryPause, RenewClaimant>;

using ClaimEffects = std::vector<ClaimEffect>;

/** Where a flow stands. */
enum class ClaimState : std::uint8_t
{
  /** Not started. */
  Idle,
  Claiming,
  /** The only state in which bytes may reach a target. */
  Dispatching,
  Completing,
  Releasing,
  Abandoning,
  /** The key is settled, or was never claimed by this flow. */
  Finished,
};

inline constexpr EnumTable<ClaimState, 7> kClaimStates{ { {
  { ClaimState::Idle, "idle" },
  { ClaimState::Claiming, "claiming" },
  { ClaimState::Dispatching, "dispatching" },
  { ClaimState::Completing, "completing" },
  { ClaimState::Releasing, "releasing" },
  { ClaimState::Abandoning, "abandoning" },
  { ClaimState::Finished, "finished" },
} } };

/**
 * The decisions of one non-idempotent request.
 *
 * A request is dispatched only after its claim was committed and granted. A
 * claim of uncertain commit is never dispatched: the caller is told that the
 * request was not run, and the release is proposed until it is settled. The
 * caller's leaving stops a request only before its dispatch. A flow outlives
 * its answer until the key is settled; its owner keeps it until IsFinished().
 *
 * An event that does not fit the state, such as a late duplicate, changes
 * nothing. Thread safety: none; one owner calls it.
 *
 * Example:
 *
 *     ClaimFlow flow(facts);
 *     Perform(flow.Start());
 *     Perform(flow.Handle(ClaimDecided{ outcome }));
 */
class ClaimFlow
{
public:
  explicit ClaimFlow(ClaimFacts aFacts, ClaimFlowLimits aLimits = {});

  /** Proposes the claim. Precondition: the state is Idle. */
  ClaimEffects Start();

  /** Takes an event. Precondition: Start() was called. */
  ClaimEffects Handle(const ClaimEvent& aEvent);

  ClaimState State() const { return mState; }
  bool IsFinished() const { return mState == ClaimState::Finished; }
  const ClaimFacts& Facts() const { return mFacts; }

private:
  void On(const ClaimDecided& aEvent);
  void On(const ClaimRefused& aEvent);
  void On(const ClaimUncertain& aEvent);
  void On(const ConnectFailed& aEvent);
  void On(const NoTargetLeft& aEvent);
  void On(const AnswerArrived& aEvent);
  void On(const ConnectionBroke& aEvent);
  void On(const AnswerTimedOut& aEvent);
  void On(const SettleDecided& aEvent);
  void On(const SettleUncertain& aEvent);
  void On(const RetryPauseOver& aEvent);
  void On(const CallerLeft& aEvent);

  void Granted();
  void Dispatch();
  void AnswerWithStored(const StoredAnswer& aAnswer);
  void Refuse(std::uint16_t aStatus, RunOutcome aOutcome, std::string aDetail,
              Duration aRetryAfter = Duration::zero());
  /** Gives the answer that waits for the first outcome of settling. */
  void GivePendingAnswer();
  void Answer(AnswerCaller aAnswer);
  void BeginSettle(ClaimState aState);
  void ProposeSettling();
  LedgerCommand SettlingCommand();
  bool IsSettling() const;

  ClaimFacts mFacts;
  ClaimFlowLimits mLimits;
  ClaimState mState = ClaimState::Idle;
  ClaimEffects mEffects;
  bool mCallerIsThere = true;
  int mConnects = 0;
  int mSettleProposals = 0;
  Duration mPause{ 0 };
  /** The answer of the run, until it is stored. */
  StoredAnswer mRunAnswer;
  std::optional<AnswerCaller> mPending;
};

} // namespace carobtide
