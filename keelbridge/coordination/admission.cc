#include "keelbridge/coordination/admission.h"

#include <algorithm>
#include <utility>

namespace keelbridge {

void Admission::OnLook(Backlog backlog, int64_t started, absl::Time now) {
  backlog_ = std::move(backlog);
  if (backlog_.all < options_.small_backlog) {
    looks_.clear();
    started_ = 0;
    return;
  }
  looks_.push_back({now, started});
  started_ += started;
  while (now - looks_.front().at > options_.window && looks_.size() > 1 &&
         now - looks_[1].at >= options_.window) {
    started_ -= looks_.front().started;
    looks_.pop_front();
  }
}

bool Admission::known() const {
  return !looks_.empty() &&
         looks_.back().at - looks_.front().at >= options_.window;
}

double Admission::StartsPerSecond() const {
  if (!known()) return 0;
  const absl::Duration span = looks_.back().at - looks_.front().at;
  // What the first look started came before the span.
  return static_cast<double>(started_ - looks_.front().started) /
         absl::ToDoubleSeconds(span);
}

Admission::Verdict Admission::Decide(int32_t priority, int64_t tasks,
                                     absl::Duration patience) const {
  Verdict verdict;
  verdict.backlog = backlog_.all;
  if (!known()) return verdict;
  const double rate = std::max(StartsPerSecond(), 1.0);
  int64_t ahead = tasks;
  for (const auto& [its_priority, count] : backlog_.timely) {
    if (its_priority <= priority) ahead += count;
  }
  verdict.wait = absl::Seconds(static_cast<double>(ahead) / rate);
  const absl::Duration over = verdict.wait - patience;
  verdict.accept = over <= absl::ZeroDuration();
  if (!verdict.accept)
    verdict.retry_after =
        std::clamp(over, options_.shortest_retry, options_.longest_retry);
  return verdict;
}

}  // namespace keelbridge
