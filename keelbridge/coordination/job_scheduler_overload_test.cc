// Tests admission by work in the scheduler: what it does with jobs that return
// or are accepted as late, and what a change of leader or a store that takes no
// records costs.

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

constexpr char kWorker[] = "a";

SchedulerPolicy ByWork() {
  SchedulerPolicy policy;
  policy.admit_by_work = true;
  return policy;
}

// A job that uses the whole site of one worker for a second.
JobSpec WholeSiteJob() {
  JobSpec spec;
  spec.steps.push_back(OneTask(8000));
  return spec;
}

// A site of one worker. Its jobs may wait for 3 s and have a value for 11 s.
class Site {
 public:
  // A leader that takes over the jobs of `earlier`, if there is one.
  explicit Site(int64_t epoch, SchedulerPolicy policy = ByWork(),
                SchedulerDriver* earlier = nullptr)
      : driver(epoch, /*max_attempts=*/2, policy) {
    if (earlier != nullptr) driver.TakeOver(*earlier);
    Configure();
    driver.AddWorker(kWorker);
    driver.reports[kWorker];
    if (earlier != nullptr) driver.reports[kWorker] = earlier->reports[kWorker];
    RunFor(absl::Milliseconds(1500));
  }

  void Configure() {
    auto configuration = std::make_shared<SiteConfiguration>();
    configuration->version = 2;
    Queue queue;
    queue.name = "restore";
    queue.pool = "pool";
    queue.max_attempts = 2;
    queue.target_latency_ms = 3000;
    configuration->queues.push_back(queue);
    driver.scheduler().SetConfiguration(configuration);
  }

  void RunFor(absl::Duration time) {
    driver.RunUntil(driver.now().mono - kBegin + time);
  }

  // Returns the verdict on the job, which is submitted if it is accepted.
  Admission::Verdict Try(JobId id) {
    const auto verdict = driver.scheduler().Admit("restore", WholeSiteJob(), "",
                                                  id, driver.now());
    REQUIRE(verdict.has_value());
    if (verdict->accept)
      driver.scheduler().Submit(id, "restore", WholeSiteJob(), driver.now(), "",
                                *verdict);
    return *verdict;
  }

  // Tries jobs from `first` on until one is refused. Returns its id.
  JobId FillFrom(JobId first) {
    JobId id = first;
    while (id < first + 100 && Try(id).accept) ++id;
    REQUIRE(id < first + 100);
    return id;
  }

  // Ends what runs. Returns whether anything did.
  bool EndRun() {
    const auto& running = driver.reports[kWorker].running;
    if (running.empty()) return false;
    const RunningTask run = running.front();
    driver.End(kWorker, {++ends_, run.task, run.run, RunEnd::kDone, ""});
    return true;
  }

  SchedulerDriver driver;

 private:
  int64_t ends_ = 0;
};

TEST_CASE("job scheduler: with the switch off, admission does not count work") {
  Site site(1, SchedulerPolicy());
  for (JobId id = 1; id <= 50; ++id) {
    const auto verdict = site.Try(id);
    CHECK(verdict.accept);
    CHECK_FALSE(verdict.late);
  }
  site.RunFor(absl::Milliseconds(100));
  CHECK(site.driver.scheduler().figures().timely_work_milli_s == 0);
  CHECK(
      site.driver.scheduler().Handover(site.driver.now().mono).returns.empty());
}

TEST_CASE("job scheduler: a few jobs of much work are an overload") {
  Site site(1);
  const JobId refused = site.FillFrom(1);
  CHECK(refused <= 12);
  const auto verdict = site.Try(refused);
  CHECK(verdict.retry_after >= absl::Seconds(1));
  CHECK(verdict.retry_after <= absl::Seconds(5));
  CHECK(verdict.retry_after ==
        absl::Floor(verdict.retry_after, absl::Seconds(1)));
  CHECK_FALSE(site.driver.scheduler().Status(refused).has_value());
}

TEST_CASE("job scheduler: a returning job counts from its first try") {
  Site site(1);
  const JobId refused = site.FillFrom(1);
  const Now first_try = site.driver.now();
  // The site does a job a second. The client returns as it is told to.
  absl::Duration away;
  Admission::Verdict verdict = site.Try(refused);
  while (!verdict.accept && away < absl::Seconds(30)) {
    for (absl::Duration left = verdict.retry_after; left > absl::ZeroDuration();
         left -= absl::Milliseconds(500)) {
      site.EndRun();
      site.RunFor(absl::Milliseconds(500));
    }
    away = site.driver.now().mono - first_try.mono;
    verdict = site.Try(refused);
  }
  REQUIRE(verdict.accept);
  CHECK(verdict.age == away);
  site.RunFor(absl::Milliseconds(100));
  // The record for later leaders says so too.
  JobRecords records;
  for (const auto& [key, record] : site.driver.stored_records)
    records.Add(record);
  const JobTable jobs = records.Build();
  REQUIRE(jobs.count(refused) == 1);
  CHECK(jobs.at(refused)->accepted_ms == ToMillis(first_try.wall));
}

