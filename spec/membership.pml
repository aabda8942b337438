/*
 * Membership changes of the replicated log while disks are lost. Replicas 0 to
 * 2 are the first voters; 3 is the identity under which a lost disk returns.
 * Models packages/consensus (ReplicatedLog::Impl, MembershipManager):
 *
 *   log[]          mLog; an entry is its term and the voters as of it, so that
 *                  ConfigOf(r) is mHistory.Current()
 *   Campaign       StartElection, Handle(VoteRequest), CountVotes
 *   Change         ProposeMembership and WhyNotAllowed: one member, the change
 *                  before it committed, an entry of the own term committed
 *   Replicate      SendEntries, Store, OnPersisted; any replica may receive,
 *                  so a learner is one that is in no configuration yet
 *   Commit         AdvanceCommit
 *   Lose           a disk is lost for good; the second one only once the first
 *                  is repaired: its identity removed, replica 3 added, committed
 *
 * The first leader, its no-op and the votes for it are the initial state.
 *
 * Checked: one leader per term; every later leader has all that was committed;
 * after each loss a living replica still has all of it.
 *
 * AMNESIA       a lost disk returns under its former identity
 * TWO_AT_ONCE   a change swaps two members in one step
 * OVERLAP       a change starts before the one before it is committed
 * EARLY_LOSS    the second disk is lost before the repair is committed
 */
// mutants: AMNESIA TWO_AT_ONCE OVERLAP EARLY_LOSS
// pan-args: -m400000

#define N 4
#define MAX_TERM 4
#define MAX_LEN 3
#define FIRST_VOTERS 7 /* replicas 0, 1 and 2 */
#define RETURNED 3
#define NONE 9

byte term[N];
byte votedFor[N]; /* replica plus one; 0: none in this term */
byte size[N];
byte log[12]; /* log[3 * replica + position] = 16 * term + voters */
bool leader[N];
bool dead[N];
byte leaderOf[5]; /* replica plus one, by term */
byte committed[MAX_LEN];
byte commitLen;
byte firstLost = NONE;
byte losses;

#define AT(r, i) log[3 * (r) + (i)]
#define LAST(r) AT(r, size[r] - 1)
#define LAST_TERM(r) (size[r] == 0 -> 0 : LAST(r) / 16)
#define CONFIG_OF(r) (size[r] == 0 -> FIRST_VOTERS : LAST(r) % 16)
#define BIT(r) (1 << (r))
#define IN(r, config) ((config & BIT(r)) != 0)
#define COUNT(c) ((c & 1) + ((c >> 1) & 1) + ((c >> 2) & 1) + ((c >> 3) & 1))
#define IS_MAJORITY(votes, config) (2 * COUNT((votes & config)) > COUNT(config))

#define UP_TO_DATE(c, v)                                                       \
  (LAST_TERM(c) > LAST_TERM(v) ||                                              \
   (LAST_TERM(c) == LAST_TERM(v) && size[c] >= size[v]))

/* Replica b holds the first n entries of replica a. */
#define HOLDS(a, b, n)                                                         \
  (size[b] >= n && (n < 1 || AT(a, 0) == AT(b, 0)) &&                          \
   (n < 2 || AT(a, 1) == AT(b, 1)) && (n < 3 || AT(a, 2) == AT(b, 2)))
#define HAS_COMMITTED(r)                                                       \
  (size[r] >= commitLen && (commitLen < 1 || AT(r, 0) == committed[0]) &&      \
   (commitLen < 2 || AT(r, 1) == committed[1]) &&                              \
   (commitLen < 3 || AT(r, 2) == committed[2]))
#define SURVIVES(r) (!dead[r] && HAS_COMMITTED(r))

inline SetTerm(r, t)
{
  leader[r] = false;
  term[r] = t;
  votedFor[r] = 0
}

/* Voter v is reached and answers, or is not reached. */
inline AskVote(c, v)
{
  if
  :: v != c && !dead[v] && term[c] >= term[v] && IN(v, CONFIG_OF(c)) ->
     if
     :: true
     :: true ->
        if
        :: term[c] > term[v] -> SetTerm(v, term[c])
        :: else
        fi;
        if
        :: votedFor[v] == 0 && UP_TO_DATE(c, v) ->
           votedFor[v] = c + 1;
           votes = votes | BIT(v)
        :: else
        fi
     fi
  :: else
  fi
}

inline Campaign(c)
{
  SetTerm(c, term[c] + 1);
  votedFor[c] = c + 1;
  votes = BIT(c);
  AskVote(c, 0);
  AskVote(c, 1);
  AskVote(c, 2);
  AskVote(c, 3);
  if
  :: IS_MAJORITY(votes, CONFIG_OF(c)) ->
     assert(leaderOf[term[c]] == 0);
     leaderOf[term[c]] = c + 1;
     leader[c] = true;
     assert(HAS_COMMITTED(c))
  :: else
  fi;
  votes = 0
}

#define APPEND(l, config)                                                      \
  AT(l, size[l]) = 16 * term[l] + (config);                                    \
  size[l]++

