/* One part of a cold engine's budget, lent by one manager to another. The lender's agent and manager, the borrower's
   agent and manager, one clock that all of them count by (steady clocks run at one pace), messages that are lost
   (never taken), doubled (taken again) and late (taken at any later moment), an agent that dies with its disk kept,
   asks that are repeated. Looked for: two managers that send by the same part within one window.

   Left out: more than one loan of a part, a lost disk (then nothing is lent for as long as anything may hold),
   managers that die (a new life has no part for as long), readings of a manager's clock that are some milliseconds
   old. docs/together.md has the rules. */

#define WINDOW 1
#define LEASE 2
#define SLACK 1
#define END 9
#ifndef ASKS
#define ASKS 2
#endif
#define TOLD (SLACK + LEASE + 2 * WINDOW)

byte now;
/* What has been put on the way, by its value; it stays there, and whoever it is for may take it whenever and again. */
bool ask_out[END + 1];      /* by when it was asked */
bool grant_out[END + 1];    /* for the ask of that moment */
bool order_out[END + TOLD + 1], heard_out[END + TOLD + 1], back_out[END + TOLD + 1]; /* by until when it holds */
/* The lender's manager: held back until then, by an order of that fence. */
byte held_until, held_fence;
/* The borrower's manager may send by the part until then. */
byte extra_until;
/* When each last could send by the part, which each does whenever it may; 255: never. */
byte lender_sent = 255, borrower_sent = 255;
byte asks;
/* The lender's agent. On its disk: the loan. */
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
  /* It dies with what it knew, and comes back with its disk: the loan counts whole again. */
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
