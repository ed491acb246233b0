// What a placement pass counts for each pool and for the steps that reserve
// capacity.
//
//   std::map<std::string, PoolCapacity> pools;
//   pools[worker.record.pool].free_milli += worker.free.cpu_milli;

#ifndef KEELBRIDGE_COORDINATION_POOL_CAPACITY_H_
#define KEELBRIDGE_COORDINATION_POOL_CAPACITY_H_

#include <cstdint>

namespace keelbridge {

// The processors of a pool, in thousandths, at the start of a placement pass.
struct PoolCapacity {
  double free_milli = 0;
  double total_milli = 0;
  // For how much work steps may still ask for advice.
  double advice_budget_milli = 0;
  bool mostly_idle = false;  // A large share of the processors is free.
  int32_t workers = 0;
};

// How many steps reserve capacity in a placement pass.
struct ReservingSteps {
  int gangs = 0;
  // Further gangs, which lack only tickets.
  int ready_gangs = 0;
  int single_task_steps = 0;  // Steps that are not gangs.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_POOL_CAPACITY_H_
