#include "keelbridge/coordination/answer_times.h"

#include <algorithm>

namespace keelbridge {
namespace {

// Weights of a new measurement, and the number of deviations added to the mean,
// as in TCP's retransmission timer.
constexpr double kMeanWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kTimeoutDeviations = 4;

}  // namespace

void AnswerTimes::OnAnswer(absl::Duration took) {
  if (!measured_) {
    measured_ = true;
    mean_ = took;
    deviation_ = took / 2;
    return;
  }
  deviation_ +=
      kDeviationWeight * (absl::AbsDuration(took - mean_) - deviation_);
  mean_ += kMeanWeight * (took - mean_);
}

void AnswerTimes::OnLost(const std::string& worker, absl::Time now) {
  const bool several_workers = worker != last_lossy_worker_ &&
                               now - last_loss_ < options_.correlation_window;
  if (several_workers || AnswersAreLossy(now))
    lossy_until_ = now + options_.loss_memory;
  last_lossy_worker_ = worker;
  last_loss_ = now;
}

absl::Duration AnswerTimes::AnswerTimeout() const {
  if (!measured_) return options_.max_timeout;
  return std::clamp(mean_ + kTimeoutDeviations * deviation_,
                    options_.min_timeout, options_.max_timeout);
}

}  // namespace keelbridge
