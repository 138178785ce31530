// Data affinity: which engines are preferred for a data set because their caches hold it.
//
// Managers agree on them without exchanging messages, by rendezvous hashing: the engines with the highest
// hash for the data set are preferred, two for each mean engine's load that the data set draws and at least
// one, and in addition the engine with the highest hash in the manager's own zone.
#pragma once

#include <cstdint>
#include <map>

#include "core/engine.h"
#include "core/types.h"

namespace pearchute {

// Chooses the preferred engines of data sets, by the request rate of each data set.
class DataAffinity {
 public:
  // Where there are more data sets, those that were named once are forgotten.
  static constexpr std::size_t max_remembered = 4096;

  explicit DataAffinity(ZoneId own_zone) : own_zone_(own_zone) {}

  void on_request(DataSetId data_set);
  // Decays the request counts; called once per tick.
  void decay();

  // The preferred engines of one data set at one point in time.
  class PreferredEngines {
   public:
    bool contains(EngineId engine) const;

   private:
    friend class DataAffinity;
    DataSetId data_set_;
    std::uint64_t min_hash_ = 0;
    std::uint64_t same_zone_hash_ = 0;
  };
  PreferredEngines preferred(DataSetId data_set, const EngineMap& engines) const;
  // The number of data sets whose requests are counted.
  std::size_t remembered() const { return requests_.size(); }

 private:
  void forget_rare();

  ZoneId own_zone_;
  std::map<DataSetId, double> requests_;  // decayed request counts
  double all_requests_ = 0;
};

}  // namespace pearchute
