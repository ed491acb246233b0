// Logs steps that wait for long: which capacity is available to them, which
// workers are known to be eligible, and what blocks the steps.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kWaitingLogInterval = absl::Seconds(2);
// A step is logged once it has waited for longer than this.
constexpr absl::Duration kMinLoggedWait = absl::Seconds(3);
// Maximum number of lines per interval, for the steps that lack the most
// processors.
constexpr size_t kMaxWaitingLines = 8;

}  // namespace

// The capacity that is available to a waiting step. `fits` and the fields
// named after it count tasks of the step.
struct JobScheduler::WaitingCapacity {
  int64_t fits = 0;             // On all workers of the pool.
  int64_t fits_eligible = 0;    // On workers known to be eligible.
  int64_t fits_unreserved = 0;  // On these, without reserved capacity.
  int64_t fits_ticketed = 0;    // On eligible workers with a valid ticket.
  int32_t eligible_workers = 0;
  int32_t ineligible_workers = 0;  // Known not to be eligible.
};

JobScheduler::WaitingCapacity JobScheduler::FindWaitingCapacity(
    const ReadyStep& ready, Now now) const {
  const StepAdvice& advice = ready.state->advice;
  WaitingCapacity capacity;
  for (const auto& [id, worker] : workers_) {
    if (worker->record.pool != ready.queue->pool || !worker->reported ||
        worker->record.draining || worker->record_removed)
      continue;
    const int32_t fits = CountFittingTasks(*worker, ready, worker->free);
    capacity.fits += fits;
    const auto known = advice.known.find(id);
    const bool needed = ready.queue->advice.needed;
    if (needed && known == advice.known.end()) continue;
    if (needed && !known->second) {
      ++capacity.ineligible_workers;
      continue;
    }
    ++capacity.eligible_workers;
    capacity.fits_eligible += fits;
    capacity.fits_unreserved +=
        CountFittingTasks(*worker, ready, UnreservedCapacity(*worker));
    if (HasTicket(*worker, ready, now)) capacity.fits_ticketed += fits;
  }
  return capacity;
}

void JobScheduler::ExplainWaiting(const std::vector<ReadyStep>& ready,
                                  Now now) {
  if (now.mono < next_waiting_log_) return;
  next_waiting_log_ = now.mono + kWaitingLogInterval;
  std::vector<const ReadyStep*> waiting;
  for (const ReadyStep& step : ready) {
    if (step.waiting > 0 && !step.asks_ahead &&
        now.mono - step.state->ready_since > kMinLoggedWait)
      waiting.push_back(&step);
  }
  const size_t logged = std::min(waiting.size(), kMaxWaitingLines);
  const auto missing_milli = [](const ReadyStep* step) {
    return int64_t{step->waiting} * CapacityNeeded(*step->spec).cpu_milli;
  };
  std::partial_sort(
      waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(logged),
      waiting.end(), [&missing_milli](const ReadyStep* a, const ReadyStep* b) {
        return missing_milli(a) > missing_milli(b);
      });
  for (size_t i = 0; i < logged; ++i) {
    const ReadyStep& step = *waiting[i];
    const WaitingCapacity capacity = FindWaitingCapacity(step, now);
    LogDecision(
        "step_waits",
        {{"job", JobIdText(step.job->id)},
         {"step", absl::StrCat(step.number)},
         {"gang", step.spec->gang ? "yes" : "no"},
         {"tasks", absl::StrCat(step.spec->count)},
         {"waiting", absl::StrCat(step.waiting)},
         {"waited_ms", absl::StrCat(absl::ToInt64Milliseconds(
                           now.mono - step.state->ready_since))},
         {"why", step.state->blocked_reason},
         {"cpu_milli", absl::StrCat(CapacityNeeded(*step.spec).cpu_milli)},
         {"fits", absl::StrCat(capacity.fits)},
         {"workers_good", absl::StrCat(capacity.eligible_workers)},
         {"workers_bad", absl::StrCat(capacity.ineligible_workers)},
         {"fits_good", absl::StrCat(capacity.fits_eligible)},
         {"fits_unheld", absl::StrCat(capacity.fits_unreserved)},
         {"fits_ticketed", absl::StrCat(capacity.fits_ticketed)},
         {"asks", absl::StrCat(step.state->advice.ask_count)},
         {"asks_open", absl::StrCat(step.state->advice.calls_in_flight)},
         {"holds", step.may_reserve ? "yes" : "no"},
         {"account", step.job->account},
         {"over_share", step.exceeds_share ? "yes" : "no"},
         {"others_waiting", absl::StrCat(waiting.size() - 1)}});
  }
}

}  // namespace keelbridge
