/*
 * Orders to one target: packages/placement (Placement, PlacementController,
 * OrderTracker). Memory has two units; models 0 and 1 take one each, model 2
 * takes two. A copy's state in the record maps to CopyState; commit, settle
 * and begin are the commands CommitOrder, SettleOrder and BeginTerm.
 *
 * Leaders have terms 1 and 2. A leader may be deposed at any moment and what
 * it had sent may still arrive. Orders on their way are kept as sets per model:
 * each may be delivered any number of times, in any order, or never. If
 * `checks`, the target refuses tokens below the highest seen. Settling an
 * unload without that proof stands for waiting out the order lifetime: after
 * it, nothing that was sent before is on its way any more.
 *
 * Property: the memory in use never exceeds two units.
 */
// mutants: FREE_AT_SEND DROP_ON_LEADER_CHANGE NO_QUIET NO_TERM NO_FENCE_RAISE

#define MODELS 3
#define UNITS 2

#define ABSENT 0
#define LOADING 1
#define HELD 2
#define UNLOADING 3

/* The record. */
byte record[MODELS];
byte recordTerm = 0;
/* The target. */
bool resident[MODELS];
bool checks;
byte highest = 0;
/* Orders on their way: token + 1, zero if none. Two slots of loads, since one
 * model may be loaded by two orders in turn. */
byte loadOld[MODELS];
byte loadNew[MODELS];
byte unloadOrder[MODELS];
/* A proposal of term 1 to settle a load as undone, committed late. */
byte lateSettle = MODELS;
/* The leader. */
byte term = 0;
byte count = 0;
byte budget = 6;
bool sentUnload[MODELS];

#define SIZE(m) (m == 2 -> 2 : 1)
#define RESERVED ((record[0] != ABSENT) + (record[1] != ABSENT) + \
                  2 * (record[2] != ABSENT))
#define USED (resident[0] + resident[1] + 2 * resident[2])
#define TOKEN (term * 8 + count)

inline pick(m)
{
  if
  :: m = 0
  :: m = 1
  :: m = 2
  fi
}

inline forget(m)
{
  loadOld[m] = 0;
  loadNew[m] = 0;
  unloadOrder[m] = 0
}

inline sendLoad(m)
{
  if
  :: loadNew[m] != 0 && loadNew[m] != TOKEN + 1 -> loadOld[m] = loadNew[m]
  :: else
  fi;
  loadNew[m] = TOKEN + 1
}

inline settleUnload(m)
{
  record[m] = ABSENT;
#ifndef NO_FENCE_RAISE
  count = (count < 7 -> count + 1 : count);
#endif
  sentUnload[m] = false
}

active proctype leader()
{
  byte m;
  if
  :: checks = true
  :: checks = false
  fi;
  do
  /* A leader begins its term; commands of earlier ones are refused then. */
  :: term < 2 -> atomic {
       term = term + 1;
       count = 0;
       recordTerm = term;
       sentUnload[0] = false;
       sentUnload[1] = false;
       sentUnload[2] = false;
#ifdef DROP_ON_LEADER_CHANGE
       m = 0;
       do
       :: m < MODELS ->
          if
          :: record[m] == LOADING -> record[m] = ABSENT
          :: else
          fi;
          m = m + 1
       :: else -> break
       od;
#endif
       m = 0
     }
  /* Commits a load that fits. */
  :: term > 0 && budget > 0 -> atomic {
       pick(m);
       if
       :: record[m] == ABSENT && RESERVED + SIZE(m) <= UNITS ->
          record[m] = LOADING;
          budget = budget - 1
       :: else
       fi;
       m = 0
     }
  /* Sends a committed load, for the first time or again. */
  :: term > 0 -> atomic {
       pick(m);
       if
       :: record[m] == LOADING && !(term == 1 && lateSettle == m) -> sendLoad(m)
       :: else
       fi;
       m = 0
     }
  /* Settles a load that an announcement shows resident. */
  :: term > 0 -> atomic {
       pick(m);
       if
       :: record[m] == LOADING && resident[m] -> record[m] = HELD
       :: else
       fi;
       m = 0
     }
  /* Commits an unload; its token is above those of all loads so far. */
  :: term > 0 && budget > 0 -> atomic {
       pick(m);
       if
       :: record[m] == HELD && resident[m] ->
          record[m] = UNLOADING;
          budget = budget - 1;
#ifndef NO_FENCE_RAISE
          count = (count < 7 -> count + 1 : count);
#endif
          sentUnload[m] = false
       :: else
       fi;
       m = 0
     }
  :: term > 0 -> atomic {
       pick(m);
       if
       :: record[m] == UNLOADING ->
          unloadOrder[m] = TOKEN + 1;
          sentUnload[m] = true;
#ifdef FREE_AT_SEND
          settleUnload(m)
#endif
       :: else
       fi;
       m = 0
     }
  /* Settles an unload: proven by the token, or after the order lifetime. */
  :: term > 0 -> atomic {
       pick(m);
       if
       :: record[m] == UNLOADING && !resident[m] && checks && sentUnload[m] ->
          settleUnload(m)
#ifdef NO_QUIET
       :: record[m] == UNLOADING && !resident[m] && sentUnload[m] ->
          settleUnload(m)
#else
       :: record[m] == UNLOADING && !resident[m] ->
          forget(m);
          settleUnload(m)
#endif
       :: else
       fi;
       m = 0
     }
  /* Term 1 withdraws a load that it never sent; committed now or late. */
  :: term == 1 && lateSettle == MODELS -> atomic {
       pick(m);
       if
       :: record[m] == LOADING && loadNew[m] == 0 && loadOld[m] == 0 ->
          lateSettle = m
       :: else
       fi;
       m = 0
     }
  /* Applies it, if the record is still in term 1. */
  :: lateSettle < MODELS -> atomic {
       if
#ifdef NO_TERM
       :: record[lateSettle] == LOADING -> record[lateSettle] = ABSENT
#else
       :: recordTerm == 1 && record[lateSettle] == LOADING ->
          record[lateSettle] = ABSENT
#endif
       :: else
       fi;
       lateSettle = MODELS
     }
  od
}

inline accept(token)
{
  if
  :: checks && highest < token - 1 -> highest = token - 1
  :: else
  fi
}

active proctype target()
{
  byte m;
  do
  :: atomic {
       pick(m);
       if
       :: loadOld[m] != 0 && (!checks || loadOld[m] > highest) ->
          accept(loadOld[m]);
          resident[m] = true
       :: loadNew[m] != 0 && (!checks || loadNew[m] > highest) ->
          accept(loadNew[m]);
          resident[m] = true
       :: unloadOrder[m] != 0 && (!checks || unloadOrder[m] > highest) ->
          accept(unloadOrder[m]);
          resident[m] = false
       :: else
       fi;
       assert(USED <= UNITS);
       m = 0
     }
  od
}
