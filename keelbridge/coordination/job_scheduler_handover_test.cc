// Tests what a leader that could not make its knowledge durable hands over to
// the next one.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

// Users consider a job lost if it could run but does not for this long.
constexpr absl::Duration kMaxRestartDelay = absl::Seconds(3);
// Longer than the longest lease that the driver's workers grant.
constexpr absl::Duration kLeaseOver = absl::Milliseconds(6500);
// When the earlier leader is cut off from the store.
constexpr absl::Duration kCutAt = absl::Seconds(1);

JobSpec TwoStepJob() {
  JobSpec spec;
  spec.steps = {OneTask(), OneTask()};
  spec.steps[1].after = {0};
  return spec;
}

// Runs a first leader under which the only started task of the job runs on
// "leaving", which reports that it leaves. The leader is then cut off from the
// store.
void RunFirstLeader(SchedulerDriver& first, const JobSpec& spec) {
  first.AddWorker("leaving");
  first.reports["leaving"];
  first.RunUntil(absl::Milliseconds(100));
  first.scheduler().Submit(kJob, "restore", spec, first.now());
  first.RunUntil(absl::Milliseconds(300));
  REQUIRE(first.starts.size() == 1);
  WorkerRecord leaves = SchedulerDriver::RecordOf("leaving", 8000);
  leaves.draining = true;
  leaves.leaves_in_ms = 10000;
  first.scheduler().OnWorkerRecord(leaves, first.now());
  first.RunUntil(kCutAt);
  first.hold_batches = true;
}

// Lets the run on "leaving" end; only the first leader hears of it.
void EndHeardByFirst(SchedulerDriver& first, RunEnd how,
                     const std::string& checkpoint = "") {
  first.End("leaving",
            {1, first.starts[0].task, first.starts[0].run, how, checkpoint});
  first.RunUntil(kCutAt + absl::Milliseconds(500));
}

// Starts a later leader, which reaches "b" and does not reach "leaving".
void TakeOver(SchedulerDriver& second, const SchedulerDriver& first) {
  second.TakeOver(first);
  second.AddWorker("b");
  second.reports["b"];
  second.RunUntil(absl::Seconds(1));
}

// Guards against a wait for the lease of a worker that has left, and a second
// run of its task, although the earlier leader has heard that the task is done.
TEST_CASE(
    "job scheduler: a step starts after an end that only the leader before had "
    "heard") {
  SchedulerDriver first(1);
  RunFirstLeader(first, TwoStepJob());
  EndHeardByFirst(first, RunEnd::kDone);
  SchedulerDriver second(2);
  TakeOver(second, first);
  REQUIRE(second.starts.empty());
  second.scheduler().OnHandover(first.scheduler().Handover(first.now().mono),
                                second.now());
  second.RunUntil(absl::Seconds(1) + kMaxRestartDelay);
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].task == TaskId{kJob, 0, 1, 0});
}

// Guards against a lost checkpoint and a wait for a run that was stopped.
TEST_CASE(
    "job scheduler: a task continues from the checkpoint of a stop that only "
    "the leader before had heard") {
  JobSpec spec;
  spec.steps = {OneTask()};
  spec.steps[0].checkpoints = true;
  SchedulerDriver first(1);
  RunFirstLeader(first, spec);
  EndHeardByFirst(first, RunEnd::kStopped, "saved");
  SchedulerDriver second(2);
  TakeOver(second, first);
  second.scheduler().OnHandover(first.scheduler().Handover(first.now().mono),
                                second.now());
  second.RunUntil(absl::Seconds(1) + kMaxRestartDelay);
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].checkpoint == "saved");
}

