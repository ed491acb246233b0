// Measures how long runs take, for the learned durations; see
// keelbridge/estimation.

#include <algorithm>

#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// The begin of a run lies between the order and its answer. A run whose answer
// took longer is not measured: the shortest runs take some hundred
// milliseconds.
constexpr absl::Duration kMaxStartDelay = absl::Milliseconds(100);
// The same for the end: a leader whose loop runs later than this does not know
// when an end was reported.
constexpr absl::Duration kMaxMeasuringLag = absl::Milliseconds(100);
// An observation that waits for ends is followed by the next one after a round
// trip, so that an end reaches the leader as it happens. After a longer pause,
// for example after a lost observation, the end may have happened before.
constexpr absl::Duration kMaxReportPause = absl::Milliseconds(300);

}  // namespace

bool JobScheduler::MayReportEndsLate(const Worker& worker,
                                     absl::Time sent) const {
  return worker.failed_observations > 0 ||
         sent - worker.report_requested_at >
             options_.max_observe_wait + kMaxReportPause;
}

void JobScheduler::LearnDuration(const Worker& worker, const FoundTask& found,
                                 const EndedTask& end, Now now) {
  const StepSpec& spec = found.spec;
  // The duration of a best-effort run depends on what runs beside it.
  if (!options_.policy.learn_durations || spec.long_running || spec.best_effort)
    return;
  const bool completes = spec.gang || found.step.done + 1 >= spec.count;
  job_timings_.learner().OnTaskDone(found.job.queue, spec, end.task,
                                    MeasureRun(worker, found, end, now),
                                    completes);
}

// A gang begins once its last member has started, and all members end together.
std::optional<absl::Duration> JobScheduler::MeasureRun(const Worker& worker,
                                                       const FoundTask& found,
                                                       const EndedTask& end,
                                                       Now now) const {
  if (worker.ends_reported_late || lag_ > kMaxMeasuringLag || suspended_ ||
      answer_times_.AnswersAreLossy(now.mono))
    return std::nullopt;
  const StepSpec& spec = found.spec;
  const int32_t first = spec.gang ? 0 : end.task.index;
  const int32_t last = spec.gang ? spec.count - 1 : end.task.index;
  absl::Time begin = absl::InfinitePast();
  for (int32_t i = first; i <= last; ++i) {
    TaskId member = end.task;
    member.index = i;
    const TaskState& task = found.step.tasks[static_cast<size_t>(i)];
    if (task.run != end.run) return std::nullopt;
    const auto on = workers_.find(task.worker);
    if (on == workers_.end()) return std::nullopt;
    const auto found = on->second->allocations.find({member, end.run});
    if (found == on->second->allocations.end()) return std::nullopt;
    const Allocation& run = found->second;
    if (run.adopted || run.resumed || run.uncertain ||
        run.ordered == absl::InfinitePast())
      return std::nullopt;
    const bool answered = run.start_answered <= now.mono;
    if (answered && run.start_answered - run.ordered > kMaxStartDelay)
      return std::nullopt;
    begin = std::max(begin, answered ? run.start_answered : run.ordered);
  }
  return now.mono - begin;
}

}  // namespace keelbridge
