#include "testing/fakes/site_worker.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace keelbridge::testing {

SiteWorker::SiteWorker(Options options, Plan plan, Journal journal,
                       absl::Time now)
    : options_(std::move(options)),
      plan_(std::move(plan)),
      journal_(std::move(journal)),
      start_time_(now) {}

int64_t SiteWorker::ClockMs(absl::Time now) const {
  return options_.clock_start_ms +
         absl::ToInt64Milliseconds((now - start_time_) * options_.clock_rate);
}

bool SiteWorker::AcceptFence(int64_t fence) {
  if (fence < fence_) return false;
  fence_ = fence;
  return true;
}

void SiteWorker::ExtendLease(int64_t until_ms, absl::Time now) {
  const int64_t max_until_ms =
      ClockMs(now) + absl::ToInt64Milliseconds(options_.max_lease);
  lease_until_ms_ = std::max(lease_until_ms_, std::min(until_ms, max_until_ms));
}

absl::Duration CheckpointedWork(const std::string& checkpoint) {
  int64_t ms = 0;
  if (!absl::SimpleAtoi(checkpoint, &ms)) return absl::ZeroDuration();
  return absl::Milliseconds(ms);
}

absl::Duration SiteWorker::WorkDone(const Timing& timing,
                                    absl::Time now) const {
  const absl::Duration time_left = timing.done_at - now;
  const absl::Duration work = timing.plan.work - timing.plan.restore_time;
  return timing.plan.done + std::max(absl::ZeroDuration(), work - time_left);
}

std::string SiteWorker::Checkpoint(const Timing& timing, absl::Time now) const {
  if (!timing.plan.writes_checkpoints) return "";
  return absl::StrCat(absl::ToInt64Milliseconds(WorkDone(timing, now)));
}

int32_t SiteWorker::ProgressPercent(const Timing& timing,
                                    absl::Time now) const {
  const absl::Duration total_work =
      timing.plan.done + timing.plan.work - timing.plan.restore_time;
  if (total_work <= absl::ZeroDuration()) return 0;
  return static_cast<int32_t>(
      100 * absl::FDivDuration(WorkDone(timing, now), total_work));
}

void SiteWorker::End(const RunKey& key, RunEnd end, absl::Time now) {
  const auto it = running_.find(key);
  if (it == running_.end()) return;
  SiteRun run = it->second;
  const std::string checkpoint = Checkpoint(timing_[key], now);
  running_.erase(it);
  timing_.erase(key);
  run.ended = now;
  run.end = end;
  int32_t& highest = highest_run_[key.first];
  highest = std::max(highest, key.second);
  ended_.push_back({next_end_++, key.first, key.second, end, checkpoint});
  journal_(run, false);
}

void SiteWorker::Advance(absl::Time now) {
  if (!alive_) return;
  std::vector<std::pair<RunKey, RunEnd>> due_ends;
  const bool lapsed = ClockMs(now) > lease_until_ms_;
  for (const auto& [key, timing] : timing_) {
    if (lapsed)
      due_ends.emplace_back(key, RunEnd::kLapsed);
    else if (timing.stop_at <= now)
      due_ends.emplace_back(key, RunEnd::kStopped);
    else if (timing.done_at <= now && timing.fails)
      due_ends.emplace_back(key, RunEnd::kFailed);
    else if (timing.done_at <= now && timing.gang == 0)
      due_ends.emplace_back(key, RunEnd::kDone);
  }
  for (const auto& [key, end] : due_ends) End(key, end, now);
}

void SiteWorker::CompleteGang(const TaskId& step, int32_t run, absl::Time now) {
  std::vector<RunKey> members;
  for (const auto& [key, run_record] : running_) {
    TaskId step_id = key.first;
    step_id.index = 0;
    if (step_id == step && key.second == run) members.push_back(key);
  }
  for (const RunKey& key : members) End(key, RunEnd::kDone, now);
}

void SiteWorker::BreakGang(const TaskId& step, int32_t run, absl::Time now) {
  std::vector<RunKey> members;
  for (const auto& [key, run_record] : running_) {
    TaskId step_id = key.first;
    step_id.index = 0;
    if (step_id == step && key.second == run) members.push_back(key);
  }
  for (const RunKey& key : members) End(key, RunEnd::kBroken, now);
}

void SiteWorker::Crash(absl::Time now) {
  while (!running_.empty()) {
    const RunKey key = running_.begin()->first;
    End(key, RunEnd::kLapsed, now);
  }
  ended_.clear();
  alive_ = false;
}

OrderReply SiteWorker::Start(const StartOrder& order, absl::Time now,
                             bool late) {
  Advance(now);
  OrderReply reply;
  reply.clock_ms = ClockMs(now);
  if (!AcceptFence(order.fence)) {
    reply.result = OrderResult::kFenced;
    return reply;
  }
  const RunKey key{order.task, order.run};
  if (running_.count(key) > 0) {
    reply.result = OrderResult::kDone;
    return reply;
  }
  const auto highest = highest_run_.find(order.task);
  if (highest != highest_run_.end() && order.run <= highest->second) {
    ExtendLease(order.lease_until_ms, now);
    reply.result = OrderResult::kOldRun;
    return reply;
  }
  if (order.lease_until_ms <= ClockMs(now)) {
    reply.result = OrderResult::kLate;
    return reply;
  }
  ExtendLease(order.lease_until_ms, now);
  const SiteRunPlan plan = plan_(order);
  SiteRun run;
  run.task = order.task;
  run.run = order.run;
  run.worker = options_.record.id;
  run.need = plan.need;
  run.began = now;
  run.late = late;
  running_[key] = run;
  timing_[key] = Timing{now + plan.work, plan, absl::InfiniteFuture(),
                        plan.fails, plan.gang};
  journal_(run, true);
  reply.result = OrderResult::kDone;
  return reply;
}

OrderReply SiteWorker::Stop(const StopOrder& order, absl::Time now) {
  Advance(now);
  OrderReply reply;
  reply.clock_ms = ClockMs(now);
  if (!AcceptFence(order.fence)) {
    reply.result = OrderResult::kFenced;
    return reply;
  }
  int32_t& highest = highest_run_[order.task];
  highest = std::max(highest, order.run);
  const auto it = timing_.find({order.task, order.run});
  if (it != timing_.end())
    it->second.stop_at = std::min(it->second.stop_at, now + options_.stop_time);
  reply.result = OrderResult::kDone;
  return reply;
}

ObserveReply SiteWorker::Observe(const ObserveOrder& order, absl::Time now) {
  Advance(now);
  ObserveReply reply;
  reply.order.clock_ms = ClockMs(now);
  if (!AcceptFence(order.fence)) {
    reply.order.result = OrderResult::kFenced;
    return reply;
  }
  reply.order.result = OrderResult::kDone;
  if (order.lease_until_ms > 0) ExtendLease(order.lease_until_ms, now);
  ended_.erase(std::remove_if(ended_.begin(), ended_.end(),
                              [&](const EndedTask& end) {
                                return end.number <= order.ends_acknowledged;
                              }),
               ended_.end());
  for (const auto& [key, run] : running_)
    reply.running.push_back({key.first, key.second,
                             Checkpoint(timing_[key], now),
                             ProgressPercent(timing_[key], now)});
  reply.ended = ended_;
  return reply;
}

}  // namespace keelbridge::testing
