/* Models the distribution of configuration versions among two agents (or three), each with one manager. Any agent
   may publish. Documents may be lost (never received), duplicated and delayed. Agents may crash between writing a
   version to disk and sending it. Disks may be lost or restored from an older copy.

   The assertions fail if an accepted version is known to no agent any more, if a manager or an intact disk returns to
   an older version, or if an agent does not store the greatest of the versions that it has received.

   A document is a small number. Documents are ordered by (number, tie); the mask `ancestors` includes the document
   itself. Not modelled: acknowledgements of where a version is in force, epochs, and the limits on the number of
   ancestors and records. docs/configuration.md describes the protocol. The model makes the same assumption: a disk is
   lost only while every other agent knows all that it holds, so one durable copy is enough here.

   Broken variants, in each of which Spin must find an error: TELLS_FIRST (an agent sends a version before it has
   written it), TRUSTS_OLD_DISK (an agent doesn't verify its version with its peers after a restart), NO_RECORDS (a
   superseded version is not recorded). */

#ifndef AGENTS
#define AGENTS 2
#endif
#ifndef DOCUMENTS
#define DOCUMENTS 3
#endif
#ifndef DEATHS
#define DEATHS 2
#endif
#define BIT(n) (1 << (n))

byte documents;                    /* the last published one; they count from 1 */
byte number[DOCUMENTS + 1], tie[DOCUMENTS + 1], ancestors[DOCUMENTS + 1];
bool sent[DOCUMENTS + 1];          /* in transit; any agent may receive it at any time, repeatedly */
bool accepted[DOCUMENTS + 1];

/* On an agent's disk: its current document, and the mask of the documents that were superseded by conflict, with
   their ancestors. */
byte disk[AGENTS], superseded[AGENTS], older_disk[AGENTS], older_superseded[AGENTS];
/* The same in the agent's memory, which differs from the disk only in the variant TELLS_FIRST. */
byte memory[AGENTS], memory_superseded[AGENTS];
byte heard[AGENTS];                /* mask of the peers that have answered since the agent's start */
byte told[AGENTS];                 /* the greatest document that it has sent since it had this disk */
bool alive[AGENTS] = true;
byte in_force[AGENTS];             /* the document that is in force at the agent's manager */
byte deaths;

#define LESS(a, b) (number[a] < number[b] || (number[a] == number[b] && tie[a] < tie[b]))
#define KNOWN(i) (superseded[i] | ancestors[disk[i]])
#define OTHERS(i) ((BIT(AGENTS) - 1) & ~BIT(i))
#if AGENTS == 2
#define KNOWN_ANYWHERE (KNOWN(0) | KNOWN(1))
#else
#define KNOWN_ANYWHERE (KNOWN(0) | KNOWN(1) | KNOWN(2))
#endif
#ifdef TRUSTS_OLD_DISK
#define VERIFIED(i) (1)
#else
#define VERIFIED(i) (heard[i] == OTHERS(i))
#endif

inline write(i) {
  if
  :: disk[i] != memory[i] || superseded[i] != memory_superseded[i] ->
     older_disk[i] = disk[i];
     older_superseded[i] = superseded[i];
     disk[i] = memory[i];
     superseded[i] = memory_superseded[i]
  :: else -> skip
  fi
}

inline durable(i) {
#ifndef TELLS_FIRST
  write(i)
#else
  skip
#endif
}

inline receive(i, d) {
  if
  :: LESS(memory[i], d) ->
     if
     :: ancestors[d] & BIT(memory[i]) || memory[i] == 0 -> skip
     :: else ->
#ifndef NO_RECORDS
        memory_superseded[i] = memory_superseded[i] | ancestors[memory[i]]
#else
        skip
#endif
     fi;
     memory[i] = d;
     durable(i)
  :: LESS(d, memory[i]) && !(ancestors[memory[i]] & BIT(d)) ->
#ifndef NO_RECORDS
     memory_superseded[i] = memory_superseded[i] | ancestors[d];
     durable(i)
#else
     skip
#endif
  :: else -> skip
  fi
}

