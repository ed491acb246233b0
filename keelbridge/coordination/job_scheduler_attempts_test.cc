// Tests the limit of attempts across changes of leader.

#include <doctest/doctest.h>

#include <string>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

constexpr int kMaxAttempts = 2;
constexpr absl::Duration kLeasesOver = absl::Milliseconds(6300);
// A task that waits for nothing is started again within this time.
constexpr absl::Duration kRetriedAtOnce = absl::Seconds(1);

// Lets `site` hear that its newest run has failed, while the store accepts no
// appends, and start the task again on the other of the workers "a" and "b".
void FailAndRetryWithoutStore(SchedulerDriver& site, absl::Duration until) {
  site.hold_batches = true;
  const size_t before = site.starts.size();
  const std::string worker = site.start_workers.back();
  site.End(worker, {1, kTask, site.starts.back().run, RunEnd::kFailed, ""});
  site.RunUntil(until);
  REQUIRE(site.starts.size() == before + 1);
  REQUIRE(site.start_workers.back() != worker);
}

// Starts the only task under the leader of a site with the workers "a" and "b".
void StartTask(SchedulerDriver& site) {
  for (const char* worker : {"a", "b"}) {
    site.AddWorker(worker);
    site.reports[worker];
  }
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {OneTask()};
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(300));
  REQUIRE(site.starts.size() == 1);
}

// Has `later` take over from `site`. Of the workers "a" and "b" only the one
// with the newest run of the task answers.
void TakeOver(SchedulerDriver& later, const SchedulerDriver& site) {
  later.TakeOver(site);
  for (const char* worker : {"a", "b"}) later.AddWorker(worker);
  const std::string& answers = site.start_workers.back();
  later.reports[answers] = site.reports.at(answers);
}

// The newest run of the task, which the leader has found running, fails too.
void FailAdoptedRun(SchedulerDriver& site, const SchedulerDriver& earlier,
                    absl::Duration at) {
  site.RunUntil(at);
  REQUIRE(site.starts.empty());
  site.End(earlier.start_workers.back(),
           {2, kTask, earlier.starts.back().run, RunEnd::kFailed, ""});
}

// Guards against a start beyond the limit of attempts (BUDGET): an earlier
// failure is known only to a worker that has not reported yet.
TEST_CASE(
    "job scheduler: a task found running is not tried again before all "
    "failures "
    "under the earlier leader are known") {
  SchedulerDriver first(1, kMaxAttempts);
  StartTask(first);
  FailAndRetryWithoutStore(first, absl::Milliseconds(700));
  SchedulerDriver second(2, kMaxAttempts);
  TakeOver(second, first);
  FailAdoptedRun(second, first, absl::Milliseconds(500));
  second.RunUntil(absl::Seconds(3));
  CHECK(second.starts.empty());

  SUBCASE("the other worker tells of it") {
    const std::string& silent = first.start_workers.front();
    second.reports[silent] = first.reports.at(silent);
    second.RunUntil(absl::Seconds(4));
    CHECK(second.starts.empty());
    CHECK(second.scheduler().Status(kJob) == JobState::kFailed);
  }
  SUBCASE("the other worker is lost") {
    second.RunUntil(kLeasesOver - absl::Milliseconds(100));
    CHECK(second.starts.empty());
    second.RunUntil(kLeasesOver + kRetriedAtOnce);
    CHECK(second.starts.size() == 1);
  }
}

// The same with two changes of leader: the numbers of the second leader's runs
// say nothing of the runs under the first one.
TEST_CASE(
    "job scheduler: a task found running is not tried again before all "
    "failures "
    "under earlier leaders are known") {
  SchedulerDriver first(1, kMaxAttempts);
  StartTask(first);
  SchedulerDriver second(2, kMaxAttempts);
  second.TakeOver(first);
  second.stored_records = first.stored_records;
  for (const char* worker : {"a", "b"}) {
    second.AddWorker(worker);
    second.reports[worker] = first.reports[worker];
  }
  second.RunUntil(absl::Milliseconds(500));
  second.hold_batches = true;
  const std::string failed_on = first.start_workers.front();
  second.End(failed_on, {1, kTask, first.starts[0].run, RunEnd::kFailed, ""});
  second.RunUntil(absl::Seconds(1));
  REQUIRE(second.starts.size() == 1);
  REQUIRE(second.start_workers[0] != failed_on);

  SchedulerDriver third(3, kMaxAttempts);
  TakeOver(third, second);
  FailAdoptedRun(third, second, absl::Milliseconds(500));
  REQUIRE(third.scheduler().Status(kJob) == JobState::kRunning);
  third.RunUntil(absl::Seconds(3));
  CHECK(third.starts.empty());
  third.reports[failed_on] = second.reports.at(failed_on);
  third.RunUntil(absl::Seconds(4));
  CHECK(third.starts.empty());
  CHECK(third.scheduler().Status(kJob) == JobState::kFailed);
}

TEST_CASE(
    "job scheduler: a task whose first run was found running is tried again at "
    "once") {
  SchedulerDriver first(1, kMaxAttempts);
  StartTask(first);
  SchedulerDriver second(2, kMaxAttempts);
  TakeOver(second, first);
  FailAdoptedRun(second, first, absl::Milliseconds(500));
  second.RunUntil(absl::Milliseconds(500) + kRetriedAtOnce);
  CHECK(second.starts.size() == 1);
}

// The failure is on record, so that the silent worker can tell of no other one.
TEST_CASE(
    "job scheduler: a task found running is tried again at once if its "
    "failures "
    "are on record") {
  SchedulerDriver first(1, kMaxAttempts + 1);
  StartTask(first);
  FailAndRetryWithoutStore(first, absl::Milliseconds(700));
  first.hold_batches = false;
  first.RunUntil(absl::Milliseconds(900));
  SchedulerDriver second(2, kMaxAttempts + 1);
  TakeOver(second, first);
  FailAdoptedRun(second, first, absl::Milliseconds(500));
  second.RunUntil(absl::Milliseconds(500) + kRetriedAtOnce);
  CHECK(second.starts.size() == 1);
}

}  // namespace
}  // namespace keelbridge::testing
