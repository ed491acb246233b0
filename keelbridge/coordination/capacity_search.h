// Where tasks that are blocked get room, and which runs yield for them.
//
// Answers a load of large tasks beside many small ones that are less urgent and
// save their progress: the small ones fill every gap, and a large task finds
// no worker with enough room for many times its own length.
//
// Pure: a step's need and the workers that may run it in, choices out.
//
//   std::vector<CapacityCandidate> workers = ...;
//   for (const CapacityChoice& choice : ChooseCapacity(need, 2, 0.5, workers))
//   ...

#ifndef KEELBRIDGE_COORDINATION_CAPACITY_SEARCH_H_
#define KEELBRIDGE_COORDINATION_CAPACITY_SEARCH_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "keelbridge/protocol/resources.h"

namespace keelbridge {

// A run that may be stopped for the step.
struct PreemptibleRun {
  Resources need;
  double cost = 0;  // Of stopping it; the unit is the caller's.
};

// A worker that may run the step.
struct CapacityCandidate {
  Resources free_capacity;  // Without stopping anything.
  int32_t max_tasks = 0;    // Tasks of the step that it may get at most.
  std::vector<PreemptibleRun> runs;  // That may be stopped there.
};

struct CapacityChoice {
  size_t candidate = 0;           // Its position.
  int32_t tasks = 0;              // That get room there.
  std::vector<size_t> preempted;  // Positions in `runs`.
};

// How many times `need` fits into `room`, at most `most`.
int32_t CountFits(const Resources& need, const Resources& free_capacity,
                  int32_t max_tasks);

// Room for up to `count` tasks, the cheapest first; each candidate is named
// once at most. Fewer when there is no room for all even so, or when what
// yields for one task would cost more than `max_cost`.
std::vector<CapacityChoice> ChooseCapacity(
    const Resources& need, int32_t count, double max_cost,
    const std::vector<CapacityCandidate>& workers);

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_CAPACITY_SEARCH_H_
