/*
 * Election and commitment of the replicated log, three replicas. Time plays no
 * part: any replica may campaign at any moment. The lease is in lease.pml.
 * Models packages/consensus (ReplicatedLog::Impl):
 *
 *   term, votedFor   mHardState, durable before it is told (SendOnceDurable)
 *   size, log[]       mLog; an entry is its term
 *   Campaign         StartElection, Handle(VoteRequest), CountVotes as one step:
 *                    asking a subset of the replicas in any order equals
 *                    losing the requests to the others
 *   Append           Propose on the leader
 *   Replicate        SendEntries, MatchesLog, Store, OnPersisted, AppendReply
 *   Commit           AdvanceCommit: own term only
 *
 * Checked: one leader per term; what is committed stays and stays the same in
 * the log of every later leader.
 *
 * FORGET_VOTE    a restart loses the vote (hard state not durable)
 * STALE_LOG      votes go to candidates with a shorter log
 * COMMIT_OLD     entries of earlier terms are committed by counting copies
 */
// mutants: FORGET_VOTE STALE_LOG COMMIT_OLD
// pan-args: -m400000

#define N 3
#define MAX_TERM 4
#define MAX_LEN 2

byte term[N];
byte votedFor[N]; /* replica plus one; 0: none in this term */
byte size[N];
byte log[6]; /* log[2 * replica + position] */
bool leader[N];
byte commitLen; /* what any replica has ever committed */
byte committed[MAX_LEN];
byte leaderOf[5]; /* replica plus one, by term */

#define AT(r, i) log[2 * (r) + (i)]
#define LAST_TERM(r) (size[r] == 0 -> 0 : AT(r, size[r] - 1))

/* The candidate's log is at least as up to date as the voter's. */
#ifdef STALE_LOG
#define UP_TO_DATE(c, v) (true)
#else
#define UP_TO_DATE(c, v)                                                       \
  (LAST_TERM(c) > LAST_TERM(v) ||                                              \
   (LAST_TERM(c) == LAST_TERM(v) && size[c] >= size[v]))
#endif

inline StepDown(r)
{
  leader[r] = false
}

inline SetTerm(r, t)
{
  StepDown(r);
  term[r] = t;
  votedFor[r] = 0;
}

/* One voter answers. */
inline AskVote(c, v)
{
  if
  :: term[c] >= term[v] ->
     if
     :: term[c] > term[v] -> SetTerm(v, term[c])
     :: else
     fi;
     if
     :: (votedFor[v] == 0 || votedFor[v] == c + 1) && UP_TO_DATE(c, v) ->
        votedFor[v] = c + 1;
        votes++
     :: else
     fi
  :: else
  fi
}

inline Win(c)
{
  assert(leaderOf[term[c]] == 0 || leaderOf[term[c]] == c + 1);
  leaderOf[term[c]] = c + 1;
  leader[c] = true;
  /* Every committed entry is in the new leader's log. */
  assert(size[c] >= commitLen);
  assert(commitLen < 1 || AT(c, 0) == committed[0]);
  assert(commitLen < 2 || AT(c, 1) == committed[1])
}

/* Logs agree up to a length (by position and term). */
#define MATCHES(a, b, n)                                                       \
  ((n < 1 || AT(a, 0) == AT(b, 0)) && (n < 2 || AT(a, 1) == AT(b, 1)))
#define HOLDS(a, b, n) (size[b] >= n && MATCHES(a, b, n))

/* The leader's request reaches a follower, which stores and answers. */
inline Replicate(l, f)
{
  if
  :: term[l] > term[f] -> SetTerm(f, term[l])
  :: else
  fi;
  if
  :: HOLDS(l, f, size[l])
  :: else ->
     size[f] = size[l];
     AT(f, 0) = AT(l, 0);
     AT(f, 1) = AT(l, 1)
  fi
}

#ifdef COMMIT_OLD
#define MAY_COMMIT(l, n) (true)
#else
#define MAY_COMMIT(l, n) (AT(l, n - 1) == term[l])
#endif

inline Commit(l, f, n)
{
  assert(commitLen < 1 || AT(l, 0) == committed[0]);
  assert(commitLen < 2 || n < 2 || AT(l, 1) == committed[1]);
  if
  :: n > commitLen ->
     commitLen = n;
     committed[0] = AT(l, 0);
     committed[1] = (n > 1 -> AT(l, 1) : 0)
  :: else
  fi
}

active proctype Group()
{
  byte r, o, votes, n;
end:
  do
  :: atomic { /* Campaign: the two others are each reached or not */
     select(r : 0 .. 2);
     if
     :: term[r] < MAX_TERM ->
        SetTerm(r, term[r] + 1);
        votedFor[r] = r + 1;
        votes = 1;
        if
        :: true -> AskVote(r, (r + 1) % 3)
        :: true -> AskVote(r, (r + 2) % 3)
        :: true -> AskVote(r, (r + 1) % 3); AskVote(r, (r + 2) % 3)
        fi;
        if
        :: votes >= 2 -> Win(r)
        :: else
        fi
     :: else
     fi;
     r = 0; votes = 0 }
  :: atomic { /* Append */
     select(r : 0 .. 2);
     if
     :: leader[r] && size[r] < MAX_LEN ->
        AT(r, size[r]) = term[r];
        size[r]++
     :: else
     fi;
     r = 0 }
  :: atomic { /* Replicate, then perhaps Commit */
     select(r : 0 .. 2);
     select(o : 0 .. 2);
     if
     :: leader[r] && r != o && term[r] >= term[o] ->
        Replicate(r, o);
        if
        :: true
        :: select(n : 1 .. 2);
           if
           :: n <= size[r] && HOLDS(r, o, n) && MAY_COMMIT(r, n) ->
              Commit(r, o, n)
           :: else
           fi
        fi
     :: else
     fi;
     r = 0; o = 0; n = 0 }
  :: atomic { /* A request of an old leader meets a later term */
     select(r : 0 .. 2);
     select(o : 0 .. 2);
     if
     :: leader[r] && term[o] > term[r] -> SetTerm(r, term[o])
     :: else
     fi;
     r = 0; o = 0 }
  :: atomic { /* Restart: what is volatile is lost */
     select(r : 0 .. 2);
     StepDown(r);
#ifdef FORGET_VOTE
     votedFor[r] = 0;
#endif
     r = 0 }
  od
}
