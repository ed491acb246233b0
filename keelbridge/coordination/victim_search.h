// Selects the tasks of one worker to preempt, at the least cost.
//
// A branch-and-bound search that tries candidates with the best ratio of
// benefit to cost first, so that its first result is the greedy one. The result
// is optimal for the sizes that occur. The number of steps is bounded; if the
// bound is reached, the best set found so far is returned.
//
//   VictimSet set = FindVictims(candidates, shortfall);
//   if (set.found) for (TaskHandle id : set.tasks) Preempt(id);

#ifndef KEELBRIDGE_COORDINATION_VICTIM_SEARCH_H_
#define KEELBRIDGE_COORDINATION_VICTIM_SEARCH_H_

#include <vector>

#include "keelbridge/coordination/decision.h"
#include "keelbridge/protocol/resources.h"

namespace keelbridge {

struct VictimCandidate {
  TaskHandle task = kNoTask;
  Resources freed_resources;
  // Cost of preempting the task, which must be positive.
  double cost = 0;
};

struct VictimSet {
  bool found = false;
  std::vector<TaskHandle> tasks;
  double cost = 0;
};

// Returns the set of least total cost whose resources cover `shortfall`, if
// there is one.
VictimSet FindVictims(std::vector<VictimCandidate> candidates,
                      const Resources& shortfall);

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_VICTIM_SEARCH_H_
