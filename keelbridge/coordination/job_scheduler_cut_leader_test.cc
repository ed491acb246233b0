// Tests changes of leader where a zone is cut off together with the earlier
// leader, and a step becomes ready whose earlier step ended during the change.
// Such a step must start soon if no earlier leader ordered it, and must not
// start again while an order of an earlier leader may still run.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

constexpr JobId kOtherJob = 9;
constexpr JobId kControlJob = 11;
constexpr int32_t kFirstTasks = 4;
constexpr int32_t kNextTasks = 8;
// Users consider a job lost if it could run but does not for this long.
constexpr absl::Duration kMaxRestartDelay = absl::Seconds(3);
// For how long a leader gives orders after its last confirmed append.
const absl::Duration kLongestWithoutStore =
    MaxUnconfirmed(JobScheduler::Options().earlier_leader_grace);
// Twice the longest lease that the driver's workers grant.
constexpr absl::Duration kAllLeasesOver = absl::Seconds(12);

StepSpec Tasks(int32_t count) {
  StepSpec step = OneTask();
  step.count = count;
  return step;
}

JobSpec TwoStepJob() {
  JobSpec spec;
  spec.steps = {Tasks(kFirstTasks), Tasks(kNextTasks)};
  spec.steps[1].after = {0};
  return spec;
}

JobSpec OneStepJob(int32_t count) {
  JobSpec spec;
  spec.steps = {Tasks(count)};
  return spec;
}

// The number of tasks of step `step` of `job` that `site` has started.
int64_t CountStarts(const SchedulerDriver& site, JobId job, int32_t step) {
  return std::count_if(
      site.starts.begin(), site.starts.end(), [&](const StartOrder& start) {
        return start.task.job == job && start.task.step == step;
      });
}

// Step 0 of the job runs on "a", which it fills. "cut" is in the zone that is
// about to be cut off.
void StartFirstStep(SchedulerDriver& first) {
  first.AddWorker("a");
  first.reports["a"];
  first.RunUntil(absl::Milliseconds(100));
  first.scheduler().Submit(kJob, "restore", TwoStepJob(), first.now());
  first.RunUntil(absl::Milliseconds(300));
  REQUIRE(CountStarts(first, kJob, 0) == kFirstTasks);
  first.AddWorker("cut");
}

// Lets "cut" run a task of another job.
void UseCutWorker(SchedulerDriver& first) {
  first.reports["cut"];
  first.RunUntil(absl::Milliseconds(500));
  first.scheduler().Submit(kOtherJob, "restore", OneStepJob(1), first.now());
  first.RunUntil(absl::Milliseconds(700));
  REQUIRE(first.start_workers.back() == "cut");
}

// Ends the tasks of step 0 from `begin` on, before `end`.
void EndFirstStep(SchedulerDriver& site, const SchedulerDriver& first,
                  int32_t begin = 0, int32_t end = kFirstTasks) {
  for (int32_t i = begin; i < end; ++i) {
    const StartOrder& start = first.starts[static_cast<size_t>(i)];
    site.End("a", {i + 1, start.task, start.run, RunEnd::kDone, ""});
  }
}

// Starts the second leader. "cut" does not answer it, and "b" and "c" have
// capacity for each step several times over.
void TakeOver(SchedulerDriver& second, const SchedulerDriver& first) {
  second.TakeOver(first);
  second.AddWorker("a");
  second.reports["a"] = first.reports.at("a");
  for (const char* worker : {"b", "c"}) {
    second.AddWorker(worker, 32000);
    second.reports[worker];
  }
}

// Whether `site` has started a task that runs on "cut" by an order of `first`.
bool StartsUnseenRun(const SchedulerDriver& site, SchedulerDriver& first) {
  const std::vector<RunningTask>& unseen = first.reports["cut"].running;
  return std::any_of(
      site.starts.begin(), site.starts.end(), [&](const StartOrder& start) {
        return std::any_of(
            unseen.begin(), unseen.end(),
            [&](const RunningTask& run) { return run.task == start.task; });
      });
}

