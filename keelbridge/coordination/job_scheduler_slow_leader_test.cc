// Tests that a leader whose processor time is scarce starts a little less, not
// a fraction, and starts as much as before once it has its time again.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "testing/support/wide_site.h"

namespace keelbridge::testing {
namespace {

// A kind of job of the site.
struct Kind {
  const char* queue;
  double jobs_per_second;
  double mean_width;  // Tasks of a job.
  int32_t max_width;
  double mean_cpu_milli;
  double mean_work_ms;
  double gang_share;  // Share of the jobs that are gangs, 0 to 1.
  double stretch;
  int64_t target_latency_ms;
  AdviceTerms advice;
  uint32_t eligible_percent;  // Share of the workers that may run a step.
};

// Short tasks that have to start at once, beside wide jobs and wide gangs. They
// use three quarters of the processors together.
constexpr std::array<Kind, 3> kKinds = {{
    {"short",
     126,
     4.5,
     27,
     16000,
     800,
     0.3,
     1.5,
     250,
     {true, 11, 0.16, 1500},
     70},
    {"wide", 15, 50, 300, 11000, 2200, 0, 4.0, 3000, {true, 140, 2, 1500}, 45},
    {"gangs",
     5.8,
     40,
     240,
     18000,
     6200,
     1,
     2.2,
     1000,
     {true, 600, 8.6, 1500},
     25},
}};

// The leader's processor time: for each worker tried, each step examined, and
// each task started.
// More short jobs than usual arrive for a while.
constexpr double kBurst = 1.6;
constexpr absl::Duration kBurstBegin = absl::Seconds(9);
constexpr absl::Duration kBurstEnd = absl::Seconds(13);

constexpr absl::Duration kCostOfTry = absl::Nanoseconds(600);
constexpr absl::Duration kCostOfStep = absl::Microseconds(5);
constexpr absl::Duration kCostOfStart = absl::Microseconds(30);

// Draws from a lognormal distribution of the given mean.
double Draw(std::mt19937_64& random, double mean, double spread) {
  std::lognormal_distribution<double> draw(std::log(mean) - spread * spread / 2,
                                           spread);
  return draw(random);
}

// A site under a steady mixed load, whose leader's processor time is modelled.
class MixedLoadSite {
 public:
  explicit MixedLoadSite(bool ticks_take_time = false) {
    site_.driver().ticks_take_time = ticks_take_time;
    std::vector<Queue> queues;
    for (size_t kind = 0; kind < kKinds.size(); ++kind) {
      Queue queue;
      queue.name = kKinds[kind].queue;
      queue.pool = "pool";
      queue.priority = static_cast<int32_t>(kind);
      queue.max_attempts = 3;
      queue.stretch = kKinds[kind].stretch;
      queue.target_latency_ms = kKinds[kind].target_latency_ms;
      queue.advice = kKinds[kind].advice;
      queues.push_back(queue);
    }
    site_.UseQueues(queues);
    site_.SetStep(absl::Milliseconds(20));
    site_.driver().tick_interval = absl::Milliseconds(5);
    site_.driver().advice_terms_of = [this](const TaskId& step) {
      return KindOf(step.job).advice;
    };
    site_.driver().is_eligible = [this](const TaskId& step,
                                        const std::string& worker) {
      return Hash(worker, step.job) % 100 < KindOf(step.job).eligible_percent;
    };
    site_.driver().tick_cost = [this](const SchedulerFigures& before,
                                      const SchedulerFigures& after) {
      const auto times = [](int64_t count, absl::Duration cost) {
        return static_cast<double>(count) * cost;
      };
      return slowness_ *
             (times(after.workers_tried - before.workers_tried, kCostOfTry) +
              times(after.steps_examined - before.steps_examined, kCostOfStep) +
              times(after.starts - before.starts, kCostOfStart));
    };
  }

  // Multiplies the leader's processor time from now on.
  void SetSlowness(double slowness) { slowness_ = slowness; }

  void RunUntil(absl::Duration until) {
    for (; now_ < until; now_ += kSubmitInterval) {
      for (size_t kind = 0; kind < kKinds.size(); ++kind) SubmitDue(kind);
      site_.RunUntil(now_ + kSubmitInterval);
      ForgetAcknowledgedEnds();
    }
  }

  WideSite& site() { return site_; }
  SchedulerFigures figures() { return site_.driver().scheduler().figures(); }

 private:
  static constexpr absl::Duration kSubmitInterval = absl::Milliseconds(20);
  const Kind& KindOf(JobId job) const { return kKinds[kind_of_.at(job)]; }

  static uint32_t Hash(const std::string& worker, JobId job) {
    uint32_t hash = 2166136261U;
    for (const char c : absl::StrCat(worker, "/", job))
      hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
    return hash >> 8;
  }

  // Keeps reports short, as workers do.
  void ForgetAcknowledgedEnds() {
    SchedulerDriver& driver = site_.driver();
    for (const ObserveAction& observation : driver.observations) {
      std::vector<EndedTask>& ended =
          driver.reports.at(observation.worker.id).ended;
      ended.erase(std::remove_if(ended.begin(), ended.end(),
                                 [&](const EndedTask& end) {
                                   return end.number <=
                                          observation.order.ends_acknowledged;
                                 }),
                  ended.end());
    }
    driver.observations.clear();
    driver.log_lines.clear();
  }

