/* Models the lease of one part of a cold engine's slow-start budget, which one manager (the lender) lends to another
   (the borrower). There are the agent and the manager of each. All read one clock, since steady clocks advance at the
   same rate. Messages may be lost (never received), duplicated (received again) and delayed (received at any later
   time). The borrower repeats its requests. The lender's agent may crash, and keeps its disk.

   The assertion fails if both managers send requests on the same part within one window.

   Not modelled: more than one lease of a part; a lost disk, after which an agent lends nothing for as long as an
   earlier lease may last; managers that crash, since a restarted one has no part for as long; and the few milliseconds
   by which a reading of a manager's clock is old. docs/together.md describes the protocol.

   Broken variants, in each of which Spin must find an error: NO_WAIT (the lender doesn't wait a window after its
   manager has stopped), COUNTS_FROM_ANSWER (the borrower counts the lease from the response instead of its request),
   TRUSTS_THE_LAST (the lender doesn't restart the wait if its manager's previous order had expired before the next one
   was acknowledged). Variants that `check` doesn't run: FORGETS (the lender's agent restarts without the lease) and
   BELIEVES_ITSELF (it takes its manager for stopped at its restart). */

#define WINDOW 1
#define LEASE 2
#define SLACK 1
#define END 9
#ifndef ASKS
#define ASKS 2
#endif
#define TOLD (SLACK + LEASE + 2 * WINDOW)

byte now;
/* The messages in transit, by their value. They stay there: the receiver may receive each at any time, repeatedly. */
bool ask_out[END + 1];      /* lease requests, by the time of the request */
bool grant_out[END + 1];    /* grants, by the time of the request that they answer */
bool order_out[END + TOLD + 1], heard_out[END + TOLD + 1], back_out[END + TOLD + 1]; /* orders to hold back,
   acknowledgements and orders to end that, by the time until which the order is in force */
/* The lender's manager doesn't use the part until `held_until`, by an order with the fence `held_fence`. */
byte held_until, held_fence;
/* The borrower's manager may use the part until then. */
byte extra_until;
/* When each manager last used the part; each uses it whenever it may. 255: never. */
byte lender_sent = 255, borrower_sent = 255;
byte asks;
/* The lender's agent; `loan`, the lease, is on its disk. */
bool loan, stopped, granted, owes, alive = true;
byte stopped_at, granted_at, told, held, last_round = 255, deaths;
bool heard_last;

inline order() {
  told = now + TOLD;
  order_out[told] = true;
  heard_last = false
}

inline sends() {
  if
  :: now >= held_until -> lender_sent = now
  :: else -> skip
  fi;
  if
  :: now < extra_until -> borrower_sent = now
  :: else -> skip
  fi;
  assert(lender_sent == 255 || borrower_sent == 255 || lender_sent - borrower_sent >= WINDOW ||
         borrower_sent - lender_sent >= WINDOW)
}

active proctype clock() {
  do
  :: atomic { now < END -> sends(); now++; sends() }
  :: now == END -> break
  od
}

active proctype lenders_manager() {
  byte u;
  do
  :: atomic { now < END -> u = 0;
       do
       :: u < END + TOLD -> u++
       :: break
       od;
       if
       :: order_out[u] && u > held_fence -> held_until = u; held_fence = u; heard_out[u] = true
       :: back_out[u] && u >= held_fence && held_until > 0 -> held_until = 0; held_fence = u; sends()
       :: else -> skip
       fi; u = 0 }
  :: now == END -> break
  od
}

active proctype borrowers_manager_and_agent() {
  byte t;
  do
  :: atomic { now < END && asks < ASKS && !ask_out[now] -> ask_out[now] = true; asks++ }
  :: atomic { now < END -> t = 0;
       do
       :: t < END -> t++
       :: break
       od;
       if
#ifdef COUNTS_FROM_ANSWER
       :: grant_out[t] && now + LEASE > extra_until -> extra_until = now + LEASE; sends()
#else
       :: grant_out[t] && t + LEASE > extra_until -> extra_until = t + LEASE; sends()
#endif
       :: else -> skip
       fi; t = 0 }
  :: now == END -> break
  od
}

active proctype lenders_agent() {
  byte t;
  do
  :: atomic { now < END && alive -> t = 0;
       do
       :: t < END -> t++
       :: break
       od;
       if
       :: ask_out[t] && !loan && (last_round == 255 || t > last_round) ->
            loan = true; stopped = false; granted = false; owes = true; last_round = t; order()
       :: ask_out[t] && loan && granted && t > last_round && now < granted_at + LEASE ->
            owes = true; last_round = t; order()
       :: else -> skip
       fi; t = 0 }
  :: atomic { alive && loan && !heard_last && heard_out[told] ->
       heard_last = true;
       if
#ifdef TRUSTS_THE_LAST
       :: !stopped -> stopped = true; stopped_at = now
#else
       :: !stopped || now >= held -> stopped = true; stopped_at = now
#endif
       :: else -> skip
       fi;
       held = told }
#ifdef NO_WAIT
  :: atomic { alive && loan && owes && stopped && heard_last && now < END && told >= now + LEASE + WINDOW ->
#else
  :: atomic { alive && loan && owes && stopped && heard_last && now < END && told >= now + LEASE + WINDOW &&
              now >= stopped_at + WINDOW ->
#endif
       owes = false; granted = true; granted_at = now; grant_out[last_round] = true }
  :: atomic { alive && loan && granted && now >= granted_at + LEASE + WINDOW && now < END ->
       loan = false; granted = false; owes = false; back_out[told] = true }
  :: atomic { alive && loan && !granted && now >= told && now < END -> loan = false; owes = false }
  /* The agent crashes and restarts with its disk only: the lease then counts for its whole duration again. */
  :: atomic { alive && deaths < 1 && now < END -> alive = false; deaths++ }
  :: atomic { !alive && now < END ->
       alive = true; owes = false;
#ifdef FORGETS
       loan = false; granted = false;
#else
       if
#ifdef BELIEVES_ITSELF
       :: loan -> granted = true; stopped = true; granted_at = now; heard_last = true
#else
       :: loan -> granted = true; stopped = false; granted_at = now; heard_last = true
#endif
       :: else -> skip
       fi
#endif
     }
  :: now == END -> break
  od
}
