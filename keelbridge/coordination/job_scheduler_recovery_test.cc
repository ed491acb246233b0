// Tests which recovered tasks a later leader may start, and which workers and
// leases it waits for before that.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

const LogAction* FindLogLine(const SchedulerDriver& site,
                             const std::string& event) {
  const auto line =
      std::find_if(site.log_lines.begin(), site.log_lines.end(),
                   [&](const auto& one) { return one.event == event; });
  return line == site.log_lines.end() ? nullptr : &*line;
}

std::string LogField(const LogAction& line, const std::string& name) {
  for (const auto& [key, value] : line.fields) {
    if (key == name) return value;
  }
  return "";
}

TEST_CASE(
    "job scheduler: the log says which worker recovered tasks wait for, and "
    "until when") {
  SchedulerDriver site(2);
  site.Recover(OneTask(), {{SchedulerDriver::RecordOf("gone", 8000), 1}});
  site.AddWorker("a");
  site.reports["a"];
  site.RunUntil(absl::Milliseconds(1500));
  const LogAction* waits = FindLogLine(site, "recovered_work_waits");
  REQUIRE(waits != nullptr);
  CHECK(LogField(*waits, "first") == TaskIdText(kTask));
  CHECK(LogField(*waits, "tasks") == "1");
  CHECK(LogField(*waits, "workers") == "1");
  CHECK(LogField(*waits, "last_worker") == "gone");
  CHECK(LogField(*waits, "held_by_epoch") == "1");
  CHECK(site.scheduler().figures().recovered_waiting == 1);
  CHECK(FindLogLine(site, "recovered_work_free") == nullptr);
  site.RunUntil(absl::Seconds(14));
  CHECK(FindLogLine(site, "recovered_work_free") != nullptr);
  CHECK(site.scheduler().figures().recovered_waiting == 0);
}

// If starts are not recorded, one unresponsive worker delays every task that
// the new leader has not observed. Here worker "x" leaves and the leader
// stalls. While no node leads, the run of a long-running task fails on worker
// "w". The next leader receives that end at once. It must not hold the task
// back because "x" does not answer and the earlier leader might have started
// the task there. With this fault, a new leader started such a task 15.0 s
// after it took over, although the site was calm, had capacity for the task,
// and all workers but one had reported. The start followed the end of the
// earlier leader (15.44 s), a worker's lease (10.3 s) and a call for advice
// (0.8 s).
TEST_CASE(
    "job scheduler: a long-running task whose run ended while nobody led does "
    "not wait for another worker") {
  SchedulerDriver first(1);
  for (const char* worker : {"w", "x", "y"}) first.reports[worker];
  first.AddWorker("w");
  first.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {LongRunningTask()};
  first.scheduler().Submit(kJob, "restore", spec, first.now());
  first.RunUntil(absl::Milliseconds(200));
  REQUIRE(first.start_workers == std::vector<std::string>{"w"});
  first.AddWorker("x");
  first.AddWorker("y");
  first.RunUntil(absl::Milliseconds(400));

  SchedulerDriver second(2);
  second.TakeOver(first);
  second.AddWorker("w");
  second.AddWorker("y");
  second.reports["w"].ended = {{1, kTask, 1, RunEnd::kFailed, ""}};
  second.reports["y"];  // "x" does not answer.
  second.RunUntil(absl::Seconds(1));
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].task == kTask);
}

// The record of a worker that leaves while nothing runs there says so.
TEST_CASE(
    "job scheduler: recovered tasks do not wait for a worker that was empty "
    "when it left") {
  SchedulerDriver first(1);
  for (const char* worker : {"w", "x"}) {
    first.reports[worker];
    first.AddWorker(worker);
  }
  first.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {OneTask(100000)};  // No worker has the capacity for it.
  first.scheduler().Submit(kJob, "restore", spec, first.now());
  WorkerRecord leaving = SchedulerDriver::RecordOf("x", 8000);
  leaving.draining = true;
  first.scheduler().OnWorkerRecord(leaving, first.now());
  first.RunUntil(absl::Milliseconds(400));

  SchedulerDriver second(2);
  second.TakeOver(first);
  second.AddWorker("w");
  second.AddWorker("wide", 100000);
  second.reports["w"];
  second.reports["wide"];  // "x" is gone.
  second.RunUntil(absl::Seconds(1));
  CHECK(second.start_workers == std::vector<std::string>{"wide"});
}

