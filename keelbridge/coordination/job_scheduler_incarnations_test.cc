// Tests workers that restart under the same name.

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

constexpr char kFirstIncarnation[] = "a@1000";
constexpr char kSecondIncarnation[] = "a@2000";

// A site whose only worker, "a", runs the only task.
class RestartFixture {
 public:
  explicit RestartFixture(SchedulerDriver& site) : site_(site) {
    site.AddWorker(kFirstIncarnation);
    site.reports[kFirstIncarnation];
    site.RunUntil(absl::Milliseconds(100));
    JobSpec spec;
    spec.steps = {OneTask(8000)};
    site.scheduler().Submit(kJob, "restore", spec, site.now());
  }

  // Restarts the worker. The platform does not list the new incarnation yet.
  void Restart() {
    site_.next_incarnations[kFirstIncarnation] = kSecondIncarnation;
    site_.reports[kSecondIncarnation];
  }
  void AddSecondIncarnation() {
    WorkerRecord record = SchedulerDriver::RecordOf(kSecondIncarnation, 8000);
    record.machine = "m-" + std::string(kFirstIncarnation);
    site_.scheduler().OnWorkerRecord(record, site_.now());
  }

 private:
  SchedulerDriver& site_;
};

TEST_CASE(
    "job scheduler: a run that an incarnation reported is lost with it and "
    "starts again") {
  SchedulerDriver site(1);
  RestartFixture worker(site);
  site.RunUntil(absl::Milliseconds(400));  // The run was reported.
  REQUIRE(site.starts.size() == 1);
  worker.Restart();
  worker.AddSecondIncarnation();
  site.RunUntil(absl::Milliseconds(900));
  REQUIRE(site.starts.size() == 2);
  CHECK(site.start_workers[1] == kSecondIncarnation);
  CHECK(site.starts[1].run > site.starts[0].run);
  CHECK(site.stops.empty());
}

// The next incarnation refuses the fence of calls to the ended one. The leader
// must still learn that the first incarnation has ended.
TEST_CASE(
    "job scheduler: a life is over though the next one refuses its fence") {
  SchedulerDriver site(1);
  RestartFixture worker(site);
  site.RunUntil(absl::Milliseconds(400));
  REQUIRE(site.starts.size() == 1);
  site.down.insert(kFirstIncarnation);
  site.reports[kSecondIncarnation];
  worker.AddSecondIncarnation();
  // The second incarnation is observed first.
  site.RunUntil(absl::Milliseconds(600));
  site.down.erase(kFirstIncarnation);
  worker.Restart();
  site.RunUntil(absl::Milliseconds(1100));
  CHECK(site.starts.size() == 2);
  CHECK_FALSE(site.scheduler().fenced());
}

TEST_CASE(
    "job scheduler: a start that the next incarnation carried out goes on "
    "there") {
  SchedulerDriver site(1);
  RestartFixture worker(site);
  site.RunUntil(absl::Milliseconds(120));
  worker.Restart();  // While the order is sent.
  site.RunUntil(absl::Milliseconds(160));
  REQUIRE(site.starts.size() == 1);
  REQUIRE(site.start_workers[0] == kFirstIncarnation);
  site.RunUntil(absl::Seconds(2));
  CHECK(site.starts.size() == 1);
  CHECK(site.stops.empty());
  CHECK(site.reports[kSecondIncarnation].running.size() == 1);
}

TEST_CASE(
    "job scheduler: a start that neither incarnation reports is stopped on the "
    "next one before its task starts again") {
  SchedulerDriver site(1);
  RestartFixture worker(site);
  site.RunUntil(absl::Milliseconds(140));  // No report contains the run yet.
  REQUIRE(site.starts.size() == 1);
  worker.Restart();
  site.reports.erase(kFirstIncarnation);
  worker.AddSecondIncarnation();
  site.RunUntil(absl::Seconds(2));
  REQUIRE(site.starts.size() == 2);
  REQUIRE_FALSE(site.stops.empty());
  CHECK(site.stop_workers[0] == kSecondIncarnation);
  CHECK(site.stops[0].run == site.starts[0].run);
}

