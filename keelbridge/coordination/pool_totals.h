// Totals over the workers of each pool and the most resources that are free on
// a worker, kept up to date with each change of a worker, so that a placement
// pass does not have to look at all workers to learn them.
//
// The class is pure and has no clock of its own.
//
//   PoolTotals totals;
//   totals.Set(&worker.counted, {"pool", capacity, free});
//   const PoolTotals::Pool& pool = totals.pools().at("pool");

#ifndef KEELBRIDGE_COORDINATION_POOL_TOTALS_H_
#define KEELBRIDGE_COORDINATION_POOL_TOTALS_H_

#include <cstdint>
#include <map>
#include <string>

#include "absl/container/btree_map.h"
#include "keelbridge/protocol/resources.h"

namespace keelbridge {

class PoolTotals {
 public:
  // A worker as it is included in the totals.
  struct Entry {
    std::string pool;
    Resources capacity;
    Resources free;
  };
  // The owner of a worker keeps what of it is counted; `counted` is false until
  // the first call of Set().
  struct Counted {
    Entry entry;
    bool counted = false;
  };
  // In thousandths of a processor.
  struct Pool {
    int32_t workers = 0;
    int64_t capacity_milli = 0;
    int64_t free_milli = 0;  // Without workers that are overcommitted.
  };

  // Replaces what `counted` contributes to the totals by `entry`.
  void Set(Counted* counted, Entry entry);
  void Remove(Counted* counted);

  // By name of the pool. Pools without workers are omitted.
  const std::map<std::string, Pool>& pools() const { return pools_; }
  // Returns, for each resource, the most that is free on one worker.
  Resources MaxFree() const;

 private:
  // Number of workers by the amount that is free.
  using Amounts = absl::btree_map<int32_t, int32_t>;
  static void Count(Amounts* amounts, int32_t amount, int32_t change);
  void Add(const Entry& entry, int32_t sign);

  std::map<std::string, Pool> pools_;
  Amounts cpu_milli_;
  Amounts memory_mib_;
  Amounts accelerators_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_POOL_TOTALS_H_
