#include "testing/support/run_checker.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "keelbridge/state/zone_state.h"

namespace keelbridge::testing {

std::vector<std::string> CheckRuns(std::vector<RunEvent> facts,
                                   const RunRules& rules) {
  // At equal times, ends come before starts: a run that starts at the instant
  // at which another one ends does not overlap with it.
  std::stable_sort(facts.begin(), facts.end(),
                   [](const RunEvent& a, const RunEvent& b) {
                     return a.at != b.at ? a.at < b.at : !a.begins && b.begins;
                   });
  std::vector<std::string> faults;
  std::map<std::string, Resources> used;
  std::map<std::string, std::set<std::string>> running_on;
  std::map<std::string, int> starts;
  for (const RunEvent& fact : facts) {
    const std::string at = absl::StrCat("at ", ToMillis(fact.at), " ms: ");
    std::string intent;
    int64_t index = 0;
    SplitTaskName(fact.task, &intent, &index);
    std::set<std::string>& hosts = running_on[fact.task];
    if (!fact.begins) {
      used[fact.worker] -= fact.resources;
      hosts.erase(absl::StrCat(fact.worker, "#", fact.attempt));
      continue;
    }
    used[fact.worker] += fact.resources;
    const auto total = rules.totals.find(fact.worker);
    if (total != rules.totals.end() &&
        !used[fact.worker].FitsIn(total->second)) {
      faults.push_back(absl::StrCat(at, fact.worker, " exceeds its capacity"));
    }
    if (!hosts.empty() && rules.may_overlap.count(intent) == 0) {
      faults.push_back(absl::StrCat(at, fact.task, " starts on ", fact.worker,
                                    " while it runs on ", *hosts.begin()));
    }
    hosts.insert(absl::StrCat(fact.worker, "#", fact.attempt));
    if (++starts[fact.task] > 1 && rules.non_repeatable.count(intent) > 0) {
      faults.push_back(absl::StrCat(
          at, fact.task, " must not be repeated but starts again on ",
          fact.worker));
    }
    const auto last = rules.no_starts_after.find(fact.worker);
    if (last != rules.no_starts_after.end() && fact.at > last->second) {
      faults.push_back(absl::StrCat(at, fact.task, " starts on ", fact.worker,
                                    ", which must not get new tasks"));
    }
  }
  return faults;
}

}  // namespace keelbridge::testing
