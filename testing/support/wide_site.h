// A simulated site with many workers, for tests of large gangs. Advice calls
// take as long as their terms say, and runs end by themselves.
//
//   WideSite site;
//   site.Submit(1, "restore", 180, WideSite::kHalfWorkerMilli, true);
//   site.RunUntil(absl::Seconds(6));
//   CHECK(site.Started(1) == 180);

#ifndef KEELBRIDGE_TESTING_SUPPORT_WIDE_SITE_H_
#define KEELBRIDGE_TESTING_SUPPORT_WIDE_SITE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {

// A site whose advice calls take longer than half of the validity of tickets:
// a call that names 100 workers, the maximum, takes 1.46 s; tickets are valid
// for 1.5 s; and a quarter of the workers may run a step.
class WideSite {
 public:
  static constexpr int kWorkers = 1100;
  static constexpr int32_t kWorkerMilli = 64000;
  static constexpr int32_t kWorkerMib = 256000;
  // CPU need, in thousandths of a processor, of a task of which two fit on a
  // worker.
  static constexpr int32_t kHalfWorkerMilli = 29400;
  static constexpr int32_t kWorkMs = 6200;

  // A step of identical tasks.
  struct Work {
    int32_t count = 1;
    Resources need;
    bool gang = false;
    int32_t estimated_ms = kWorkMs;
    int32_t work_ms = kWorkMs;  // The actual duration of its runs.
  };

  explicit WideSite(int workers = kWorkers, int advisers = 140,
                    SchedulerPolicy policy = SchedulerPolicy())
      : driver_(1, /*max_attempts=*/2, policy) {
    driver_.UseAdvice({true, 600, 8.6, 1500});
    driver_.UseAdvisers(advisers);
    driver_.timed_advice = true;
    driver_.is_eligible = IsEligible;
    for (int i = 0; i < workers; ++i) {
      WorkerRecord record =
          SchedulerDriver::RecordOf(absl::StrCat("w", 1000 + i), kWorkerMilli);
      record.capacity.memory_mib = kWorkerMib;
      driver_.scheduler().OnWorkerRecord(record, driver_.now());
      driver_.reports[record.id];
    }
    capacity_milli_ = static_cast<int64_t>(workers) * kWorkerMilli;
    driver_.RunUntil(absl::Milliseconds(100));
  }

  // Returns whether a worker may run a step. A quarter of the workers may.
  static bool IsEligible(const TaskId& step, const std::string& worker) {
    // FNV-1a, whose result is the same on each machine.
    uint32_t hash = 2166136261U;
    for (const char c : absl::StrCat(worker, "/", step.job))
      hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
    return (hash >> 8) % 4 == 0;
  }

  // Sets a configuration of these queues. If some need advice, the test sets
  // its terms and which workers it accepts in the driver, too.
  void UseQueues(const std::vector<Queue>& queues) {
    auto configuration = std::make_shared<SiteConfiguration>();
    configuration->version = 3;
    configuration->queues = queues;
    driver_.scheduler().SetConfiguration(configuration);
  }

  // Submits a job if the site admits it. Returns the verdict.
  Admission::Verdict TrySubmit(JobId id, const std::string& queue,
                               const Work& work) {
    const JobSpec spec = SpecOf(work);
    const auto verdict =
        driver_.scheduler().Admit(queue, spec, "", id, driver_.now());
    if (!verdict || !verdict->accept)
      return verdict.value_or(Admission::Verdict());
    work_by_job_[id] = work;
    driver_.scheduler().Submit(id, queue, spec, driver_.now(), "", *verdict);
    return *verdict;
  }

  void Submit(JobId id, const std::string& queue, const Work& work) {
    work_by_job_[id] = work;
    driver_.scheduler().Submit(id, queue, SpecOf(work), driver_.now());
  }

  static JobSpec SpecOf(const Work& work) {
    JobSpec spec;
    spec.steps.push_back(OneTask());
    spec.steps[0].requested = work.need;
    spec.steps[0].gang = work.gang;
    spec.steps[0].count = work.count;
    spec.steps[0].estimated_ms = work.estimated_ms;
    return spec;
  }

