#include "keelbridge/overload/work_admission.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace keelbridge {
namespace {

// A returning client may use this share of the room that the uncertainty of its
// wait leaves. The rest is for clients that return before it.
constexpr double kShareOfRoom = 0.5;
constexpr absl::Duration kLateLogInterval = absl::Seconds(1);

absl::Duration SecondsOrInfinite(double seconds) {
  return seconds < 1e9 ? absl::Seconds(seconds) : absl::InfiniteDuration();
}

}  // namespace

void WorkAdmission::OnPlacementPass(const ServiceRate::Pass& pass,
                                    int64_t durable_batch, absl::Time now) {
  rate_.OnPlacementPass(pass, waiting_.timely, now);
  while (!accepted_.empty() && accepted_.front().batch <= durable_batch) {
    const Accepted& counted = accepted_.front();
    auto& sums = counted.late ? accepted_late_ : accepted_timely_;
    sums[counted.priority] -= counted.work;
    accepted_.pop_front();
  }
  if (!accepted_.empty()) return;
  // Removes what is left of the sums by rounding.
  accepted_timely_.clear();
  accepted_late_.clear();
}

WorkAmount WorkAdmission::UpTo(const std::map<int32_t, WorkAmount>& sums,
                               int32_t priority) {
  WorkAmount ahead;
  for (const auto& [other, work] : sums) {
    if (other <= priority) ahead += work;
  }
  return ahead;
}

absl::Duration WorkAdmission::TimeFor(const WorkAmount& ahead,
                                      double rate) const {
  const double for_work =
      ahead.cpu_milli_seconds <= 0 ? 0 : ahead.cpu_milli_seconds / rate;
  const double for_starts =
      static_cast<double>(ahead.tasks) / rate_.StartsPerSecond();
  return SecondsOrInfinite(std::max(for_work, for_starts));
}

WorkAdmission::Waits WorkAdmission::EstimateWaits(const Request& request,
                                                  absl::Duration age,
                                                  bool promised,
                                                  absl::Time now) const {
  const int32_t priority = request.rank.priority;
  const absl::Time latest_start = now + request.objective - request.chain - age;
  // A client that returns without a promise has no room reserved: if it went
  // ahead of what was accepted meanwhile, that would be late.
  const bool is_ordered = promised || age == absl::ZeroDuration();
  WorkAmount timely = waiting_.timely.Ahead(
      request.rank, is_ordered ? latest_start : absl::InfiniteFuture());
  timely += UpTo(accepted_timely_, priority);
  if (!promised)
    timely.cpu_milli_seconds +=
        returns_.PromisedUntil(priority, now, latest_start);
  timely.tasks += request.tasks;
  WorkAmount late = waiting_.late.Ahead(request.rank, latest_start);
  late += UpTo(accepted_late_, priority);
  WorkAmount own = waiting_.timely.UpTo(priority);
  own += waiting_.late.UpTo(priority);
  own += UpTo(accepted_timely_, priority);
  own += UpTo(accepted_late_, priority);
  // Late work gives way to timely work of all priorities.
  WorkAmount all = waiting_.timely.total();
  all += UpTo(accepted_timely_, std::numeric_limits<int32_t>::max());
  all += late;
  all.tasks += request.tasks;
  Waits waits;
  waits.timely = TimeFor(timely, rate_.LeftTo(priority, now));
  waits.own_priority = TimeFor(own, rate_.Of(priority));
  waits.late = TimeFor(all, rate_.LeftToLateWork(now));
  return waits;
}

bool WorkAdmission::IsInTime(absl::Duration wait, absl::Duration slack) const {
  const absl::Duration start_delay = std::min(wait, options_.start_delay);
  return wait * options_.wait_uncertainty + start_delay <= slack;
}

Admission::Verdict WorkAdmission::Refuse(Admission::Verdict verdict,
                                         const char* reason) {
  verdict.accept = false;
  verdict.reason = reason;
  return verdict;
}

bool WorkAdmission::IsOverAccountMaximum(const Request& request,
                                         absl::Duration age) {
  return request.account_wait > absl::ZeroDuration() &&
         request.account_wait > request.worth - age;
}