TEST_CASE("job scheduler: a job accepted as late gives way to one in time") {
  Site site(1);
  // In time: the worker is full, and one job waits.
  CHECK_FALSE(site.Try(1).late);
  site.RunFor(absl::Milliseconds(100));
  Admission::Verdict late;
  late.late = true;
  site.driver.scheduler().Submit(2, "restore", WholeSiteJob(),
                                 site.driver.now(), "", late);
  site.RunFor(absl::Milliseconds(100));
  site.driver.scheduler().Submit(3, "restore", WholeSiteJob(),
                                 site.driver.now());
  site.RunFor(absl::Milliseconds(100));
  site.EndRun();
  site.RunFor(absl::Milliseconds(500));
  REQUIRE(site.driver.starts.size() == 2);
  CHECK(site.driver.starts[1].task.job == 3);
  site.EndRun();
  site.RunFor(absl::Milliseconds(500));
  REQUIRE(site.driver.starts.size() == 3);
  CHECK(site.driver.starts[2].task.job == 2);
}

TEST_CASE("job scheduler: a handover keeps the order of refused clients") {
  Site earlier(1);
  const JobId refused = earlier.FillFrom(1);
  const Now first_try = earlier.driver.now();
  earlier.RunFor(absl::Milliseconds(100));
  for (const bool handed_over : {true, false}) {
    CAPTURE(handed_over);
    Site next(2);
    next.RunFor(earlier.driver.now().mono - next.driver.now().mono);
    if (handed_over) {
      const LeaderHandover handover =
          earlier.driver.scheduler().Handover(earlier.driver.now().mono);
      REQUIRE(handover.returns.size() == 1);
      CHECK(handover.returns[0].job == refused);
      next.driver.scheduler().OnHandover(handover, next.driver.now());
    }
    // Without it the client is a newcomer, and is served.
    next.RunFor(absl::Seconds(1));
    const auto verdict = next.Try(refused);
    CHECK(verdict.accept);
    const absl::Duration away = next.driver.now().mono - first_try.mono;
    CHECK(verdict.age == (handed_over ? away : absl::ZeroDuration()));
    next.RunFor(absl::Seconds(1));
    REQUIRE(next.driver.starts.size() == 1);
    CHECK(next.driver.starts[0].task.job == refused);
  }
}

TEST_CASE("job scheduler: jobs of a leader that dies in an overload all run") {
  Site earlier(1);
  const JobId refused = earlier.FillFrom(1);
  earlier.RunFor(absl::Milliseconds(100));
  Site next(2, ByWork(), &earlier.driver);
  for (int i = 0; i < 200; ++i) {
    next.RunFor(absl::Milliseconds(200));
    next.EndRun();
  }
  for (JobId id = 1; id < refused; ++id) {
    CAPTURE(id);
    CHECK(next.driver.scheduler().Status(id) == JobState::kCompleted);
  }
}

TEST_CASE("job scheduler: what waits for the store counts as waiting") {
  Site site(1);
  site.driver.hold_batches = true;
  const JobId refused = site.FillFrom(1);
  site.RunFor(absl::Seconds(2));
  // No placement pass has seen the jobs, whose records are not durable.
  CHECK(site.driver.starts.empty());
  const auto later = site.Try(refused);
  CHECK(later.wait == absl::Seconds(3));
  CHECK((later.late || !later.accept));
  site.driver.hold_batches = false;
  site.RunFor(absl::Milliseconds(500));
  CHECK(site.driver.starts.size() == 1);
  for (JobId id = 1; id <= refused; ++id) {
    site.EndRun();
    site.RunFor(absl::Seconds(1));
  }
  // Nothing counts any more.
  CHECK(site.driver.scheduler().figures().timely_work_milli_s == 0);
  CHECK(site.Try(refused + 1).accept);
}

TEST_CASE("job scheduler: jobs accepted as late are logged with a count") {
  Site site(1);
  // Nothing ends. Once the burst of arrivals is over, late work is accepted.
  JobId id = site.FillFrom(1);
  bool late = false;
  for (int i = 0; i < 20 && !late; ++i) {
    site.RunFor(absl::Milliseconds(100));
    late = site.Try(id++).late;
  }
  REQUIRE(late);
  site.RunFor(absl::Milliseconds(200));
  const auto line = std::find_if(
      site.driver.log_lines.begin(), site.driver.log_lines.end(),
      [](const LogAction& one) { return one.event == "admitted_late"; });
  REQUIRE(line != site.driver.log_lines.end());
  CHECK(line->fields[0].first == "jobs");
  CHECK(site.driver.scheduler().figures().timely_work_milli_s > 0);
}

}  // namespace
}  // namespace keelbridge::testing
