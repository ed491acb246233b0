// Tests of the scheduling quality of a site under load and faults, on a virtual
// clock: the share of jobs that end in time with and without a policy. The
// comment at each test states the shares over its seeds.

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
  step.requested = need;
  step.estimated_ms = estimated_ms;
  step.checkpoints = checkpoints;
  spec.steps.push_back(step);
  return spec;
}

// Returns the share of `jobs` that ended within `objective`, 0 to 1.
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

// Runs urgent tasks that need half a worker and up to all of its accelerators
// together with many small, less urgent tasks that save checkpoints and could
// fill all workers. There are 8 workers and 30 s of load, and half of the
// workers may run any given step. Returns the shares of jobs in time.
Shares RunLargeAndSmallTasks(SchedulerPolicy policy) {
  Shares sum;
  constexpr int kSeeds = 5;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SiteSimulation::Options options;
    options.seed = seed;
    options.workers = 8;
    options.capacity = {64000, 131072, 8};
    options.failing_runs = 0;
    options.advisers = 9;
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
    CHECK(site.violations().empty());
    sum.urgent += ShareInTime(site, urgent, absl::Seconds(10.5)) / kSeeds;
    sum.patient += ShareInTime(site, patient, absl::Seconds(19)) / kSeeds;
  }
  return sum;
}

// Without the policies, 0.88 of the large tasks are in time; with them, all
// are. All small tasks are in time in both cases.
TEST_CASE("site load: large tasks are in time among many small ones") {
  SchedulerPolicy disabled;
  disabled.preempt_runs = false;
  disabled.reserve_for_single_tasks = false;
  disabled.name_extra_workers = false;
  const Shares without_policy = RunLargeAndSmallTasks(disabled);
  const Shares with_policy = RunLargeAndSmallTasks(SchedulerPolicy());
  MESSAGE("share of large tasks in time: ", without_policy.urgent, " without, ",
          with_policy.urgent,
          " with the policies; of small tasks: ", without_policy.patient,
          " and ", with_policy.patient);
  CHECK(with_policy.urgent >= without_policy.urgent + 0.06);
  CHECK(with_policy.urgent > 0.95);
  CHECK(with_policy.patient > 0.95);
}

// Returns the number of preemptions within 12 s on 8 full workers.
// `small_jobs` jobs of small tasks arrive at once, then one large task every
// second.
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
  CHECK(site.violations().empty());
  return site.scheduler()->figures().preemptions;
}

// With 20 small jobs runs are preempted, with 200 none is: preemption repeats
// work, and a site with a backlog has no spare capacity to make up for it.
TEST_CASE("site load: no run is preempted while the site has a backlog") {
  CHECK(CountPreemptions(20) > 0);
  CHECK(CountPreemptions(200) == 0);
}

// Runs short jobs whose latency objective leaves half a second of slack. `lost`
// is the share of lost worker answers, `late` the share of orders that workers
// carry out seconds late. Returns the share of jobs in time.
double RunShortJobs(SchedulerPolicy policy, double lost, double late,
                    bool reusable_names = true) {
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
    options.reusable_names = reusable_names;
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
    CHECK(site.violations().empty());
    sum += ShareInTime(site, jobs, absl::Milliseconds(1390)) / kSeeds;
  }
  return sum;
}

// Without the policy, 0.85 of the jobs are in time; with it, 0.99 are.
TEST_CASE("site load: short jobs are in time despite lost answers") {
  SchedulerPolicy disabled;
  disabled.resolve_unanswered_orders = false;
  const double without_policy = RunShortJobs(disabled, 0.05, 0.02);
  const double with_policy = RunShortJobs(SchedulerPolicy(), 0.05, 0.02);
  MESSAGE("share in time: ", without_policy, " without, ", with_policy,
          " with the policy");
  CHECK(without_policy < 0.9);
  CHECK(with_policy > 0.95);
}

// Where each incarnation of a worker has a name of its own, no later one can
// carry out a late order, so no task waits for it.
TEST_CASE(
    "site load: short jobs are in time despite late orders where each "
    "incarnation has a name of its own") {
  SchedulerPolicy disabled;
  disabled.resolve_unanswered_orders = false;
  const double without_policy = RunShortJobs(disabled, 0.05, 0.02, false);
  const double with_policy =
      RunShortJobs(SchedulerPolicy(), 0.05, 0.02, /*reusable_names=*/false);
  MESSAGE("share in time: ", without_policy, " without, ", with_policy,
          " with the policy");
  CHECK(without_policy < 0.9);
  CHECK(with_policy > 0.95);
}

}  // namespace
}  // namespace keelbridge::testing