/* The leader knows that its newest entry is committed, and its term is new. */
#ifdef OVERLAP
#define MAY_CHANGE(l) (true)
#else
#define MAY_CHANGE(l)                                                          \
  (size[l] == commitLen && HAS_COMMITTED(l) && LAST_TERM(l) == term[l])
#endif

inline Change(l)
{
  config = CONFIG_OF(l);
  if
#ifdef TWO_AT_ONCE
  :: !IN(RETURNED, config) && firstLost != NONE && IN(firstLost, config) ->
     APPEND(l, (config | BIT(RETURNED)) & (15 - BIT(firstLost)))
#endif
  :: !IN(RETURNED, config) && firstLost != NONE ->
     APPEND(l, config | BIT(RETURNED))
  :: firstLost != NONE && IN(firstLost, config) && COUNT(config) > 3 ->
     APPEND(l, config & (15 - BIT(firstLost)))
  :: else
  fi;
  config = 0
}

inline Commit(l)
{
  select(n : 1 .. 3);
  if
  :: n <= size[l] && AT(l, n - 1) / 16 == term[l] ->
     votes = (HOLDS(l, 0, n) && !dead[0] -> 1 : 0) +
             (HOLDS(l, 1, n) && !dead[1] -> 2 : 0) +
             (HOLDS(l, 2, n) && !dead[2] -> 4 : 0) +
             (HOLDS(l, 3, n) && !dead[3] -> 8 : 0);
     if
     :: IS_MAJORITY(votes, CONFIG_OF(l)) && n > commitLen ->
        assert(HAS_COMMITTED(l));
        commitLen = n;
        committed[0] = AT(l, 0);
        committed[1] = (n > 1 -> AT(l, 1) : 0);
        committed[2] = (n > 2 -> AT(l, 2) : 0)
     :: else
     fi
  :: else
  fi;
  votes = 0;
  n = 0
}

/* The newest committed voters: the first loss is repaired. */
#ifdef EARLY_LOSS
#define REPAIRED (true)
#else
#define REPAIRED                                                               \
  (IN(RETURNED, committed[commitLen - 1]) &&                                   \
   !IN(firstLost, committed[commitLen - 1]))
#endif

inline Lose(r)
{
  leader[r] = false;
  size[r] = 0;
  AT(r, 0) = 0;
  AT(r, 1) = 0;
  AT(r, 2) = 0;
  losses++;
#ifdef AMNESIA
  term[r] = 0;
  votedFor[r] = 0;
#else
  dead[r] = true;
#endif
  if
  :: firstLost == NONE -> firstLost = r
  :: else
  fi;
  assert(SURVIVES(0) || SURVIVES(1) || SURVIVES(2) || SURVIVES(3))
}

active proctype Group()
{
  byte r, o, votes, n, config;
  d_step {
    do
    :: r < 3 ->
       term[r] = 1;
       votedFor[r] = 1;
       size[r] = (r < 2 -> 1 : 0);
       AT(r, 0) = (r < 2 -> 16 + FIRST_VOTERS : 0);
       r++
    :: else -> break
    od;
    leader[0] = true;
    leaderOf[1] = 1;
    committed[0] = 16 + FIRST_VOTERS;
    commitLen = 1;
    r = 0
  }
end:
  do
  :: atomic { /* Campaign */
     select(r : 0 .. 3);
     if
     :: !dead[r] && term[r] < MAX_TERM && IN(r, CONFIG_OF(r)) -> Campaign(r)
     :: else
     fi;
     r = 0 }
  :: atomic { /* No-op of a new leader */
     select(r : 0 .. 3);
     if
     :: leader[r] && size[r] < MAX_LEN && LAST_TERM(r) < term[r] ->
        APPEND(r, CONFIG_OF(r))
     :: else
     fi;
     r = 0 }
  :: atomic { /* Membership change */
     select(r : 0 .. 3);
     if
     :: leader[r] && size[r] < MAX_LEN && MAY_CHANGE(r) -> Change(r)
     :: else
     fi;
     r = 0 }
  :: atomic { /* Replicate */
     select(r : 0 .. 3);
     select(o : 0 .. 3);
     if
     :: leader[r] && r != o && !dead[o] && term[r] >= term[o] &&
        (o != RETURNED || firstLost != NONE) ->
        if
        :: term[r] > term[o] -> SetTerm(o, term[r])
        :: else
        fi;
        size[o] = size[r];
        AT(o, 0) = AT(r, 0);
        AT(o, 1) = AT(r, 1);
        AT(o, 2) = AT(r, 2)
     :: else
     fi;
     r = 0; o = 0 }
  :: atomic { /* Commit */
     select(r : 0 .. 3);
     if
     :: leader[r] -> Commit(r)
     :: else
     fi;
     r = 0 }
  :: atomic { /* A disk is lost */
     select(r : 0 .. 3);
     if
     :: !dead[r] && (r != RETURNED || firstLost != NONE) &&
        (losses == 0 || (losses == 1 && REPAIRED)) -> Lose(r)
     :: else
     fi;
     r = 0 }
  od
}
