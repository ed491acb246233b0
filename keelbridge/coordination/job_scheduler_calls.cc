// Matches answers to calls, and finds workers that are not called.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// A listed worker that was sent no observation for this long counts as
// unobserved. Several times the longest interval between two observations.
constexpr absl::Duration kUnobservedAfter = absl::Seconds(5);

}  // namespace

int64_t JobScheduler::OpenCall(OpenCalls& calls) {
  calls.Open(++last_call_);
  return last_call_;
}

void JobScheduler::SendStart(Worker& worker, StartAction action, Now now) {
  action.call = OpenCall(worker.orders);
  action.sent = now.mono;
  worker.start_window.OnSent(now.mono);
  actions_.push_back(std::move(action));
}

void JobScheduler::UpdateStartWindow(Worker& worker, const StartAction& action,
                                     OrderResult result, Now now) {
  switch (result) {
    case OrderResult::kNotSent:
      break;  // Nothing listens there, which says nothing of the pace.
    case OrderResult::kNotAttempted:
      ++figures_.starts_not_attempted;
      worker.start_window.OnUnanswered(action.sent, now.mono);
      break;
    case OrderResult::kUnknown:
    case OrderResult::kUnhealthy:
      worker.start_window.OnUnanswered(action.sent, now.mono);
      break;
    default: {
      const size_t in_flight = worker.orders.size() + 1;
      worker.start_window.OnAnswered(action.sent, now.mono - action.sent,
                                     action.order.timeout, in_flight, now.mono);
    }
  }
  if (std::exchange(worker.starts_held, false)) placement_wanted_ = true;
}

JobScheduler::Worker* JobScheduler::CloseCall(const std::string& worker_id,
                                              OpenCalls Worker::*calls,
                                              int64_t call, Now now) {
  const auto found = workers_.find(worker_id);
  if (found == workers_.end()) return nullptr;
  Worker* const worker = found->second.get();
  if ((worker->*calls).Close(call)) return worker;
  ++figures_.answers_ignored;
  if (const auto suppressed = ignored_answer_log_limiter_.Take(now.mono)) {
    LogDecision("answer_ignored",
                {{"worker", worker_id},
                 {"to", calls == &Worker::observations ? "observation"
                                                       : "start or stop"},
                 {"lines_left_out", absl::StrCat(*suppressed)}});
  }
  return nullptr;
}

bool JobScheduler::IsUnobserved(const Worker& worker, Now now) {
  return !worker.record_removed &&
         now.mono - worker.last_observation_sent > kUnobservedAfter;
}

void JobScheduler::CheckUnobserved(Worker& worker, Now now) {
  const bool was_unobserved = worker.unobserved;
  worker.unobserved = IsUnobserved(worker, now);
  if (!worker.unobserved) return;
  ++figures_.workers_unobserved;
  if (was_unobserved) return;
  const auto suppressed = unobserved_log_limiter_.Take(now.mono);
  if (!suppressed) return;
  const auto milliseconds = [](absl::Duration time) {
    return absl::StrCat(absl::ToInt64Milliseconds(time));
  };
  LogDecision(
      "worker_not_observed",
      {{"worker", worker.record.id},
       {"for_ms", milliseconds(now.mono - worker.last_observation_sent)},
       {"due_in_ms", milliseconds(std::max(worker.next_observe - now.mono,
                                           absl::ZeroDuration()))},
       {"in_flight", absl::StrCat(worker.observations.size())},
       {"failed", absl::StrCat(worker.failed_observations)},
       {"runs", absl::StrCat(worker.allocations.size())},
       {"lines_left_out", absl::StrCat(*suppressed)}},
      Severity::kWarning);
}

}  // namespace keelbridge
