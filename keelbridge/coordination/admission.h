// Whether a leader takes a new job, by how long its tasks would wait.
//
// Answers a load that is more than the leader, or the workers, can carry. Jobs
// that are taken all the same fill a backlog that nobody gets anything from:
// each look for placements passes over it, and it still waits when the load is
// gone. A job is refused when it would wait for so long that its result is
// worth nothing. Refused at once, its client may come back in time.
//
// Timely work goes before work that is late already, and by priority; so a new
// job waits only for timely tasks of its own priority and those before it. What
// is late refuses nobody: with a bound on all that waits a new leader refused
// every job for 15 s after all nodes had lost power, since 13,000 tasks waited,
// though new ones would have begun at once.
//
// Pure: backlogs and starts in, verdicts out.
//
//   Admission admission(options);
//   admission.OnPlacementPass(backlog, started_since, now);  // At each look.
//   const Admission::Verdict verdict = admission.Decide(priority, 4, patience);
//   if (!verdict.accept) RefuseFor(verdict.retry_after);

#ifndef KEELBRIDGE_COORDINATION_ADMISSION_H_
#define KEELBRIDGE_COORDINATION_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <map>

#include "absl/time/time.h"

namespace keelbridge {

// Tasks that could start now, had they room.
struct Backlog {
  std::map<int32_t, int64_t> timely;  // Whose job can be in time; by priority.
  int64_t all = 0;
};

class Admission {
 public:
  struct Options {
    // Over which starts are counted; nothing is refused before that long.
    absl::Duration window = absl::Seconds(2);
    // A backlog of so many tasks is no overload, however slowly it starts: they
    // may wait for advice or for one that ends.
    int64_t min_backlog = 1000;
    absl::Duration min_retry_after = absl::Seconds(1);
    absl::Duration max_retry_after = absl::Seconds(5);
  };
  struct Verdict {
    bool accept = true;
    int64_t backlog = 0;         // All tasks that wait.
    absl::Duration wait;         // Expected, until its first task starts.
    absl::Duration retry_after;  // When refused.
  };

  explicit Admission(Options options) : options_(options) {}

  // `started`: tasks started since the last look.
  void OnPlacementPass(Backlog backlog, int64_t started, absl::Time now);
  // A job of `tasks` whose result is worth nothing after it waited `patience`.
  Verdict Decide(int32_t priority, int64_t tasks,
                 absl::Duration patience) const;
  // Tasks started a second while some waited; none: not known yet.
  double StartsPerSecond() const;
  bool known() const;

 private:
  struct PlacementPass {
    absl::Time at;
    int64_t started;
  };

  const Options options_;
  Backlog backlog_;
  // Of the window, the oldest first. Begins anew whenever nothing waits: what
  // is started then is what comes, not what can be.
  std::deque<PlacementPass> passes_;
  int64_t started_ = 0;  // Of `passes_`.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_ADMISSION_H_