// Guards against attempts beyond the limit: the failure was heard only by the
// earlier leader.
TEST_CASE("job scheduler: a failed run that is handed over counts once") {
  JobSpec spec;
  spec.steps = {OneTask()};
  SchedulerDriver first(1);
  RunFirstLeader(first, spec);
  EndHeardByFirst(first, RunEnd::kFailed);
  SchedulerDriver second(2);
  TakeOver(second, first);
  const LeaderHandover handover = first.scheduler().Handover(first.now().mono);
  second.scheduler().OnHandover(handover, second.now());
  second.scheduler().OnHandover(handover, second.now());
  second.RunUntil(absl::Seconds(2));
  // One of two attempts is left.
  REQUIRE(second.starts.size() == 1);
  second.End("b", {1, kTask, second.starts[0].run, RunEnd::kFailed, ""});
  second.RunUntil(absl::Seconds(3));
  CHECK(second.scheduler().Status(kJob) == JobState::kFailed);
}

// Guards against a second run beside the first: the run goes on where the
// earlier leader last saw it.
TEST_CASE(
    "job scheduler: a task that still runs by a handover waits for the lease") {
  JobSpec spec;
  spec.steps = {OneTask()};
  SchedulerDriver first(1);
  RunFirstLeader(first, spec);
  first.RunUntil(kCutAt + absl::Milliseconds(500));
  SchedulerDriver second(2);
  TakeOver(second, first);
  second.scheduler().OnHandover(first.scheduler().Handover(first.now().mono),
                                second.now());
  second.RunUntil(absl::Seconds(5));
  CHECK(second.starts.empty());
  second.RunUntil(absl::Seconds(1) + kLeaseOver);
  CHECK(second.starts.size() == 1);
}

// Guards against a wait of all recovered tasks for a worker whose departure the
// earlier leader could not record.
TEST_CASE(
    "job scheduler: recovered work does not wait for a worker that was empty "
    "as it left by a handover") {
  SchedulerDriver first(1);
  first.AddWorker("a", 2000);
  first.reports["a"];
  first.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {OneTask()};
  first.scheduler().Submit(kJob, "restore", spec, first.now());
  first.AddWorker("leaving");
  first.reports["leaving"];
  first.RunUntil(kCutAt);
  REQUIRE(first.start_workers == std::vector<std::string>{"a"});
  first.hold_batches = true;
  WorkerRecord leaves = SchedulerDriver::RecordOf("leaving", 8000);
  leaves.draining = true;
  first.scheduler().OnWorkerRecord(leaves, first.now());
  first.RunUntil(kCutAt + absl::Milliseconds(200));

  SchedulerDriver second(2);
  second.TakeOver(first);
  second.AddWorker("a", 2000);
  second.reports["a"] = first.reports["a"];
  second.End("a", {1, kTask, first.starts[0].run, RunEnd::kFailed, ""});
  second.AddWorker("b");
  second.reports["b"];
  second.RunUntil(absl::Seconds(1));
  REQUIRE(second.starts.empty());
  second.scheduler().OnHandover(first.scheduler().Handover(first.now().mono),
                                second.now());
  second.RunUntil(absl::Seconds(1) + kMaxRestartDelay);
  CHECK(second.starts.size() == 1);
}

// Guards against a double start: a leader in between has used the worker again,
// so that what the earlier one knew of its runs no longer holds.
TEST_CASE(
    "job scheduler: a handover of a leader before the last does not free the "
    "worker's tasks") {
  JobSpec spec;
  spec.steps = {OneTask()};
  SchedulerDriver first(1);
  RunFirstLeader(first, spec);
  EndHeardByFirst(first, RunEnd::kFailed);
  SchedulerDriver second(2);
  second.TakeOver(first);
  second.AddWorker("leaving");
  second.reports["leaving"];
  second.RunUntil(absl::Seconds(1));
  REQUIRE(second.starts.size() == 1);
  REQUIRE(second.start_workers[0] == "leaving");
  SchedulerDriver third(3);
  TakeOver(third, second);
  third.scheduler().OnHandover(first.scheduler().Handover(first.now().mono),
                               third.now());
  third.RunUntil(absl::Seconds(5));
  CHECK(third.starts.empty());
}