  void Submit(JobId id, const std::string& queue, int32_t count,
              int32_t cpu_milli, bool gang) {
    Submit(id, queue, Work{count, {cpu_milli, 1, 0}, gang});
  }

  // Sets how often runs are checked for their ends.
  void SetStep(absl::Duration step) { step_ = step; }

  // Runs until `until` after `kBegin`. Each run ends `work_ms` after its start.
  void RunUntil(absl::Duration until) {
    while (driver_.now().mono < kBegin + until) {
      driver_.RunUntil(driver_.now().mono - kBegin + step_);
      EndDueRuns();
      for (; handled_starts_ < driver_.starts.size(); ++handled_starts_) {
        const StartOrder& start = driver_.starts[handled_starts_];
        const Work& work = work_by_job_.at(start.task.job);
        ++started_[start.task.job];
        started_at_.try_emplace(start.task.job, driver_.now().mono - kBegin);
        used_[driver_.start_workers[handled_starts_]] += work.need;
        used_milli_ += work.need.cpu_milli;
        run_ends_.emplace(driver_.now().mono + absl::Milliseconds(work.work_ms),
                          handled_starts_);
      }
    }
  }

  // Returns how many tasks of the job were started.
  int Started(JobId job) const {
    const auto found = started_.find(job);
    return found == started_.end() ? 0 : found->second;
  }
  // Returns how many of the jobs `first` to `last` had a task started.
  int JobsStarted(JobId first, JobId last) const {
    int jobs = 0;
    for (JobId job = first; job <= last; ++job) jobs += Started(job) > 0;
    return jobs;
  }
  absl::Duration StartedAt(JobId job) const {
    const auto found = started_at_.find(job);
    return found == started_at_.end() ? absl::InfiniteDuration()
                                      : found->second;
  }
  // Returns when the last run of the job that is done ended.
  absl::Duration EndedAt(JobId job) const {
    const auto found = ended_at_.find(job);
    return found == ended_at_.end() ? absl::InfiniteDuration() : found->second;
  }
  // Returns the share of all processors that runs use.
  double UsedShare() const {
    return static_cast<double>(used_milli_) /
           static_cast<double>(capacity_milli_);
  }
  // Returns how many tasks of the job currently fit on the workers that may run
  // it.
  int64_t CountFitting(JobId job) const {
    const Resources need = work_by_job_.at(job).need;
    int64_t fits = 0;
    for (const auto& [worker, list] : driver_.reports) {
      if (!IsEligible(TaskId{job, 0, 0, 0}, worker)) continue;
      Resources free{kWorkerMilli, kWorkerMib, 0};
      const auto used = used_.find(worker);
      if (used != used_.end()) free = free - used->second;
      fits += std::min(free.cpu_milli / std::max(1, need.cpu_milli),
                       free.memory_mib / std::max(1, need.memory_mib));
    }
    return fits;
  }
  SchedulerDriver& driver() { return driver_; }

 private:
  void EndDueRuns() {
    while (!run_ends_.empty() &&
           run_ends_.begin()->first <= driver_.now().mono) {
      const size_t at = run_ends_.begin()->second;
      run_ends_.erase(run_ends_.begin());
      const StartOrder& start = driver_.starts[at];
      const std::string& worker = driver_.start_workers[at];
      const Resources need = work_by_job_.at(start.task.job).need;
      ended_at_[start.task.job] = driver_.now().mono - kBegin;
      used_[worker] -= need;
      used_milli_ -= need.cpu_milli;
      driver_.End(worker, {++end_counts_[worker], start.task, start.run,
                           RunEnd::kDone, ""});
    }
  }

  SchedulerDriver driver_;
  int64_t capacity_milli_ = 0;
  size_t handled_starts_ = 0;
  std::map<JobId, Work> work_by_job_;
  std::map<JobId, int> started_;
  std::map<JobId, absl::Duration> started_at_;
  std::map<JobId, absl::Duration> ended_at_;
  absl::Duration step_ = absl::Milliseconds(100);
  std::multimap<absl::Time, size_t> run_ends_;
  std::map<std::string, int64_t> end_counts_;
  std::map<std::string, Resources> used_;
  int64_t used_milli_ = 0;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_WIDE_SITE_H_
