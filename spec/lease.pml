/*
 * The leader's lease, three replicas, with time. Elections and requests are
 * single steps; the log is left out (see log.pml). Models packages/consensus
 * (ReplicatedLog::Impl):
 *
 *   promise[]   IsLeaderFresh: mLeaderHeardAt plus mElectionTimeout, counted
 *               down; a restart renews it (the constructor's mLeaderHeardAt)
 *   lease[]     HasLease: mQuorumContact plus mLeaseDuration, counted down
 *   sentAt      age of the oldest request whose answer may still arrive:
 *               AppendReply echoes mSentAtMicros, so a late answer renews the
 *               lease from the time of sending
 *   ordered[]   PendingTransfer::mOrdered; order: the TimeoutNow in flight
 *
 * Checked: one leader per term; never two leases at once.
 *
 * NO_PROMISE      a restart forgets the promise
 * LONG_LEASE      the lease outlasts the promise
 * LATE_ANSWER     the lease counts from the arrival of the answer
 * KEEP_LEASE      a leader keeps its lease after sending TimeoutNow
 */
// mutants: NO_PROMISE LONG_LEASE LATE_ANSWER KEEP_LEASE
// pan-args: -m400000

#define N 3
#define MAX_TERM 3
#define PROMISE 2
#ifdef LONG_LEASE
#define LEASE 3
#else
#define LEASE 1
#endif
#ifdef LATE_ANSWER
#define RENEWED(age) LEASE
#else
#define RENEWED(age) (age < LEASE -> LEASE - age : 0)
#endif
#define MAX_AGE 3
#define NONE 9

byte term[N];
byte votedFor[N]; /* replica plus one; 0: none in this term */
bool leader[N];
byte promise[N];
byte lease[N];
bool ordered[N];
byte leaderOf[4]; /* replica plus one, by term */
/* One answer on its way: to whom, in which term, how old the request is. */
byte answerTo = NONE;
byte answerTerm;
byte answerAge;
/* One TimeoutNow on its way. */
byte orderTo = NONE;
byte orderTerm;

inline StepDown(r)
{
  leader[r] = false;
  lease[r] = 0;
  ordered[r] = false
}

inline SetTerm(r, t)
{
  StepDown(r);
  term[r] = t;
  votedFor[r] = 0
}

/* A voter keeps its promise unless the old leader itself gave way. */
inline AskVote(c, v, transfer)
{
  if
  :: term[c] >= term[v] && (transfer || (promise[v] == 0 && !leader[v])) ->
     if
     :: term[c] > term[v] -> SetTerm(v, term[c])
     :: else
     fi;
     if
     :: votedFor[v] == 0 ->
        votedFor[v] = c + 1;
        votes++
     :: else
     fi
  :: else
  fi
}

inline Campaign(c, transfer)
{
  SetTerm(c, term[c] + 1);
  votedFor[c] = c + 1;
  votes = 1;
  if
  :: true -> AskVote(c, (c + 1) % 3, transfer)
  :: true -> AskVote(c, (c + 2) % 3, transfer)
  fi;
  if
  :: votes >= 2 ->
     assert(leaderOf[term[c]] == 0);
     leaderOf[term[c]] = c + 1;
     leader[c] = true
  :: else
  fi;
  votes = 0
}

#define HOLDS_LEASE(r) (leader[r] && lease[r] > 0)

inline CheckLeases()
{
  assert(HOLDS_LEASE(0) + HOLDS_LEASE(1) + HOLDS_LEASE(2) <= 1)
}

active proctype Group()
{
  byte r, o, votes;
end:
  do
  :: atomic { /* Election timeout */
     select(r : 0 .. 2);
     if
     :: term[r] < MAX_TERM && promise[r] == 0 && !leader[r] ->
        Campaign(r, false)
     :: else
     fi;
     r = 0 }
  :: atomic { /* Append request: the follower promises and answers */
     select(r : 0 .. 2);
     select(o : 0 .. 2);
     if
     :: leader[r] && r != o && term[r] >= term[o] ->
        if
        :: term[r] > term[o] -> SetTerm(o, term[r])
        :: else
        fi;
        promise[o] = PROMISE;
        answerTo = r;
        answerTerm = term[r];
        answerAge = 0
     :: else
     fi;
     r = 0; o = 0 }
  :: atomic { /* Append reply: with the leader itself two of three */
     answerTo != NONE ->
     if
     :: leader[answerTo] && term[answerTo] == answerTerm &&
        !ordered[answerTo] && lease[answerTo] < RENEWED(answerAge) ->
        lease[answerTo] = RENEWED(answerAge);
        CheckLeases()
     :: else
     fi;
     answerTo = NONE; answerTerm = 0; answerAge = 0 }
  :: atomic { /* Leadership transfer: the leader orders an election */
     select(r : 0 .. 2);
     select(o : 0 .. 2);
     if
     :: HOLDS_LEASE(r) && r != o ->
        orderTo = o;
        orderTerm = term[r];
#ifndef KEEP_LEASE
        lease[r] = 0;
        ordered[r] = true
#endif
     :: else
     fi;
     r = 0; o = 0 }
  :: atomic { /* TimeoutNow arrives, however late */
     orderTo != NONE ->
     if
     :: term[orderTo] == orderTerm && !leader[orderTo] &&
        term[orderTo] < MAX_TERM ->
        Campaign(orderTo, true)
     :: else
     fi;
     orderTo = NONE; orderTerm = 0 }
  :: atomic { /* Check-quorum, or a later term heard of */
     select(r : 0 .. 2);
     StepDown(r);
     r = 0 }
  :: atomic { /* Restart */
     select(r : 0 .. 2);
     StepDown(r);
#ifdef NO_PROMISE
     promise[r] = 0;
#else
     promise[r] = PROMISE;
#endif
     r = 0 }
  :: atomic { /* Time passes */
     r = 0;
     do
     :: r < N ->
        promise[r] = (promise[r] > 0 -> promise[r] - 1 : 0);
        lease[r] = (lease[r] > 0 -> lease[r] - 1 : 0);
        r++
     :: else -> break
     od;
     answerAge = (answerTo != NONE && answerAge < MAX_AGE -> answerAge + 1
                                                          : answerAge);
     r = 0 }
  od
}
