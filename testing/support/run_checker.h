// Judges what really ran, from the workers' journals and nothing else.
//
//   std::vector<std::string> faults = CheckRuns(facts, totals, rules);
//   CHECK(faults.empty());

#ifndef KEELBRIDGE_TESTING_SUPPORT_RUN_CHECKER_H_
#define KEELBRIDGE_TESTING_SUPPORT_RUN_CHECKER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "testing/fakes/fake_worker.h"

namespace keelbridge::testing {

struct RunRules {
  std::map<std::string, Resources> totals;  // Of each worker.
  std::set<std::string>
      may_overlap;  // Intents whose tasks may run on two hosts at once.
  std::set<std::string>
      non_repeatable;  // Intents whose tasks must not start twice.
  // No task may begin on a worker later than this.
  std::map<std::string, absl::Time> no_starts_after;
};

// Every violation, in words: more given than a worker has, a task on two hosts
// at once, a task that must not be repeated started twice, a start on a worker
// that had to get none.
std::vector<std::string> CheckRuns(std::vector<RunEvent> facts,
                                   const RunRules& rules);

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_RUN_CHECKER_H_
