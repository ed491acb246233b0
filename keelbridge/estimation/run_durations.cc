#include "keelbridge/estimation/run_durations.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace keelbridge {
namespace {

// The weight of a sample is halved by this many later ones. Enough for a stable
// slope; a busy queue yields them within seconds to minutes.
constexpr double kHalfLifeSamples = 300;
// The plain estimate counts as much as this many samples.
constexpr double kPriorSamples = 10;
// The variances of those samples: of the logarithm of the estimate, and of the
// residual.
constexpr double kPriorEstimateVariance = 0.25;
constexpr double kPriorResidualVariance = 0.25;
// Residuals beyond this many standard deviations are winsorised.
constexpr double kMaxResidualSpreads = 3;
// The largest logarithm of a duration in milliseconds that sums may contain:
// some hundred days.
constexpr double kMaxLog = 23;
// Allows for rounding when sums are checked.
constexpr double kTolerance = 1e-6;

// Weight of all earlier samples relative to a new one.
double Decay() {
  static const double decay = std::exp2(-1 / kHalfLifeSamples);
  return decay;
}

double MaxWeight() { return 1 / (1 - Decay()); }

double ToLog(absl::Duration duration) {
  return std::log(absl::ToDoubleMilliseconds(duration));
}

absl::Duration FromLog(double log) {
  return absl::Milliseconds(std::exp(std::min(log, kMaxLog)));
}

// Weighted sums of squared deviations from the means.
struct Deviations {
  double xx = 0;
  double xy = 0;
  double yy = 0;
};

Deviations DeviationsOf(const DurationSums& s) {
  if (s.n <= 0) return {};
  return {std::max(0.0, s.xx - s.x * s.x / s.n), s.xy - s.x * s.y / s.n,
          std::max(0.0, s.yy - s.y * s.y / s.n)};
}

// Returns the quantile of the standard normal distribution, by formula 26.2.23
// of Abramowitz and Stegun; the error is below 5e-4.
double NormalQuantile(double q) {
  const double tail = std::clamp(std::min(q, 1 - q), 1e-9, 0.5);
  const double t = std::sqrt(-2 * std::log(tail));
  const double z = t - (2.515517 + t * (0.802853 + t * 0.010328)) /
                           (1 + t * (1.432788 + t * (0.189269 + t * 0.001308)));
  return q < 0.5 ? -z : z;
}

void Scale(DurationSums& sums, double factor) {
  for (double* sum : {&sums.n, &sums.x, &sums.y, &sums.xx, &sums.xy, &sums.yy})
    *sum *= factor;
}

}  // namespace

DurationModel::DurationModel(const DurationSums& sums) : sums_(sums) {
  if (sums_.n > MaxWeight()) Scale(sums_, MaxWeight() / sums_.n);
}

bool DurationModel::AreValid(const DurationSums& s) {
  for (const double sum : {s.n, s.x, s.y, s.xx, s.xy, s.yy}) {
    if (!std::isfinite(sum)) return false;
  }
  if (s.n <= 0 || s.n > 2 * MaxWeight()) return false;
  const double mean_x = s.x / s.n;
  const double mean_y = s.y / s.n;
  if (std::abs(mean_x) > kMaxLog || std::abs(mean_y) > kMaxLog) return false;
  const double tolerance = kTolerance * s.n * kMaxLog * kMaxLog;
  const double xx = s.xx - s.n * mean_x * mean_x;
  const double yy = s.yy - s.n * mean_y * mean_y;
  const double xy = s.xy - s.n * mean_x * mean_y;
  const double most = s.n * kMaxLog * kMaxLog;
  return xx >= -tolerance && yy >= -tolerance && xx <= most && yy <= most &&
         std::abs(xy) <=
             std::sqrt(std::max(0.0, xx) * std::max(0.0, yy)) + tolerance;
}

void DurationModel::Add(absl::Duration estimate, absl::Duration duration) {
  if (estimate <= absl::ZeroDuration() || duration <= absl::ZeroDuration())
    return;
  const double x = ToLog(estimate);
  const double expected = PredictLog(x);
  const double limit = kMaxResidualSpreads * spread();
  const double y =
      expected + std::clamp(ToLog(duration) - expected, -limit, limit);
  Scale(sums_, Decay());
  sums_.n += 1;
  sums_.x += x;
  sums_.y += y;
  sums_.xx += x * x;
  sums_.xy += x * y;
  sums_.yy += y * y;
}

