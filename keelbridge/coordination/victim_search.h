// Which tasks of one worker should make room, at least cost.
//
// Exact for the sizes that occur: branch and bound over the cheapest
// candidates, started from a greedy answer, with a bound on the steps; past the
// bound the best found so far stands.
//
//   VictimSet set = FindVictims(candidates, shortfall);
//   if (set.found) for (TaskId id : set.tasks) Yield(id);

#ifndef KEELBRIDGE_COORDINATION_VICTIM_SEARCH_H_
#define KEELBRIDGE_COORDINATION_VICTIM_SEARCH_H_

#include <vector>

#include "keelbridge/coordination/decision.h"
#include "keelbridge/protocol/resources.h"

namespace keelbridge {

struct VictimCandidate {
  TaskId task = kNoTask;
  Resources freed_resources;
  double cost = 0;  // More than zero: what yielding it loses.
};

struct VictimSet {
  bool found = false;
  std::vector<TaskId> tasks;
  double cost = 0;
};

// The set of least total cost whose resources cover `shortfall`, if any set
// does.
VictimSet FindVictims(std::vector<VictimCandidate> candidates,
                      const Resources& shortfall);

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_VICTIM_SEARCH_H_
