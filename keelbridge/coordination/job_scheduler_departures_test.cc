// Tests how runs on a worker are handled that has reported when it leaves.

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

constexpr absl::Duration kAnnouncedAt = absl::Milliseconds(500);
constexpr absl::Duration kRemaining = absl::Seconds(9);
constexpr absl::Duration kLeavesAt = absl::Milliseconds(9500);
// Runs are not stopped earlier than this before their worker leaves.
constexpr absl::Duration kMaxMargin = absl::Seconds(2);
// Users consider a job lost if it could run but does not for this long.
constexpr absl::Duration kMaxRestartDelay = absl::Seconds(3);

StepSpec TaskOf(absl::Duration estimate) {
  StepSpec step = OneTask();
  step.estimated_ms = absl::ToInt64Milliseconds(estimate);
  return step;
}

WorkerRecord LeavingRecord(const std::string& id, absl::Duration remaining) {
  WorkerRecord record = SchedulerDriver::RecordOf(id, 8000);
  record.draining = true;
  record.leaves_in_ms = absl::ToInt64Milliseconds(remaining);
  return record;
}

// Returns the workers that were ordered to stop a run, each once. Orders are
// repeated until the end of the run is reported.
std::set<std::string> WorkersOfStops(const SchedulerDriver& site) {
  return {site.stop_workers.begin(), site.stop_workers.end()};
}

// Worker "a" runs the only task of a job when it announces, at `kAnnouncedAt`,
// that it leaves. Worker "b" has capacity for the task.
class LeavingWorkerSite {
 public:
  explicit LeavingWorkerSite(const StepSpec& step) : driver_(1) {
    driver_.AddWorker("a");
    driver_.reports["a"];
    driver_.RunUntil(absl::Milliseconds(100));
    JobSpec spec;
    spec.steps = {step};
    driver_.scheduler().Submit(kJob, "restore", spec, driver_.now());
    driver_.RunUntil(kAnnouncedAt);
    REQUIRE(driver_.start_workers == std::vector<std::string>{"a"});
    driver_.AddWorker("b");
    driver_.reports["b"];
    SetRecord(LeavingRecord("a", kRemaining));
  }

  SchedulerDriver& driver() { return driver_; }
  void SetRecord(const WorkerRecord& record) {
    driver_.scheduler().OnWorkerRecord(record, driver_.now());
  }
  // The run of the task reports its progress.
  void ReportProgress(int32_t percent, const std::string& checkpoint) {
    RunningTask& run = driver_.reports.at("a").running.at(0);
    run.percent = percent;
    run.checkpoint = checkpoint;
  }
  // The worker ends, and its record is removed.
  void Leave() {
    driver_.reports.erase("a");
    driver_.scheduler().OnWorkerRemoved("a");
  }

 private:
  SchedulerDriver driver_;
};

TEST_CASE(
    "job scheduler: a run that ends before its worker leaves is not stopped") {
  LeavingWorkerSite site(TaskOf(absl::Seconds(8)));
  SchedulerDriver& driver = site.driver();
  driver.RunUntil(absl::Milliseconds(8300));
  driver.End("a", {1, kTask, driver.starts[0].run, RunEnd::kDone, ""});
  driver.RunUntil(kLeavesAt);
  CHECK(driver.stops.empty());
  CHECK(driver.starts.size() == 1);
}

TEST_CASE(
    "job scheduler: a run whose progress shows that it ends before its worker "
    "leaves is not stopped") {
  LeavingWorkerSite site(TaskOf(absl::Seconds(20)));
  SchedulerDriver& driver = site.driver();
  driver.RunUntil(absl::Seconds(7));
  site.ReportProgress(92, "");  // 1.6 s are left.
  driver.RunUntil(absl::Milliseconds(8700));
  driver.End("a", {1, kTask, driver.starts[0].run, RunEnd::kDone, ""});
  driver.RunUntil(kLeavesAt);
  CHECK(driver.stops.empty());
}

TEST_CASE(
    "job scheduler: a run that is too slow to end before its worker leaves is "
    "stopped") {
  LeavingWorkerSite site(TaskOf(absl::Seconds(8)));
  SchedulerDriver& driver = site.driver();
  driver.RunUntil(absl::Seconds(7));
  site.ReportProgress(75, "");  // At this pace, 2.2 s are left.
  driver.RunUntil(absl::Milliseconds(7500));
  site.ReportProgress(76, "");
  driver.RunUntil(kLeavesAt);
  CHECK(WorkersOfStops(driver) == std::set<std::string>{"a"});
}