// For how long after the end of `first` its orders may run on "cut".
absl::Duration LeaseLeft(const SchedulerDriver& first) {
  int64_t until_ms = 0;
  for (const ObserveAction& observe : first.observations) {
    if (observe.worker.id == "cut")
      until_ms = std::max(until_ms, observe.order.lease_until_ms);
  }
  for (size_t i = 0; i < first.starts.size(); ++i) {
    if (first.start_workers[i] == "cut")
      until_ms = std::max(until_ms, first.starts[i].lease_until_ms);
  }
  // The clocks of the driver's workers begin at 1 s.
  return kBegin + absl::Milliseconds(until_ms - 1000) - first.now().mono;
}

// Shows that the capacity was there: as many tasks of a new job as the step has
// start within the same time, and leave capacity for the step twice over.
void CheckStartsSoon(SchedulerDriver& second, JobId job, int32_t step,
                     int32_t tasks) {
  second.scheduler().Submit(kControlJob, "restore", OneStepJob(kNextTasks),
                            second.now());
  second.RunUntil(kMaxRestartDelay);
  REQUIRE(CountStarts(second, kControlJob, 0) == kNextTasks);
  CHECK(CountStarts(second, job, step) == tasks);
  // Shows how long the step waited if the check above fails.
  absl::Duration waited = kMaxRestartDelay;
  while (CountStarts(second, job, step) < tasks && waited < absl::Seconds(20))
    second.RunUntil(waited += absl::Milliseconds(100));
  CAPTURE(absl::ToInt64Milliseconds(waited));
  CHECK(waited <= kMaxRestartDelay);
}

// Guards against a wait for the lease of a worker whose departure nobody heard.
TEST_CASE(
    "job scheduler: a step whose earlier step ended while nobody led does not "
    "wait for a worker that left unheard") {
  SchedulerDriver first(1);
  StartFirstStep(first);
  UseCutWorker(first);
  SchedulerDriver second(2);
  TakeOver(second, first);
  EndFirstStep(second, first);
  CheckStartsSoon(second, kJob, 1, kNextTasks);
}

// Guards against the same wait where some ends were kept, and the others came
// while nobody led.
TEST_CASE(
    "job scheduler: a step whose earlier step ended in part while nobody led "
    "does not wait for a worker that left unheard") {
  SchedulerDriver first(1);
  StartFirstStep(first);
  UseCutWorker(first);
  EndFirstStep(first, first, 0, kFirstTasks - 1);
  first.RunUntil(absl::Seconds(1));
  REQUIRE(CountStarts(first, kJob, 1) == 0);
  SchedulerDriver second(2);
  TakeOver(second, first);
  EndFirstStep(second, first, kFirstTasks - 1);
  CheckStartsSoon(second, kJob, 1, kNextTasks);
}

// Guards against the same wait where only the new leader hears of the
// departure, from the platform.
TEST_CASE(
    "job scheduler: a step whose earlier step ended while nobody led does not "
    "wait for a worker that only the new leader knows to leave") {
  SchedulerDriver first(1);
  StartFirstStep(first);
  UseCutWorker(first);
  SchedulerDriver second(2);
  TakeOver(second, first);
  EndFirstStep(second, first);
  WorkerRecord leaves = SchedulerDriver::RecordOf("cut", 8000);
  leaves.draining = true;
  leaves.leaves_in_ms = 500;
  second.scheduler().OnWorkerRecord(leaves, second.now());
  second.RunUntil(absl::Milliseconds(500));
  second.scheduler().OnWorkerRemoved("cut");
  CheckStartsSoon(second, kJob, 1, kNextTasks);
}

// Guards against the same wait where the earlier leader hears of the departure
// but is cut off from the store.
TEST_CASE(
    "job scheduler: a step whose earlier step ended while nobody led does not "
    "wait for a worker whose departure was not kept") {
  SchedulerDriver first(1);
  StartFirstStep(first);
  UseCutWorker(first);
  first.hold_batches = true;
  WorkerRecord leaves = SchedulerDriver::RecordOf("cut", 8000);
  leaves.draining = true;
  leaves.leaves_in_ms = 500;
  first.scheduler().OnWorkerRecord(leaves, first.now());
  first.RunUntil(absl::Seconds(1));
  SchedulerDriver second(2);
  TakeOver(second, first);
  EndFirstStep(second, first);
  CheckStartsSoon(second, kJob, 1, kNextTasks);
}

