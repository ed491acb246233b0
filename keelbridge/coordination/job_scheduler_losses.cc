// Runs that are lost with their worker, and what ended it.

#include <algorithm>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// Lines for the log about runs lost with one worker, at most.
constexpr size_t kMostRunLines = 32;

}  // namespace

const char* WorkerLossName(WorkerLoss loss) {
  switch (loss) {
    case WorkerLoss::kCrash:
      return "it crashed: another life answered";
    case WorkerLoss::kLeft:
      return "it left: another life answered";
    case WorkerLoss::kSilence:
      return "its lease has passed without an answer";
  }
  return "";
}

void JobScheduler::OnOtherLife(Worker& worker, Now now) {
  LoseAll(worker,
          worker.record.draining ? WorkerLoss::kLeft : WorkerLoss::kCrash, now);
  worker.record_removed = true;
  worker.listed = true;
  worker.lapse_at = absl::InfinitePast();
}

absl::Time JobScheduler::LostSince(const Worker& worker, Now now) {
  return std::min({now.mono, worker.lost_since, worker.unanswered_since});
}

void JobScheduler::LoseAll(Worker& worker, WorkerLoss loss, Now now) {
  if (worker.occupants.empty()) return;
  const absl::Time lost = LostSince(worker, now);
  Explain("runs_lost",
          {{"worker", worker.record.id},
           {"machine", worker.record.machine},
           {"why", WorkerLossName(loss)},
           {"runs", absl::StrCat(worker.occupants.size())},
           {"lost_ms_ago",
            absl::StrCat(absl::ToInt64Milliseconds(now.mono - lost))}},
          Severity::kWarning);
  const auto occupants = std::move(worker.occupants);
  worker.occupants.clear();
  worker.unknown_sizes = 0;
  worker.stopping = Resources();
  size_t lines = 0;
  for (const auto& [key, occupant] : occupants) {
    if (lines++ < kMostRunLines)
      ExplainLostRun(worker, key, occupant, occupants.size() - 1, lost, now);
    worker.free += occupant.need;
    Requeue(key.first, key.second, worker.record.id, now.mono);
  }
}

void JobScheduler::ExplainLostRun(const Worker& worker, const RunKey& key,
                                  const Occupant& occupant, size_t beside,
                                  absl::Time lost, Now now) {
  const bool begun = occupant.start_answered <= now.mono;
  Explain("run_lost",
          {{"task", TaskIdText(key.first)},
           {"run", absl::StrCat(key.second)},
           {"worker", worker.record.id},
           {"began", begun ? "yes" : "not known"},
           {"ran_ms", absl::StrCat(absl::ToInt64Milliseconds(std::max(
                          absl::ZeroDuration(), lost - occupant.placed)))},
           {"beside", absl::StrCat(beside)}});
}

}  // namespace keelbridge
