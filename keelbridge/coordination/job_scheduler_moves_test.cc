// Tests what happens to the capacity that is held for a long-running task while
// it moves from a worker that leaves to another one.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

constexpr JobId kOtherJob = 9;
constexpr int32_t kWorkerCpu = 8000;
// Users consider a job lost if it could run but does not for this long.
constexpr absl::Duration kMaxStartDelay = absl::Seconds(3);

WorkerRecord LeavingRecord(const std::string& worker) {
  WorkerRecord record = SchedulerDriver::RecordOf(worker, kWorkerCpu);
  record.draining = true;
  record.leaves_in_ms = 9000;
  return record;
}

void AddWorker(SchedulerDriver& site, const std::string& worker) {
  site.AddWorker(worker, kWorkerCpu);
  site.reports[worker];
}

// A site on which long-running tasks of `cpu_milli`, at most one on a worker,
// run on the workers "a", "b" and so on.
class MovingSite {
 public:
  explicit MovingSite(int32_t tasks, int32_t cpu_milli = 3000) : driver_(1) {
    for (int32_t i = 0; i < tasks; ++i)
      AddWorker(driver_, std::string(1, static_cast<char>('a' + i)));
    RunFor(absl::Milliseconds(100));
    JobSpec spec;
    spec.steps = {LongRunningTask()};
    spec.steps[0].requested.cpu_milli = cpu_milli;
    spec.steps[0].count = tasks;
    spec.steps[0].max_per_worker = 1;
    driver_.scheduler().Submit(kJob, "restore", spec, driver_.now());
    RunFor(absl::Milliseconds(500));
    REQUIRE(driver_.starts.size() == static_cast<size_t>(tasks));
  }

  SchedulerDriver& driver() { return driver_; }
  void RunFor(absl::Duration time) {
    driver_.RunUntil(driver_.now().mono - kBegin + time);
  }
  void Announce(const std::string& worker) {
    driver_.scheduler().OnWorkerRecord(LeavingRecord(worker), driver_.now());
  }
  // Replaces `leaving` by `next`, to which the task moves.
  void Replace(const std::string& leaving, const std::string& next) {
    AddWorker(driver_, next);
    RunFor(absl::Milliseconds(100));
    Announce(leaving);
    RunFor(absl::Seconds(2));
    driver_.reports.erase(leaving);
    driver_.scheduler().OnWorkerRemoved(leaving);
    RunFor(absl::Milliseconds(200));
    REQUIRE(driver_.start_workers.back() == next);
  }
  void Submit(int32_t tasks, int32_t cpu_milli, bool gang = false) {
    JobSpec spec;
    spec.steps = {OneTask(cpu_milli)};
    spec.steps[0].count = tasks;
    spec.steps[0].gang = gang;
    driver_.scheduler().Submit(kOtherJob, "restore", spec, driver_.now());
  }
  int64_t StartsOf(JobId job) const {
    return std::count_if(
        driver_.starts.begin(), driver_.starts.end(),
        [&](const StartOrder& start) { return start.task.job == job; });
  }
  int64_t CpuReserved() {
    return driver_.scheduler().figures().cpu_milli_reserved;
  }

 private:
  SchedulerDriver driver_;
};

// Guards against capacity that stays reserved for good after each move, until
// an accepted job fits nowhere on empty workers (LOST).
TEST_CASE(
    "job scheduler: nothing stays reserved after the moves of a long-running "
    "job that is then cancelled") {
  MovingSite site(2);
  site.Replace("a", "c");
  site.Replace("b", "d");
  site.Replace("c", "e");
  CHECK(site.CpuReserved() == 0);
  site.driver().scheduler().Cancel(kJob, site.driver().now());
  site.RunFor(absl::Seconds(2));
  site.Submit(2, kWorkerCpu);
  site.RunFor(kMaxStartDelay);
  CHECK(site.StartsOf(kOtherJob) == 2);
}

// Guards against the same where the long-running job stays at work.
TEST_CASE(
    "job scheduler: work that fits beside long-running tasks starts after "
    "their moves") {
  MovingSite site(2);
  site.Replace("a", "c");
  site.Replace("b", "d");
  site.Submit(2, kWorkerCpu - 3000);
  site.RunFor(kMaxStartDelay);
  CHECK(site.StartsOf(kOtherJob) == 2);
}