// Guards against a wait for a whole zone that is cut off, and that answers
// again.
TEST_CASE(
    "job scheduler: a step whose earlier step ended while nobody led does not "
    "wait for the end of a cut") {
  SchedulerDriver first(1);
  StartFirstStep(first);
  UseCutWorker(first);
  SchedulerDriver second(2);
  TakeOver(second, first);
  EndFirstStep(second, first);
  second.RunUntil(kMaxRestartDelay);
  CHECK(CountStarts(second, kJob, 1) == kNextTasks);
  second.RunUntil(absl::Milliseconds(3800));
  second.reports["cut"] = first.reports["cut"];
  second.RunUntil(absl::Milliseconds(4600));
  CHECK(CountStarts(second, kJob, 1) == kNextTasks);
}

// Guards against a wait after a leader that had kept all ends, but had no
// advice yet and so gave no order.
TEST_CASE(
    "job scheduler: a step that waited for advice as its leader was cut off "
    "does not wait for a worker that left unheard") {
  SchedulerDriver first(1);
  first.UseAdvice();
  first.eligible = {"a", "cut"};
  StartFirstStep(first);
  UseCutWorker(first);
  first.hold_advice = true;
  EndFirstStep(first, first);
  first.RunUntil(absl::Seconds(1));
  REQUIRE(CountStarts(first, kJob, 1) == 0);
  SchedulerDriver second(2);
  second.UseAdvice();
  second.eligible = {"a", "b", "c"};
  TakeOver(second, first);
  CheckStartsSoon(second, kJob, 1, kNextTasks);
}

// Guards against a wait for a worker that cannot run anything: the earlier
// leader found it in the platform's list, and it never answered.
TEST_CASE(
    "job scheduler: a step whose earlier step ended while nobody led does not "
    "wait for a worker that never answered the earlier leader") {
  SchedulerDriver first(1);
  StartFirstStep(first);
  first.RunUntil(absl::Milliseconds(700));
  SchedulerDriver second(2);
  TakeOver(second, first);
  EndFirstStep(second, first);
  CheckStartsSoon(second, kJob, 1, kNextTasks);
}

// Guards against a wait for runs that a leaving worker was recorded with and
// that the earlier leader knew to have ended there.
TEST_CASE(
    "job scheduler: a task does not wait for a leaving worker on which its run "
    "is known to have ended") {
  SchedulerDriver first(1);
  first.AddWorker("left", 4000);
  first.reports["left"];
  first.RunUntil(absl::Milliseconds(100));
  first.scheduler().Submit(kJob, "restore", OneStepJob(1), first.now());
  first.scheduler().Submit(kOtherJob, "restore", OneStepJob(1), first.now());
  first.RunUntil(absl::Milliseconds(300));
  REQUIRE(first.starts.size() == 2);
  WorkerRecord leaves = SchedulerDriver::RecordOf("left", 4000);
  leaves.draining = true;
  leaves.leaves_in_ms = 3000;
  first.scheduler().OnWorkerRecord(leaves, first.now());
  first.RunUntil(absl::Milliseconds(600));
  for (const StartOrder& start : first.starts) {
    if (start.task == kTask)
      first.End("left", {1, kTask, start.run, RunEnd::kFailed, ""});
  }
  first.RunUntil(absl::Seconds(1));
  first.reports["a"];
  SchedulerDriver second(2);
  TakeOver(second, first);
  CheckStartsSoon(second, kJob, 0, 1);
}

// The last task of step 0 runs on "cut", which the earlier leader records as
// leaving with it. The other tasks of step 0 are done.
void LeaveWithLastTask(SchedulerDriver& first) {
  first.AddWorker("a", 6000);
  first.reports["a"];
  first.RunUntil(absl::Milliseconds(100));
  first.scheduler().Submit(kJob, "restore", TwoStepJob(), first.now());
  first.RunUntil(absl::Milliseconds(300));
  REQUIRE(CountStarts(first, kJob, 0) == kFirstTasks - 1);
  first.AddWorker("cut", 2000);
  first.reports["cut"];
  first.RunUntil(absl::Milliseconds(600));
  REQUIRE(first.start_workers.back() == "cut");
  WorkerRecord leaves = SchedulerDriver::RecordOf("cut", 2000);
  leaves.draining = true;
  leaves.leaves_in_ms = 2000;
  first.scheduler().OnWorkerRecord(leaves, first.now());
  EndFirstStep(first, first, 0, kFirstTasks - 1);
  first.RunUntil(absl::Seconds(1));
}

