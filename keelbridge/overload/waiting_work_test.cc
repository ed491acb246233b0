#include "keelbridge/overload/waiting_work.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

const absl::Time kT0 = absl::UnixEpoch() + absl::Hours(1);

absl::Time After(int seconds) { return kT0 + absl::Seconds(seconds); }

TEST_CASE("waiting work: work is tasks times processors times duration") {
  StepSpec step;
  step.count = 5;
  step.requested = {2000, 100, 0};
  step.estimated_ms = 3000;
  CHECK(WorkOf(step, 4).cpu_milli_seconds == doctest::Approx(24000));
  CHECK(WorkOf(step, 4).tasks == 4);
  step.best_effort = true;  // Occupies no processors.
  CHECK(WorkOf(step, 4).cpu_milli_seconds == doctest::Approx(0));
  JobSpec spec;
  step.best_effort = false;
  spec.steps = {step, step};
  CHECK(WorkOf(spec).cpu_milli_seconds == doctest::Approx(60000));
  CHECK(WorkOf(spec).tasks == 10);
}

TEST_CASE("waiting work: what is placed before a job is ahead of it") {
  TierWork work;
  work.Add({0, false}, After(3), {100, 1});
  work.Add({1, false}, After(1), {10, 1});
  work.Add({1, false}, After(2), {20, 2});
  work.Add({1, false}, After(4), {40, 4});
  work.Add({1, true}, After(1), {1000, 1});
  work.Add({2, false}, After(1), {5000, 1});
  // The more urgent priority, and its own up to its latest start.
  CHECK(work.Ahead({1, false}, After(2)).cpu_milli_seconds == 130);
  CHECK(work.Ahead({1, false}, After(2)).tasks == 4);
  CHECK(work.Ahead({1, false}, After(0)).cpu_milli_seconds == 100);
  CHECK(work.Ahead({1, false}, After(9)).cpu_milli_seconds == 170);
  // An account over its share comes behind all others of its priority.
  CHECK(work.Ahead({1, true}, After(0)).cpu_milli_seconds == 170);
  CHECK(work.Ahead({1, true}, After(1)).cpu_milli_seconds == 1170);
  CHECK(work.Ahead({0, false}, After(1)).cpu_milli_seconds == 0);
  CHECK(work.UpTo(1).cpu_milli_seconds == 1170);
  CHECK(work.total().cpu_milli_seconds == 6170);
  CHECK(work.total().tasks == 10);
}

TEST_CASE("waiting work: a cleared tier is empty") {
  TierWork work;
  work.Add({1, false}, After(1), {10, 1});
  work.Clear();
  CHECK(work.total().tasks == 0);
  CHECK(work.Ahead({9, true}, absl::InfiniteFuture()).tasks == 0);
  work.Add({1, false}, After(1), {7, 1});
  CHECK(work.Ahead({1, false}, After(1)).cpu_milli_seconds == 7);
}

}  // namespace
}  // namespace keelbridge
