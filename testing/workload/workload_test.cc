// Tests of the scheduling quality on the seeded workloads, compared with the
// naive scheduler and with fixed bounds. The runs are deterministic, so an
// exceeded bound means that decisions have changed. A commit that moves a bound
// must say why.

#include <doctest/doctest.h>

#include <cstdlib>

#include "testing/workload/workload_run.h"

namespace keelbridge::testing {
namespace {

WorkloadOptions Options(double load, uint64_t seed,
                        double duration_factor = 1) {
  WorkloadOptions options;
  options.load = load;
  options.seed = seed;
  options.max_duration_factor = duration_factor;
  options.length_ms = int64_t{30} * 60 * 1000;
  return options;
}

Outcome Run(const Workload& workload) {
  return RunWorkload(workload, DeciderOptions::ForPolicy(workload.policy));
}

constexpr size_t kUrgent = static_cast<size_t>(WorkClass::kUrgent);
constexpr size_t kInteractive = static_cast<size_t>(WorkClass::kInteractive);

TEST_CASE(
    "Picture Desk: interactive waits are at most half of the naive "
    "scheduler's, and deadlines are met at least as well") {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const Workload workload = PictureDesk(Options(1.15, seed));
    const Outcome ours = Run(workload);
    const Outcome naive = RunNaive(workload);
    CHECK(ours.violations.empty());
    CHECK(ours.p99_wait[kUrgent] <= 2600);
    CHECK(2 * ours.p99_wait[kInteractive] <= naive.p99_wait[kInteractive]);
    CHECK(ours.deadlines_met >= naive.deadlines_met);
    CHECK(ours.stranded <= naive.stranded);
    // Fixed bounds, independent of the naive scheduler.
    CHECK(ours.p99_wait[kInteractive] <= 1500);
    CHECK(ours.deadlines_met >= 0.95);
  }
}

TEST_CASE(
    "Conversion: processor use under overload is close to the naive "
    "scheduler's, with better waits and deadlines") {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    const Workload workload = Conversion(Options(1.3, seed));
    const Outcome ours = Run(workload);
    const Outcome naive = RunNaive(workload);
    CHECK(ours.violations.empty());
    CHECK(ours.used_while_waiting >= 0.97 * naive.used_while_waiting);
    CHECK(ours.p99_wait[kUrgent] <= 2600);
    CHECK(ours.p99_wait[kInteractive] <= naive.p99_wait[kInteractive]);
    CHECK(ours.deadlines_met >= naive.deadlines_met);
    // Fixed bounds, independent of the naive scheduler.
    CHECK(ours.used_while_waiting >= 0.93);
  }
}

TEST_CASE("each policy beats the other on its own measure") {
  double waiting_wait = 0;
  double packing_wait = 0;
  double waiting_used = 0;
  double packing_used = 0;
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    for (const Workload& workload :
         {PictureDesk(Options(1.15, seed)), Conversion(Options(1.15, seed))}) {
      const Outcome waiting_first = RunWorkload(
          workload, DeciderOptions::ForPolicy(PolicyKind::kWaitingFirst));
      const Outcome packing_first = RunWorkload(
          workload, DeciderOptions::ForPolicy(PolicyKind::kPackingFirst));
      waiting_wait += static_cast<double>(waiting_first.p99_wait[kInteractive]);
      packing_wait += static_cast<double>(packing_first.p99_wait[kInteractive]);
      waiting_used += waiting_first.used_while_waiting;
      packing_used += packing_first.used_while_waiting;
    }
  }
  MESSAGE("mean p99 of interactive waits: ", waiting_wait / 6,
          " ms waiting-first, ", packing_wait / 6,
          " ms packing-first; processors used while work waits: ",
          waiting_used / 6, " and ", packing_used / 6);
  CHECK(waiting_wait < packing_wait);
  CHECK(packing_used > waiting_used);
}

TEST_CASE(
    "more work than the cell holds, and estimates wrong by 3 times: urgent "
    "tasks still start in time") {
  for (const double duration_factor : {1.0, 3.0}) {
    for (const double load : {1.6, 2.5}) {
      const Outcome ours = Run(PictureDesk(Options(load, 5, duration_factor)));
      CAPTURE(duration_factor);
      CAPTURE(load);
      CHECK(ours.violations.empty());
      CHECK(ours.p99_wait[kUrgent] <= 2600);
      // Tasks that have not started yet count with their wait so far.
      CHECK(ours.max_wait[kUrgent] <= 5200);
      // Under overload, the waits of bulk tasks grow before those of
      // interactive tasks.
      CHECK(ours.p99_wait[kInteractive] <=
            ours.p99_wait[static_cast<size_t>(WorkClass::kBulk)]);
    }
  }
}

}  // namespace
}  // namespace keelbridge::testing
