// Tests answers of workers that arrive late, twice or not at all.

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

// In milliseconds of the worker's clock. A worker of SchedulerDriver begins at
// 1,000, and leases last 6 s.
constexpr int64_t kClockOfEarlierLife = 5'000'000;
constexpr int64_t kLongestLeaseEnd = 20'000;

int64_t CountLines(const SchedulerDriver& site, const std::string& event) {
  return std::count_if(
      site.log_lines.begin(), site.log_lines.end(),
      [&event](const LogAction& line) { return line.event == event; });
}

// Guards against a listed worker that the leader no longer observes without any
// sign of it in logs and metrics.
TEST_CASE(
    "job scheduler: a listed worker that is not observed is logged once and "
    "counted until it is observed again") {
  SchedulerDriver site(1);
  site.AddWorker("a");
  site.reports["a"];
  site.RunUntil(absl::Milliseconds(100));
  site.holds_reports.insert("a");
  site.RunUntil(absl::Seconds(4));
  CHECK(site.scheduler().figures().workers_unobserved == 0);
  CHECK(CountLines(site, "worker_not_observed") == 0);
  site.RunUntil(absl::Seconds(8));
  CHECK(site.scheduler().figures().workers_unobserved == 1);
  CHECK(CountLines(site, "worker_not_observed") == 1);
  site.holds_reports.clear();
  site.DeliverHeldAnswers();
  site.RunUntil(absl::Milliseconds(8200));
  CHECK(site.scheduler().figures().workers_unobserved == 0);
}

// A worker that answers observations with nothing running, and whose answers
// are held from 100 ms on.
void AddWorkerWithHeldAnswers(SchedulerDriver& site) {
  site.AddWorker("a");
  site.reports["a"];
  site.RunUntil(absl::Milliseconds(100));
  site.holds_reports.insert("a");
  site.RunUntil(absl::Milliseconds(140));
  REQUIRE(site.held_answers() == 1);
}

// The platform lists the worker again after the leader has forgotten it.
void ForgetAndFindAgain(SchedulerDriver& site) {
  site.scheduler().OnWorkerRemoved("a");
  site.RunUntil(site.now().mono - kBegin + absl::Milliseconds(100));
  REQUIRE(site.forgotten_workers == std::vector<std::string>{"a"});
  site.AddWorker("a");
  site.RunUntil(site.now().mono - kBegin + absl::Milliseconds(20));
}

void SubmitOneTask(SchedulerDriver& site) {
  JobSpec spec;
  spec.steps = {OneTask()};
  site.scheduler().Submit(kJob, "restore", spec, site.now());
}

// Guards against a listed, idle worker that is never observed again, because an
// answer to an observation of before it was forgotten lowered the number of its
// observations in flight.
TEST_CASE(
    "job scheduler: a worker that was forgotten and found again while it was "
    "observed is observed on") {
  SchedulerDriver site(1);
  AddWorkerWithHeldAnswers(site);
  ForgetAndFindAgain(site);
  REQUIRE(site.held_answers() == 2);
  site.holds_reports.clear();
  site.DeliverHeldAnswers();
  CHECK(site.scheduler().figures().answers_ignored == 1);
  CHECK(CountLines(site, "answer_ignored") == 0);  // Until the next tick.
  const size_t observed = site.observations.size();
  site.RunUntil(absl::Milliseconds(600));
  CHECK(site.observations.size() > observed);
  CHECK(CountLines(site, "answer_ignored") == 1);
  SubmitOneTask(site);
  site.RunUntil(absl::Seconds(1));
  CHECK(site.starts.size() == 1);
}

// Guards against a lease by the clock of an earlier life: the new one has not
// told its clock, and its own reports seem older.
TEST_CASE(
    "job scheduler: a report of before a worker was forgotten is not one of "
    "the worker that was found again") {
  SchedulerDriver site(1);
  AddWorkerWithHeldAnswers(site);
  ObserveAction earlier = site.observations.back();
  ForgetAndFindAgain(site);
  ObserveReply late;
  late.order.result = OrderResult::kDone;
  late.order.clock_ms = kClockOfEarlierLife;
  site.scheduler().OnObserveReply(earlier, late, site.now().mono, site.now());
  SubmitOneTask(site);
  site.RunUntil(absl::Milliseconds(500));
  CHECK(site.starts.empty());
  site.holds_reports.clear();
  site.DeliverHeldAnswers();
  site.RunUntil(absl::Seconds(1));
  REQUIRE(site.starts.size() == 1);
  CHECK(site.starts[0].lease_until_ms < kLongestLeaseEnd);
}