  void SubmitDue(size_t index) {
    const Kind& kind = kKinds[index];
    const bool burst = index == 0 && now_ >= kBurstBegin && now_ < kBurstEnd;
    due_[index] += kind.jobs_per_second * (burst ? kBurst : 1) *
                   absl::ToDoubleSeconds(kSubmitInterval);
    for (; due_[index] >= 1; due_[index] -= 1) {
      WideSite::Work work;
      work.gang =
          std::uniform_real_distribution<double>()(random_) < kind.gang_share;
      work.count =
          std::clamp(static_cast<int32_t>(Draw(random_, kind.mean_width, 0.8)),
                     1, kind.max_width);
      work.need = {static_cast<int32_t>(std::min(
                       30000.0, Draw(random_, kind.mean_cpu_milli, 0.4))),
                   1024, 0};
      work.work_ms =
          static_cast<int32_t>(Draw(random_, kind.mean_work_ms, 0.5));
      work.estimated_ms = work.work_ms;
      const JobId id = ++last_job_;
      kind_of_[id] = index;
      site_.Submit(id, kind.queue, work);
    }
  }

  std::mt19937_64 random_{1};
  std::map<JobId, size_t> kind_of_;
  std::array<double, kKinds.size()> due_{};
  JobId last_job_ = 0;
  double slowness_ = 1;
  absl::Duration now_ = absl::Milliseconds(100);
  WideSite site_;
};

constexpr absl::Duration kSlowBegin = absl::Seconds(9);
constexpr absl::Duration kSlowEnd = absl::Seconds(15);
// A leader that was slowed has caught up this long afterwards.
constexpr absl::Duration kCatchUp = absl::Seconds(4);
constexpr absl::Duration kEnd = absl::Seconds(22);
constexpr double kLittleLess = 0.9;

// What a site whose leader was slowed for a while got done.
struct Outcome {
  int64_t starts_while_slowed = 0;
  double used_share_afterwards = 0;
};

Outcome RunWithSlowness(double slowness, bool ticks_take_time = false) {
  constexpr absl::Duration kSampleInterval = absl::Milliseconds(500);
  Outcome outcome;
  MixedLoadSite site(ticks_take_time);
  site.RunUntil(kSlowBegin);
  const int64_t before = site.figures().starts;
  site.SetSlowness(slowness);
  site.RunUntil(kSlowEnd);
  outcome.starts_while_slowed = site.figures().starts - before;
  site.SetSlowness(1);
  int samples = 0;
  for (absl::Duration at = kSlowEnd + kCatchUp; at <= kEnd;
       at += kSampleInterval) {
    site.RunUntil(at);
    outcome.used_share_afterwards += site.site().UsedShare();
    ++samples;
  }
  outcome.used_share_afterwards /= samples;
  return outcome;
}

const Outcome& UsualOutcome() {
  static const Outcome usual = RunWithSlowness(1);
  return usual;
}

// Guards against passes whose number of starts is fixed while their cost grows:
// they get rarer, starts fall, and what waits makes them dearer still.
TEST_CASE(
    "job scheduler: a leader with a quarter of its time starts little less") {
  const Outcome& usual = UsualOutcome();
  const Outcome slowed = RunWithSlowness(4);
  MESSAGE("starts: " << usual.starts_while_slowed << " usually, "
                     << slowed.starts_while_slowed << " when slowed");
  CHECK(static_cast<double>(slowed.starts_while_slowed) >=
        kLittleLess * static_cast<double>(usual.starts_while_slowed));
}

// Guards against a backlog that keeps the leader slow once it has its time
// again.
TEST_CASE(
    "job scheduler: a site whose leader was slowed is as busy as before soon "
    "afterwards") {
  const Outcome& usual = UsualOutcome();
  const Outcome slowed = RunWithSlowness(6);
  MESSAGE("processors in use: " << usual.used_share_afterwards << " usually, "
                                << slowed.used_share_afterwards
                                << " after the leader was slowed");
  CHECK(slowed.used_share_afterwards >=
        kLittleLess * usual.used_share_afterwards);
}

const Outcome& UsualOutcomeOfPassesThatTakeTime() {
  static const Outcome usual = RunWithSlowness(1, /*ticks_take_time=*/true);
  return usual;
}

// Guards against a fixed number of starts or searches for each pass, seen by a
// leader that does nothing else during a pass.
TEST_CASE(
    "job scheduler: a leader with a quarter of its time starts little less "
    "though nothing else happens during its passes") {
  const Outcome& usual = UsualOutcomeOfPassesThatTakeTime();
  for (const double slowness : {2, 4}) {
    CAPTURE(slowness);
    const Outcome slowed = RunWithSlowness(slowness, /*ticks_take_time=*/true);
    MESSAGE("starts: " << usual.starts_while_slowed << " usually, "
                       << slowed.starts_while_slowed << " when slowed");
    CHECK(static_cast<double>(slowed.starts_while_slowed) >=
          kLittleLess * static_cast<double>(usual.starts_while_slowed));
  }
}

// Guards against the same, once the leader has its time again.
TEST_CASE(
    "job scheduler: a site whose leader was slowed is as busy as before soon "
    "afterwards though nothing else happens during its passes") {
  const Outcome& usual = UsualOutcomeOfPassesThatTakeTime();
  const Outcome slowed = RunWithSlowness(6, /*ticks_take_time=*/true);
  MESSAGE("processors in use: " << usual.used_share_afterwards << " usually, "
                                << slowed.used_share_afterwards
                                << " after the leader was slowed");
  CHECK(slowed.used_share_afterwards >=
        kLittleLess * usual.used_share_afterwards);
}

}  // namespace
}  // namespace keelbridge::testing