Admission::Verdict WorkAdmission::Decide(const Request& request,
                                         absl::Duration age, bool promised,
                                         absl::Time now) const {
  Admission::Verdict verdict;
  verdict.age = age;
  verdict.backlog = waiting_.timely.total().tasks +
                    waiting_.late.total().tasks + waiting_.worthless.tasks;
  if (request.worth == absl::InfiniteDuration()) return verdict;
  const absl::Duration patience = request.worth - age;
  if (IsOverAccountMaximum(request, age)) {
    verdict.wait = request.account_wait;
    verdict.late_wait = request.account_wait;
    return Refuse(verdict,
                  "more of the account waits than its maximum can run in time");
  }
  if (!rate_.known()) return verdict;
  const Waits waits = EstimateWaits(request, age, promised, now);
  verdict.wait = waits.timely;
  verdict.late_wait = waits.late;
  const absl::Duration slack = request.objective - request.chain - age;
  if (IsInTime(waits.timely, slack)) return verdict;
  verdict.late =
      waits.late <= patience || waits.own_priority < options_.negligible_wait;
  if (verdict.late) return verdict;
  return Refuse(verdict, patience <= absl::ZeroDuration()
                             ? "its result would have no value any more"
                             : "more waits than can be done in time");
}

void WorkAdmission::CountAccepted(const Request& request, bool late,
                                  int64_t batch, absl::Time now) {
  const int32_t priority = request.rank.priority;
  accepted_.push_back({batch, priority, late, request.work});
  (late ? accepted_late_ : accepted_timely_)[priority] += request.work;
  if (late)
    ++late_to_log_;
  else
    rate_.OnArrival(priority, request.work.cpu_milli_seconds, now);
}

ReturnSchedule::Wish WorkAdmission::WishOf(const Request& request,
                                           const Admission::Verdict& verdict,
                                           absl::Time now) const {
  ReturnSchedule::Wish wish;
  wish.priority = request.rank.priority;
  wish.work = request.work.cpu_milli_seconds;
  const absl::Duration patience = request.worth - verdict.age;
  if (IsOverAccountMaximum(request, verdict.age)) {
    // The account's own runs decide when it is served, so nothing is promised.
    wish.earliest = request.account_wait - patience;
    return wish;
  }
  const absl::Duration slack = request.objective - request.chain - verdict.age;
  const absl::Duration start_delay =
      std::min(verdict.wait, options_.start_delay);
  const absl::Duration excess =
      verdict.wait * options_.wait_uncertainty + start_delay - slack;
  // Wait and slack shrink alike while the client is away, so only the
  // uncertainty of the wait makes up for the excess. Other clients that return
  // first go ahead of this one; they get half of that room.
  const double uncertainty = options_.wait_uncertainty;
  const absl::Duration in_time_from =
      excess / ((uncertainty - 1) * kShareOfRoom);
  const absl::Duration in_time_until = slack - options_.start_delay;
  if (in_time_from <= in_time_until &&
      in_time_from <= absl::Seconds(options_.returns.max_seconds)) {
    wish.earliest = in_time_from;
    wish.latest = in_time_until;
    wish.rate =
        rate_.LeftTo(wish.priority, now) * (1 - 1 / uncertainty) * kShareOfRoom;
    return wish;
  }
  wish.earliest = verdict.late_wait - patience;
  wish.latest = patience;
  wish.rate = rate_.LeftToLateWork(now);
  return wish;
}

Admission::Verdict WorkAdmission::Admit(JobId id, const Request& request,
                                        int64_t batch, Now now) {
  returns_.ForgetOverdue(now.mono);
  const absl::Duration age = returns_.AgeOf(id, now.mono);
  const bool promised = returns_.ReturnsAsPromised(id, now.mono);
  Admission::Verdict verdict = Decide(request, age, promised, now.mono);
  if (verdict.accept) {
    verdict.promise_kept = returns_.OnAccepted(id, now.mono);
    CountAccepted(request, verdict.late, batch, now.mono);
    return verdict;
  }
  const ReturnSchedule::Answer answer =
      returns_.Refuse(id, WishOf(request, verdict, now.mono), now);
  verdict.retry_after = answer.retry_after;
  verdict.return_promised = answer.promised;
  return verdict;
}

int64_t WorkAdmission::TakeLateCountToLog(absl::Time now) {
  if (late_to_log_ == 0 || now < next_late_log_) return 0;
  next_late_log_ = now + kLateLogInterval;
  return std::exchange(late_to_log_, 0);
}

}  // namespace keelbridge