// Guards against the same by the answer to an order.
TEST_CASE(
    "job scheduler: an answer to a start of before a worker was forgotten does "
    "not set the clock of the worker that was found again") {
  SchedulerDriver site(1);
  site.AddWorker("a");
  site.reports["a"];
  site.RunUntil(absl::Milliseconds(100));
  SubmitOneTask(site);
  site.holds_order_answers.insert("a");
  site.RunUntil(absl::Milliseconds(140));
  REQUIRE(site.start_actions.size() == 1);
  const StartAction start = site.start_actions[0];
  // The run is reported, and ends.
  site.RunUntil(absl::Milliseconds(300));
  site.End("a", {1, start.order.task, start.order.run, RunEnd::kDone, ""});
  site.RunUntil(absl::Milliseconds(500));
  REQUIRE(site.scheduler().Status(kJob) == JobState::kCompleted);
  ForgetAndFindAgain(site);
  OrderReply late;
  late.result = OrderResult::kDone;
  late.clock_ms = kClockOfEarlierLife;
  site.scheduler().OnStartReply(start, late, site.now());
  site.RunUntil(absl::Seconds(1));
  REQUIRE(site.observations.back().order.lease_until_ms > 0);
  CHECK(site.observations.back().order.lease_until_ms < kLongestLeaseEnd);
}

// Adds workers "w0", "w1", ... in one zone that answer observations.
void AddWorkersOfZone(SchedulerDriver& site, int count) {
  for (int i = 0; i < count; ++i) {
    const std::string id = "w" + std::to_string(i);
    WorkerRecord record = SchedulerDriver::RecordOf(id, 2000);
    record.zone = "zone-1";
    site.scheduler().OnWorkerRecord(record, site.now());
    site.reports[id];
  }
}

// Guards against a leader that takes its own lack of connections for the
// silence of the workers, and then of their zone.
TEST_CASE(
    "job scheduler: a leader without a free connection does not make a worker "
    "or its zone suspect") {
  constexpr int kWorkers = 8;
  SchedulerDriver site(1);
  AddWorkersOfZone(site, kWorkers);
  site.RunUntil(absl::Milliseconds(100));
  for (int i = 0; i < kWorkers; ++i)
    site.no_connection.insert("w" + std::to_string(i));
  // Stops answering by observations, which would show that the zone is there.
  for (int i = 0; i < kWorkers; ++i)
    site.holds_reports.insert("w" + std::to_string(i));
  JobSpec spec;
  spec.steps = {OneTask()};
  for (JobId job = 1; job <= kWorkers; ++job)
    site.scheduler().Submit(job, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(140));
  REQUIRE(site.start_actions.size() == kWorkers);
  REQUIRE(site.starts.empty());
  site.no_connection.clear();
  site.RunUntil(absl::Milliseconds(300));
  CHECK(site.starts.size() == kWorkers);
}

// Whether a durable record names a run that may have crashed its worker.
bool RecordsCrashSuspect(const SchedulerDriver& site) {
  return std::any_of(site.stored_records.begin(), site.stored_records.end(),
                     [](const auto& entry) {
                       return entry.second.value->find("ran_ms") !=
                              std::string::npos;
                     });
}

// Guards against a task that is suspected of crashing its worker because the
// leader had no connection for an observation.
TEST_CASE(
    "job scheduler: an observation that was not attempted is no sign of a "
    "crash, and extends no lease") {
  for (const bool attempted : {true, false}) {
    CAPTURE(attempted);
    SchedulerDriver site(1);
    site.AddWorker("a");
    site.reports["a"];
    site.RunUntil(absl::Milliseconds(100));
    SubmitOneTask(site);
    site.RunUntil(absl::Milliseconds(140));
    REQUIRE(site.starts.size() == 1);
    (attempted ? site.cut_off : site.no_connection).insert("a");
    site.RunUntil(absl::Seconds(2));
    CHECK(RecordsCrashSuspect(site) == attempted);
    CHECK(site.observations.back().order.lease_until_ms == 0);
    site.cut_off.clear();
    site.no_connection.clear();
    site.RunUntil(absl::Seconds(3));
    CHECK(site.observations.back().order.lease_until_ms > 0);
  }
}

// The entry of a worker comes and goes, and answers arrive in any order. Guards
// against any order of these events after which the leader has lost sight of a
// listed worker.
TEST_CASE(
    "job scheduler: a listed worker is observed and used whatever calls were "
    "in flight when it was forgotten") {
  for (uint32_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto draw = [&random](size_t below) { return random() % below; };
    SchedulerDriver site(1);
    site.AddWorker("a");
    site.reports["a"];
    site.holds_reports.insert("a");
    site.holds_order_answers.insert("a");
    for (int step = 0; step < 60; ++step) {
      switch (draw(4)) {
        case 0:
          site.scheduler().OnWorkerRemoved("a");
          break;
        case 1:
          site.AddWorker("a");
          break;
        default:
          if (site.held_answers() > 0)
            site.DeliverHeldAnswer(draw(site.held_answers()));
      }
      site.RunUntil(site.now().mono - kBegin +
                    absl::Milliseconds(20 + draw(100)));
    }
    site.holds_reports.clear();
    site.holds_order_answers.clear();
    site.DeliverHeldAnswers();
    site.AddWorker("a");
    site.RunUntil(site.now().mono - kBegin + absl::Seconds(6));
    CHECK(site.scheduler().figures().workers_unobserved == 0);
    SubmitOneTask(site);
    site.RunUntil(site.now().mono - kBegin + absl::Seconds(1));
    CHECK(site.starts.size() == 1);
  }
}

}  // namespace
}  // namespace keelbridge::testing
