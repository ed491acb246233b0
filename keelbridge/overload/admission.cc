#include "keelbridge/overload/admission.h"

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

Admission::Verdict Admission::Judge(absl::Duration wait,
                                    absl::Duration patience,
                                    const char* reason) const {
  Verdict verdict;
  verdict.backlog = backlog_.all;
  verdict.wait = wait;
  const absl::Duration excess_wait = wait - patience;
  verdict.accept = excess_wait <= absl::ZeroDuration();
  if (verdict.accept) return verdict;
  verdict.reason = reason;
  verdict.retry_after = std::clamp(excess_wait, options_.min_retry_after,
                                   options_.max_retry_after);
  return verdict;
}

Admission::Verdict Admission::Decide(const Request& request) const {
  const Verdict for_account =
      Judge(request.account_wait, request.patience,
            "more of the account waits than its maximum can run in time");
  if (!for_account.accept || !known()) return for_account;
  int64_t tasks_ahead = request.tasks;
  for (const auto& [priority, count] : backlog_.timely) {
    if (priority <= request.priority) tasks_ahead += count;
  }
  for (const auto& [priority, count] : backlog_.timely_over_share) {
    const bool is_ahead =
        priority < request.priority ||
        (priority == request.priority && request.exceeds_share);
    if (is_ahead) tasks_ahead += count;
  }
  const double rate = std::max(StartsPerSecond(), 1.0);
  return Judge(absl::Seconds(static_cast<double>(tasks_ahead) / rate),
               request.patience, "more waits than can begin in time");
}

}  // namespace keelbridge