// Later leaders wait for a worker that leaves with a run, or that stays after
// all.
TEST_CASE("job scheduler: only a worker that is empty and leaves is retired") {
  SchedulerDriver site(1);
  site.AddWorker("x");
  site.reports["x"];
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {OneTask()};
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(200));
  REQUIRE(site.starts.size() == 1);
  WorkerRecord leaving = SchedulerDriver::RecordOf("x", 8000);
  leaving.draining = true;
  site.scheduler().OnWorkerRecord(leaving, site.now());
  const auto retired = [&] {
    return ParseKnownWorker(site.stored_records.at(KnownWorkerKey("x")))
        ->retired;
  };
  site.RunUntil(absl::Milliseconds(400));
  CHECK_FALSE(retired());
  site.End("x", {1, kTask, site.starts[0].run, RunEnd::kDone, ""});
  site.RunUntil(absl::Milliseconds(600));
  CHECK(retired());
  site.AddWorker("x");
  site.RunUntil(absl::Milliseconds(800));
  CHECK_FALSE(retired());
}

// A site under its first leader. Worker "x" runs the only task of one job, and
// has no free capacity for the tasks of a second job. `DrainWorker` lets the
// worker leave.
class DrainedWorkerFixture {
 public:
  explicit DrainedWorkerFixture(bool gang) : first_(1) {
    first_.reports["x"];
    first_.AddWorker("x");
    first_.RunUntil(absl::Milliseconds(100));
    JobSpec running;
    running.steps = {OneTask(8000)};
    first_.scheduler().Submit(kJob, "restore", running, first_.now());
    JobSpec waiting;
    waiting.steps = {OneTask(8000)};
    waiting.steps[0].count = 2;
    waiting.steps[0].gang = gang;
    first_.scheduler().Submit(kJob + 1, "restore", waiting, first_.now());
    first_.RunUntil(absl::Milliseconds(200));
    REQUIRE(first_.starts.size() == 1);
    REQUIRE(first_.starts[0].task == kTask);
  }

  SchedulerDriver& first() { return first_; }
  void DrainWorker() {
    WorkerRecord leaving = SchedulerDriver::RecordOf("x", 8000);
    leaving.draining = true;
    first_.scheduler().OnWorkerRecord(leaving, first_.now());
    first_.RunUntil(absl::Milliseconds(400));
  }

 private:
  SchedulerDriver first_;
};

void AddIdleWorkers(SchedulerDriver& site) {
  for (const char* worker : {"a", "b", "c", "d"}) {
    site.AddWorker(worker);
    site.reports[worker];
  }
}

// Guards against a few workers that have left delaying all recovered tasks: in
// a simulation 14 workers had left with 26 tasks, and the next leader did not
// start 8,508 tasks for 10 s.
TEST_CASE(
    "job scheduler: only the recovered tasks that a worker left with wait for "
    "its lease") {
  DrainedWorkerFixture site(/*gang=*/true);
  site.DrainWorker();
  SchedulerDriver second(2);
  second.TakeOver(site.first());
  AddIdleWorkers(second);
  second.RunUntil(absl::Seconds(5));
  REQUIRE(second.starts.size() == 2);
  CHECK(second.starts[0].task.job == kJob + 1);
  CHECK(second.starts[1].task.job == kJob + 1);
  second.RunUntil(absl::Seconds(8));
  REQUIRE(second.starts.size() == 3);
  CHECK(second.starts[2].task == kTask);
}