inline tell(i) {
  if
  :: memory[i] > 0 -> sent[memory[i]] = true
  :: else -> skip
  fi;
  if
  :: LESS(told[i], memory[i]) -> told[i] = memory[i]
  :: else -> skip
  fi
}

inline publish(i) {
  documents++;
  number[documents] = number[memory[i]] + 1;
  /* The order of the digests doesn't depend on the order of publication. */
  if
  :: tie[documents] = documents
  :: tie[documents] = 2 * DOCUMENTS + 1 - documents
  fi;
  ancestors[documents] = ancestors[memory[i]] | BIT(documents);
  memory[i] = documents;
  durable(i);
  accepted[documents] = true
}

/* A request from i to j and the response; both are alive. i sends its document, j its document and its records. */
inline exchange(i, j) {
  tell(i);
  if
  :: memory[i] > 0 -> receive(j, memory[i])
  :: else -> skip
  fi;
  tell(j);
  if
  :: memory[j] > 0 -> receive(i, memory[j])
  :: else -> skip
  fi;
#ifndef NO_RECORDS
  memory_superseded[i] = memory_superseded[i] | memory_superseded[j];
  durable(i);
#endif
  heard[i] = heard[i] | BIT(j)
}

inline apply(i) {
  if
#ifndef TRUSTS_OLD_DISK
  :: LESS(memory[i], in_force[i]) -> skip /* the manager refuses an older version */
#endif
  :: else ->
     assert(!LESS(memory[i], in_force[i]));
     in_force[i] = memory[i]
  fi
}

inline restart(i) {
  memory[i] = disk[i];
  memory_superseded[i] = superseded[i];
  heard[i] = 0;
  alive[i] = true;
  assert(!LESS(disk[i], told[i]))
}

inline check() {
  byte d, i;
  d_step {
    d = 1;
    do
    :: d <= documents ->
       assert(!accepted[d] || (KNOWN_ANYWHERE & BIT(d)));
       i = 0;
       do
       :: i < AGENTS -> assert(!(KNOWN(i) & BIT(d)) || !LESS(disk[i], d)); i++
       :: else -> break
       od;
       d++
    :: else -> break
    od;
    d = 0;
    i = 0
  }
}

#define KNOWN_ELSEWHERE(i) \
  ((KNOWN(i) & ~KNOWN((i + 1) % AGENTS)) == 0 && (KNOWN(i) & ~KNOWN((i + 2) % AGENTS)) == 0)

proctype Agent(byte me) {
  byte peer;
  do
  :: atomic { alive[me] && documents < DOCUMENTS && VERIFIED(me) && (memory[me] > 0 || documents == 0) ->
       publish(me); check() }
  :: atomic { alive[me] && disk[me] != memory[me] -> write(me); check() }
  :: atomic { alive[me] ->
       if
       :: peer = (me + 1) % AGENTS
       :: AGENTS > 2 -> peer = (me + 2) % AGENTS
       fi;
       if
       :: alive[peer] -> exchange(me, peer)
       :: else -> skip
       fi;
       peer = 0;
       check() }
  :: atomic { alive[me] ->
       if
       :: sent[1] -> receive(me, 1)
       :: DOCUMENTS > 1 && sent[2 % (DOCUMENTS + 1)] -> receive(me, 2)
       :: DOCUMENTS > 2 && sent[3 % (DOCUMENTS + 1)] -> receive(me, 3)
       :: else -> skip
       fi;
       check() }
  :: atomic { alive[me] && VERIFIED(me) && memory[me] > 0 -> apply(me) }
  :: atomic { alive[me] && deaths < DEATHS ->
       deaths++;
       alive[me] = false;
       if
       :: skip
       :: KNOWN_ELSEWHERE(me) -> disk[me] = 0; superseded[me] = 0; told[me] = 0
       :: KNOWN_ELSEWHERE(me) ->
          disk[me] = older_disk[me];
          superseded[me] = older_superseded[me];
          told[me] = 0
       fi;
       check() }
  :: atomic { !alive[me] -> restart(me); check() }
  od
}

init {
  atomic {
    run Agent(0);
    run Agent(1);
#if AGENTS > 2
    run Agent(2)
#endif
  }
}
