// Measures how much work a site does per second for each priority.
//
// It answers an overload in which only a part of the capacity serves what
// waits. Short urgent tasks do not get the processors that long runs of less
// urgent queues hold, and those that wait for advice get fewer than there are.
// While work of a priority waits, the processors that this priority and more
// urgent ones have in use are therefore what serves it; otherwise it can count
// on all that less urgent runs leave. Both count for as much work as the runs
// did per processor: an order, a report and a wrong estimate take time of the
// processor too.
//
// The period of a few seconds is as long as the slack of urgent jobs, so that a
// change of the rate is known before it costs more than one such slack. A lower
// priority gets what the arrivals of more urgent ones leave, but is never
// judged by less than a tenth, because the more urgent load may end at once.
//
// The class is pure. Rates are in thousandths of a processor: work, in
// thousandths of a processor times seconds, per second.
//
//   ServiceRate rate(ServiceRate::Options{});
//   CountedRun run = rate.AddRun(priority, 2000, absl::Seconds(1));
//   rate.OnRunDone(run, occupied);
//   rate.RemoveRun(run);
//   rate.OnPlacementPass(pass, now);
//   double per_second = rate.LeftTo(priority, now);

#ifndef KEELBRIDGE_OVERLOAD_SERVICE_RATE_H_
#define KEELBRIDGE_OVERLOAD_SERVICE_RATE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

#include "absl/time/time.h"
#include "keelbridge/overload/waiting_work.h"

namespace keelbridge {

// An exponentially weighted sum of work per second.
class SmoothedRate {
 public:
  explicit SmoothedRate(absl::Duration period) : period_(period) {}
  void Add(double work, absl::Time now);
  double PerSecond(absl::Time now) const;

 private:
  absl::Duration period_;
  double per_second_ = 0;
  absl::Time at_ = absl::InfinitePast();
};

// How a run counts. Kept with the run.
struct CountedRun {
  bool counted = false;
  int32_t priority = 0;
  int32_t cpu_milli = 0;
  absl::Duration expected;
};

class ServiceRate {
 public:
  struct Options {
    absl::Duration window = absl::Seconds(3);
    // Passes closer to each other are merged.
    absl::Duration min_sample = absl::Milliseconds(50);
    // Work is waiting if the site would take this long for it.
    absl::Duration min_backlog = absl::Milliseconds(100);
    // Period over which the arrivals of more urgent work are smoothed.
    absl::Duration arrival_period = absl::Seconds(5);
    // Period in which a sudden load is noticed.
    absl::Duration burst_period = absl::Seconds(1);
    // A priority is never judged by less than this share of the rate.
    double min_share = 0.1;
    // Nothing is known of a leader's site before it has led for this long.
    absl::Duration warm_up = absl::Seconds(1);
  };
  struct Pass {
    double capacity_milli = 0;  // Of the workers that may start tasks.
    int64_t started = 0;        // Tasks since the pass before.
    // The pass before could have started more tasks if a pass might start more.
    bool starts_were_limited = false;
  };

  explicit ServiceRate(Options options) : options_(options) {}

  // Counts a run that occupies processors of a worker from now on.
  CountedRun AddRun(int32_t priority, int32_t cpu_milli,
                    absl::Duration expected);
  // Stops counting the run.
  void RemoveRun(const CountedRun& run);
  // Records that the run is done and held its processors for `occupied`.
  void OnRunDone(const CountedRun& run, absl::Duration occupied);
  void OnPlacementPass(const Pass& pass, const TierWork& timely,
                       absl::Time now);
  // Records work that was accepted in time.
  void OnArrival(int32_t priority, double work, absl::Time now);

  // Returns whether the rates below are known.
  bool known() const;
  // Returns the work done per second for this and more urgent priorities.
  double Of(int32_t priority) const;
  // Returns the part of it that the arrivals of more urgent priorities leave.
  double LeftTo(int32_t priority, absl::Time now) const;
  // Returns the part of the site's rate that all work accepted in time leaves.
  // Zero in an overload.
  double LeftToLateWork(absl::Time now) const;
  // Returns how many tasks start per second, or infinity unless that is what
  // limits the site.
  double StartsPerSecond() const { return starts_per_second_; }

 private:
  struct Usage {
    int64_t cpu_milli = 0;
    // Occupied and expected processor time of the runs that ended, with
    // exponentially decreasing weight.
    double occupied = 0;
    double expected = 0;
  };
  struct Sample {
    absl::Time at;
    absl::Duration span;  // Since the sample before.
    int64_t started = 0;
    bool starts_were_limited = false;
    // By priority for which work waits: processors in use by it and more urgent
    // priorities.
    std::map<int32_t, double> used_while_waiting;
  };
  struct Arrivals {
    SmoothedRate smooth;
    SmoothedRate burst;
  };

  // Returns the processors that this and more urgent priorities use.
  double UsedUpTo(int32_t priority) const;
  // Returns how much work the runs of these priorities do per processor and
  // second of use.
  double WorkPerUse(int32_t priority) const;
  // Computes the rate of a priority from the window.
  double MeasureRate(int32_t priority) const;
  double MeasureStarts() const;
  void ForgetOldEnds(absl::Duration span);

  const Options options_;
  std::map<int32_t, Usage> usage_;        // By priority.
  std::map<int32_t, Arrivals> arrivals_;  // By priority.
  std::deque<Sample> samples_;            // Oldest first.
  int64_t started_ = 0;                   // Since the last sample.
  bool starts_were_limited_ = false;
  double capacity_milli_ = 0;
  absl::Time first_pass_ = absl::InfiniteFuture();
  absl::Time last_sample_ = absl::InfinitePast();
  // By priority, as of the last sample.
  std::map<int32_t, double> rates_;
  double starts_per_second_ = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_OVERLOAD_SERVICE_RATE_H_
