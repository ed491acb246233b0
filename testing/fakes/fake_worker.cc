#include "testing/fakes/fake_worker.h"

#include <algorithm>
#include <utility>

namespace keelbridge::testing {

FakeWorker::FakeWorker(Options options, uint64_t incarnation,
                       absl::Time started,
                       std::function<void(const RunEvent&)> journal)
    : options_(std::move(options)),
      journal_(std::move(journal)),
      incarnation_(incarnation),
      started_(started) {}

std::string FakeWorker::RefusalReason(const std::string& holder, int64_t epoch,
                                      int64_t not_after_ms, Now now,
                                      bool needs_hold) const {
  if (options_.check_not_after && ToMillis(now.wall) > not_after_ms)
    return "late";
  if (!options_.check_epoch) return "";
  if (epoch < epoch_) return "stale_epoch";
  const bool held = now.mono < hold_until_;
  if (held && holder != holder_) return "held";
  if (needs_hold && !held) return "held";
  return "";
}

std::vector<LeaseRow> FakeWorker::LeaseRows() const {
  std::vector<LeaseRow> rows;
  for (const auto& [attempt, row] : rows_) rows.push_back(row.row);
  return rows;
}

HoldReply FakeWorker::Hold(const HoldRequest& request, Now now) {
  Advance(now.mono);
  HoldReply reply;
  if (request.mode == HoldMode::kAcquire) {
    reply.refusal = RefusalReason(request.holder, request.epoch,
                                  request.not_after_ms, now, false);
    reply.granted = reply.refusal.empty();
    if (reply.granted) {
      holder_ = request.holder;
      epoch_ = std::max(epoch_, request.epoch);
      hold_until_ = now.mono + request.hold_ttl;
      for (auto& [attempt, row] : rows_)
        row.lapse_time = std::max(row.lapse_time, now.mono + request.lease_ttl);
      for (const int64_t attempt : request.acknowledged) {
        const auto it = rows_.find(attempt);
        if (it != rows_.end() && it->second.row.state != LeaseState::kRunning)
          rows_.erase(it);
      }
    }
  } else if (request.mode == HoldMode::kRelease && request.holder == holder_) {
    hold_until_ = now.mono;
  }
  reply.holder = holder_;
  reply.epoch = epoch_;
  reply.hold_remaining = std::max(absl::ZeroDuration(), hold_until_ - now.mono);
  reply.incarnation = incarnation_;
  reply.uptime = now.mono - started_;
  const std::vector<LeaseRow> rows = LeaseRows();
  reply.digest = LeaseDigest(rows);
  reply.has_rows = reply.granted && reply.digest != request.known_digest;
  if (reply.has_rows) reply.rows = rows;
  return reply;
}

CommandReply FakeWorker::Start(const StartRequest& request, Now now) {
  Advance(now.mono);
  CommandReply reply;
  reply.refusal = RefusalReason(request.holder, request.epoch,
                                request.not_after_ms, now, true);
  if (rows_.count(request.attempt) > 0) reply.refusal = "duplicate";
  if (reply.refusal.empty() && options_.check_capacity &&
      !request.resources.FitsIn(options_.total - used_)) {
    reply.refusal = "capacity";
  }
  if (!reply.refusal.empty()) return reply;
  Row row;
  row.row = {request.task,         request.attempt,     request.resources,
             LeaseState::kRunning, request.progress_ms, ToMillis(now.wall),
             request.decision};
  row.began = now.mono;
  row.lapse_time = now.mono + request.lease_ttl;
  if (request.work > absl::ZeroDuration()) {
    row.finish_time =
        now.mono +
        std::max(absl::Milliseconds(1),
                 request.work - absl::Milliseconds(request.progress_ms));
  }
  rows_.emplace(request.attempt, std::move(row));
  used_ += request.resources;
  journal_({now.mono, options_.name, request.task, request.attempt, true,
            request.resources, ""});
  reply.done = true;
  return reply;
}

CommandReply FakeWorker::Stop(const StopRequest& request, Now now) {
  Advance(now.mono);
  CommandReply reply;
  reply.refusal = RefusalReason(request.holder, request.epoch,
                                request.not_after_ms, now, true);
  if (!reply.refusal.empty()) return reply;
  const auto it = rows_.find(request.attempt);
  if (it == rows_.end() || it->second.row.task != request.task) {
    reply.refusal = "unknown_task";
    return reply;
  }
  Row& row = it->second;
  reply.done = true;
  if (row.row.state == LeaseState::kRunning) {
    if (request.mode == StopMode::kCheckpoint) {
      row.checkpoint_done_time = std::min(row.checkpoint_done_time,
                                          now.mono + options_.checkpoint_time);
    } else if (request.mode == StopMode::kStop) {
      End(row, LeaseState::kStopped, "stopped", now.mono);
    }
  }
  reply.ended = row.row.state == LeaseState::kStopped ||
                row.row.state == LeaseState::kCheckpointed;
  reply.progress_ms = row.row.progress_ms;
  return reply;
}

void FakeWorker::End(Row& row, LeaseState state, const std::string& how,
                     absl::Time at) {
  row.row.state = state;
  if (state == LeaseState::kCheckpointed || state == LeaseState::kFinished) {
    row.row.progress_ms += absl::ToInt64Milliseconds(at - row.began);
  }
  used_ -= row.row.resources;
  journal_({at, options_.name, row.row.task, row.row.attempt, false,
            row.row.resources, how});
}

void FakeWorker::Advance(absl::Time mono) {
  for (auto it = rows_.begin(); it != rows_.end();) {
    Row& row = it->second;
    if (row.row.state != LeaseState::kRunning) {
      ++it;
      continue;
    }
    const absl::Time earliest =
        std::min({row.lapse_time, row.finish_time, row.checkpoint_done_time});
    if (earliest > mono) {
      ++it;
    } else if (earliest == row.lapse_time) {
      // A lapsed lease is removed entirely, so that no caller can rely on it.
      End(row, LeaseState::kStopped, "lapsed", earliest);
      it = rows_.erase(it);
    } else {
      const bool finished = earliest == row.finish_time;
      End(row, finished ? LeaseState::kFinished : LeaseState::kCheckpointed,
          finished ? "finished" : "checkpointed", earliest);
      ++it;
    }
  }
}

void FakeWorker::Restart(uint64_t incarnation, absl::Time now) {
  Advance(now);
  for (auto& [attempt, row] : rows_) {
    if (row.row.state == LeaseState::kRunning)
      End(row, LeaseState::kStopped, "killed", now);
  }
  rows_.clear();
  holder_.clear();
  epoch_ = 0;
  hold_until_ = absl::InfinitePast();
  incarnation_ = incarnation;
  started_ = now;
}

size_t FakeWorker::running() const {
  return static_cast<size_t>(
      std::count_if(rows_.begin(), rows_.end(), [](const auto& entry) {
        return entry.second.row.state == LeaseState::kRunning;
      }));
}

}  // namespace keelbridge::testing
