// A sum whose parts lose weight with their age, so that it describes the recent
// past without a list of events.
//
//   DecayedSum sent(absl::Seconds(10));
//   sent.Add(1, now);
//   double jobs_per_second = sent.PerSecond(now, since);

#ifndef KEELBRIDGE_ACCOUNTS_DECAYED_SUM_H_
#define KEELBRIDGE_ACCOUNTS_DECAYED_SUM_H_

#include <algorithm>
#include <cmath>

#include "absl/time/time.h"

namespace keelbridge {

class DecayedSum {
 public:
  // A part counts half after `half_life`.
  explicit DecayedSum(absl::Duration half_life) : half_life_(half_life) {}

  // `now` may lie before the time of an earlier call, for example because
  // events are told late; such a part counts as if it were of that time.
  void Add(double amount, absl::Time now) {
    DecayUntil(now);
    sum_ += amount;
  }
  double At(absl::Time now) const { return sum_ * FactorUntil(now); }
  // Returns the mean rate of what was added since `since`, by age. Periods
  // shorter than a second count as one.
  double PerSecond(absl::Time now, absl::Time since) const {
    const double time_constant = absl::ToDoubleSeconds(half_life_) / kLn2;
    const double age =
        std::max(1.0, absl::ToDoubleSeconds(std::max(now, at_) - since));
    return At(now) / (time_constant * (1 - std::exp(-age / time_constant)));
  }

 private:
  static constexpr double kLn2 = 0.69314718055994531;

  double FactorUntil(absl::Time now) const {
    if (now <= at_) return 1;
    return std::exp2(-absl::FDivDuration(now - at_, half_life_));
  }
  void DecayUntil(absl::Time now) {
    sum_ *= FactorUntil(now);
    at_ = std::max(at_, now);
  }

  absl::Duration half_life_;
  double sum_ = 0;
  absl::Time at_ = absl::InfinitePast();
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_ACCOUNTS_DECAYED_SUM_H_
