// Model of the ledger (packages/ledger: Ledger, ClaimFlow) over one key.
//
// A caller sends one request and resends it, REQUESTS times in all, to any
// daemon process that lives. A claimant is one such process: another daemon or
// the same one after a restart. The replicated log is a single state; a leader
// change shows as proposals that are lost, committed late, or committed twice.
// Any process may die at any step, and be taken for dead while it lives.
// Bytes once sent may be run by the target at any later time.
//
// Properties: the service runs the key at most once; no request that was told
// not-run runs, before or after; a replayed answer is that of the one run; a
// released attempt and a claimant that is gone hold no open claim.
// Expiry is left out: it drops settled keys only.
//
// mutants: DISPATCH_BEFORE_COMMIT DISPATCH_UNCERTAIN RELEASE_AFTER_BYTES
// mutants: NOT_RUN_AFTER_BYTES RETRY_AFTER_BYTES SECOND_GRANT REGRANT
// mutants: FREE_ON_DEATH NO_RELEASE_RECORD GRANT_GONE

#define REQUESTS 2
#define CLAIMANTS 2

mtype:key = { FREE, CLAIMED, COMPLETED, UNKNOWN };
mtype:reply = { NONE, GRANTED, REPLAY, REFUSED };
mtype:settle = { NO_SETTLE, COMPLETE, RELEASE, ABANDON };
mtype:told = { NOTHING, RAN, NOT_RUN, MAYBE };
mtype:wire = { QUIET, SENT, ANSWERED };

mtype:key state = FREE;
byte holder;
bool released[REQUESTS];
bool gone[CLAIMANTS];

bool up[CLAIMANTS];
byte claimant[REQUESTS];
bool claimPending[REQUESTS];
bool claimRepeated[REQUESTS];
mtype:reply claimReply[REQUESTS] = NONE;
mtype:settle settlePending[REQUESTS] = NO_SETTLE;
bool settled[REQUESTS];

mtype:wire wire[REQUESTS] = QUIET;
mtype:told told[REQUESTS] = NOTHING;
bool ran[REQUESTS];
byte runs;

#define ALIVE(a) up[claimant[a]]

inline Tell(a, what) {
  told[a] = what;
  assert(told[a] != NOT_RUN || !ran[a]);
  assert(told[a] != RAN || runs == 1);
}

inline CheckLedger() {
  assert(state != CLAIMED || !(released[holder] && settled[holder]));
  assert(state != CLAIMED || !gone[claimant[holder]]);
}

// Ledger::Apply(ClaimKey)
inline ApplyClaim(a) {
  if
#ifndef GRANT_GONE
  :: gone[claimant[a]] -> claimReply[a] = REFUSED
#endif
#ifndef NO_RELEASE_RECORD
  :: released[a] -> claimReply[a] = REFUSED
#endif
  :: else ->
    if
    :: state == FREE -> state = CLAIMED; holder = a; claimReply[a] = GRANTED
    :: state == COMPLETED -> claimReply[a] = REPLAY
    :: state == CLAIMED && holder == a -> claimReply[a] = GRANTED
    :: state == CLAIMED && holder != a ->
#ifdef SECOND_GRANT
      holder = a; claimReply[a] = GRANTED
#else
      claimReply[a] = REFUSED
#endif
    :: state == UNKNOWN ->
#ifdef REGRANT
      state = CLAIMED; holder = a; claimReply[a] = GRANTED
#else
      claimReply[a] = REFUSED
#endif
    fi
  fi;
  CheckLedger()
}

// Ledger::Apply(CompleteKey, ReleaseKey, AbandonKey)
inline ApplySettle(a) {
  if
  :: settlePending[a] == COMPLETE ->
    if
    :: holder == a && (state == CLAIMED || state == UNKNOWN) ->
      state = COMPLETED
    :: else -> skip
    fi
  :: settlePending[a] == RELEASE ->
    released[a] = true;
    if
    :: holder == a && state == CLAIMED -> state = FREE
    :: else -> skip
    fi
  :: settlePending[a] == ABANDON ->
    if
    :: holder == a && state == CLAIMED -> state = UNKNOWN
    :: else -> skip
    fi
  fi;
  settled[a] = true;
  CheckLedger()
}

