// Lines for the log about steps that wait: what room there is for them, what is
// known of who may run them, and what keeps them.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kTellWaitingEvery = absl::Seconds(2);
// A step is told of once it has waited for this long.
constexpr absl::Duration kWaitsLong = absl::Seconds(3);
// Lines each time, at most: of the steps that lack most processors.
constexpr size_t kMostWaitingLines = 8;

}  // namespace

JobScheduler::WaitingRoom JobScheduler::FindWaitingRoom(const ReadyStep& ready,
                                                        Now now) const {
  const StepAdvice& advice = ready.state->advice;
  WaitingRoom room;
  for (const auto& [id, worker] : workers_) {
    if (worker->record.pool != ready.queue->pool || !worker->listed ||
        worker->record.draining || worker->record_removed)
      continue;
    const int32_t fits = Fits(*worker, ready, worker->free);
    room.fits += fits;
    const auto known = advice.known.find(id);
    const bool needed = ready.queue->advice.needed;
    if (needed && known == advice.known.end()) continue;
    if (needed && !known->second) {
      ++room.workers_bad;
      continue;
    }
    ++room.workers_good;
    room.fits_good += fits;
    room.fits_unheld += Fits(*worker, ready, RoomOn(*worker));
    if (HasTicket(*worker, ready, now)) room.fits_ticketed += fits;
  }
  return room;
}

void JobScheduler::ExplainWaiting(const std::vector<ReadyStep>& ready,
                                  Now now) {
  if (now.mono < next_waiting_lines_) return;
  next_waiting_lines_ = now.mono + kTellWaitingEvery;
  std::vector<const ReadyStep*> waiting;
  for (const ReadyStep& step : ready) {
    if (step.waiting > 0 && !step.prepares &&
        now.mono - step.state->ready_since > kWaitsLong)
      waiting.push_back(&step);
  }
  const size_t told = std::min(waiting.size(), kMostWaitingLines);
  const auto lacks = [](const ReadyStep* step) {
    return int64_t{step->waiting} * RoomNeeded(*step->spec).cpu_milli;
  };
  std::partial_sort(
      waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(told),
      waiting.end(), [&lacks](const ReadyStep* a, const ReadyStep* b) {
        return lacks(a) > lacks(b);
      });
  for (size_t i = 0; i < told; ++i) {
    const ReadyStep& step = *waiting[i];
    const WaitingRoom room = FindWaitingRoom(step, now);
    Explain("step_waits",
            {{"job", JobIdText(step.job->id)},
             {"step", absl::StrCat(step.number)},
             {"gang", step.spec->gang ? "yes" : "no"},
             {"tasks", absl::StrCat(step.spec->count)},
             {"waiting", absl::StrCat(step.waiting)},
             {"waited_ms", absl::StrCat(absl::ToInt64Milliseconds(
                               now.mono - step.state->ready_since))},
             {"why", step.state->blocked},
             {"cpu_milli", absl::StrCat(RoomNeeded(*step.spec).cpu_milli)},
             {"fits", absl::StrCat(room.fits)},
             {"workers_good", absl::StrCat(room.workers_good)},
             {"workers_bad", absl::StrCat(room.workers_bad)},
             {"fits_good", absl::StrCat(room.fits_good)},
             {"fits_unheld", absl::StrCat(room.fits_unheld)},
             {"fits_ticketed", absl::StrCat(room.fits_ticketed)},
             {"asks", absl::StrCat(step.state->advice.asks)},
             {"asks_open", absl::StrCat(step.state->advice.open)},
             {"holds", step.holds ? "yes" : "no"},
             {"others_waiting", absl::StrCat(waiting.size() - 1)}});
  }
}

}  // namespace keelbridge
