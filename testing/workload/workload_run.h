// Runs a workload through the decision core or the naive scheduler and measures
// what users would experience. Virtual time advances from one event of the
// workload to the next.
//
//   Outcome ours = RunWorkload(workload, DeciderOptions::ForPolicy(policy));
//   Outcome naive = RunNaive(workload);

#ifndef KEELBRIDGE_TESTING_WORKLOAD_WORKLOAD_RUN_H_
#define KEELBRIDGE_TESTING_WORKLOAD_WORKLOAD_RUN_H_

#include <array>
#include <string>
#include <vector>

#include "testing/workload/workload.h"

namespace keelbridge::testing {

struct Outcome {
  // By work class. Waits are milliseconds from the arrival to the first start.
  std::array<int64_t, kWorkClasses> median_wait{};
  std::array<int64_t, kWorkClasses> p99_wait{};
  std::array<int64_t, kWorkClasses> max_wait{};
  std::array<int64_t, kWorkClasses> started{};
  std::array<int64_t, kWorkClasses> never_started{};
  // Share of the deadlines that fell due, 0 to 1.
  double deadlines_met = 0;
  // Share of processors in use while tasks wait.
  double used_while_waiting = 0;
  // Core hours of finished tasks, without rework.
  double work_done = 0;
  // Average share of accelerators that are free on workers without a free core.
  double stranded = 0;
  // Core seconds repeated because of preemptions.
  double rework_s = 0;
  int64_t preempted = 0;
  int64_t max_preemptions_per_task = 0;
  int64_t placements = 0;
  double examined_per_placement = 0;
  std::vector<std::string> violations;  // Workers that were overcommitted.
};

// Runs the workload through the decision core with `options`.
Outcome RunWorkload(const Workload& workload, DeciderOptions options);
// Runs the workload through the naive scheduler.
Outcome RunNaive(const Workload& workload);

// Returns a decision core with the workers and teams of the workload.
Decider MakeDecider(const Workload& workload, DeciderOptions options);

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_WORKLOAD_WORKLOAD_RUN_H_