// The prior draws the slope to 1.
double DurationModel::slope() const {
  const double prior = kPriorSamples * kPriorEstimateVariance;
  const Deviations from_mean = DeviationsOf(sums_);
  return std::clamp((from_mean.xy + prior) / (from_mean.xx + prior), 0.0, 1.0);
}

double DurationModel::PredictLog(double x) const {
  if (sums_.n <= 0) return x;
  const double mean_x = sums_.x / sums_.n;
  const double mean_y = sums_.y / sums_.n;
  // The prior draws the mean ratio of duration and estimate to 1.
  const double offset = (mean_y - mean_x) * sums_.n / (sums_.n + kPriorSamples);
  return mean_x + offset + slope() * (x - mean_x);
}

absl::Duration DurationModel::Predict(absl::Duration estimate) const {
  if (sums_.n <= 0) return estimate;
  // Work without an estimate is expected to be typical of its queue, once its
  // queue is known.
  if (estimate <= absl::ZeroDuration())
    return sums_.n < kPriorSamples ? estimate : typical();
  return FromLog(PredictLog(ToLog(estimate)));
}

absl::Duration DurationModel::Quantile(absl::Duration estimate,
                                       double q) const {
  const absl::Duration median = Predict(estimate);
  // With few samples the bound, like the median, stays near the estimate.
  const double known = sums_.n / (sums_.n + kPriorSamples);
  return median * std::exp(known * NormalQuantile(q) * spread());
}

absl::Duration DurationModel::typical() const {
  if (sums_.n <= 0) return absl::ZeroDuration();
  return FromLog(PredictLog(sums_.x / sums_.n));
}

double DurationModel::spread() const {
  const Deviations from_mean = DeviationsOf(sums_);
  const double b = slope();
  const double residuals =
      std::max(0.0, from_mean.yy - 2 * b * from_mean.xy + b * b * from_mean.xx);
  return std::sqrt((residuals + kPriorSamples * kPriorResidualVariance) /
                   (sums_.n + kPriorSamples));
}

void RunDurations::Add(const std::string& queue, absl::Duration estimate,
                       absl::Duration duration) {
  Entry& entry = Use(queue);
  entry.model.Add(estimate, duration);
  ++entry.own_samples;
}

absl::Duration RunDurations::Predict(const std::string& queue,
                                     absl::Duration estimate) const {
  const DurationModel* model = Find(queue);
  return model == nullptr ? estimate : model->Predict(estimate);
}

absl::Duration RunDurations::Quantile(const std::string& queue,
                                      absl::Duration estimate, double q) const {
  const DurationModel* model = Find(queue);
  return model == nullptr ? estimate : model->Quantile(estimate, q);
}

bool RunDurations::Adopt(const std::string& queue, const DurationSums& sums) {
  if (!DurationModel::AreValid(sums)) return false;
  const auto known = queues_.find(queue);
  if (known != queues_.end() &&
      static_cast<double>(known->second.own_samples) >= sums.n)
    return false;
  Use(queue).model = DurationModel(sums);
  return true;
}

const DurationModel* RunDurations::Find(const std::string& queue) const {
  const auto found = queues_.find(queue);
  return found == queues_.end() ? nullptr : &found->second.model;
}

std::vector<std::string> RunDurations::RecentQueues(size_t max_queues) const {
  std::vector<std::pair<int64_t, const std::string*>> by_use;
  by_use.reserve(queues_.size());
  for (const auto& [queue, entry] : queues_)
    by_use.emplace_back(-entry.last_used, &queue);
  std::sort(by_use.begin(), by_use.end());
  by_use.resize(std::min(by_use.size(), max_queues));
  std::vector<std::string> out;
  out.reserve(by_use.size());
  for (const auto& [use, queue] : by_use) out.push_back(*queue);
  return out;
}

RunDurations::Entry& RunDurations::Use(const std::string& queue) {
  if (queues_.find(queue) == queues_.end() &&
      queues_.size() >= options_.max_queues)
    DropLeastRecentlyUsed();
  Entry& entry = queues_[queue];
  entry.last_used = ++uses_;
  return entry;
}

void RunDurations::DropLeastRecentlyUsed() {
  const auto oldest = std::min_element(
      queues_.begin(), queues_.end(), [](const auto& a, const auto& b) {
        return a.second.last_used < b.second.last_used;
      });
  if (oldest != queues_.end()) queues_.erase(oldest);
}

}  // namespace keelbridge
