// The laboratory's soak command: runs over several seeds, or over each kind of failing call at each share.
#pragma once

#include "lab/soak/soak_run.h"

namespace pearchute::lab {

struct SoakCommand {
  SoakSpec spec;
  int seeds = 1;            // from the first on
  bool calls_only = false;  // each kind of failing call alone and all together, and no other trouble
  bool together = false;    // of those: all together only
  bool every_kind = false;  // fails where a trouble never came about
  int run() const;          // one JSON object a run; a status other than 0 where a rule was broken
};

}  // namespace pearchute::lab
