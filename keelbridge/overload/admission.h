// Decides whether a leader accepts a new job, by how long its tasks would wait.
//
// Admission control protects against a load that exceeds what the leader or the
// workers can process. Accepting all jobs builds up a backlog that is of no
// value: each placement pass has to skip it, and it still waits when the
// overload is over. A job is refused if it would wait for so long that its
// result has no value. If it is refused at once, its client may retry in time.
//
// Timely work precedes work that is already late, and is ordered by priority.
// Within a priority, work of client accounts that hold more than their share of
// the site comes last. A new job therefore waits only for timely tasks that are
// ordered before it. Late tasks cause no refusals: after an outage many of them
// wait, although new tasks would begin at once.
//
// The class is pure: its inputs are backlogs and starts, its outputs are
// verdicts.
//
//   Admission admission(options);
//   admission.OnPlacementPass(backlog, started_since, now);  // At each pass.
//   const Admission::Verdict verdict = admission.Decide({priority, 4,
//   patience}); if (!verdict.accept) RefuseFor(verdict.retry_after);

#ifndef KEELBRIDGE_OVERLOAD_ADMISSION_H_
#define KEELBRIDGE_OVERLOAD_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <map>

#include "absl/time/time.h"

namespace keelbridge {

// Tasks that could start now if there were capacity.
struct Backlog {
  // By priority: tasks of jobs that can still meet their objective, without
  // those in `timely_over_share`.
  std::map<int32_t, int64_t> timely;
  int64_t all = 0;
  // By priority: such tasks of client accounts that hold more than their share
  // of the site.
  std::map<int32_t, int64_t> timely_over_share;
};

class Admission {
 public:
  struct Options {
    // Period over which starts are counted. Nothing is refused until it has
    // passed.
    absl::Duration window = absl::Seconds(2);
    // A backlog of fewer tasks is no overload, however slowly they start: they
    // may wait for advice or for running tasks to end.
    int64_t min_backlog = 1000;
    absl::Duration min_retry_after = absl::Seconds(1);
    absl::Duration max_retry_after = absl::Seconds(5);
  };
  struct Verdict {
    bool accept = true;
    const char* reason = "";  // Why the job is refused.
    int64_t backlog = 0;      // All waiting tasks.
    // Expected time until all of its tasks have started.
    absl::Duration wait;
    absl::Duration retry_after;  // Set if the job is refused.

    // Set by WorkAdmission only.
    // The job gives way to all work that was accepted in time.
    bool late = false;
    // Expected time until its tasks have started if it is accepted as late.
    absl::Duration late_wait;
    absl::Duration age;            // Since its first try.
    bool return_promised = false;  // `retry_after` is a promise.
    bool promise_kept = false;     // The client returned by such a promise.
  };

  explicit Admission(Options options) : options_(options) {}

  // Records the backlog found by a placement pass, and the number of tasks
  // started since the last pass.
  void OnPlacementPass(Backlog backlog, int64_t started, absl::Time now);
  // A new job.
  struct Request {
    int32_t priority = 0;
    int64_t tasks = 0;
    // Once the job has waited for this long its result has no value.
    absl::Duration patience;
    // Its client account holds more than its share of the site.
    bool exceeds_share = false;
    // The least time for which it waits for the maximum of its client account.
    absl::Duration account_wait;
  };
  Verdict Decide(const Request& request) const;
  // Returns the verdict on a job that would wait for `wait`.
  Verdict Judge(absl::Duration wait, absl::Duration patience,
                const char* reason) const;
  // Returns the tasks started per second while tasks waited, or 0 if the rate
  // is not known yet.
  double StartsPerSecond() const;
  bool known() const;

 private:
  struct PlacementPass {
    absl::Time at;
    int64_t started;
  };

  const Options options_;
  Backlog backlog_;
  // The passes of the window, oldest first. Cleared whenever the backlog is
  // small: the starts then reflect the arrival rate, not the capacity.
  std::deque<PlacementPass> passes_;
  int64_t started_ = 0;  // Sum over `passes_`.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_OVERLOAD_ADMISSION_H_
