/* Models leases, fences and steps on two instances of one zone. Each instance has its own agent, which owns the leases
 * on it. Two operators' coordinators each run a rollout; the second one takes over the leases of the first. Agents and
 * coordinators crash, and agents restart; messages are lost, duplicated and delayed (a step may be delivered long after
 * it was sent). docs/rollouts.md lists what is not modelled.
 *
 * Time: a lease may expire at any moment, but at its owner only after it has expired at its coordinator. The
 * coordinator counts a lease from when it sent the request, the owner from when it received it, both by steady clocks.
 *
 * Broken variants, in each of which Spin must find an error: NO_FENCE (an owner accepts a step without a check of its
 * fence), NO_FALLBACK (an interrupted step is left half done when its lease ends), EAGER_OWNER (a lease expires at the
 * owner before it expires at the coordinator).
 */
#define INSTANCES 2
#define COORDINATORS 2
#define NOBODY 0

/* The owners' state on disk. */
byte last_fence[INSTANCES];
byte holder[INSTANCES];     /* the coordinator that holds the lease, from 1; 0: none */
byte step_of[INSTANCES];    /* the coordinator whose step is in progress; 0: none */
byte step_fence[INSTANCES];
bool owner_up[INSTANCES];

/* The instances, which keep running when their agent crashes. */
mtype = { serving, stopping, down };
mtype instance[INSTANCES];

/* The coordinators' state: whether each takes its lease for live, and the lease's fence. */
bool believes[6];  /* (coordinator - 1) * INSTANCES + instance */
byte fence[6];
bool asked[6];     /* the coordinator has sent a step whose end it doesn't know */
byte served[6];    /* 1: the coordinator's step on that instance is done */
#define AT(c, i) ((c - 1) * INSTANCES + i)

/* Steps in transit: each may be delivered at any time, twice, or never. */
bool flying[6];
byte flying_fence[6];
bool doubled[6];

byte deaths = 2;  /* how many crashes may still happen */
byte acting_under[INSTANCES];  /* the fence of the last action on the instance */

/* Checks an action on an instance as part of a step. */
inline act(i) {
  assert(step_of[i] != NOBODY);
  /* Once there was an action with a newer fence, there is none with an older one. */
  assert(step_fence[i] >= acting_under[i]);
  acting_under[i] = step_fence[i];
}

/* Ends a step that was interrupted by the end of its lease or by a crash of its agent: the instance serves again. If
 * the instance is down already, the step continues, which starts the instance. */
inline fall_back(i) {
  if
#ifdef NO_FALLBACK
  :: step_of[i] != NOBODY -> step_of[i] = NOBODY
#else
  :: step_of[i] != NOBODY && instance[i] != down -> instance[i] = serving; step_of[i] = NOBODY
#endif
  :: else -> skip
  fi
}

inline claim_ended(i) {
  holder[i] = NOBODY;
  fall_back(i)
}

/* The owner receives a step. A duplicated step is received once more. */
inline receive(i, c) {
  if
  :: doubled[AT(c, i)] -> doubled[AT(c, i)] = false
  :: else -> flying[AT(c, i)] = false
  fi;
  if
#ifdef NO_FENCE
  :: step_of[i] == NOBODY -> step_of[i] = c; step_fence[i] = flying_fence[AT(c, i)]
#else
  :: step_of[i] == NOBODY && holder[i] == c && last_fence[i] == flying_fence[AT(c, i)] && !served[AT(c, i)] ->
       step_of[i] = c; step_fence[i] = flying_fence[AT(c, i)]
#endif
  :: else -> skip  /* refused, or a repeat of a step that has ended */
  fi
}

#ifdef EAGER_OWNER
#define MAY_RUN_OUT(i) (holder[i] != NOBODY)
#else
#define MAY_RUN_OUT(i) (holder[i] != NOBODY && !believes[AT(holder[i], i)])
#endif

