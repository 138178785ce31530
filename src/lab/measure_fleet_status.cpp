// stub to be replaced in the next commit
#include "lab/measure.h"
namespace pearchute::lab {
int measure_fleet_status(const Bench&) { return 2; }
}  // namespace pearchute::lab
