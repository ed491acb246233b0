#include "keelbridge/coordination/admission.h"

#include <algorithm>
#include <utility>

namespace keelbridge {

void Admission::OnPlacementPass(Backlog backlog, int64_t started,
                                absl::Time now) {
  backlog_ = std::move(backlog);
  if (backlog_.all < options_.min_backlog) {
    passes_.clear();
    started_ = 0;
    return;
  }
  passes_.push_back({now, started});
  started_ += started;
  while (now - passes_.front().at > options_.window && passes_.size() > 1 &&
         now - passes_[1].at >= options_.window) {
    started_ -= passes_.front().started;
    passes_.pop_front();
  }
}

bool Admission::known() const {
  return !passes_.empty() &&
         passes_.back().at - passes_.front().at >= options_.window;
}

double Admission::StartsPerSecond() const {
  if (!known()) return 0;
  const absl::Duration span = passes_.back().at - passes_.front().at;
  // The tasks that the first pass counts were started before the span.
  return static_cast<double>(started_ - passes_.front().started) /
         absl::ToDoubleSeconds(span);
}

Admission::Verdict Admission::Decide(int32_t priority, int64_t tasks,
                                     absl::Duration patience) const {
  Verdict verdict;
  verdict.backlog = backlog_.all;
  if (!known()) return verdict;
  const double rate = std::max(StartsPerSecond(), 1.0);
  int64_t tasks_ahead = tasks;
  for (const auto& [its_priority, count] : backlog_.timely) {
    if (its_priority <= priority) tasks_ahead += count;
  }
  verdict.wait = absl::Seconds(static_cast<double>(tasks_ahead) / rate);
  const absl::Duration excess_wait = verdict.wait - patience;
  verdict.accept = excess_wait <= absl::ZeroDuration();
  if (!verdict.accept)
    verdict.retry_after = std::clamp(excess_wait, options_.min_retry_after,
                                     options_.max_retry_after);
  return verdict;
}

}  // namespace keelbridge
