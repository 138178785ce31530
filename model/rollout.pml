/* Claims, leases, fences and steps on two instances of one zone, each with its own agent, and two operators'
 * coordinators of which the second takes over. Agents and coordinators die and come back; messages are lost,
 * doubled and late (a step may be delivered long after it was sent). docs/rollouts.md says what is left out.
 *
 * Time: a lease may run out at any moment. An owner lets one run out only after its coordinator's side has
 * (the coordinator counts from when it sent, the owner from when it received; both by steady clocks).
 *
 * Variants, each to be caught: -DNO_FENCE (a step is taken without a look at its fence), -DNO_FALLBACK (a
 * half-done step stays half done when its claim ends), -DEAGER_OWNER (an owner gives up before its coordinator).
 */
#define INSTANCES 2
#define COORDINATORS 2
#define NOBODY 0

/* The owners: what is on disk. */
byte last_fence[INSTANCES];
byte holder[INSTANCES];     /* a coordinator's number, from 1 */
byte step_of[INSTANCES];    /* whose step is under way, 0: none */
byte step_fence[INSTANCES];
bool owner_up[INSTANCES];

/* The instances themselves: they live on when their agent dies. */
mtype = { serving, stopping, down };
mtype instance[INSTANCES];

/* The coordinators' side: whether they believe in their claim, and under which fence. */
bool believes[6];  /* (coordinator - 1) * INSTANCES + instance */
byte fence[6];
bool asked[6];     /* a step of theirs is open there, as far as they know */
byte served[6];    /* 1: that instance is through */
#define AT(c, i) ((c - 1) * INSTANCES + i)

/* Steps on their way: each may be delivered at any time, twice, or never. */
bool flying[6];
byte flying_fence[6];
bool doubled[6];

byte deaths = 2;  /* so many in all */
byte acting_under[INSTANCES];  /* the fence of the last act */

/* An act on an instance under a step: the rules are looked at here, from outside. */
inline act(i) {
  assert(step_of[i] != NOBODY);
  /* No act under a fence that an act under a newer one has followed. */
  assert(step_fence[i] >= acting_under[i]);
  acting_under[i] = step_fence[i];
}

/* What is half done when its claim ends or its agent dies falls back: it serves again. One that has gone already
 * is started: the step goes on to its end. */
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

/* A step comes in. It may come once more later. */
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
  :: else -> skip  /* refused, or the repeat of one that has ended */
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
  /* The step that is under way goes on. */
  :: atomic { owner_up[i] && step_of[i] != NOBODY && instance[i] == serving -> act(i); instance[i] = stopping }
  :: atomic { owner_up[i] && step_of[i] != NOBODY && instance[i] == stopping -> act(i); instance[i] = down }
  :: atomic { owner_up[i] && step_of[i] != NOBODY && instance[i] == down ->
       act(i); instance[i] = serving;
       /* Done, and told where its coordinator still listens. */
       c = step_of[i];
       step_of[i] = NOBODY;
       if
       :: believes[AT(c, i)] && fence[AT(c, i)] == step_fence[i] -> asked[AT(c, i)] = false; served[AT(c, i)] = 1
       :: else -> skip
       fi;
       c = 0
     }
  /* A lease runs out. */
  :: atomic { owner_up[i] && MAY_RUN_OUT(i) ->
       /* The other side acts under it no more. */
       assert(!believes[AT(holder[i], i)] || fence[AT(holder[i], i)] != last_fence[i]);
       claim_ended(i) }
  /* It dies, and comes back with what is on disk. */
  :: atomic { owner_up[i] && deaths > 0 -> deaths--; owner_up[i] = false }
  :: atomic { !owner_up[i] -> owner_up[i] = true; fall_back(i) }
  :: timeout -> break
  od
}

/* A rollout over both instances, one at a time. The second one takes over. */
proctype Coordinator(byte c) {
  byte i = 0;
  bool alive = true;
  /* Claims: one owner after the other, in one order; all or none. */
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
       :: goto give_up  /* held by another, no answer, or the operator had enough */
       fi
  :: else -> break
  od;
  i = 0;
  do
  :: i < INSTANCES ->
       if
       /* The floor of the zone: one of two. What it has asked for elsewhere counts as not serving. */
       :: atomic { believes[AT(c, i)] && !asked[AT(c, 1 - i)] && instance[1 - i] == serving ->
            asked[AT(c, i)] = true; flying[AT(c, i)] = true; flying_fence[AT(c, i)] = fence[AT(c, i)];
            if
            :: doubled[AT(c, i)] = true
            :: skip
            :: flying[AT(c, i)] = false  /* lost */
            fi };
          /* It is told of the end, or gives up: its lease runs out, it dies, or it lost the claim. */
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
  /* It acts no more. By the clock its side of each lease ends before the owners' sides. */
  atomic {
    believes[AT(c, 0)] = false; believes[AT(c, 1)] = false;
    asked[AT(c, 0)] = false; asked[AT(c, 1)] = false
  };
  alive = false
}

/* When nothing moves any more every instance is in a known state: it serves, nothing is half done, and nobody
 * holds a claim. */
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

/* Never both down by one rollout's own steps. */
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
