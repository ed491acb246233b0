// How long workers take to answer orders, and whether answers get lost.
//
// A lost answer is settled by a look at the worker, or by a stop, so it costs
// as long as the order is waited for. Answers come within milliseconds; how
// many depends on the links and on how busy the leader itself is, so the wait
// follows what was observed, as a retransmission timer does.
//
// Pure: no clock of its own.
//
//   AnswerTimes times{AnswerTimes::Options()};
//   times.OnAnswer(absl::Milliseconds(3));
//   order.timeout = times.Patience();
//   times.OnLost("worker-a", now);
//   if (times.AnswersAreLossy(now)) ...

#ifndef KEELBRIDGE_COORDINATION_ANSWER_TIMES_H_
#define KEELBRIDGE_COORDINATION_ANSWER_TIMES_H_

#include <string>

#include "absl/time/time.h"

namespace keelbridge {

class AnswerTimes {
 public:
  struct Options {
    // A leader of a large site comes to its sockets up to 75 ms late in bursts
    // while no answer is lost.
    absl::Duration min_timeout = absl::Milliseconds(100);
    absl::Duration max_timeout = absl::Milliseconds(300);
    // Answers of two workers within `apart` tell of lossy answers; one worker
    // alone may be gone.
    absl::Duration correlation_window = absl::Seconds(2);
    // Losses come in spells of seconds; each loss prolongs the spell.
    absl::Duration loss_memory = absl::Seconds(5);
  };

  explicit AnswerTimes(Options options) : options_(options) {}

  // An order was answered after `took`.
  void OnAnswer(absl::Duration took);
  // An order or a look got no answer, and the worker answers others.
  void OnLost(const std::string& worker, absl::Time now);

  // After this an order counts as unanswered.
  absl::Duration AnswerTimeout() const;
  // Several workers left something unanswered lately.
  bool AnswersAreLossy(absl::Time now) const { return now < lossy_until_; }

 private:
  const Options options_;
  bool measured_ = false;
  absl::Duration mean_;
  absl::Duration deviation_;
  std::string last_lossy_worker_;
  absl::Time last_loss_ = absl::InfinitePast();
  absl::Time lossy_until_ = absl::InfinitePast();
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_ANSWER_TIMES_H_