// The record may be some time old when the leader reads it, so that the worker
// leaves sooner than the leader concludes.
TEST_CASE(
    "job scheduler: a run that ends shortly before the announced departure is "
    "stopped") {
  LeavingWorkerSite site(TaskOf(kLeavesAt - absl::Milliseconds(300)));
  site.driver().RunUntil(kLeavesAt);
  CHECK(WorkersOfStops(site.driver()) == std::set<std::string>{"a"});
}

TEST_CASE(
    "job scheduler: a run that its leaving worker cannot finish continues "
    "elsewhere from its checkpoint") {
  StepSpec step = TaskOf(absl::Seconds(17));
  step.checkpoints = true;
  LeavingWorkerSite site(step);
  SchedulerDriver& driver = site.driver();
  driver.RunUntil(absl::Seconds(7));
  site.ReportProgress(40, "6800");
  driver.RunUntil(kLeavesAt - kMaxMargin);
  CHECK(driver.stops.empty());
  driver.RunUntil(kLeavesAt);
  REQUIRE(WorkersOfStops(driver) == std::set<std::string>{"a"});
  for (const StopOrder& stop : driver.stops) {
    CHECK(stop.task == kTask);
    CHECK(stop.run == driver.starts[0].run);
  }
  REQUIRE(driver.starts.size() == 2);
  CHECK(driver.start_workers[1] == "b");
  CHECK(driver.starts[1].checkpoint == "6800");
  CHECK(driver.starts[1].run > driver.starts[0].run);
}

TEST_CASE("job scheduler: the log explains why a leaving worker's run stops") {
  LeavingWorkerSite site(TaskOf(absl::Seconds(17)));
  site.driver().RunUntil(kLeavesAt);
  const std::vector<LogAction>& lines = site.driver().log_lines;
  const auto moved = std::find_if(
      lines.begin(), lines.end(),
      [](const LogAction& line) { return line.event == "run_moves"; });
  REQUIRE(moved != lines.end());
  const auto field = [&](const std::string& name) {
    for (const auto& [key, value] : moved->fields) {
      if (key == name) return value;
    }
    return std::string();
  };
  CHECK(field("task") == TaskIdText(kTask));
  CHECK(field("worker") == "a");
  CHECK(field("why") == "its worker leaves before the run can end");
}

TEST_CASE("job scheduler: a gang moves as a whole before a worker leaves") {
  SchedulerDriver site(1);
  for (const char* id : {"a", "b"}) {
    site.AddWorker(id);
    site.reports[id];
  }
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {TaskOf(absl::Seconds(17))};
  spec.steps[0].requested.cpu_milli = 8000;
  spec.steps[0].count = 2;
  spec.steps[0].gang = true;
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(kAnnouncedAt);
  REQUIRE(site.starts.size() == 2);
  site.AddWorker("c");
  site.reports["c"];
  site.scheduler().OnWorkerRecord(LeavingRecord("a", kRemaining), site.now());
  site.RunUntil(kLeavesAt - kMaxMargin);
  CHECK(site.stops.empty());
  site.RunUntil(kLeavesAt);
  CHECK(WorkersOfStops(site) == std::set<std::string>{"a", "b"});
  REQUIRE(site.starts.size() == 4);
  CHECK(site.starts[2].run == site.starts[3].run);
  CHECK(site.starts[2].run > site.starts[0].run);
  const std::set<std::string> started = {site.start_workers[2],
                                         site.start_workers[3]};
  CHECK(started == std::set<std::string>{"b", "c"});
}

TEST_CASE(
    "job scheduler: a worker that stays longer than announced keeps its run") {
  constexpr absl::Duration kSecondRecordAt = absl::Seconds(7);
  constexpr absl::Duration kLongerRemaining = absl::Seconds(8);
  LeavingWorkerSite site(TaskOf(absl::Seconds(30)));
  SchedulerDriver& driver = site.driver();
  driver.RunUntil(kSecondRecordAt);
  site.SetRecord(LeavingRecord("a", kLongerRemaining));
  driver.RunUntil(kSecondRecordAt + kLongerRemaining - kMaxMargin);
  CHECK(driver.stops.empty());
  driver.RunUntil(kSecondRecordAt + kLongerRemaining);
  CHECK(WorkersOfStops(driver) == std::set<std::string>{"a"});
}

TEST_CASE("job scheduler: a worker that stays after all keeps its run") {
  LeavingWorkerSite site(TaskOf(absl::Seconds(30)));
  site.driver().RunUntil(absl::Seconds(7));
  site.SetRecord(SchedulerDriver::RecordOf("a", 8000));
  site.driver().RunUntil(absl::Seconds(25));
  CHECK(site.driver().stops.empty());
}

