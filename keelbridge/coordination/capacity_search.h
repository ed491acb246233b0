// Searches for capacity for blocked tasks, and chooses the runs to preempt for
// them.
//
// It addresses a load of large tasks mixed with many small, less urgent tasks
// that save their progress: the small tasks fill every gap, and a large task
// finds no worker with enough free capacity for many times its own duration.
//
// The search is pure: its inputs are the need of a step and the workers that
// may run it, its outputs are choices.
//
//   std::vector<CapacityCandidate> workers = ...;
//   auto choices = ChooseCapacity(need, count, max_cost, workers);
//   for (const CapacityChoice& choice : choices) ...

#ifndef KEELBRIDGE_COORDINATION_CAPACITY_SEARCH_H_
#define KEELBRIDGE_COORDINATION_CAPACITY_SEARCH_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "keelbridge/protocol/resources.h"

namespace keelbridge {

// A run that may be preempted for the step.
struct PreemptibleRun {
  Resources need;
  double cost = 0;  // Cost of preempting it, in a unit that the caller chooses.
};

// A worker that may run the step.
struct CapacityCandidate {
  Resources free_capacity;  // Free without preemption.
  int32_t max_tasks = 0;    // Maximum number of tasks of the step there.
  std::vector<PreemptibleRun> runs;  // Runs that may be preempted.
};

struct CapacityChoice {
  size_t candidate = 0;           // Index of the candidate.
  int32_t tasks = 0;              // Number of tasks placed there.
  std::vector<size_t> preempted;  // Indices in `runs`.
};

// Returns how many times `need` fits into `free_capacity`, at most `max_tasks`.
int32_t CountFits(const Resources& need, const Resources& free_capacity,
                  int32_t max_tasks);

// Chooses capacity for up to `count` tasks, the cheapest first. Each candidate
// appears at most once in the result. The result covers fewer tasks if the
// capacity does not suffice even with preemption, or if the preemptions for the
// next task would cost more than `max_cost`.
std::vector<CapacityChoice> ChooseCapacity(
    const Resources& need, int32_t count, double max_cost,
    const std::vector<CapacityCandidate>& workers);

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_CAPACITY_SEARCH_H_