// All recovered tasks wait unless later leaders can read which tasks the worker
// left with.
TEST_CASE(
    "job scheduler: recovered tasks wait for a worker whose departure is not "
    "durable") {
  DrainedWorkerFixture site(/*gang=*/false);
  site.first().hold_batches = true;
  site.DrainWorker();
  SchedulerDriver second(2);
  second.TakeOver(site.first());
  AddIdleWorkers(second);
  second.RunUntil(absl::Seconds(5));
  CHECK(second.starts.empty());
  second.RunUntil(absl::Seconds(8));
  CHECK(second.starts.size() == 3);
}

// A worker that stays after all may get tasks again.
TEST_CASE(
    "job scheduler: recovered tasks wait for a worker that stayed after all") {
  DrainedWorkerFixture site(/*gang=*/false);
  site.DrainWorker();
  site.first().AddWorker("x");
  site.first().RunUntil(absl::Milliseconds(600));
  site.first().End("x",
                   {1, kTask, site.first().starts[0].run, RunEnd::kDone, ""});
  site.first().RunUntil(absl::Milliseconds(800));
  REQUIRE(site.first().starts.size() == 2);
  SchedulerDriver second(2);
  second.TakeOver(site.first());
  AddIdleWorkers(second);
  second.RunUntil(absl::Seconds(5));
  CHECK(second.starts.empty());
  second.RunUntil(absl::Seconds(8));
  CHECK(second.starts.size() == 2);
}

// A run of an earlier leader that is reported late is recorded, too.
TEST_CASE(
    "job scheduler: the record of a leaving worker names the tasks that it "
    "leaves with, and no others") {
  DrainedWorkerFixture site(/*gang=*/false);
  const auto recorded_last_tasks = [&] {
    return ParseKnownWorker(site.first().stored_records.at(KnownWorkerKey("x")))
        ->last_tasks;
  };
  CHECK(recorded_last_tasks().empty());
  site.DrainWorker();
  CHECK(recorded_last_tasks() == std::vector<TaskId>{kTask});
  const TaskId other{kJob + 1, 0, 0, 1};
  site.first().reports["x"].running.push_back({other, 1, "", 0});
  site.first().RunUntil(absl::Milliseconds(600));
  CHECK(recorded_last_tasks() == std::vector<TaskId>{kTask, other});
  site.first().End("x",
                   {1, kTask, site.first().starts[0].run, RunEnd::kDone, ""});
  site.first().RunUntil(absl::Milliseconds(800));
  CHECK(recorded_last_tasks() == std::vector<TaskId>{kTask, other});
}

// A task whose placement is recorded waits for one worker. That worker may
// still run the task, so the task is not started again before the worker's
// lease has expired.
TEST_CASE(
    "job scheduler: a long-running task waits for the worker that it was "
    "placed on") {
  SchedulerDriver first(1);
  first.reports["x"];
  first.AddWorker("x");
  first.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {LongRunningTask()};
  first.scheduler().Submit(kJob, "restore", spec, first.now());
  first.RunUntil(absl::Milliseconds(200));
  REQUIRE(first.starts.size() == 1);

  SchedulerDriver second(2);
  second.TakeOver(first);
  second.AddWorker("w");
  second.reports["w"];  // "x" does not answer.
  second.RunUntil(absl::Seconds(6));
  CHECK(second.starts.empty());
  second.RunUntil(absl::Seconds(8));
  REQUIRE(second.start_workers == std::vector<std::string>{"w"});
  CHECK(second.starts[0].run > first.starts[0].run);
}

// A leader that ends between the record and the order leaves a task that was
// never started.
TEST_CASE(
    "job scheduler: a long-running task is recorded before its order is "
    "sent") {
  SchedulerDriver site(1);
  site.reports["x"];
  site.AddWorker("x");
  site.RunUntil(absl::Milliseconds(100));
  site.hold_batches = true;
  JobSpec spec;
  spec.steps = {LongRunningTask()};
  const int64_t accepted =
      site.scheduler().Submit(kJob, "restore", spec, site.now());
  const auto batch = site.scheduler().TakeBatch();
  REQUIRE(batch.number == accepted);
  site.scheduler().OnDurable(accepted);
  site.RunUntil(absl::Milliseconds(400));
  CHECK(site.starts.empty());
  CHECK(site.scheduler().HasBatch());
  site.hold_batches = false;
  site.RunUntil(absl::Milliseconds(500));
  CHECK(site.starts.size() == 1);
}

