#include "testing/support/run_checker.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "keelbridge/state/zone_state.h"

namespace keelbridge::testing {

std::vector<std::string> CheckRuns(std::vector<RunEvent> run_events,
                                   const RunRules& rules) {
  // At equal times, ends come before starts: a run that starts at the instant
  // at which another one ends does not overlap with it.
  std::stable_sort(run_events.begin(), run_events.end(),
                   [](const RunEvent& a, const RunEvent& b) {
                     return a.at != b.at ? a.at < b.at : !a.begins && b.begins;
                   });
  std::vector<std::string> violations;
  std::map<std::string, Resources> used;
  std::map<std::string, std::set<std::string>> running_on;
  std::map<std::string, int> starts;
  for (const RunEvent& run_event : run_events) {
    const std::string at = absl::StrCat("at ", ToMillis(run_event.at), " ms: ");
    std::string intent;
    int64_t index = 0;
    SplitTaskName(run_event.task, &intent, &index);
    std::set<std::string>& hosts = running_on[run_event.task];
    if (!run_event.begins) {
      used[run_event.worker] -= run_event.resources;
      hosts.erase(absl::StrCat(run_event.worker, "#", run_event.attempt));
      continue;
    }
    used[run_event.worker] += run_event.resources;
    const auto total = rules.totals.find(run_event.worker);
    if (total != rules.totals.end() &&
        !used[run_event.worker].FitsIn(total->second)) {
      violations.push_back(
          absl::StrCat(at, run_event.worker, " exceeds its capacity"));
    }
    if (!hosts.empty() && rules.may_overlap.count(intent) == 0) {
      violations.push_back(absl::StrCat(at, run_event.task, " starts on ",
                                        run_event.worker, " while it runs on ",
                                        *hosts.begin()));
    }
    hosts.insert(absl::StrCat(run_event.worker, "#", run_event.attempt));
    if (++starts[run_event.task] > 1 &&
        rules.non_repeatable.count(intent) > 0) {
      violations.push_back(absl::StrCat(
          at, run_event.task, " must not be repeated but starts again on ",
          run_event.worker));
    }
    const auto last = rules.no_starts_after.find(run_event.worker);
    if (last != rules.no_starts_after.end() && run_event.at > last->second) {
      violations.push_back(absl::StrCat(at, run_event.task, " starts on ",
                                        run_event.worker,
                                        ", which must not get new tasks"));
    }
  }
  return violations;
}

}  // namespace keelbridge::testing
