// Wide gangs: tickets and room that have to be had together.

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

constexpr int kWorkers = 1100;
constexpr int32_t kWorkerMilli = 64000;
// Two of them fill a worker.
constexpr int32_t kHalfMilli = 29400;
constexpr int32_t kWorkMs = 6200;

// A site whose advice takes longer to get than half of what its tickets hold:
// a call names 100 workers at most and takes 1.46 s, tickets hold for 1.5 s,
// and a quarter of the workers may run a step.
class WideSite {
 public:
  explicit WideSite(int workers = kWorkers) : driver_(1) {
    driver_.UseAdvice({true, 600, 8.6, 1500});
    driver_.UseAdvisers(140);
    driver_.timed_advice = true;
    driver_.is_good = [](const TaskId &step, const std::string &worker) {
      uint32_t hash = 2166136261U;  // FNV-1a: the same on each machine.
      for (const char c : absl::StrCat(worker, "/", step.job))
        hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
      return (hash >> 8) % 4 == 0;
    };
    for (int i = 0; i < workers; ++i) {
      const std::string id = absl::StrCat("w", 1000 + i);
      driver_.AddWorker(id, kWorkerMilli);
      driver_.lists[id];
    }
    driver_.RunUntil(absl::Milliseconds(100));
  }

  void Submit(JobId id, const std::string &queue, int32_t count,
              int32_t cpu_milli, bool gang) {
    JobSpec spec;
    spec.steps.push_back(OneTask(cpu_milli));
    spec.steps[0].need.memory_mib = 1;
    spec.steps[0].gang = gang;
    spec.steps[0].count = count;
    spec.steps[0].estimated_ms = kWorkMs;
    driver_.scheduler().Submit(id, queue, spec, driver_.now());
  }

  // Runs end after `kWorkMs`.
  void RunUntil(absl::Duration until) {
    while (driver_.now().mono < kBegin + until) {
      driver_.RunUntil(driver_.now().mono - kBegin + absl::Milliseconds(100));
      EndDueRuns();
      for (; seen_ < driver_.starts.size(); ++seen_) {
        const StartOrder &start = driver_.starts[seen_];
        ++started_[start.task.job];
        started_at_.try_emplace(start.task.job, driver_.now().mono - kBegin);
        ends_.emplace(driver_.now().mono + absl::Milliseconds(kWorkMs), seen_);
      }
    }
  }

  // Tasks of the job.
  int Started(JobId job) const {
    const auto found = started_.find(job);
    return found == started_.end() ? 0 : found->second;
  }
  // Jobs of which something was started.
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
  SchedulerDriver &driver() { return driver_; }

 private:
  void EndDueRuns() {
    while (!ends_.empty() && ends_.begin()->first <= driver_.now().mono) {
      const size_t at = ends_.begin()->second;
      ends_.erase(ends_.begin());
      const StartOrder &start = driver_.starts[at];
      const std::string &worker = driver_.start_workers[at];
      driver_.End(worker, {++ends_on_[worker], start.task, start.run,
                           RunEnd::kDone, ""});
    }
  }

  SchedulerDriver driver_;
  size_t seen_ = 0;
  std::map<JobId, int> started_;
  std::map<JobId, absl::Duration> started_at_;
  std::multimap<absl::Time, size_t> ends_;
  std::map<std::string, int64_t> ends_on_;
};

// 180 tasks take 90 workers that may run them, which 360 have to be asked
// about; calls one after the other never had enough tickets at a time.
TEST_CASE("job scheduler: a gang that takes several calls for advice starts") {
  WideSite site;
  site.Submit(1, "restore", 180, kHalfMilli, true);
  site.RunUntil(absl::Seconds(6));
  CHECK(site.Started(1) == 180);
}

TEST_CASE("job scheduler: a gang wider than one call may name starts") {
  WideSite site;
  site.Submit(1, "restore", 240, kHalfMilli, true);
  site.RunUntil(absl::Seconds(6));
  CHECK(site.Started(1) == 240);
}

// Seen in a simulated run: 14 gangs of 55 to 183 tasks waited for up to 57 s,
// and not one started in the last 15 s, with half of the site free.
TEST_CASE("job scheduler: wide gangs that wait together all get through") {
  WideSite site;
  for (JobId job = 1; job <= 20; ++job)
    site.Submit(job, "restore", 91, kHalfMilli, true);
  site.RunUntil(absl::Seconds(15));
  CHECK(site.JobsStarted(1, 20) == 20);
}

// The room that is held for a gang is the room that it asks about. Here it gets
// no other: the site is full, and more waits than it can carry.
TEST_CASE("job scheduler: a gang asks about the room that is held for it") {
  WideSite site;
  JobId plain = 100;
  for (int i = 0; i < 22; ++i)
    site.Submit(plain++, "plain", 100, kHalfMilli, false);
  site.RunUntil(absl::Seconds(2));
  REQUIRE(site.JobsStarted(100, 121) == 22);
  site.Submit(1, "restore", 91, kHalfMilli, true);
  for (int i = 0; i < 200; ++i) {
    site.Submit(plain++, "plain", 40, kHalfMilli, false);
    site.RunUntil(absl::Seconds(2) + absl::Milliseconds(i * 100));
  }
  MESSAGE("started after ",
          absl::FormatDuration(site.StartedAt(1) - absl::Seconds(2)));
  CHECK(site.Started(1) == 91);
}

// Calls side by side are for the few gangs that hold room.
TEST_CASE("job scheduler: wide gangs leave advisers to the others") {
  WideSite site;
  size_t most = 0;
  for (JobId job = 1; job <= 60; ++job)
    site.Submit(job, "restore", 180, kHalfMilli, true);
  for (int i = 2; i <= 40; ++i) {
    const size_t before = site.driver().asks.size();
    site.RunUntil(absl::Milliseconds(i * 500));
    most = std::max(most, site.driver().asks.size() - before);
  }
  MESSAGE("calls in half a second, at most: ", most);
  CHECK(most > 0);
  CHECK(most <= 76);  // 4 gangs of 4 calls, and one of each of 60.
}

// Of 1,100 workers the gangs that hold keep 4 x 90 at most.
TEST_CASE("job scheduler: small tasks go on beside wide gangs") {
  WideSite site;
  for (JobId job = 1; job <= 30; ++job)
    site.Submit(job, "restore", 180, kHalfMilli, true);
  site.RunUntil(absl::Seconds(2));
  absl::Duration longest;
  for (JobId job = 100; job < 180; ++job) {
    const absl::Duration at = site.driver().now().mono - kBegin;
    site.Submit(job, "plain", 1, 16000, false);
    site.RunUntil(at + absl::Milliseconds(200));
  }
  site.RunUntil(absl::Seconds(25));
  for (JobId job = 100; job < 180; ++job) {
    const absl::Duration handed_in =
        absl::Seconds(2) + absl::Milliseconds((job - 100) * 200);
    longest = std::max(longest, site.StartedAt(job) - handed_in);
  }
  MESSAGE("longest wait of a small task: ", absl::FormatDuration(longest));
  CHECK(longest <= absl::Seconds(3));
}

}  // namespace
}  // namespace keelbridge::testing