TEST_CASE(
    "job scheduler: a long-running task that is cancelled before its order is "
    "sent is not started") {
  SchedulerDriver site(1);
  site.reports["x"];
  site.AddWorker("x");
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {LongRunningTask()};
  const int64_t accepted =
      site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.hold_batches = true;
  site.scheduler().TakeBatch();
  site.scheduler().OnDurable(accepted);
  site.RunUntil(absl::Milliseconds(200));
  site.scheduler().Cancel(kJob, site.now());
  site.hold_batches = false;
  site.RunUntil(absl::Seconds(1));
  CHECK(site.starts.empty());
  CHECK(site.scheduler().figures().running_tasks == 0);
}

// The machine of the task's own worker runs another incarnation, so nothing
// runs the task. Another worker, which does not respond, must not delay it.
TEST_CASE(
    "job scheduler: a long-running task whose worker is gone does not wait for "
    "another worker") {
  SchedulerDriver first(1);
  for (const char* worker : {"w", "x"}) first.reports[worker];
  first.AddWorker("w");
  first.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {LongRunningTask()};
  first.scheduler().Submit(kJob, "restore", spec, first.now());
  first.RunUntil(absl::Milliseconds(200));
  REQUIRE(first.start_workers == std::vector<std::string>{"w"});
  first.AddWorker("x");
  first.RunUntil(absl::Milliseconds(400));

  SchedulerDriver second(2);
  second.TakeOver(first);
  second.other_incarnations.insert("w");  // "x" does not answer.
  second.RunUntil(absl::Milliseconds(300));
  second.AddWorker("y");  // Capacity appears only after "w" was forgotten.
  second.reports["y"];
  second.RunUntil(absl::Seconds(1));
  CHECK(second.start_workers == std::vector<std::string>{"y"});
}

// Only a part of a batch may become durable, with its workers first. A later
// leader that did not wait for the worker would restart a task whose end only
// that worker reports.
TEST_CASE(
    "job scheduler: a worker is retired once all ends that it reported are "
    "durable") {
  SchedulerDriver site(1);
  site.AddWorker("x");
  site.reports["x"];
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {OneTask()};
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(200));
  REQUIRE(site.starts.size() == 1);
  WorkerRecord leaving = SchedulerDriver::RecordOf("x", 8000);
  leaving.draining = true;
  site.scheduler().OnWorkerRecord(leaving, site.now());
  site.hold_batches = true;
  site.End("x", {1, kTask, site.starts[0].run, RunEnd::kDone, ""});
  site.RunUntil(absl::Milliseconds(600));
  const auto batch = site.scheduler().TakeBatch();
  for (const Record& record : batch.records) {
    const auto worker = ParseKnownWorker(record);
    CHECK_FALSE((worker && worker->retired));
  }
  site.scheduler().OnDurable(batch.number);
  site.hold_batches = false;
  site.RunUntil(absl::Milliseconds(800));
  CHECK(ParseKnownWorker(site.stored_records.at(KnownWorkerKey("x")))->retired);
}

// A batch starts by dropping the keys of workers that are gone, and only a part
// of it may become durable.
TEST_CASE(
    "job scheduler: a worker that is gone is dropped once all ends that it "
    "reported are durable") {
  SchedulerDriver site(1);
  site.AddWorker("x");
  site.reports["x"];
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {OneTask()};
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(200));
  REQUIRE(site.starts.size() == 1);
  site.hold_batches = true;
  site.End("x", {1, kTask, site.starts[0].run, RunEnd::kDone, ""});
  site.RunUntil(absl::Milliseconds(240));
  site.scheduler().OnWorkerRemoved("x");
  site.RunUntil(absl::Milliseconds(600));
  const auto batch = site.scheduler().TakeBatch();
  for (const Record& record : batch.records)
    CHECK((record.key != KnownWorkerKey("x") || record.value.has_value()));
  site.scheduler().OnDurable(batch.number);
  site.hold_batches = false;
  site.RunUntil(absl::Milliseconds(800));
  CHECK(site.forgotten_workers == std::vector<std::string>{"x"});
  CHECK(site.stored_records.count(KnownWorkerKey("x")) == 0);
}