// A worker's record is read again when the list of workers is.
TEST_CASE(
    "job scheduler: a record that is read again does not delay the departure") {
  LeavingWorkerSite site(TaskOf(absl::Seconds(17)));
  site.driver().RunUntil(absl::Seconds(7));
  site.SetRecord(LeavingRecord("a", kRemaining));
  site.driver().RunUntil(kLeavesAt);
  CHECK(WorkersOfStops(site.driver()) == std::set<std::string>{"a"});
}

TEST_CASE(
    "job scheduler: a worker that leaves at an unknown time keeps its run") {
  LeavingWorkerSite site(TaskOf(absl::Seconds(30)));
  WorkerRecord record = LeavingRecord("a", kRemaining);
  record.leaves_in_ms = -1;
  site.SetRecord(record);
  site.driver().RunUntil(absl::Seconds(25));
  CHECK(site.driver().stops.empty());
}

// A worker that does not answer may still run the task until its lease expires.
TEST_CASE(
    "job scheduler: a run on a leaving worker that does not answer waits for "
    "its lease") {
  LeavingWorkerSite site(TaskOf(absl::Seconds(17)));
  SchedulerDriver& driver = site.driver();
  driver.RunUntil(kLeavesAt - kMaxMargin);
  const auto last = std::find_if(
      driver.observations.rbegin(), driver.observations.rend(),
      [](const ObserveAction& one) { return one.worker.id == "a"; });
  REQUIRE(last != driver.observations.rend());
  const int64_t lease_until_ms = last->order.lease_until_ms;
  REQUIRE(lease_until_ms > 0);
  // The driver's workers have clocks that show 1000 at `kBegin`.
  const absl::Duration lease_until = absl::Milliseconds(lease_until_ms - 1000);
  REQUIRE(lease_until > kLeavesAt);
  site.Leave();
  driver.RunUntil(lease_until);
  CHECK(driver.stops.empty());
  CHECK(driver.starts.size() == 1);
  driver.RunUntil(lease_until + kMaxRestartDelay);
  CHECK(driver.stops.empty());
  CHECK(driver.starts.size() == 2);
}

// Users consider a long-running task lost from this long after its last run.
constexpr absl::Duration kMaxDownTime = absl::Seconds(6);

// A quarter of the workers leave at once, so that no other worker has capacity
// for a task until its own worker is gone. The leader has to wait until the
// lease of that worker has expired, and a full lease takes longer than users
// tolerate.
TEST_CASE(
    "job scheduler: a long-running task that could not move before its worker "
    "left is back soon") {
  SchedulerDriver driver(1);
  driver.AddWorker("a");
  driver.reports["a"];
  driver.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {LongRunningTask()};
  driver.scheduler().Submit(kJob, "restore", spec, driver.now());
  driver.RunUntil(kAnnouncedAt);
  REQUIRE(driver.start_workers == std::vector<std::string>{"a"});
  driver.scheduler().OnWorkerRecord(LeavingRecord("a", kRemaining),
                                    driver.now());
  driver.RunUntil(kLeavesAt);
  // The worker has not reported an end, and its record remains for a while.
  driver.reports.erase("a");
  driver.AddWorker("b");
  driver.reports["b"];
  driver.RunUntil(kLeavesAt + kMaxDownTime);
  CHECK(driver.start_workers == std::vector<std::string>{"a", "b"});
}

// Guards against a record of a worker that is larger than the store ever takes.
TEST_CASE(
    "job scheduler: the record of a leaving worker names its tasks only if "
    "there are not too many") {
  SchedulerDriver site(1);
  site.carry_out_stops = false;
  site.AddWorker("a");
  for (int32_t i = 0; i < 2000; ++i)
    site.reports["a"].running.push_back({{kJob, 0, 0, i}, 1, "", 0});
  site.RunUntil(absl::Milliseconds(100));
  WorkerRecord leaving = SchedulerDriver::RecordOf("a", 8000);
  leaving.draining = true;
  site.scheduler().OnWorkerRecord(leaving, site.now());
  site.RunUntil(absl::Milliseconds(300));
  const auto recorded_tasks = [&site] {
    const Record& record = site.stored_records.at(KnownWorkerKey("a"));
    CHECK(EncodedSize(record) < 256 << 10);
    return ParseKnownWorker(record)->last_tasks.size();
  };
  CHECK(recorded_tasks() == 0);
  site.reports["a"].running.resize(3);
  site.RunUntil(absl::Seconds(2));
  CHECK(recorded_tasks() == 3);
}

}  // namespace
}  // namespace keelbridge::testing
