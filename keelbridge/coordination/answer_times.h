// Measures how long workers take to answer orders, and detects whether answers
// get lost.
//
// After a lost answer the state of the order is determined by an observation of
// the worker or by a stop, so a loss costs as much time as the leader waits for
// the answer. Answers arrive within milliseconds; the exact time depends on the
// links and on the load of the leader itself. The timeout therefore follows the
// measured times, like a TCP retransmission timer.
//
// The class is pure and has no clock of its own.
//
//   AnswerTimes times{AnswerTimes::Options()};
//   times.OnAnswer(absl::Milliseconds(3));
//   order.timeout = times.AnswerTimeout();
//   times.OnLost("worker-a", workers.size(), now);
//   if (times.AnswersAreLossy(now)) ...

#ifndef KEELBRIDGE_COORDINATION_ANSWER_TIMES_H_
#define KEELBRIDGE_COORDINATION_ANSWER_TIMES_H_

#include <cstddef>
#include <map>
#include <string>

#include "absl/time/time.h"

namespace keelbridge {

class AnswerTimes {
 public:
  struct Options {
    // Bounds of the timeout. The leader of a large site reads its sockets up to
    // 75 ms late in bursts while no answer is lost.
    absl::Duration min_timeout = absl::Milliseconds(100);
    absl::Duration max_timeout = absl::Milliseconds(300);
    // Lost answers of several workers within this interval indicate that
    // answers get lost. A single worker may be down.
    absl::Duration correlation_window = absl::Seconds(2);
    // Losses come in periods of seconds; each loss prolongs the period by this
    // much.
    absl::Duration loss_memory = absl::Seconds(5);
    // Answers of at least two workers and this share of all must get lost: in a
    // large site some workers are always about to start or to end.
    double lossy_worker_share = 0.005;
  };

  explicit AnswerTimes(Options options) : options_(options) {}

  // Records that an order was answered after `took`.
  void OnAnswer(absl::Duration took);
  // Records that an order or an observation got no answer although the worker
  // answers others. `workers` is the number of workers of the site.
  void OnLost(const std::string& worker, size_t workers, absl::Time now);

  // Returns the time after which an order counts as unanswered.
  absl::Duration AnswerTimeout() const;
  // Returns whether several workers left orders or observations unanswered
  // recently.
  bool AnswersAreLossy(absl::Time now) const { return now < lossy_until_; }

 private:
  const Options options_;
  bool measured_ = false;
  absl::Duration mean_;
  absl::Duration deviation_;
  // By worker: the time of its last loss within the window.
  std::map<std::string, absl::Time> recent_losses_;
  absl::Time lossy_until_ = absl::InfinitePast();
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_ANSWER_TIMES_H_
