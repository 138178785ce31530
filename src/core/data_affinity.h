// Data affinity: which engines are preferred for a data set because their caches hold it.
//
// Managers agree without exchanging messages, by rendezvous hashing: the first engine of all by the data
// set's hash, the first of the own zone, and two for each mean engine's load that the data set draws.
#pragma once

#include <cstdint>
#include <map>

#include "core/engine.h"
#include "core/types.h"

namespace pearchute {

// Chooses the preferred engines of data sets; keeps how often each data set is requested.
class DataAffinity {
 public:
  explicit DataAffinity(ZoneId own_zone) : own_zone_(own_zone) {}

  void on_request(DataSetId data_set);
  void decay();

  // The preferred engines of one data set, at one moment.
  class PreferredEngines {
   public:
    bool contains(EngineId engine) const;

   private:
    friend class DataAffinity;
    DataSetId data_set_;
    std::uint64_t least_hash_ = 0;
    std::uint64_t same_zone_hash_ = 0;
  };
  PreferredEngines preferred(DataSetId data_set, const EngineMap& engines) const;

 private:
  ZoneId own_zone_;
  std::map<DataSetId, double> requests_;  // by data set, smoothed
  double all_requests_ = 0;
};

}  // namespace pearchute
