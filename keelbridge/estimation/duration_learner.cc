#include "keelbridge/estimation/duration_learner.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace keelbridge {
namespace {

absl::Duration EstimateOf(const StepSpec& step) {
  return absl::Milliseconds(step.estimated_ms);
}

}  // namespace

void DurationLearner::OnTaskDone(const std::string& queue, const StepSpec& step,
                                 const TaskId& task,
                                 std::optional<absl::Duration> took,
                                 bool completes_step) {
  if (took) runs_.Add(queue, EstimateOf(step), *took);
  TaskId first = task;
  first.index = 0;
  OpenStep& open = open_steps_[first];
  if (took) {
    ++open.measured_tasks;
    open.longest = std::max(open.longest, *took);
  }
  if (!completes_step) return;
  const int32_t runs = step.gang ? 1 : step.count;
  if (open.measured_tasks == runs)
    steps_.Add(queue, EstimateOf(step), open.longest);
  open_steps_.erase(first);
}

void DurationLearner::OnJobEnded(JobId job) {
  const auto begin =
      open_steps_.lower_bound(TaskId{job, std::numeric_limits<int32_t>::min()});
  auto end = begin;
  while (end != open_steps_.end() && end->first.job == job) ++end;
  open_steps_.erase(begin, end);
}

absl::Duration DurationLearner::ExpectedStep(const std::string& queue,
                                             const StepSpec& step) const {
  return step.long_running ? EstimateOf(step)
                           : steps_.Predict(queue, EstimateOf(step));
}

absl::Duration DurationLearner::ExpectedRun(const std::string& queue,
                                            const StepSpec& step) const {
  return step.long_running ? EstimateOf(step)
                           : runs_.Predict(queue, EstimateOf(step));
}

absl::Duration DurationLearner::RunBound(const std::string& queue,
                                         const StepSpec& step, double q) const {
  return step.long_running ? EstimateOf(step)
                           : runs_.Quantile(queue, EstimateOf(step), q);
}

std::vector<QueueDurations> DurationLearner::Learned(size_t max_queues) const {
  std::vector<QueueDurations> out;
  for (std::string& queue : runs_.RecentQueues(max_queues)) {
    QueueDurations learned;
    if (const DurationModel* run = runs_.Find(queue)) learned.run = run->sums();
    if (const DurationModel* step = steps_.Find(queue))
      learned.step = step->sums();
    learned.queue = std::move(queue);
    out.push_back(std::move(learned));
  }
  return out;
}

size_t DurationLearner::Adopt(int64_t epoch,
                              const std::vector<QueueDurations>& learned) {
  if (epoch <= adopted_epoch_ || learned.empty()) return 0;
  adopted_epoch_ = epoch;
  size_t used = 0;
  for (const QueueDurations& one : learned) {
    const bool run_used = runs_.Adopt(one.queue, one.run);
    const bool step_used = steps_.Adopt(one.queue, one.step);
    used += run_used || step_used ? 1 : 0;
  }
  return used;
}

std::vector<DurationLearner::Figures> DurationLearner::RecentQueues(
    size_t max_queues) const {
  std::vector<Figures> out;
  for (std::string& queue : steps_.RecentQueues(max_queues)) {
    const DurationModel& model = *steps_.Find(queue);
    Figures figures;
    figures.slope = model.slope();
    figures.typical = model.typical();
    figures.spread = model.spread();
    figures.queue = std::move(queue);
    out.push_back(std::move(figures));
  }
  return out;
}

}  // namespace keelbridge
