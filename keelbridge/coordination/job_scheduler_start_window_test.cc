// Tests that a scheduler sends starts at the pace at which a worker answers
// them.

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

constexpr StartWindow::Options kWindow;
constexpr int32_t kTasks = 200;
constexpr int32_t kLargeWorkerCpu = 1'000'000;

JobSpec JobOfTasks(int32_t count, bool gang = false) {
  JobSpec spec;
  spec.steps = {OneTask()};
  spec.steps[0].count = count;
  spec.steps[0].gang = gang;
  spec.steps[0].requested.memory_mib = 0;
  return spec;
}

// Worker "large" has room for all tasks, and its answers to orders are held.
void AddWorkerWithHeldAnswers(SchedulerDriver& site) {
  site.AddWorker("large", kLargeWorkerCpu);
  site.reports["large"];
  site.RunUntil(absl::Milliseconds(100));
  site.holds_order_answers.insert("large");
}

// Worker "large" has as many starts in flight as its window admits, of a job of
// `kTasks` tasks.
void FillWindow(SchedulerDriver& site) {
  AddWorkerWithHeldAnswers(site);
  site.scheduler().Submit(kJob, "restore", JobOfTasks(kTasks), site.now());
  site.RunUntil(absl::Milliseconds(160));
  REQUIRE(site.start_actions.size() == kWindow.initial);
}

std::set<TaskId> StartedTasks(const SchedulerDriver& site) {
  std::set<TaskId> tasks;
  for (const StartAction& start : site.start_actions)
    tasks.insert(start.order.task);
  return tasks;
}

// Guards against starts that time out in the queue of the worker's connections
// because all of them were sent at once.
TEST_CASE(
    "job scheduler: starts in flight to a worker never exceed its window, and "
    "each task is ordered once") {
  SchedulerDriver site(1);
  FillWindow(site);
  CHECK(site.scheduler().figures().steps_held_by_start_windows > 0);
  absl::Duration now = absl::Milliseconds(160);
  while (StartedTasks(site).size() < kTasks && now < absl::Seconds(2)) {
    CHECK(site.held_answers() <= kWindow.max);
    site.DeliverHeldAnswers();
    site.RunUntil(now += absl::Milliseconds(20));
  }
  CHECK(StartedTasks(site).size() == kTasks);
  CHECK(site.start_actions.size() == kTasks);
}

// Guards against passes that are made for tasks that cannot start yet.
TEST_CASE(
    "job scheduler: a step that waits for a window causes no placement passes "
    "until an order is answered") {
  SchedulerDriver site(1);
  FillWindow(site);
  const int64_t before = site.scheduler().figures().steps_held_by_start_windows;
  site.RunUntil(absl::Milliseconds(220));
  CHECK(site.scheduler().figures().steps_held_by_start_windows - before <= 1);
  CHECK(site.start_actions.size() == kWindow.initial);
  site.DeliverHeldAnswer(0);
  site.RunUntil(absl::Milliseconds(240));
  CHECK(site.start_actions.size() == kWindow.initial + 1);
}

// Guards against tasks that stay behind a slow worker although another one has
// room.
TEST_CASE(
    "job scheduler: held starts move to another worker as soon as that one has "
    "room") {
  SchedulerDriver site(1);
  FillWindow(site);
  site.AddWorker("other", kLargeWorkerCpu);
  site.reports["other"];
  site.RunUntil(absl::Milliseconds(500));
  CHECK(StartedTasks(site).size() == kTasks);
  CHECK(std::count(site.start_workers.begin(), site.start_workers.end(),
                   "other") == kTasks - kWindow.initial);
}

// Guards against a stop that waits behind starts.
TEST_CASE("job scheduler: a stop overtakes held starts") {
  SchedulerDriver site(1);
  FillWindow(site);
  site.scheduler().Cancel(kJob, site.now());
  site.RunUntil(absl::Milliseconds(240));
  CHECK(site.stops.size() == kWindow.initial);
  site.DeliverHeldAnswers();
  site.RunUntil(absl::Milliseconds(500));
  CHECK(site.start_actions.size() == kWindow.initial);
}

// The members of a gang start together or not at all.
TEST_CASE("job scheduler: a gang larger than the window starts as a whole") {
  constexpr int32_t kMembers = 3 * kWindow.initial;
  SchedulerDriver site(1);
  AddWorkerWithHeldAnswers(site);
  site.scheduler().Submit(kJob, "restore", JobOfTasks(kMembers, true),
                          site.now());
  site.RunUntil(absl::Milliseconds(160));
  CHECK(site.start_actions.size() == kMembers);
}

}  // namespace
}  // namespace keelbridge::testing
