// Checks the runs that actually took place, based only on the workers'
// journals.
//
//   std::vector<std::string> violations = CheckRuns(run_events, rules);
//   CHECK(violations.empty());

#ifndef KEELBRIDGE_TESTING_SUPPORT_RUN_CHECKER_H_
#define KEELBRIDGE_TESTING_SUPPORT_RUN_CHECKER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "testing/fakes/fake_worker.h"

namespace keelbridge::testing {

struct RunRules {
  std::map<std::string, Resources> totals;  // Capacity by worker.
  // Intents whose tasks may run on two hosts at once.
  std::set<std::string> may_overlap;
  // Intents whose tasks must not start twice.
  std::set<std::string> non_repeatable;
  // By worker: the time after which no task may start on it.
  std::map<std::string, absl::Time> no_starts_after;
};

// Returns a description of each violation: a worker whose capacity is exceeded,
// a task on two hosts at once, a second start of a task that must not be
// repeated, or a start on a worker that must not get new tasks.
std::vector<std::string> CheckRuns(std::vector<RunEvent> run_events,
                                   const RunRules& rules);

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_RUN_CHECKER_H_