// Guards against a step that waits for a lease because the last task before it
// ended on a worker that left before anyone heard of that end.
TEST_CASE(
    "job scheduler: a task whose end left unheard with its worker is back "
    "soon") {
  SchedulerDriver first(1);
  LeaveWithLastTask(first);
  SchedulerDriver second(2);
  TakeOver(second, first);
  WorkerRecord leaves = SchedulerDriver::RecordOf("cut", 2000);
  leaves.draining = true;
  leaves.leaves_in_ms = 500;
  second.scheduler().OnWorkerRecord(leaves, second.now());
  second.RunUntil(absl::Milliseconds(500));
  second.scheduler().OnWorkerRemoved("cut");
  CheckStartsSoon(second, kJob, 0, 1);
}

// Guards against a double start: the same worker is cut off but has not left.
TEST_CASE(
    "job scheduler: a task on a leaving worker that is cut off waits for that "
    "worker's lease") {
  SchedulerDriver first(1);
  LeaveWithLastTask(first);
  SchedulerDriver second(2);
  TakeOver(second, first);
  WorkerRecord leaves = SchedulerDriver::RecordOf("cut", 2000);
  leaves.draining = true;
  leaves.leaves_in_ms = 9000;
  second.scheduler().OnWorkerRecord(leaves, second.now());
  second.RunUntil(LeaseLeft(first));
  CHECK_FALSE(StartsUnseenRun(second, first));
  second.RunUntil(kAllLeasesOver);
  CHECK(StartsUnseenRun(second, first));
}

// Guards against a double start: the earlier leader has kept the ends, and its
// orders for the next step may run on a worker that does not answer.
TEST_CASE(
    "job scheduler: a step that the earlier leader started on a worker that is "
    "cut off waits for that worker's lease") {
  SchedulerDriver first(1);
  StartFirstStep(first);
  first.reports["cut"];
  first.RunUntil(absl::Milliseconds(500));
  // "a" remains full for the earlier leader.
  WorkerRecord full = SchedulerDriver::RecordOf("a", 0);
  first.scheduler().OnWorkerRecord(full, first.now());
  EndFirstStep(first, first);
  first.RunUntil(absl::Seconds(1));
  REQUIRE(CountStarts(first, kJob, 1) == 4);
  REQUIRE(first.start_workers.back() == "cut");
  SchedulerDriver second(2);
  TakeOver(second, first);
  second.RunUntil(LeaseLeft(first));
  CHECK_FALSE(StartsUnseenRun(second, first));
  second.RunUntil(kAllLeasesOver);
  CHECK(CountStarts(second, kJob, 1) == kNextTasks);
}

// Guards against a double start: the earlier leader is cut off from the store
// but not from its workers, and goes on with the next step as far as it may.
TEST_CASE(
    "job scheduler: what a leader that is cut off from the store ordered is "
    "not started again before the lease is over") {
  SchedulerDriver first(1);
  StartFirstStep(first);
  first.reports["cut"];
  first.RunUntil(absl::Milliseconds(500));
  first.hold_batches = true;
  EndFirstStep(first, first);
  const std::vector<EndedTask> ends = first.reports["a"].ended;
  first.RunUntil(absl::Seconds(1));
  SchedulerDriver second(2);
  TakeOver(second, first);
  second.reports["a"].ended = ends;
  second.RunUntil(LeaseLeft(first));
  CHECK_FALSE(StartsUnseenRun(second, first));
  second.RunUntil(kAllLeasesOver);
  CHECK(second.scheduler().figures().recovered_waiting == 0);
}

// Guards against a double start: of a batch only the worker records became
// durable, so the earlier step has to run again, and the next step may still
// run on a worker that left.
TEST_CASE(
    "job scheduler: a step that a leaving worker was recorded with waits for "
    "its lease if the earlier step runs again") {
  SchedulerDriver first(1);
  StartFirstStep(first);
  UseCutWorker(first);
  first.hold_batches = true;
  EndFirstStep(first, first);
  WorkerRecord full = SchedulerDriver::RecordOf("a", 0);
  first.scheduler().OnWorkerRecord(full, first.now());
  first.RunUntil(absl::Milliseconds(900));
  WorkerRecord leaves = SchedulerDriver::RecordOf("cut", 8000);
  leaves.draining = true;
  leaves.leaves_in_ms = 500;
  first.scheduler().OnWorkerRecord(leaves, first.now());
  first.RunUntil(absl::Seconds(1));
  const auto batch = first.scheduler().TakeBatch();
  for (const Record& record : batch.records) {
    if (IsKnownWorkerKey(record.key)) first.stored_records[record.key] = record;
  }
  SchedulerDriver second(2);
  TakeOver(second, first);
  second.other_incarnations.insert("a");  // "a" crashed with its ends.
  second.RunUntil(absl::Seconds(1));
  for (const char* worker : {"b", "c"}) {
    int64_t number = 0;
    const auto running = second.reports[worker].running;
    for (const RunningTask& run : running) {
      if (run.task.job == kJob && run.task.step == 0)
        second.End(worker, {++number, run.task, run.run, RunEnd::kDone, ""});
    }
  }
  second.RunUntil(LeaseLeft(first));
  CHECK_FALSE(StartsUnseenRun(second, first));
}

