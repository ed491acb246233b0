// Seeded workloads of the two deployments for the decision core on a virtual
// clock: when each task arrives, which resources it needs and how long it
// actually takes.
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
  // Average offered load relative to all processors. Services don't scale with
  // it.
  double load = 1.0;
  // Upper limit of the ratio of actual to estimated duration. Values below 1.2
  // count as 1.2.
  double max_duration_factor = 1;
};

struct Arrival {
  int64_t at_ms = 0;
  TaskSpec spec;
  int64_t actual_ms = 0;  // 0: runs until the end of the workload.
};

struct Workload {
  std::string name;
  PolicyKind policy = PolicyKind::kWaitingFirst;
  std::vector<Resources> workers;
  int workers_per_rack = 8;
  std::vector<double> quotas;     // By team number.
  std::vector<Arrival> arrivals;  // Ordered by at_ms.
  int64_t length_ms = 0;
};

// Services, bursts of small interactive tasks, restorations with deadlines that
// may use accelerators, and long bulk batches.
Workload PictureDesk(const WorkloadOptions& options);
// Services, small urgent and interactive tasks for deeds, bundles with
// deadlines, and large bulk scans that can occupy all workers.
Workload Conversion(const WorkloadOptions& options);

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_WORKLOAD_WORKLOAD_H_