// Guards against the same where many moves of small tasks add up, and a gang
// needs empty workers.
TEST_CASE(
    "job scheduler: a gang that needs empty workers starts after many moves of "
    "small long-running tasks") {
  MovingSite site(2, /*cpu_milli=*/500);
  std::string last = "b";
  for (const char* next : {"c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}) {
    site.Replace(last, next);
    last = next;
  }
  site.driver().scheduler().Cancel(kJob, site.driver().now());
  site.RunFor(absl::Seconds(2));
  site.Submit(2, kWorkerCpu, /*gang=*/true);
  site.RunFor(kMaxStartDelay);
  CHECK(site.StartsOf(kOtherJob) == 2);
}

// A long-running task that fills a worker is on its way from "a" to "c", and
// other work waits that would fill "c" too.
class BusyMove {
 public:
  BusyMove() : site_(1, kWorkerCpu) {
    AddWorker(site_.driver(), "c");
    site_.RunFor(absl::Milliseconds(100));
    site_.Announce("a");
    while (site_.driver().stops.empty()) site_.RunFor(absl::Milliseconds(20));
    site_.Submit(1, kWorkerCpu);
    site_.RunFor(absl::Milliseconds(200));
    REQUIRE(site_.driver().starts.size() == 1);
    REQUIRE(site_.CpuReserved() == kWorkerCpu);
  }
  MovingSite* operator->() { return &site_; }

 private:
  MovingSite site_;
};

// Guards against a task that is down after its stop, because other work has
// taken the capacity that it was stopped for.
TEST_CASE(
    "job scheduler: a long-running task gets the capacity that it is moved "
    "for") {
  BusyMove site;
  site->RunFor(kMaxStopDuration);
  REQUIRE(site->driver().starts.size() == 2);
  CHECK(site->driver().starts[1].task.job == kJob);
  CHECK(site->driver().start_workers[1] == "c");
}

// Guards against capacity that is held for a job that has ended.
TEST_CASE(
    "job scheduler: a move of a task whose job is cancelled holds nothing") {
  BusyMove site;
  site->driver().scheduler().Cancel(kJob, site->driver().now());
  site->RunFor(absl::Milliseconds(200));
  CHECK(site->StartsOf(kOtherJob) == 1);
}

// Guards against capacity that is held for as long as a stop has no effect.
TEST_CASE("job scheduler: a move whose stop is not answered holds nothing") {
  BusyMove site;
  site->driver().cut_off.insert("a");
  site->RunFor(kMaxStartDelay);
  CHECK(site->StartsOf(kOtherJob) == 1);
}

// Guards against a task that is stopped for capacity that is gone.
TEST_CASE(
    "job scheduler: a move to a worker that leaves itself holds nothing") {
  BusyMove site;
  site->Announce("c");
  AddWorker(site->driver(), "d");
  site->RunFor(absl::Milliseconds(200));
  CHECK(site->CpuReserved() == 0);
  site->RunFor(kMaxStopDuration);
  CHECK(site->driver().start_workers.back() == "d");
}

// Guards against the same where the worker does not answer any more.
TEST_CASE("job scheduler: a move to a worker that is lost holds nothing") {
  BusyMove site;
  site->driver().reports.erase("c");
  site->driver().cut_off.insert("c");
  site->driver().carry_out_stops = false;
  AddWorker(site->driver(), "d");
  site->RunFor(kMaxStartDelay);
  CHECK(site->StartsOf(kOtherJob) == 1);
  CHECK(site->CpuReserved() == 0);
}

// Guards against two tasks of which each may be alone on a worker, but that are
// both stopped for the same one.
TEST_CASE(
    "job scheduler: two tasks of a step are moved to one worker only if both "
    "may run there") {
  MovingSite site(2);
  AddWorker(site.driver(), "c");
  site.RunFor(absl::Milliseconds(100));
  site.Announce("a");
  site.Announce("b");
  site.RunFor(absl::Milliseconds(600));
  CHECK(site.driver().stops.size() == 1);
}

}  // namespace
}  // namespace keelbridge::testing
