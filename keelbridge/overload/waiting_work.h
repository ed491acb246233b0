// The work that waits on a site, and how much of it precedes a new job.
//
// It answers a load that exceeds what the site can process. Whether a new job
// can be in time depends on the processor time of what is placed before it, not
// on the number of tasks: a thousand tasks of 10 ms are soon done.
//
// The work of a step is its waiting tasks times their processors times their
// expected duration. Steps are placed by tier, then by priority, then those of
// accounts within their share of the site, then by latest start. Timely work
// can meet its objective, late work cannot but still has a value, and worthless
// work has none. A query sums up whole groups of equal tier, priority and share
// and searches one group for the latest start.
//
//   TierWork timely;
//   timely.Clear();
//   timely.Add(rank, latest_start, amount);  // In order of placement.
//   const WorkAmount ahead = timely.Ahead(rank, latest_start);

#ifndef KEELBRIDGE_OVERLOAD_WAITING_WORK_H_
#define KEELBRIDGE_OVERLOAD_WAITING_WORK_H_

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/protocol/job.h"

namespace keelbridge {

struct WorkAmount {
  double cpu_milli_seconds = 0;  // Thousandths of a processor, times seconds.
  int64_t tasks = 0;

  WorkAmount& operator+=(const WorkAmount& other) {
    cpu_milli_seconds += other.cpu_milli_seconds;
    tasks += other.tasks;
    return *this;
  }
  WorkAmount& operator-=(const WorkAmount& other) {
    cpu_milli_seconds -= other.cpu_milli_seconds;
    tasks -= other.tasks;
    return *this;
  }
};

// Returns how long a task of the step runs by its client's estimate. Sums of
// work use it also where durations are learned: they would need the mean, and
// learned durations are medians.
absl::Duration EstimatedRunTime(const StepSpec& step);
// Returns the work of `tasks` tasks of the step.
WorkAmount WorkOf(const StepSpec& step, int32_t tasks);
// Returns the work of all tasks of one round of the job.
WorkAmount WorkOf(const JobSpec& spec);

// Orders work within a tier. Lower ranks are placed first.
struct WorkRank {
  int32_t priority = 0;  // 0 is the most urgent.
  // The client account holds more than its share of the site.
  bool exceeds_share = false;

  friend bool operator<(const WorkRank& a, const WorkRank& b) {
    return std::tie(a.priority, a.exceeds_share) <
           std::tie(b.priority, b.exceeds_share);
  }
};

// The work of one tier. Within a rank it must be added in ascending order of
// the latest start.
class TierWork {
 public:
  void Clear();
  void Add(const WorkRank& rank, absl::Time latest_start,
           const WorkAmount& amount);
  // Returns the work of lower ranks, and that of this rank whose latest start
  // is not after `latest_start`.
  WorkAmount Ahead(const WorkRank& rank, absl::Time latest_start) const;
  // Returns the work of this and more urgent priorities.
  WorkAmount UpTo(int32_t priority) const;
  const WorkAmount& total() const { return total_; }

 private:
  struct Entry {
    absl::Time latest_start;
    WorkAmount up_to_here;  // With all earlier entries of the rank.
  };
  std::map<WorkRank, std::vector<Entry>> ranks_;
  WorkAmount total_;
};

// What waits, as of the last placement pass that examined it.
struct WaitingWork {
  // Steps that can still meet the objective of their job.
  TierWork timely;
  // Steps whose job is late, or was accepted as late, but still has a value.
  TierWork late;
  // Steps whose result has no value any more. They precede nothing.
  WorkAmount worthless;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_OVERLOAD_WAITING_WORK_H_