proctype Owner(byte i) {
  byte c;
  do
  :: atomic { owner_up[i] && flying[AT(1, i)] -> receive(i, 1) }
  :: atomic { owner_up[i] && flying[AT(2, i)] -> receive(i, 2) }
  /* The step in progress continues. */
  :: atomic { owner_up[i] && step_of[i] != NOBODY && instance[i] == serving -> act(i); instance[i] = stopping }
  :: atomic { owner_up[i] && step_of[i] != NOBODY && instance[i] == stopping -> act(i); instance[i] = down }
  :: atomic { owner_up[i] && step_of[i] != NOBODY && instance[i] == down ->
       act(i); instance[i] = serving;
       /* The step is done. Its coordinator learns of that if it still takes its lease for live. */
       c = step_of[i];
       step_of[i] = NOBODY;
       if
       :: believes[AT(c, i)] && fence[AT(c, i)] == step_fence[i] -> asked[AT(c, i)] = false; served[AT(c, i)] = 1
       :: else -> skip
       fi;
       c = 0
     }
  /* A lease expires. */
  :: atomic { owner_up[i] && MAY_RUN_OUT(i) ->
       /* The coordinator no longer takes the lease for live. */
       assert(!believes[AT(holder[i], i)] || fence[AT(holder[i], i)] != last_fence[i]);
       claim_ended(i) }
  /* The owner crashes, and restarts with its state on disk. */
  :: atomic { owner_up[i] && deaths > 0 -> deaths--; owner_up[i] = false }
  :: atomic { !owner_up[i] -> owner_up[i] = true; fall_back(i) }
  :: timeout -> break
  od
}

/* A rollout over both instances, one at a time. The second coordinator takes over the leases of the first. */
proctype Coordinator(byte c) {
  byte i = 0;
  bool alive = true;
  /* Acquires the leases from one owner after the other, always in the same order; all or none. */
  do
  :: i < INSTANCES ->
       if
       :: atomic { owner_up[i] && (holder[i] == NOBODY || c == 2) ->
            if
            :: holder[i] != NOBODY -> claim_ended(i)
            :: else -> skip
            fi;
            last_fence[i]++; holder[i] = c;
            fence[AT(c, i)] = last_fence[i]; believes[AT(c, i)] = true; i++ }
       :: goto give_up  /* another operation holds the lease, the owner doesn't respond, or the operator aborts */
       fi
  :: else -> break
  od;
  i = 0;
  do
  :: i < INSTANCES ->
       if
       /* The zone's minimum is one serving instance of two. An instance with an open step of this coordinator counts
        * as not serving. */
       :: atomic { believes[AT(c, i)] && !asked[AT(c, 1 - i)] && instance[1 - i] == serving ->
            asked[AT(c, i)] = true; flying[AT(c, i)] = true; flying_fence[AT(c, i)] = fence[AT(c, i)];
            if
            :: doubled[AT(c, i)] = true
            :: skip
            :: flying[AT(c, i)] = false  /* lost */
            fi };
          /* Learns that the step has ended, or gives up: its lease expires, it crashes, or its lease was taken
           * over. */
          if
          :: !asked[AT(c, i)]
          :: goto give_up
          fi;
          i++
       :: goto give_up
       fi
  :: else -> break
  od;
give_up:
  /* Sends nothing from now on. By the clock each lease expires here before it expires at its owner. */
  atomic {
    believes[AT(c, 0)] = false; believes[AT(c, 1)] = false;
    asked[AT(c, 0)] = false; asked[AT(c, 1)] = false
  };
  alive = false
}

/* In the end, when no process can take another step, each instance serves, no step is in progress and no lease is
 * held. */
proctype Judge() {
  timeout;
  byte i = 0;
  do
  :: i < INSTANCES ->
       assert(owner_up[i]);
       assert(instance[i] == serving && step_of[i] == NOBODY && holder[i] == NOBODY);
       i++
  :: else -> break
  od
}

/* The steps of one rollout never stop both instances at once. */
#define BOTH_BY(c) (step_of[0] == c && step_of[1] == c && instance[0] != serving && instance[1] != serving)
proctype Floor() {
  atomic { BOTH_BY(1) || BOTH_BY(2) -> assert(false) }
}

init {
  byte i = 0;
  atomic {
    do
    :: i < INSTANCES -> instance[i] = serving; owner_up[i] = true; i++
    :: else -> break
    od;
    run Owner(0); run Owner(1);
    run Coordinator(1); run Coordinator(2);
    run Floor(); run Judge()
  }
}
