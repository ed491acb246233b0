#include "keelbridge/overload/service_rate.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace keelbridge {
namespace {

// Runs may do between a quarter of the expected work per use and twice as much.
// What lies outside comes from a few odd runs.
constexpr double kMinWorkPerUse = 0.25;
constexpr double kMaxWorkPerUse = 2.0;
// Weight of the expectation in processor-seconds, so that single ends do not
// move the ratio.
constexpr double kPriorWork = 1.0;
constexpr double kMilliPerProcessor = 1000;
constexpr double kUnlimited = std::numeric_limits<double>::infinity();

double DecayOver(absl::Duration time, absl::Duration period) {
  return std::exp(-absl::FDivDuration(time, period));
}

}  // namespace

void SmoothedRate::Add(double work, absl::Time now) {
  per_second_ = PerSecond(now) + work / absl::ToDoubleSeconds(period_);
  at_ = now;
}

double SmoothedRate::PerSecond(absl::Time now) const {
  if (per_second_ == 0) return 0;
  return per_second_ *
         DecayOver(std::max(now - at_, absl::ZeroDuration()), period_);
}

CountedRun ServiceRate::AddRun(int32_t priority, int32_t cpu_milli,
                               absl::Duration expected) {
  usage_[priority].cpu_milli += cpu_milli;
  return {true, priority, cpu_milli, expected};
}

void ServiceRate::RemoveRun(const CountedRun& run) {
  if (run.counted) usage_[run.priority].cpu_milli -= run.cpu_milli;
}

void ServiceRate::OnRunDone(const CountedRun& run, absl::Duration occupied) {
  if (!run.counted) return;
  Usage& usage = usage_[run.priority];
  const double processors = run.cpu_milli / kMilliPerProcessor;
  usage.occupied += processors * absl::ToDoubleSeconds(occupied);
  usage.expected += processors * absl::ToDoubleSeconds(run.expected);
}

double ServiceRate::UsedUpTo(int32_t priority) const {
  int64_t used = 0;
  for (const auto& [other, usage] : usage_) {
    if (other <= priority) used += usage.cpu_milli;
  }
  return static_cast<double>(used);
}

double ServiceRate::WorkPerUse(int32_t priority) const {
  double occupied = kPriorWork;
  double expected = kPriorWork;
  for (const auto& [other, usage] : usage_) {
    if (other > priority) break;
    occupied += usage.occupied;
    expected += usage.expected;
  }
  return std::clamp(expected / occupied, kMinWorkPerUse, kMaxWorkPerUse);
}

void ServiceRate::ForgetOldEnds(absl::Duration span) {
  const double decay = DecayOver(span, options_.window);
  for (auto& [priority, usage] : usage_) {
    usage.occupied *= decay;
    usage.expected *= decay;
  }
}

void ServiceRate::OnPlacementPass(const Pass& pass, const TierWork& timely,
                                  absl::Time now) {
  if (pass.capacity_milli > 0) first_pass_ = std::min(first_pass_, now);
  capacity_milli_ = pass.capacity_milli;
  started_ += pass.started;
  starts_were_limited_ |= pass.starts_were_limited;
  if (now - last_sample_ < options_.min_sample) return;
  Sample sample;
  sample.at = now;
  // Nothing is known of the time before the first sample.
  sample.span = last_sample_ == absl::InfinitePast()
                    ? absl::ZeroDuration()
                    : std::min(now - last_sample_, options_.window);
  last_sample_ = now;
  sample.started = std::exchange(started_, 0);
  sample.starts_were_limited = std::exchange(starts_were_limited_, false);
  const double min_backlog =
      capacity_milli_ * absl::ToDoubleSeconds(options_.min_backlog);
  for (const auto& [priority, usage] : usage_) {
    if (timely.UpTo(priority).cpu_milli_seconds >= min_backlog)
      sample.used_while_waiting[priority] = UsedUpTo(priority);
  }
  ForgetOldEnds(sample.span);
  samples_.push_back(std::move(sample));
  while (now - samples_.front().at >= options_.window) samples_.pop_front();
  rates_.clear();
  for (const auto& [priority, usage] : usage_)
    rates_[priority] = MeasureRate(priority);
  starts_per_second_ = MeasureStarts();
}

double ServiceRate::MeasureRate(int32_t priority) const {
  absl::Duration waiting;
  double use_seconds = 0;
  for (const Sample& sample : samples_) {
    const auto used = sample.used_while_waiting.find(priority);
    if (used == sample.used_while_waiting.end()) continue;
    waiting += sample.span;
    use_seconds += used->second * absl::ToDoubleSeconds(sample.span);
  }
  // The rest of the window is filled with what the priority can count on.
  const double held_by_others =
      UsedUpTo(std::numeric_limits<int32_t>::max()) - UsedUpTo(priority);
  const double usable = std::max(0.0, capacity_milli_ - held_by_others);
  const absl::Duration rest =
      std::max(options_.window - waiting, absl::ZeroDuration());
  use_seconds += usable * absl::ToDoubleSeconds(rest);
  const double use =
      use_seconds / absl::ToDoubleSeconds(std::max(options_.window, waiting));
  return WorkPerUse(priority) *
         std::max(use, options_.min_share * capacity_milli_);
}

double ServiceRate::MeasureStarts() const {
  int64_t started = 0;
  absl::Duration limited;
  absl::Duration all;
  for (const Sample& sample : samples_) {
    all += sample.span;
    if (!sample.starts_were_limited) continue;
    limited += sample.span;
    started += sample.started;
  }
  if (limited < all / 2 || started == 0) return kUnlimited;
  return static_cast<double>(started) / absl::ToDoubleSeconds(limited);
}

void ServiceRate::OnArrival(int32_t priority, double work, absl::Time now) {
  const auto [it, inserted] = arrivals_.try_emplace(
      priority, Arrivals{SmoothedRate(options_.arrival_period),
                         SmoothedRate(options_.burst_period)});
  it->second.smooth.Add(work, now);
  it->second.burst.Add(work, now);
}

bool ServiceRate::known() const {
  return capacity_milli_ > 0 && last_sample_ - first_pass_ >= options_.warm_up;
}

double ServiceRate::Of(int32_t priority) const {
  const auto after = rates_.upper_bound(priority);
  // A priority without runs has as much in use as the next more urgent one.
  if (after != rates_.begin()) return std::prev(after)->second;
  const double held_by_others =
      UsedUpTo(std::numeric_limits<int32_t>::max()) - UsedUpTo(priority);
  return std::max(capacity_milli_ - held_by_others,
                  options_.min_share * capacity_milli_);
}

double ServiceRate::LeftTo(int32_t priority, absl::Time now) const {
  const double rate = Of(priority);
  double taken = 0;
  for (const auto& [other, arrivals] : arrivals_) {
    if (other >= priority) break;
    taken += arrivals.smooth.PerSecond(now);
  }
  return std::max(rate - taken, options_.min_share * rate);
}

double ServiceRate::LeftToLateWork(absl::Time now) const {
  double taken = 0;
  for (const auto& [other, arrivals] : arrivals_)
    taken +=
        std::max(arrivals.smooth.PerSecond(now), arrivals.burst.PerSecond(now));
  return std::max(Of(std::numeric_limits<int32_t>::max()) - taken, 0.0);
}

}  // namespace keelbridge
