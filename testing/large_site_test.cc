// Tests that a leader's decisions do not cost more in a larger site.

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

#include "absl/strings/str_cat.h"
#include "testing/support/wide_site.h"

namespace keelbridge::testing {
namespace {

constexpr int kSmall = 1500;
constexpr int kLarge = 4 * kSmall;
// What a decision may cost at four times the size.
constexpr double kMaxRatio = 1.3;

// Submits the jobs of a few seconds to an idle site and returns how many
// workers were tried for each start.
double WorkersTriedPerStart(int workers, const WideSite::Work& work) {
  constexpr JobId kJobs = 60;
  WideSite site(workers, /*advisers=*/300);
  for (JobId id = 1; id <= kJobs; ++id) {
    site.Submit(id, "restore", work);
    site.RunUntil(absl::Milliseconds(150 + id * 50));
  }
  site.RunUntil(absl::Milliseconds(5000));
  const SchedulerFigures figures = site.driver().scheduler().figures();
  CHECK(figures.starts >= int64_t{kJobs} * work.count * 9 / 10);
  return static_cast<double>(figures.workers_tried) /
         static_cast<double>(figures.starts);
}

TEST_CASE("large site: a start tries as many workers at four times the size") {
  WideSite::Work work;
  SUBCASE("small steps") { work = {4, {14000, 1024, 0}}; }
  SUBCASE("wide steps") { work = {40, {10000, 1024, 0}}; }
  SUBCASE("gangs") { work = {20, {18000, 1024, 0}, true}; }
  const double small = WorkersTriedPerStart(kSmall, work);
  const double large = WorkersTriedPerStart(kLarge, work);
  MESSAGE("workers tried for a start: " << small << " at " << kSmall << ", "
                                        << large << " at " << kLarge);
  CHECK(large <= kMaxRatio * small);
}

TEST_CASE("large site: consecutive searches name different workers") {
  WideSite site(kLarge, /*advisers=*/300);
  site.driver().advice_calls.clear();
  for (JobId id = 1; id <= 10; ++id)
    site.Submit(id, "restore", WideSite::Work{4, {14000, 1024, 0}});
  site.RunUntil(absl::Milliseconds(200));
  std::set<std::string> named;
  size_t names = 0;
  for (const auto& call : site.driver().advice_calls) {
    names += call.size();
    named.insert(call.begin(), call.end());
  }
  REQUIRE(site.driver().advice_calls.size() >= 10);
  CHECK(named.size() == names);
}

// The loss of a zone hits the jobs that have a task there.
TEST_CASE("large site: the workers named for a step are in few zones") {
  constexpr int kZones = 5;
  SchedulerDriver site(1);
  site.UseAdvice({true, 11, 0.16, 1500});
  site.UseAdvisers(100);
  for (int i = 0; i < kLarge; ++i) {
    WorkerRecord record =
        SchedulerDriver::RecordOf(absl::StrCat("w", 10000 + i), 64000);
    record.zone = absl::StrCat("zone-", i % kZones);
    site.scheduler().OnWorkerRecord(record, site.now());
    site.reports[record.id];
  }
  site.RunUntil(absl::Milliseconds(100));
  site.advice_calls.clear();
  constexpr JobId kJobs = 40;
  for (JobId id = 1; id <= kJobs; ++id) {
    JobSpec spec;
    spec.steps.push_back(OneTask());
    spec.steps[0].count = 4;
    site.scheduler().Submit(id, "restore", spec, site.now());
  }
  site.RunUntil(absl::Milliseconds(300));
  REQUIRE(site.advice_calls.size() >= kJobs);
  size_t zones_named = 0;
  for (const auto& call : site.advice_calls) {
    std::set<int> zones;
    for (const std::string& worker : call)
      zones.insert((std::stoi(worker.substr(1)) - 10000) % kZones);
    zones_named += zones.size();
  }
  CHECK(zones_named <= 2 * site.advice_calls.size());
}

// Lets `crashes` of the workers crash at once and start again, and returns how
// many losses were compared with each other.
double LossesCompared(int crashes) {
  constexpr int kWorkers = 600;
  SchedulerDriver site(1);
  const auto name = [](int i) { return absl::StrCat("w", 1000 + i); };
  for (int i = 0; i < kWorkers; ++i) {
    site.AddWorker(name(i));
    site.reports[name(i)];
  }
  site.RunUntil(absl::Milliseconds(200));
  JobSpec spec;
  spec.steps.push_back(OneTask(8000));
  spec.steps[0].count = kWorkers;
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Milliseconds(800));
  REQUIRE(site.starts.size() == kWorkers);
  for (int i = 0; i < crashes; ++i) {
    site.cut_off.insert(name(i));
    WorkerRecord next = SchedulerDriver::RecordOf("next-" + name(i), 8000);
    next.machine = "m-" + name(i);
    site.scheduler().OnWorkerRecord(next, site.now());
    site.reports[next.id];
  }
  // The runs count as lost once the leases have expired.
  site.RunUntil(absl::Seconds(12));
  const SchedulerFigures figures = site.scheduler().figures();
  CHECK(figures.losses_compared > 0);
  return static_cast<double>(figures.losses_compared);
}

TEST_CASE("large site: the crash of many workers costs at most their square") {
  const double few = LossesCompared(30);
  const double many = LossesCompared(120);
  MESSAGE("losses compared: " << few << " for 30 crashes, " << many
                              << " for 120");
  CHECK(many <= 16 * kMaxRatio * few);
}

// In a zone that is cut off, each of its nodes leaves a call for advice
// unanswered.
int CallsToSilentZone(int advisers) {
  SchedulerDriver site(1);
  site.UseAdvice({true, 11, 0.16, 1500});
  std::vector<AdviserNode> nodes;
  for (int i = 0; i < advisers; ++i) {
    nodes.push_back({absl::StrCat("n", i), i % 2 == 0 ? "west" : "east"});
    if (i % 2 == 0) site.silent_advisers.insert(nodes.back().name);
  }
  site.scheduler().SetAdvisers(nodes, "n0");
  for (int i = 0; i < 200; ++i) {
    const std::string name = absl::StrCat("w", 1000 + i);
    site.AddWorker(name, 64000);
    site.reports[name];
    site.eligible.insert(name);
  }
  site.RunUntil(absl::Milliseconds(100));
  for (JobId id = 1; id <= 100; ++id) {
    JobSpec spec;
    spec.steps.push_back(OneTask());
    site.scheduler().Submit(id, "restore", spec, site.now());
    site.RunUntil(absl::Milliseconds(100 + id * 20));
  }
  site.RunUntil(absl::Seconds(4));
  CHECK(site.starts.size() == 100);
  return static_cast<int>(
      std::count_if(site.asked_advisers.begin(), site.asked_advisers.end(),
                    [&](const std::string& node) {
                      return site.silent_advisers.count(node) > 0;
                    }));
}

TEST_CASE(
    "large site: few calls for advice go to a zone that does not answer") {
  const int few = CallsToSilentZone(40);
  const int many = CallsToSilentZone(160);
  MESSAGE("calls to a silent zone: " << few << " of 20 nodes, " << many
                                     << " of 80");
  CHECK(few > 0);
  CHECK(many <= kMaxRatio * few);
}

// A gang whose queue needs no advice has to see all the room that there is.
TEST_CASE("large site: a gang finds its places among all workers") {
  WideSite site(kLarge, /*advisers=*/1);
  Queue queue;
  queue.name = "plain";
  queue.pool = "pool";
  site.UseQueues({queue});
  // Every third worker has room for a member.
  site.Submit(
      1, "plain",
      WideSite::Work{kLarge * 2 / 3, {60000, 1024, 0}, false, 60000, 60000});
  site.RunUntil(absl::Seconds(8));
  REQUIRE(site.Started(1) == kLarge * 2 / 3);
  site.Submit(2, "plain", WideSite::Work{1800, {60000, 1024, 0}, true});
  site.RunUntil(absl::Seconds(12));
  CHECK(site.Started(2) == 1800);
}

TEST_CASE("large site: a scarce free worker is found however large the site") {
  // All workers but one are full, and the one is tried within a few searches.
  WideSite site(kLarge, /*advisers=*/300);
  site.UseQueues({[] {
    Queue queue;
    queue.name = "plain";
    queue.pool = "pool";
    return queue;
  }()});
  site.Submit(
      1, "plain",
      WideSite::Work{kLarge - 1, {60000, 1024, 0}, false, 60000, 60000});
  site.RunUntil(absl::Seconds(8));
  REQUIRE(site.Started(1) == kLarge - 1);
  site.Submit(2, "plain", WideSite::Work{1, {60000, 1024, 0}});
  site.RunUntil(absl::Seconds(9));
  CHECK(site.Started(2) == 1);
}

}  // namespace
}  // namespace keelbridge::testing
