// Tests when a new leader starts the step after a gang. An earlier leader that
// is cut off hears of the gang's end too if one of its members runs in its
// zone, and then starts the next step there.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

// By then all leases of the earlier leader have expired.
constexpr absl::Duration kAllLeasesOver = absl::Seconds(12);
// Users consider a job lost if it could run but does not for this long.
constexpr absl::Duration kMaxRestartDelay = absl::Seconds(3);

// A gang of two, a step of `next_tasks` tasks after it, and a last step.
JobSpec GangAndTwoSteps(int32_t next_tasks) {
  JobSpec spec;
  spec.steps = {OneTask(), OneTask(), OneTask()};
  spec.steps[0].count = 2;
  spec.steps[0].gang = true;
  spec.steps[0].max_per_worker = 1;
  spec.steps[1].count = next_tasks;
  spec.steps[1].after = {0};
  spec.steps[2].after = {1};
  return spec;
}

void AddWorkers(SchedulerDriver& site, const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    site.AddWorker(name);
    site.reports[name];
  }
}

// The gang runs on two of the workers under the first leader.
void StartGang(SchedulerDriver& first, const std::vector<std::string>& workers,
               int32_t next_tasks) {
  AddWorkers(first, workers);
  first.RunUntil(absl::Milliseconds(100));
  first.scheduler().Submit(kJob, "restore", GangAndTwoSteps(next_tasks),
                           first.now());
  first.RunUntil(absl::Milliseconds(300));
  REQUIRE(first.starts.size() == 2);
}

// The second leader reaches "b", which is empty, and of the other workers only
// those in `reached`.
void TakeOver(SchedulerDriver& second, const SchedulerDriver& first,
              const std::vector<std::string>& reached) {
  second.TakeOver(first);
  AddWorkers(second, {"b"});
  for (const std::string& name : reached) {
    second.AddWorker(name);
    second.reports[name] = first.reports.at(name);
  }
  second.RunUntil(absl::Milliseconds(300));
}

// Ends the run of `member` on its worker, as far as `site` reaches it.
void EndMember(SchedulerDriver& site, const SchedulerDriver& first,
               size_t member) {
  const StartOrder& start = first.starts[member];
  site.End(first.start_workers[member],
           {1, start.task, start.run, RunEnd::kDone, ""});
}

// Ends all runs on "cut" as done.
void EndRunsOnCut(SchedulerDriver& first) {
  std::vector<EndedTask>& ended = first.reports["cut"].ended;
  const std::vector<RunningTask> running = first.reports["cut"].running;
  for (const RunningTask& run : running) {
    const auto number = static_cast<int64_t>(ended.size()) + 1;
    first.End("cut", {number, run.task, run.run, RunEnd::kDone, ""});
  }
}

int64_t CountStarts(const SchedulerDriver& site, int32_t step) {
  return std::count_if(
      site.starts.begin(), site.starts.end(),
      [&](const StartOrder& start) { return start.task.step == step; });
}

// A site of which the zone of the worker "cut" is cut off together with the
// first leader. One member of the gang runs there and one on "a".
class CutGangFixture {
 public:
  explicit CutGangFixture(int32_t next_tasks) : first_(1), second_(2) {
    StartGang(first_, {"a", "cut"}, next_tasks);
    first_.hold_batches = true;
    first_.cut_off = {"a"};
    TakeOver(second_, first_, {"a"});
    // The gang ends on both sides of the cut.
    EndRunsOnCut(first_);
    EndMember(second_, first_, first_.start_workers[0] == "a" ? 0 : 1);
    first_.RunUntil(absl::Milliseconds(600));
    REQUIRE(CountStarts(first_, 1) == next_tasks);
  }

  SchedulerDriver& first() { return first_; }
  SchedulerDriver& second() { return second_; }

 private:
  SchedulerDriver first_;
  SchedulerDriver second_;
};

// Guards against a double start: a leader in a cut-off zone heard the gang's
// end from a member there and started the next step, and so did the new leader,
// which had heard it from a member on its side.
TEST_CASE(
    "job scheduler: a step after a gang is not started by the leaders on both "
    "sides of a cut") {
  CutGangFixture site(/*next_tasks=*/1);
  site.second().RunUntil(absl::Seconds(4));
  CHECK(CountStarts(site.second(), 1) == 0);
  // Once the zone is back, the step goes on there.
  site.second().AddWorker("cut");
  site.second().reports["cut"] = site.first().reports["cut"];
  site.second().RunUntil(absl::Seconds(5));
  CHECK(CountStarts(site.second(), 1) == 0);
  CHECK(site.second().stops.empty());
}

// Guards against the same double start of several tasks, and of the steps
// behind them.
TEST_CASE(
    "job scheduler: no step behind a gang is started by the leaders on both "
    "sides of a cut") {
  CutGangFixture site(/*next_tasks=*/2);
  EndRunsOnCut(site.first());
  site.first().RunUntil(absl::Milliseconds(900));
  REQUIRE(CountStarts(site.first(), 2) == 1);
  site.second().RunUntil(absl::Seconds(4));
  CHECK(CountStarts(site.second(), 1) == 0);
  CHECK(CountStarts(site.second(), 2) == 0);
}

// Guards against a job that never goes on: its next step may start once nothing
// of the earlier leader can run any more.
TEST_CASE(
    "job scheduler: a step after a gang starts once the leases of a leader "
    "that was cut off are over") {
  CutGangFixture site(/*next_tasks=*/1);
  site.second().RunUntil(kAllLeasesOver);
  CHECK(CountStarts(site.second(), 1) == 1);
}

// Guards against a needless wait: the new leader found all members of the gang
// running, so only it hears of their end.
TEST_CASE(
    "job scheduler: a step after a gang that the new leader found running does "
    "not wait for a worker that is cut off") {
  SchedulerDriver first(1);
  StartGang(first, {"a", "c"}, /*next_tasks=*/1);
  AddWorkers(first, {"cut"});
  first.RunUntil(absl::Milliseconds(600));
  SchedulerDriver second(2);
  TakeOver(second, first, {"a", "c"});
  EndMember(second, first, 0);
  second.RunUntil(kMaxRestartDelay);
  CHECK(CountStarts(second, 1) == 1);
}

}  // namespace
}  // namespace keelbridge::testing