TEST_CASE("job scheduler: a worker's next incarnation gets a higher fence") {
  SchedulerDriver site(3);
  RestartFixture worker(site);
  site.RunUntil(absl::Milliseconds(400));
  const int64_t before = site.observations.back().order.fence;
  worker.Restart();
  worker.AddSecondIncarnation();
  site.RunUntil(absl::Milliseconds(900));
  CHECK(site.observations.back().worker.id == kSecondIncarnation);
  CHECK(site.observations.back().order.fence > before);
  // A worker that refuses an order with an earlier fence has not necessarily
  // seen another leader.
  site.holds_reports.insert(kSecondIncarnation);
  const auto refuse_next_observation = [&site](std::optional<int64_t> fence) {
    const size_t sent = site.observations.size();
    while (site.observations.size() == sent)
      site.RunUntil(site.now().mono - kBegin + absl::Milliseconds(1));
    ObserveAction observation = site.observations.back();
    REQUIRE(observation.worker.id == kSecondIncarnation);
    observation.order.fence = fence.value_or(observation.order.fence);
    ObserveReply refused;
    refused.order.result = OrderResult::kFenced;
    site.scheduler().OnObserveReply(observation, refused, site.now().mono,
                                    site.now());
  };
  refuse_next_observation(before);
  CHECK_FALSE(site.scheduler().fenced());
  refuse_next_observation(std::nullopt);
  CHECK(site.scheduler().fenced());
}

TEST_CASE("job scheduler: the fences of each later leader are higher") {
  const auto fence_of = [](int64_t epoch) {
    SchedulerDriver site(epoch);
    site.AddWorker(kFirstIncarnation);
    site.RunUntil(absl::Milliseconds(100));
    return site.observations.back().order.fence;
  };
  CHECK(fence_of(1) > 0);
  CHECK(fence_of(2) > fence_of(1) + 1000);
}

TEST_CASE(
    "job scheduler: a later leader waits for the current incarnation, not for "
    "the recorded one") {
  SchedulerDriver site(2);
  KnownWorker known{SchedulerDriver::RecordOf(kFirstIncarnation, 8000), 1};
  known.persists_placements = true;
  site.next_incarnations[kFirstIncarnation] = kSecondIncarnation;
  site.Recover(OneTask(), {known});
  site.AddWorker("b");
  site.reports["b"];
  site.RunUntil(absl::Seconds(1));
  // The task may run there because of a late order.
  CHECK(site.starts.empty());
  site.reports[kSecondIncarnation].running.push_back({kTask, 1, "", 0});
  site.RunUntil(absl::Seconds(2));
  CHECK(site.starts.empty());
  site.End(kSecondIncarnation, {1, kTask, 1, RunEnd::kDone, ""});
  site.RunUntil(absl::Seconds(3));
  CHECK(site.scheduler().Status(kJob) == JobState::kCompleted);
  CHECK(site.starts.empty());
}

TEST_CASE(
    "job scheduler: a worker recorded by its name alone is the incarnation "
    "that the platform lists") {
  SchedulerDriver site(2);
  KnownWorker known{SchedulerDriver::RecordOf("a", 8000), 1};
  known.persists_placements = true;
  site.Recover(OneTask(), {known});
  site.reports[kFirstIncarnation].running.push_back({kTask, 1, "", 0});
  site.AddWorker("b");
  site.reports["b"];
  site.AddWorker(kFirstIncarnation);
  site.RunUntil(absl::Seconds(2));
  CHECK(site.starts.empty());
  CHECK(site.stops.empty());
  site.End(kFirstIncarnation, {1, kTask, 1, RunEnd::kDone, ""});
  site.RunUntil(absl::Seconds(3));
  CHECK(site.scheduler().Status(kJob) == JobState::kCompleted);
  CHECK(site.stored_records.count(KnownWorkerKey("a")) == 0);
  CHECK(site.stored_records.count(KnownWorkerKey(kFirstIncarnation)) == 1);
}

}  // namespace
}  // namespace keelbridge::testing