// Guards against ends that are lost with the leader that received them in a
// handover.
TEST_CASE(
    "job scheduler: ends that were handed over are handed over again until "
    "they are durable") {
  SchedulerDriver first(1);
  RunFirstLeader(first, TwoStepJob());
  EndHeardByFirst(first, RunEnd::kDone);
  SchedulerDriver second(2);
  TakeOver(second, first);
  second.hold_batches = true;
  second.scheduler().OnHandover(first.scheduler().Handover(first.now().mono),
                                second.now());
  SchedulerDriver third(3);
  third.TakeOver(first);
  third.AddWorker("b");
  third.reports["b"];
  third.RunUntil(absl::Seconds(1));
  third.scheduler().OnHandover(second.scheduler().Handover(second.now().mono),
                               third.now());
  third.RunUntil(absl::Seconds(1) + kMaxRestartDelay);
  REQUIRE(third.starts.size() == 1);
  CHECK(third.starts[0].task == TaskId{kJob, 0, 1, 0});
  third.RunUntil(absl::Seconds(5));
  CHECK(third.scheduler().Handover(third.now().mono).workers.empty());
}

// Guards against ends that count twice: a worker that the new leader reaches
// reports them itself.
TEST_CASE(
    "job scheduler: a handover changes nothing at a worker that has reported") {
  SchedulerDriver first(1);
  RunFirstLeader(first, TwoStepJob());
  EndHeardByFirst(first, RunEnd::kDone);
  SchedulerDriver second(2);
  second.TakeOver(first);
  second.AddWorker("leaving");
  second.reports["leaving"] = first.reports["leaving"];
  second.AddWorker("b");
  second.reports["b"];
  second.RunUntil(absl::Seconds(1));
  REQUIRE(second.starts.size() == 1);
  LeaderHandover handover = first.scheduler().Handover(first.now().mono);
  REQUIRE(handover.workers.size() == 1);
  REQUIRE(handover.workers[0].ends.size() == 1);
  // A number that the worker has not reached shows that it is not looked at.
  handover.workers[0].ends[0].number = 2;
  second.scheduler().OnHandover(handover, second.now());
  second.RunUntil(absl::Seconds(2));
  CHECK(second.starts.size() == 1);
  CHECK(second.scheduler().figures().ends_done == 1);
}

// Guards against a double start: the worker restarted under its name, and the
// start that it had not answered may be carried out by its next incarnation.
TEST_CASE(
    "job scheduler: the handover of an incarnation that has ended does not "
    "call it empty") {
  JobSpec spec;
  spec.steps = {OneTask()};
  SchedulerDriver first(1);
  first.AddWorker("w@1");
  first.reports["w@1"];
  first.RunUntil(kCutAt);
  first.hold_batches = true;
  first.drops_starts.insert("w@1");
  const int64_t batch =
      first.scheduler().Submit(kJob, "restore", spec, first.now());
  first.scheduler().OnDurable(batch);
  first.RunUntil(kCutAt + absl::Milliseconds(40));
  REQUIRE(first.lost_starts.size() == 1);
  first.next_incarnations["w@1"] = "w@2";
  first.RunUntil(kCutAt + absl::Milliseconds(80));
  for (const WorkerHandover& worker :
       first.scheduler().Handover(first.now().mono).workers) {
    CAPTURE(worker.worker);
    const bool names_task =
        std::find(worker.remaining.begin(), worker.remaining.end(), kTask) !=
        worker.remaining.end();
    CHECK((names_task || !worker.remaining_known));
  }
}

// Guards against a wait for the lease of a worker that left with another task,
// although the long-running task is known to have ended there.
TEST_CASE(
    "job scheduler: a long-running task whose end is handed over does not wait "
    "for its worker") {
  JobSpec spec;
  spec.steps = {LongRunningTask()};
  SchedulerDriver first(1);
  RunFirstLeader(first, spec);
  EndHeardByFirst(first, RunEnd::kFailed);
  SchedulerDriver second(2);
  TakeOver(second, first);
  REQUIRE(second.starts.empty());
  LeaderHandover handover = first.scheduler().Handover(first.now().mono);
  REQUIRE(handover.workers.size() == 1);
  // The worker left with a task of another job.
  handover.workers[0].remaining = {{kJob + 1, 0, 0, 0}};
  second.scheduler().OnHandover(handover, second.now());
  second.RunUntil(absl::Seconds(1) + kMaxRestartDelay);
  CHECK(second.starts.size() == 1);
}

