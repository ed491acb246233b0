// Seeded workloads of the two deployments, for the decision core on a virtual
// clock: what arrives when, what it needs, and how long it really takes.
//
//   Workload workload = PictureDesk({.workers = 50, .seed = 1});

#ifndef KEELBRIDGE_TESTING_WORKLOAD_WORKLOAD_H_
#define KEELBRIDGE_TESTING_WORKLOAD_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "keelbridge/coordination/decider.h"

namespace keelbridge::testing {

struct WorkloadOptions {
  int workers = 50;
  uint64_t seed = 1;
  int64_t length_ms = int64_t{3600} * 1000;
  double load = 1.0;  // Of the cell's processors, on average.
  double max_duration_factor =
      1;  // True durations are estimates times up to this.
};

struct Arrival {
  int64_t at_ms = 0;
  TaskSpec spec;
  int64_t actual_ms = 0;  // 0: runs to the end of the workload.
};

struct Workload {
  std::string name;
  PolicyKind policy = PolicyKind::kWaitingFirst;
  std::vector<Resources> workers;
  int workers_per_rack = 8;
  std::vector<double> quotas;     // Of teams 0, 1, ...
  std::vector<Arrival> arrivals;  // By time.
  int64_t length_ms = 0;
};

// Services and bursts of small interactive work, restorations with deadlines
// that may use accelerators, long bulk batches.
Workload PictureDesk(const WorkloadOptions& options);
// Small deeds, bundles with deadlines, large scans that fill the cell.
Workload Conversion(const WorkloadOptions& options);

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_WORKLOAD_WORKLOAD_H_
