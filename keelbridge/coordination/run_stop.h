// The stop of one run of a task: whether the order was requested, sent or
// accepted, by when the run should have ended, and when the order is sent
// again.
//
// A worker that accepts the order ends the run within its stop timeout, or
// refuses the run if it arrives later. So an accepted order is sent again only
// if a report that was requested after the deadline still lists the run. An
// order without an answer may have been lost and is sent again soon, but with a
// doubling pause while the worker answers nothing at all, since each call to a
// worker that is cut off costs the leader time and reaches nobody.
//
// The class is pure and has no clock of its own. A worker that restarts has
// forgotten the order, so a run that may be on its next incarnation needs a new
// object.
//
//   RunStop stop;
//   stop.Request();
//   if (stop.NextSend(worker) <= now) stop.OnSent(now, worker);
//   stop.OnAccepted(now, stop_timeout);
//   stop.OnListed(report_requested_at);

#ifndef KEELBRIDGE_COORDINATION_RUN_STOP_H_
#define KEELBRIDGE_COORDINATION_RUN_STOP_H_

#include <cstdint>

#include "absl/time/time.h"

namespace keelbridge {

class RunStop {
 public:
  // What the leader knows of the worker that has the run.
  struct WorkerAnswers {
    // When the worker last answered a call.
    absl::Time last_answer = absl::InfinitePast();
    // Answers of several workers get lost.
    bool lossy = false;
  };

  // Requests that the run is stopped. Has no effect the second time.
  void Request();
  // Records that the order was sent.
  void OnSent(absl::Time now, const WorkerAnswers& worker);
  // Records that the worker accepted the order. It ends the run within
  // `stop_timeout`.
  void OnAccepted(absl::Time now, absl::Duration stop_timeout);
  // Records that the order got no answer or did not reach the worker.
  void OnUnanswered();
  // Records that the worker has answered, but did not accept the order.
  void OnRefused();
  // Records that answers to earlier orders will be ignored, and that the
  // accepting worker may have restarted since.
  void OnAnswersVoid();
  // Records that the worker listed the run in a report that was requested at
  // `requested`.
  void OnListed(absl::Time requested);

  // Returns the earliest time at which the order is to be sent. In the future
  // without end if it is not requested, in flight, or accepted.
  absl::Time NextSend(const WorkerAnswers& worker) const;
  bool requested() const { return state_ != State::kNotRequested; }
  // Returns when the worker first accepted the order. A report that was
  // requested later and does not list the run shows that it has ended.
  // Infinite if the order was not accepted.
  absl::Time accepted_at() const { return accepted_at_; }
  // Returns how often the order was sent.
  int32_t tries() const { return tries_; }

 private:
  enum class State {
    kNotRequested,
    kToSend,
    kInFlight,
    kNotAccepted,  // Unanswered or refused.
    kAccepted,
    kOverdue,  // Accepted, but the run was listed after the deadline.
  };

  absl::Duration Pause(const WorkerAnswers& worker) const;

  State state_ = State::kNotRequested;
  int32_t tries_ = 0;
  int32_t acceptances_ = 0;
  // Orders without an answer since the worker last answered a call.
  int32_t unanswered_ = 0;
  absl::Time sent_ = absl::InfinitePast();
  absl::Time accepted_at_ = absl::InfiniteFuture();
  // By then an accepted order has ended the run.
  absl::Time deadline_ = absl::InfiniteFuture();
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_RUN_STOP_H_
