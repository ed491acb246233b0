// What a later leader may start of what it recovered, and what it waits for.

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
    "job scheduler: the log says what recovered work waits for, and till "
    "when") {
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

// What users saw: a task that was to last stood still for 15 s, on a calm site
// with room for it.
//
// In order: worker "x" said that it leaves. The leader froze. While nobody led,
// the task's run failed on worker "w", which went on, and "x" was gone. The
// next leader heard the end of the run at once, and still held the task back,
// since "x" did not answer and the earlier leader might have started the task
// there.
//
// The cause: an earlier leader's starts were on no record, so that one worker
// that is silent kept back everything that the new leader had not seen.
//
// Evidence: the new leader started the task 15.0 s after it took over, which is
// the earlier leader's end, 15.44 s, a worker's lease, 10.3 s, and a call for
// advice, 0.8 s; all other workers were listed, and one less than before.
TEST_CASE(
    "job scheduler: a lasting task whose run ended while nobody led does not "
    "wait for another worker") {
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
  second.reports["y"];  // "x" answers nothing.
  second.RunUntil(absl::Seconds(1));
  REQUIRE(second.starts.size() == 1);
  CHECK(second.starts[0].task == kTask);
}

// The record of a worker that leaves says that it is empty.
TEST_CASE(
    "job scheduler: recovered work does not wait for a worker that was empty "
    "as it left") {
  SchedulerDriver first(1);
  for (const char* worker : {"w", "x"}) {
    first.reports[worker];
    first.AddWorker(worker);
  }
  first.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {OneTask(100000)};  // No worker has room for it.
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

// It leaves with a run, or stays after all: it is waited for.
TEST_CASE("job scheduler: only a worker that is empty and leaves is closed") {
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

// A site whose worker "x" left with one task of the job, as its first leader
// left it; the other task found no room.
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

// Seen in a simulated run: 14 workers had left with 26 tasks, and the next
// leader kept back 8,508 tasks for 10 s.
TEST_CASE(
    "job scheduler: of recovered work only what a worker left with waits for "
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

// Until later leaders can read what it left with, all waits.
TEST_CASE(
    "job scheduler: recovered work waits for a worker whose leaving is not "
    "kept for good") {
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

// It stays after all, and may get work again.
TEST_CASE(
    "job scheduler: recovered work waits for a worker that stayed after all") {
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

// A run of an earlier leader that is heard of late is told of, too.
TEST_CASE(
    "job scheduler: what a worker leaves with is on record, and no more") {
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

// With its placement on record a task waits for one worker; that one may still
// run it, so the task is not started a second time before its lease is over.
TEST_CASE(
    "job scheduler: a lasting task waits for the worker that it was placed "
    "on") {
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
  second.reports["w"];  // "x" answers nothing.
  second.RunUntil(absl::Seconds(6));
  CHECK(second.starts.empty());
  second.RunUntil(absl::Seconds(8));
  REQUIRE(second.start_workers == std::vector<std::string>{"w"});
  CHECK(second.starts[0].run > first.starts[0].run);
}

// A leader that ends between the two leaves a task that was never started.
TEST_CASE(
    "job scheduler: a lasting task is on record before its order leaves") {
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
    "job scheduler: a lasting task that is cancelled before its order leaves "
    "is not started") {
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

// Its own worker's machine runs another life: nothing runs the task, and
// another worker that is silent has nothing to do with it.
TEST_CASE(
    "job scheduler: a lasting task whose worker is gone does not wait for "
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
  second.other_incarnations.insert("w");  // "x" answers nothing.
  second.RunUntil(absl::Milliseconds(300));
  second.AddWorker("y");  // Room comes when "w" is forgotten.
  second.reports["y"];
  second.RunUntil(absl::Seconds(1));
  CHECK(second.start_workers == std::vector<std::string>{"y"});
}

// A batch may be kept in part, its workers first: a later leader that did not
// wait for the worker would start the task again whose end only it lists.
TEST_CASE(
    "job scheduler: a worker is closed once all ends that it listed are kept") {
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

// The key of a worker that is gone stands first in its batch, which may be kept
// in part.
TEST_CASE(
    "job scheduler: a worker that is gone is dropped once all ends that it "
    "listed are kept") {
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

// Its record may be anybody's: an address where nobody answers.
TEST_CASE(
    "job scheduler: recovered work does not wait for a worker that no earlier "
    "leader knew") {
  SchedulerDriver site(2);
  site.Recover(OneTask());
  site.AddWorker("a");
  site.AddWorker("new");  // Answers nothing.
  site.reports["a"];
  site.RunUntil(absl::Seconds(1));
  CHECK(site.start_workers == std::vector<std::string>{"a"});
}

// The store took nothing for a while; its worker leaves meanwhile.
TEST_CASE(
    "job scheduler: a lasting task is not sent to a worker that leaves by "
    "then") {
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

// A leader of an earlier version records the workers that it gives work to, but
// neither its placements nor, with them, that it keeps none. After it, any
// worker that it knew may run the task.
TEST_CASE(
    "job scheduler: placements tell nothing of a worker whose last leader kept "
    "none") {
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
  third.reports["w"];  // "z" answers nothing.
  third.RunUntil(absl::Seconds(6));
  CHECK(third.starts.empty());
  third.RunUntil(absl::Seconds(8));
  CHECK(third.start_workers == std::vector<std::string>{"w"});
}

// The append that its order waits for may take seconds. What is started then on
// a worker that has said meanwhile that it leaves has to move at once.
TEST_CASE(
    "job scheduler: a lasting task whose worker leaves before its order does "
    "starts elsewhere") {
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