// The entry of such a worker may come from another writer and have an address
// where nothing answers.
TEST_CASE(
    "job scheduler: recovered tasks do not wait for a worker that no earlier "
    "leader knew") {
  SchedulerDriver site(2);
  site.Recover(OneTask());
  site.AddWorker("a");
  site.AddWorker("new");  // Does not answer.
  site.reports["a"];
  site.RunUntil(absl::Seconds(1));
  CHECK(site.start_workers == std::vector<std::string>{"a"});
}

// The store is unavailable for a while, and the task's worker leaves meanwhile.
TEST_CASE(
    "job scheduler: a long-running task is not sent to a worker that leaves "
    "before the order is sent") {
  SchedulerDriver site(1);
  for (const char* worker : {"a", "b"}) {
    site.reports[worker];
    site.AddWorker(worker);
  }
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {LongRunningTask()};
  const int64_t accepted =
      site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.hold_batches = true;
  site.scheduler().TakeBatch();
  site.scheduler().OnDurable(accepted);
  site.RunUntil(absl::Milliseconds(400));
  REQUIRE(site.starts.empty());
  WorkerRecord leaving = SchedulerDriver::RecordOf("a", 8000);
  leaving.draining = true;
  site.scheduler().OnWorkerRecord(leaving, site.now());
  site.hold_batches = false;
  site.RunUntil(absl::Seconds(1));
  CHECK(site.start_workers == std::vector<std::string>{"b"});
}

// A leader of an earlier version records the workers to which it assigns tasks,
// but neither its placements nor the fact that it records none. After such a
// leader, any worker that it knew may run the task.
TEST_CASE(
    "job scheduler: placements say nothing about a worker whose last leader "
    "recorded none") {
  SchedulerDriver first(1);
  first.reports["w"];
  first.AddWorker("w");
  first.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {LongRunningTask()};
  first.scheduler().Submit(kJob, "restore", spec, first.now());
  first.RunUntil(absl::Milliseconds(200));
  REQUIRE(first.start_workers == std::vector<std::string>{"w"});
  // Leader 2 starts the task on "z".
  KnownWorker known;
  known.worker = SchedulerDriver::RecordOf("z", 8000);
  known.epoch = 2;
  first.stored_records[KnownWorkerKey("z")] = KnownWorkerRecord(known);

  SchedulerDriver third(3);
  third.TakeOver(first);
  third.AddWorker("w");
  third.reports["w"];  // "z" does not answer.
  third.RunUntil(absl::Seconds(6));
  CHECK(third.starts.empty());
  third.RunUntil(absl::Seconds(8));
  CHECK(third.start_workers == std::vector<std::string>{"w"});
}

// The append that the order waits for may take seconds. If the worker reports
// meanwhile that it leaves, a task that started there would have to move at
// once.
TEST_CASE(
    "job scheduler: a long-running task whose worker leaves before the order "
    "is sent starts elsewhere") {
  SchedulerDriver site(1);
  site.reports["x"];
  site.AddWorker("x");
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {LongRunningTask()};
  const int64_t accepted =
      site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.hold_batches = true;
  site.scheduler().TakeBatch();
  site.scheduler().OnDurable(accepted);
  site.RunUntil(absl::Milliseconds(200));
  WorkerRecord leaving = SchedulerDriver::RecordOf("x", 8000);
  leaving.draining = true;
  site.scheduler().OnWorkerRecord(leaving, site.now());
  site.reports["y"];
  site.AddWorker("y");
  site.RunUntil(absl::Milliseconds(3400));
  CHECK(site.starts.empty());
  site.hold_batches = false;
  site.RunUntil(absl::Seconds(4));
  CHECK(site.start_workers == std::vector<std::string>{"y"});
  CHECK(site.stops.empty());
}

}  // namespace
}  // namespace keelbridge::testing
