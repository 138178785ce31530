// The soak command of the laboratory: one run for each of several seeds, or for each kind of failing system
// call at each share.
#pragma once

#include "lab/soak/soak_run.h"

namespace pearchute::lab {

struct SoakCommand {
  SoakSpec spec;
  int seeds = 1;            // consecutive, from spec.seed
  bool calls_only = false;  // each kind of failing call alone and all combined, without disruptions
  bool together = false;    // with calls_only: only all kinds combined
  bool every_kind = false;  // a run fails if a kind of disruption did not occur in it
  // Prints one JSON object for each run, and returns the exit status: 0 if all runs passed, else 1.
  int run() const;
};

}  // namespace pearchute::lab