// Guards against a wait for a worker that left while a task of a step whose
// first worker crashed was tried there.
TEST_CASE(
    "job scheduler: a step does not wait for the trial of one of its tasks on "
    "a "
    "worker that is cut off") {
  SchedulerDriver site(1);
  site.AddWorker("a");
  site.reports["a"];
  site.RunUntil(absl::Milliseconds(100));
  site.scheduler().Submit(kJob, "restore", OneStepJob(kFirstTasks), site.now());
  site.RunUntil(absl::Milliseconds(300));
  REQUIRE(site.starts.size() == kFirstTasks);
  site.AddWorker("b", 32000);
  site.reports["b"];
  site.RunUntil(absl::Milliseconds(500));
  site.other_incarnations.insert("a");
  while (site.starts.size() == kFirstTasks &&
         site.now().mono < kBegin + kMaxRestartDelay)
    site.RunUntil(site.now().mono - kBegin + absl::Milliseconds(20));
  REQUIRE(site.start_workers.back() == "b");
  site.reports.erase("b");
  for (const char* worker : {"c", "d"}) {
    site.AddWorker(worker, 32000);
    site.reports[worker];
  }
  const absl::Duration cut = site.now().mono - kBegin;
  const size_t started = site.starts.size();
  site.RunUntil(cut + kMaxRestartDelay);
  CHECK(site.starts.size() > started);
  absl::Duration waited = kMaxRestartDelay;
  while (site.starts.size() == started && waited < absl::Seconds(20))
    site.RunUntil(cut + (waited += absl::Milliseconds(100)));
  CAPTURE(absl::ToInt64Milliseconds(waited));
  CHECK(waited <= kMaxRestartDelay);
}

// Guards against a double start: the lease of a worker that leaves is shorter
// than a leader goes on without the store, and the new leader extends it.
TEST_CASE(
    "job scheduler: a leader that is cut off does not start again what a "
    "leaving worker may run under the next leader") {
  SchedulerDriver first(1);
  first.AddWorker("a");
  first.reports["a"];
  first.RunUntil(absl::Milliseconds(100));
  first.scheduler().Submit(kJob, "restore", OneStepJob(1), first.now());
  first.RunUntil(absl::Milliseconds(300));
  REQUIRE(first.start_workers == std::vector<std::string>{"a"});
  first.AddWorker("cut");
  first.reports["cut"];
  WorkerRecord leaves = SchedulerDriver::RecordOf("a", 8000);
  leaves.draining = true;
  first.scheduler().OnWorkerRecord(leaves, first.now());
  const absl::Duration cut = absl::Seconds(8);
  first.RunUntil(cut);
  REQUIRE(first.stops.empty());
  // The new leader finds the run on "a" and extends the worker's lease.
  first.scheduler().OnConfirmed(first.now().mono);
  first.hold_batches = true;
  first.cut_off.insert("a");
  first.RunUntil(cut + kLongestWithoutStore);
  CHECK(first.starts.size() == 1);
}

// Shows the case that does not wait: the new leader saw a task of the earlier
// step at work before its end.
TEST_CASE(
    "job scheduler: a step whose earlier step the new leader saw at work does "
    "not wait for a worker that left unheard") {
  SchedulerDriver first(1);
  StartFirstStep(first);
  UseCutWorker(first);
  SchedulerDriver second(2);
  TakeOver(second, first);
  second.RunUntil(absl::Milliseconds(500));
  EndFirstStep(second, first);
  CheckStartsSoon(second, kJob, 1, kNextTasks);
}

}  // namespace
}  // namespace keelbridge::testing