// Ledger::Apply(AbandonClaimant)
inline ApplyGone(c) {
  gone[c] = true;
  if
  :: state == CLAIMED && claimant[holder] == c ->
#ifdef FREE_ON_DEATH
    state = FREE
#else
    state = UNKNOWN
#endif
  :: else -> skip
  fi;
  CheckLedger()
}

// The log commits the proposals of a request in any order with those of
// others, loses some and repeats a claim. The target runs whatever bytes it was
// sent, at any later time.
proctype World(byte n) {
end:
  do
  :: atomic {
      claimPending[n] ->
      if
      :: ApplyClaim(n);
        if
        :: claimPending[n] = false
        :: !claimRepeated[n] -> claimRepeated[n] = true
        fi
      :: claimPending[n] = false
      fi
    }
  :: atomic {
      settlePending[n] != NO_SETTLE ->
      if
      :: ApplySettle(n)
      :: skip
      fi;
      settlePending[n] = NO_SETTLE
    }
  :: atomic {
      wire[n] == SENT ->
      runs++;
      ran[n] = true;
      wire[n] = ANSWERED;
      assert(runs <= 1);
      assert(told[n] != NOT_RUN)
    }
  od
}

// A process dies, and is taken for gone whether it lives or not.
proctype Process(byte n) {
end:
  do
  :: atomic { up[n] -> up[n] = false }
  :: atomic { !gone[n] -> ApplyGone(n) }
  od
}

// ClaimFlow
proctype Request(byte a) {
  // The caller sends or resends; the balancer picks a process that lives.
end:
  atomic {
    if
    :: up[0] -> claimant[a] = 0
    :: up[1] -> claimant[a] = 1
    fi;
    claimPending[a] = true;
#ifdef DISPATCH_BEFORE_COMMIT
    wire[a] = SENT
#endif
  }
  // Claiming.
  if
  :: atomic { ALIVE(a) && claimReply[a] == GRANTED -> skip }
  :: atomic { ALIVE(a) && claimReply[a] == REPLAY -> Tell(a, RAN); goto done }
  :: atomic { ALIVE(a) && claimReply[a] == REFUSED -> Tell(a, MAYBE); goto done }
  :: atomic {
      // No answer in time: the claim may be committed, now or later.
      ALIVE(a) ->
#ifndef DISPATCH_UNCERTAIN
      Tell(a, NOT_RUN);
      settlePending[a] = RELEASE;
      goto settling
#endif
    }
  :: atomic { !ALIVE(a) -> goto done }
  fi;
  // Dispatching: refused before any byte, or bytes are out.
  if
  :: atomic {
      ALIVE(a) ->
      Tell(a, NOT_RUN);
      settlePending[a] = RELEASE;
      goto settling
    }
  :: atomic { ALIVE(a) -> wire[a] = SENT }
  :: atomic { !ALIVE(a) -> goto done }
  fi;
running:
  if
  :: atomic {
      ALIVE(a) && wire[a] == ANSWERED ->
      Tell(a, RAN);
      settlePending[a] = COMPLETE
    }
  :: atomic {
      // Broken or timed out; the target may have run it, or may still.
      ALIVE(a) ->
#ifdef RETRY_AFTER_BYTES
      wire[a] = SENT;
      goto running
#elif defined(NOT_RUN_AFTER_BYTES)
      Tell(a, NOT_RUN);
      settlePending[a] = ABANDON
#elif defined(RELEASE_AFTER_BYTES)
      Tell(a, MAYBE);
      settlePending[a] = RELEASE
#else
      Tell(a, MAYBE);
      settlePending[a] = ABANDON
#endif
    }
  :: atomic { !ALIVE(a) -> goto done }
  fi;
settling:
  // A lost proposal is proposed again until it is settled.
  do
  :: atomic { settled[a] -> break }
  :: atomic {
      ALIVE(a) && !settled[a] && settlePending[a] == NO_SETTLE ->
      if
      :: told[a] == RAN -> settlePending[a] = COMPLETE
      :: told[a] == NOT_RUN -> settlePending[a] = RELEASE
      :: else -> settlePending[a] = ABANDON
      fi
    }
  :: atomic { !ALIVE(a) -> break }
  od;
done:
  skip
}

init {
  atomic {
    up[0] = true;
    up[1] = true;
    run World(0); run World(1);
    run Process(0); run Process(1);
    run Request(0); run Request(1)
  }
}
