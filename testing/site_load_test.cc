// How well the site's scheduler decides under load and faults, on a virtual
// clock: what callers get, with a mechanism and without it. Each test states
// the shares that were measured over its seeds.

#include <doctest/doctest.h>

#include "testing/support/site_simulation.h"

namespace keelbridge::testing {
namespace {

constexpr char kUrgent[] = "urgent";
constexpr char kPatient[] = "patient";

Queue MakeQueue(const char* name, int priority, double stretch,
                int64_t target_ms, AdviceTerms advice) {
  Queue queue;
  queue.name = name;
  queue.pool = SiteSimulation::kPool;
  queue.priority = priority;
  queue.max_attempts = 3;
  queue.stretch = stretch;
  queue.target_latency_ms = target_ms;
  queue.advice = advice;
  return queue;
}

JobSpec MakeJob(int32_t count, Resources need, int64_t estimated_ms,
                bool checkpoints) {
  JobSpec spec;
  StepSpec step;
  step.count = count;
  step.need = need;
  step.estimated_ms = estimated_ms;
  step.checkpoints = checkpoints;
  spec.steps.push_back(step);
  return spec;
}

// Of `jobs`, the share that ended within `objective`.
double ShareInTime(const SiteSimulation& site, const std::vector<JobId>& jobs,
                   absl::Duration objective) {
  int in_time = 0;
  for (const JobId id : jobs) {
    const auto time = site.JobDuration(id);
    if (time && *time <= objective) ++in_time;
  }
  return static_cast<double>(in_time) / static_cast<double>(jobs.size());
}

struct Shares {
  double urgent = 0;
  double patient = 0;
};

// Tasks that take half a worker and up to all of its accelerators, beside many
// small ones that are less urgent, save their progress and could fill all
// workers: 8 workers, 30 s, half of the workers may run a step.
Shares RunLargeAndSmallTasks(SchedulerPolicy policy) {
  Shares sum;
  constexpr int kSeeds = 5;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SiteSimulation::Options options;
    options.seed = seed;
    options.workers = 8;
    options.capacity = {64000, 131072, 8};
    options.failing_runs = 0;
    options.nodes = 9;
    options.estimate_error = 0.2;
    options.policy = policy;
    options.queues = {MakeQueue(kUrgent, 1, 2.2, 1000, {true, 490, 7, 2000}),
                      MakeQueue(kPatient, 2, 4, 3000, {true, 140, 2, 2000})};
    SiteSimulation site(options);
    std::vector<JobId> urgent;
    std::vector<JobId> patient;
    for (int i = 0; i < 30; ++i) {
      site.After(absl::Milliseconds(1000 * i), [&site, &urgent, i] {
        const int32_t accelerators = i % 4 == 0 ? 2 : i % 4 == 1 ? 4 : 8;
        urgent.push_back(site.Submit(
            MakeJob(1, {31000, 45000, accelerators}, 3600, true), kUrgent));
      });
      for (int k = 0; k < 2; ++k) {
        site.After(absl::Milliseconds(1000 * i + 500 * k), [&site, &patient] {
          patient.push_back(
              site.Submit(MakeJob(4, {5600, 11000, 1}, 3800, true), kPatient));
        });
      }
    }
    site.Run(absl::Seconds(70));
    CHECK(site.faults().empty());
    sum.urgent += ShareInTime(site, urgent, absl::Seconds(10.5)) / kSeeds;
    sum.patient += ShareInTime(site, patient, absl::Seconds(19)) / kSeeds;
  }
  return sum;
}

// Of the large tasks 0.88 were in time before, all are now; of the small ones
// all were and are.
TEST_CASE("site load: large tasks beside small ones are in time") {
  SchedulerPolicy disabled;
  disabled.make_room = false;
  disabled.hold_room = false;
  disabled.name_by_cost = false;
  const Shares without_policy = RunLargeAndSmallTasks(disabled);
  const Shares with_policy = RunLargeAndSmallTasks(SchedulerPolicy());
  MESSAGE("large, in time: ", without_policy.urgent, " before, ",
          with_policy.urgent, " after; small: ", without_policy.patient,
          " and ", with_policy.patient);
  CHECK(with_policy.urgent >= without_policy.urgent + 0.06);
  CHECK(with_policy.urgent > 0.95);
  CHECK(with_policy.patient > 0.95);
}

// Runs that yielded within 12 s on 8 full workers, with a large task each
// second beside so many jobs of small ones that came at once.
int64_t CountPreemptions(int small_jobs) {
  SiteSimulation::Options options;
  options.workers = 8;
  options.capacity = {64000, 131072, 8};
  options.failing_runs = 0;
  options.queues = {MakeQueue(kUrgent, 1, 2.2, 1000, {}),
                    MakeQueue(kPatient, 2, 40, 3000, {})};
  SiteSimulation site(options);
  site.Run(absl::Seconds(1));
  for (int i = 0; i < small_jobs; ++i)
    site.Submit(MakeJob(4, {5600, 11000, 1}, 3800, true), kPatient);
  for (int i = 0; i < 10; ++i) {
    site.After(absl::Milliseconds(1000 * i), [&site] {
      site.Submit(MakeJob(1, {31000, 45000, 8}, 3600, true), kUrgent);
    });
  }
  site.Run(absl::Seconds(12));
  CHECK(site.faults().empty());
  return site.scheduler()->figures().preemptions;
}

// Beside 20 jobs runs yield, beside 200 none does: it would cost work that a
// site which is behind cannot make up.
TEST_CASE("site load: no run yields while the site is behind") {
  CHECK(CountPreemptions(20) > 0);
  CHECK(CountPreemptions(200) == 0);
}

// Short jobs whose objective leaves half a second, while some answers of
// workers are lost, and some orders come seconds late.
double RunShortJobs(SchedulerPolicy policy, double lost, double late) {
  double sum = 0;
  constexpr int kSeeds = 5;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SiteSimulation::Options options;
    options.seed = seed;
    options.workers = 12;
    options.capacity = {32000, 131072, 0};
    options.failing_runs = 0;
    options.lost_answers = lost;
    options.late_orders = late;
    options.estimate_error = 0.2;
    options.policy = policy;
    options.queues = {MakeQueue(kUrgent, 0, 1.5, 550, {})};
    SiteSimulation site(options);
    std::vector<JobId> jobs;
    site.Run(absl::Seconds(1));
    for (int i = 0; i < 100; ++i) {
      site.After(absl::Milliseconds(100 * i), [&site, &jobs] {
        jobs.push_back(
            site.Submit(MakeJob(4, {3000, 8000, 0}, 560, false), kUrgent));
      });
    }
    site.Run(absl::Seconds(40));
    CHECK(site.faults().empty());
    sum += ShareInTime(site, jobs, absl::Milliseconds(1390)) / kSeeds;
  }
  return sum;
}

// 0.85 were in time before, 0.99 are now.
TEST_CASE("site load: short jobs are in time although answers get lost") {
  SchedulerPolicy disabled;
  disabled.settle_soon = false;
  const double without_policy = RunShortJobs(disabled, 0.05, 0.02);
  const double with_policy = RunShortJobs(SchedulerPolicy(), 0.05, 0.02);
  MESSAGE("in time: ", without_policy, " before, ", with_policy, " after");
  CHECK(without_policy < 0.9);
  CHECK(with_policy > 0.95);
}

}  // namespace
}  // namespace keelbridge::testing
