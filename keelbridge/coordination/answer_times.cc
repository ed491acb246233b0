#include "keelbridge/coordination/answer_times.h"

#include <algorithm>
#include <iterator>

namespace keelbridge {
namespace {

// Weights of a new measurement, and the number of deviations added to the mean,
// as in TCP's retransmission timer.
constexpr double kMeanWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kTimeoutDeviations = 4;
// Number of workers whose answers must get lost at the same time.
constexpr size_t kMinLossyWorkers = 2;

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

void AnswerTimes::OnLost(const std::string& worker, size_t workers,
                         absl::Time now) {
  recent_losses_[worker] = now;
  for (auto it = recent_losses_.begin(); it != recent_losses_.end();) {
    const bool expired = now - it->second >= options_.correlation_window;
    it = expired ? recent_losses_.erase(it) : std::next(it);
  }
  const auto share = static_cast<size_t>(options_.lossy_worker_share *
                                         static_cast<double>(workers));
  const size_t enough = std::max(kMinLossyWorkers, share);
  // A period that has begun lasts while half as many workers are concerned.
  const size_t needed = AnswersAreLossy(now) ? enough / 2 : enough;
  if (recent_losses_.size() >= needed)
    lossy_until_ = now + options_.loss_memory;
}

absl::Duration AnswerTimes::AnswerTimeout() const {
  if (!measured_) return options_.max_timeout;
  return std::clamp(mean_ + kTimeoutDeviations * deviation_,
                    options_.min_timeout, options_.max_timeout);
}

}  // namespace keelbridge
