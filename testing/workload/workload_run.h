// Runs a workload through the decision core, or through the naive one, and
// measures what its users would feel. Time moves by the workload's own events.
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
  // By class; waiting times in milliseconds from arrival to the first start.
  std::array<int64_t, kWorkClasses> median_wait{};
  std::array<int64_t, kWorkClasses> p99_wait{};
  std::array<int64_t, kWorkClasses> max_wait{};
  std::array<int64_t, kWorkClasses> started{};
  std::array<int64_t, kWorkClasses> never_started{};
  double deadlines_met = 0;  // Of those that fell due, 0 to 1.
  double used_while_waiting =
      0;                 // Share of processors in use while work waits.
  double work_done = 0;  // Core hours that finished tasks took.
  double stranded = 0;   // Share of accelerators that are free on workers
                         // without a free core, on average.
  double rework_s = 0;   // Core seconds done again because of yields.
  int64_t yields = 0;
  int64_t max_preemptions_per_task = 0;
  int64_t placements = 0;
  double examined_per_placement = 0;
  std::vector<std::string> faults;  // Capacity, spread or conservation broken.
};

Outcome RunWorkload(const Workload& workload, DeciderOptions options);
Outcome RunNaive(const Workload& workload);

// A decision core with the workload's workers and teams.
Decider MakeDecider(const Workload& workload, DeciderOptions options);

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_WORKLOAD_WORKLOAD_RUN_H_
