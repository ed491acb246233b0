#include "keelbridge/coordination/answer_times.h"

#include <algorithm>

namespace keelbridge {
namespace {

// Weights of a new measurement and the number of deviations that are waited
// for, as TCP's retransmission timer has them.
constexpr double kMeanWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kDeviations = 4;

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
  const bool others_too =
      worker != last_loser_ && now - last_loss_ < options_.apart;
  if (others_too || AnswersGetLost(now))
    lossy_until_ = now + options_.remembered;
  last_loser_ = worker;
  last_loss_ = now;
}

absl::Duration AnswerTimes::Patience() const {
  if (!measured_) return options_.longest;
  return std::clamp(mean_ + kDeviations * deviation_, options_.shortest,
                    options_.longest);
}

}  // namespace keelbridge
