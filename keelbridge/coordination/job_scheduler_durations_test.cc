// Tests which ends of runs the scheduler learns durations from.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

SchedulerPolicy Learning() {
  SchedulerPolicy policy;
  policy.learn_durations = true;
  return policy;
}

constexpr absl::Duration kSettled = absl::Milliseconds(100);
constexpr absl::Duration kRun = absl::Seconds(4);

// A site of one worker that runs one task for `kRun`.
class Site {
 public:
  explicit Site(const StepSpec& step, SchedulerPolicy policy = Learning())
      : driver_(1, /*max_attempts=*/5, policy) {
    driver_.AddWorker("a");
    driver_.reports["a"];
    driver_.RunUntil(kSettled);
    JobSpec spec;
    spec.steps = {step};
    driver_.scheduler().Submit(kJob, "restore", spec, driver_.now());
    driver_.RunUntil(2 * kSettled);
    REQUIRE(driver_.starts.size() == 1);
    driver_.RunUntil(2 * kSettled + kRun);
  }

  void End(RunEnd end, const std::string& checkpoint = "") {
    const StartOrder& start = driver_.starts.back();
    driver_.End("a", {++ends_, start.task, start.run, end, checkpoint});
    driver_.RunUntil(driver_.now().mono - kBegin + kSettled);
  }
  // Returns how much longer than estimated a task is expected to run.
  double Learned() {
    const DurationLearner& learner = driver_.scheduler().durations();
    return absl::FDivDuration(learner.ExpectedRun("restore", OneTask()),
                              absl::Milliseconds(OneTask().estimated_ms));
  }
  SchedulerDriver& driver() { return driver_; }

 private:
  SchedulerDriver driver_;
  int64_t ends_ = 0;
};

TEST_CASE("job scheduler: the duration of a run that is done is learned") {
  Site site(OneTask());
  CHECK(site.Learned() == 1);
  site.End(RunEnd::kDone);
  CHECK(site.Learned() > 1.05);
  CHECK(site.driver()
            .scheduler()
            .Handover(site.driver().now().mono)
            .durations.size() == 1);
  const auto ended = std::find_if(
      site.driver().log_lines.begin(), site.driver().log_lines.end(),
      [](const LogAction& line) { return line.event == "job_ended"; });
  REQUIRE(ended != site.driver().log_lines.end());
  const auto has = [&](const std::string& name, const std::string& value) {
    return std::count(ended->fields.begin(), ended->fields.end(),
                      std::make_pair(name, value)) == 1;
  };
  CHECK(has("estimated_chain_ms", "1000"));
  CHECK(has("expected_chain_ms", "1000"));
  CHECK(has("objective_ms", "1000"));
}

TEST_CASE("job scheduler: without the switch no duration is learned") {
  Site site(OneTask(), SchedulerPolicy());
  site.End(RunEnd::kDone);
  CHECK(site.driver().scheduler().durations().empty());
}

TEST_CASE("job scheduler: no duration is learned from runs that are not done") {
  for (const RunEnd end : {RunEnd::kFailed, RunEnd::kStopped, RunEnd::kLapsed,
                           RunEnd::kBroken, RunEnd::kAlone}) {
    CAPTURE(RunEndName(end));
    Site site(OneTask());
    site.End(end);
    CHECK(site.driver().scheduler().durations().empty());
  }
}

TEST_CASE("job scheduler: no duration is learned from a resumed run") {
  StepSpec step = OneTask();
  step.checkpoints = true;
  Site site(step);
  site.End(RunEnd::kStopped, "saved");
  site.driver().RunUntil(2 * kRun);
  REQUIRE(site.driver().starts.size() == 2);
  REQUIRE(site.driver().starts[1].checkpoint == "saved");
  site.End(RunEnd::kDone);
  CHECK(site.driver().scheduler().durations().empty());
}

TEST_CASE("job scheduler: no duration is learned from best-effort runs") {
  StepSpec step = OneTask();
  step.best_effort = true;
  Site site(step);
  site.End(RunEnd::kDone);
  CHECK(site.driver().scheduler().durations().empty());
}

TEST_CASE("job scheduler: no duration is learned of a run that was found") {
  SchedulerDriver site(2, /*max_attempts=*/5, Learning());
  site.Recover(OneTask());
  site.AddWorker("a");
  site.reports["a"].running.push_back({kTask, 1001, "", 0});
  site.RunUntil(absl::Seconds(3));
  site.End("a", {1, kTask, 1001, RunEnd::kDone, ""});
  site.RunUntil(absl::Seconds(4));
  REQUIRE(site.scheduler().Status(kJob) == JobState::kCompleted);
  CHECK(site.scheduler().durations().empty());
}

TEST_CASE("job scheduler: no duration is learned of an end heard of late") {
  Site site(OneTask());
  const ObserveReply report = site.driver().reports["a"];
  site.driver().reports.erase("a");
  site.driver().RunUntil(2 * kRun - absl::Seconds(1));
  site.driver().reports["a"] = report;
  site.End(RunEnd::kDone);
  site.driver().RunUntil(2 * kRun + absl::Seconds(2));
  REQUIRE(site.driver().scheduler().Status(kJob) == JobState::kCompleted);
  CHECK(site.driver().scheduler().durations().empty());
}

TEST_CASE("job scheduler: no duration is learned while the leader lags") {
  Site site(OneTask());
  site.driver().scheduler().SetLag(absl::Milliseconds(300));
  site.End(RunEnd::kDone);
  CHECK(site.driver().scheduler().durations().empty());
}

// Two workers carry out no start, and answer what follows.
void LoseAnswers(SchedulerDriver& driver) {
  JobSpec spec;
  spec.steps = {OneTask(7000)};
  spec.steps[0].count = 2;
  for (const char* worker : {"b", "c"}) {
    driver.AddWorker(worker);
    driver.reports[worker];
    driver.drops_starts.insert(worker);
  }
  driver.RunUntil(driver.now().mono - kBegin + kSettled);
  driver.scheduler().Submit(kJob + 1, "restore", spec, driver.now());
  driver.RunUntil(driver.now().mono - kBegin + absl::Seconds(1));
}

TEST_CASE("job scheduler: no duration is learned while answers get lost") {
  Site site(OneTask());
  LoseAnswers(site.driver());
  REQUIRE_FALSE(site.driver().lost_starts.empty());
  site.End(RunEnd::kDone);
  REQUIRE(site.driver().scheduler().Status(kJob) == JobState::kCompleted);
  CHECK(site.driver().scheduler().durations().empty());
}

}  // namespace
}  // namespace keelbridge::testing