// Guards against lost progress: a leader in between has saved more.
TEST_CASE(
    "job scheduler: a handover of a leader before the last brings no "
    "checkpoint") {
  JobSpec spec;
  spec.steps = {OneTask()};
  spec.steps[0].checkpoints = true;
  SchedulerDriver first(1);
  RunFirstLeader(first, spec);
  EndHeardByFirst(first, RunEnd::kStopped, "first");
  SchedulerDriver third(3);
  TakeOver(third, first);
  third.scheduler().OnHandover(first.scheduler().Handover(first.now().mono),
                               third.now());
  third.RunUntil(absl::Seconds(1) + kMaxRestartDelay);
  REQUIRE(third.starts.size() == 1);
  CHECK(third.starts[0].checkpoint.empty());
}

// A leader loses sight of "a", on which the only task lasts, 5 s before it
// hands over.
void LoseWorkerThenHandOver(SchedulerDriver& first) {
  first.AddWorker("a");
  first.reports["a"];
  first.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {LongRunningTask()};
  first.scheduler().Submit(kJob, "restore", spec, first.now());
  first.RunUntil(absl::Seconds(1));
  REQUIRE(first.starts.size() == 1);
  first.cut_off.insert("a");
  first.RunUntil(absl::Seconds(5));
  first.scheduler().OnWorkerRemoved("a");
  first.RunUntil(absl::Seconds(6));
}

// Guards against a lasting task that is away for two leases: the next leader
// counted the lease from the handover, not from when it was last extended.
TEST_CASE(
    "job scheduler: a handover does not begin the wait for a lost worker "
    "anew") {
  for (const absl::Duration age : {absl::Seconds(0), absl::Milliseconds(500)}) {
    CAPTURE(age);
    SchedulerDriver first(1);
    LoseWorkerThenHandOver(first);
    SchedulerDriver second(2);
    second.TakeOver(first);
    second.AddWorker("b");
    second.reports["b"];
    LeaderHandover handover = first.scheduler().Handover(first.now().mono);
    handover.age = age;
    second.scheduler().OnHandover(handover, second.now());
    // The lease was extended at 1 s, and lasts for 6.2 s on a slow clock.
    second.RunUntil(absl::Seconds(1) - age);
    CHECK(second.starts.empty());
    second.RunUntil(absl::Milliseconds(1700) - age);
    CHECK(second.starts.size() == 1);
  }
}

// Guards against a second run beside the first: a leader in between may have
// extended the lease.
TEST_CASE(
    "job scheduler: a handover says nothing of the lease that a later leader "
    "granted") {
  SchedulerDriver first(1);
  LoseWorkerThenHandOver(first);
  SchedulerDriver second(2);
  second.TakeOver(first);
  second.stored_records = first.stored_records;
  second.AddWorker("a");
  second.reports["a"] = first.reports["a"];
  second.RunUntil(absl::Seconds(1));
  SchedulerDriver third(3);
  third.TakeOver(second);
  third.AddWorker("b");
  third.reports["b"];
  third.scheduler().OnHandover(first.scheduler().Handover(first.now().mono),
                               third.now());
  third.RunUntil(absl::Seconds(6));
  CHECK(third.starts.empty());
  third.RunUntil(kLeaseOver);
  CHECK(third.starts.size() == 1);
}

// Guards against a lease end that a leader hands over without knowing what
// earlier leaders granted.
TEST_CASE(
    "job scheduler: a leader that a worker never answered hands over no end of "
    "its lease") {
  SchedulerDriver first(1);
  LoseWorkerThenHandOver(first);
  SchedulerDriver second(2);
  second.TakeOver(first);
  second.AddWorker("a");
  second.RunUntil(absl::Seconds(1));
  for (const WorkerHandover& worker :
       second.scheduler().Handover(second.now().mono).workers)
    CHECK_FALSE(worker.lease_left.has_value());
}

}  // namespace
}  // namespace keelbridge::testing
