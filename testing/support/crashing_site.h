// Extends SchedulerDriver with workers whose processes are crashed by some
// tasks, while other tasks complete normally.
//
//   CrashingSite site(/*epoch=*/1, /*workers=*/4);
//   site.crashes = [](const TaskId& task) { return task.job == 7; };
//   site.Submit(7, OneTask());
//   site.Run(absl::Seconds(20));
//   CHECK(site.StartsOf(7) == 3);

#ifndef KEELBRIDGE_TESTING_SUPPORT_CRASHING_SITE_H_
#define KEELBRIDGE_TESTING_SUPPORT_CRASHING_SITE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {

class CrashingSite {
 public:
  // `stored_records` are those of an earlier leader. Simulates a power loss of
  // the whole site since then: each worker in them has a new incarnation.
  explicit CrashingSite(
      int64_t epoch, int workers = 4, int32_t cpu_milli = 16000,
      const std::map<std::string, Record>& stored_records = {})
      : driver(epoch), epoch_(epoch), cpu_milli_(cpu_milli) {
    for (const auto& [key, record] : stored_records) {
      if (const auto worker = ParseKnownWorker(record))
        driver.other_incarnations.insert(worker->worker.id);
    }
    driver.stored_records = stored_records;
    if (!stored_records.empty()) driver.TakeOver(driver);
    for (int i = 0; i < workers; ++i) StartIncarnation(absl::StrCat("m", i));
  }

  void Submit(JobId id, const StepSpec& step) {
    JobSpec spec;
    spec.steps.push_back(step);
    driver.scheduler().Submit(id, "restore", spec, driver.now());
  }

  // Runs until `until` after `kBegin`.
  void Run(absl::Duration until) {
    while (driver.now().mono < kBegin + until) {
      driver.RunUntil(driver.now().mono - kBegin + absl::Milliseconds(20));
      HandleStarts();
      RunDueSteps();
    }
  }

  // Ends the worker's process; its next incarnation starts after `down_for`.
  void Crash(const std::string& worker) {
    if (driver.down.count(worker) > 0 ||
        driver.other_incarnations.count(worker) > 0)
      return;
    ++crash_count;
    driver.down.insert(worker);
    const std::vector<RunningTask> lost = driver.reports[worker].running;
    driver.reports.erase(worker);
    for (const RunningTask& run : lost) {
      if (gangs.count(run.task.job) > 0) BreakGang(run);
    }
    max_down = std::max(max_down, driver.down.size());
    After(down_for, [this, worker] {
      driver.down.erase(worker);
      driver.other_incarnations.insert(worker);
      StartIncarnation(machine_by_worker_.at(worker));
    });
  }

  // The worker reports that it is draining. Its process ends 2 s later and is
  // then replaced as after a crash.
  void Leave(const std::string& worker) {
    WorkerRecord record = RecordOf(worker);
    record.draining = true;
    driver.scheduler().OnWorkerRecord(record, driver.now());
    After(absl::Seconds(2), [this, worker] { Crash(worker); });
  }

  void After(absl::Duration delay, std::function<void()> step) {
    scheduled_steps_.emplace(driver.now().mono + delay, std::move(step));
  }

  // Returns the id of the worker that currently runs on the machine.
  std::string WorkerAt(const std::string& machine) const {
    return worker_by_machine_.at(machine);
  }

  int StartsOf(JobId job) const {
    return static_cast<int>(
        std::count_if(driver.starts.begin(), driver.starts.end(),
                      [&](const StartOrder& s) { return s.task.job == job; }));
  }
  std::optional<JobState> Status(JobId job) {
    return driver.scheduler().Status(job);
  }

  SchedulerDriver driver;
  // Returns whether a task crashes the worker that starts it, `crash_after`
  // after the start.
  std::function<bool(const TaskId&)> crashes = [](const TaskId&) {
    return false;
  };
  absl::Duration crash_after = absl::Milliseconds(100);
  absl::Duration down_for = absl::Seconds(3);
  // How long the other tasks run; if infinite, until their worker ends.
  absl::Duration work = absl::Seconds(1);
  // Called for each task that was started.
  std::function<void(const StartOrder&, const std::string& worker)> on_start =
      [](const StartOrder&, const std::string&) {};
  // Jobs whose tasks form a gang: the loss of a member breaks the other
  // members' runs.
  std::set<JobId> gangs;
  int crash_count = 0;
  size_t max_down = 0;  // The maximum number of workers down at one time.

 private:
  WorkerRecord RecordOf(const std::string& worker) const {
    WorkerRecord record = SchedulerDriver::RecordOf(worker, cpu_milli_);
    record.capacity.memory_mib = 1 << 20;
    record.machine = machine_by_worker_.at(worker);
    return record;
  }

  void StartIncarnation(const std::string& machine) {
    // Ids differ between all incarnations on a machine, also between those
    // under different leaders.
    const std::string id =
        absl::StrCat(machine, "-", epoch_, "-", ++incarnation_counts_[machine]);
    machine_by_worker_[id] = machine;
    worker_by_machine_[machine] = id;
    driver.reports[id];
    driver.scheduler().OnWorkerRecord(RecordOf(id), driver.now());
  }

  void HandleStarts() {
    for (; handled_starts_ < driver.starts.size(); ++handled_starts_) {
      const StartOrder order = driver.starts[handled_starts_];
      const std::string worker = driver.start_workers[handled_starts_];
      on_start(order, worker);
      if (crashes(order.task)) {
        After(crash_after, [this, worker] { Crash(worker); });
      } else if (work < absl::InfiniteDuration()) {
        After(work, [this, worker, order] { CompleteRun(worker, order); });
      }
    }
  }

  // Ends the remaining members' runs of the gang.
  void BreakGang(const RunningTask& member) {
    std::vector<std::pair<std::string, RunningTask>> left;
    for (const auto& [worker, list] : driver.reports) {
      for (const RunningTask& run : list.running) {
        if (run.task.job == member.task.job && run.run == member.run)
          left.emplace_back(worker, run);
      }
    }
    for (const auto& [worker, run] : left)
      driver.End(worker,
                 {++ends_[worker], run.task, run.run, RunEnd::kBroken, ""});
  }

  void CompleteRun(const std::string& worker, const StartOrder& order) {
    if (driver.reports.count(worker) == 0) return;
    driver.End(worker,
               {++ends_[worker], order.task, order.run, RunEnd::kDone, ""});
  }

  void RunDueSteps() {
    while (!scheduled_steps_.empty() &&
           scheduled_steps_.begin()->first <= driver.now().mono) {
      const auto step = std::move(scheduled_steps_.begin()->second);
      scheduled_steps_.erase(scheduled_steps_.begin());
      step();
    }
  }

  const int64_t epoch_;
  const int32_t cpu_milli_;
  // The number of entries of `driver.starts` handled so far.
  size_t handled_starts_ = 0;
  std::map<std::string, int> incarnation_counts_;  // By machine.
  std::map<std::string, int64_t> ends_;
  std::map<std::string, std::string> machine_by_worker_;
  std::map<std::string, std::string> worker_by_machine_;  // Current workers.
  std::multimap<absl::Time, std::function<void()>> scheduled_steps_;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_CRASHING_SITE_H_
