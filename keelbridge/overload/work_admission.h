// Decides whether a leader accepts a new job by the work ahead of it, and tells
// refused clients when to return.
//
// It answers a load several times what the site can process. Accepting all of
// it makes nearly everything late, since each job waits behind all earlier
// ones, and the late work then delays what comes after the overload. A job is
// therefore
//   - accepted in time, if the timely work ahead of it is done within its slack
//     (objective, less its chain of work, less its age since its first try);
//   - accepted as late, if all work ahead of it, late work included, is done
//     while the result still has a value; it then gives way to all work that
//     was accepted in time;
//   - refused otherwise, at once, so that its client can go elsewhere or
//   return.
// Nothing is refused while hardly anything of its priority waits.
//
// The wait is the longer of two: the work ahead by the rate at which the site
// does such work, and the tasks ahead by the rate at which it starts tasks.
// Late work gets only what the work accepted in time leaves. Work promised to
// returning clients is ahead of newcomers.
//
// The class is pure. It estimates from the last placement pass and from what it
// has accepted since.
//
//   WorkAdmission admission(WorkAdmission::Options{});
//   admission.OnPlacementPass(pass, durable_batch, now);  // At each pass.
//   const auto verdict = admission.Admit(id, request, batch, now);
//   if (!verdict.accept) RefuseFor(verdict.retry_after);

#ifndef KEELBRIDGE_OVERLOAD_WORK_ADMISSION_H_
#define KEELBRIDGE_OVERLOAD_WORK_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <map>

#include "absl/time/time.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/overload/admission.h"
#include "keelbridge/overload/return_schedule.h"
#include "keelbridge/overload/service_rate.h"
#include "keelbridge/overload/waiting_work.h"
#include "keelbridge/protocol/job.h"

namespace keelbridge {

class WorkAdmission {
 public:
  struct Options {
    ServiceRate::Options rate;
    ReturnSchedule::Options returns;
    // What the site does in this time is hardly anything.
    absl::Duration negligible_wait = absl::Milliseconds(500);
    // Added to the wait of a job that must wait, for the time until a placement
    // pass sees the job and its worker has the order.
    absl::Duration start_delay = absl::Milliseconds(100);
    // The estimated wait for timely work is off by up to this factor. Jobs that
    // just miss their objective have used the site for little.
    double wait_uncertainty = 1.2;
  };
  struct Request {
    WorkRank rank;
    WorkAmount work;    // Of the job.
    int64_t tasks = 0;  // That must start at once: those of its first step.
    absl::Duration objective;
    absl::Duration chain;  // The duration of its longest chain of steps.
    // How long its result has a value, from its first try. Infinite for a job
    // that waits for as long as necessary.
    absl::Duration worth;
    // The least time for which it waits for the maximum of its client account.
    absl::Duration account_wait;
  };
  // The waits of a job of age `age`.
  struct Waits {
    // For the timely work ahead of it.
    absl::Duration timely;
    // For this and the late work of its priority and more urgent ones.
    absl::Duration own_priority;
    // For all work ahead of a late job.
    absl::Duration late;
  };

  explicit WorkAdmission(Options options)
      : options_(options), rate_(options.rate), returns_(options.returns) {}

  // The state of the site, which the driver keeps up to date.
  WaitingWork& waiting() { return waiting_; }
  const WaitingWork& waiting() const { return waiting_; }
  ServiceRate& rate() { return rate_; }
  ReturnSchedule& returns() { return returns_; }
  const ReturnSchedule& returns() const { return returns_; }

  // Reports a placement pass, once `waiting()` is up to date. It counted all
  // jobs whose batch is at most `durable_batch`.
  void OnPlacementPass(const ServiceRate::Pass& pass, int64_t durable_batch,
                       absl::Time now);
  // Decides on a new job. If it is accepted, it counts as waiting from now on:
  // the caller submits it with the records of `batch`. If it is refused, its
  // client is told when to return.
  Admission::Verdict Admit(JobId id, const Request& request, int64_t batch,
                           Now now);
  // Decides on a job that was first tried `age` ago, without any effect.
  // `promised`: its client returns as it was told to.
  Admission::Verdict Decide(const Request& request, absl::Duration age,
                            bool promised, absl::Time now) const;
  Waits EstimateWaits(const Request& request, absl::Duration age, bool promised,
                      absl::Time now) const;
  // Returns how many jobs were accepted as late since the last call that
  // returned some, if that is at least a second ago. Otherwise 0.
  int64_t TakeLateCountToLog(absl::Time now);

 private:
  // A job that was accepted and that no placement pass has counted yet.
  struct Accepted {
    int64_t batch;
    int32_t priority;
    bool late;
    WorkAmount work;
  };

  static Admission::Verdict Refuse(Admission::Verdict verdict,
                                   const char* reason);
  // Returns the work of this and more urgent priorities.
  static WorkAmount UpTo(const std::map<int32_t, WorkAmount>& sums,
                         int32_t priority);
  absl::Duration TimeFor(const WorkAmount& ahead, double rate) const;
  bool IsInTime(absl::Duration wait, absl::Duration slack) const;
  void CountAccepted(const Request& request, bool late, int64_t batch,
                     absl::Time now);
  ReturnSchedule::Wish WishOf(const Request& request,
                              const Admission::Verdict& verdict,
                              absl::Time now) const;
  static bool IsOverAccountMaximum(const Request& request, absl::Duration age);

  const Options options_;
  WaitingWork waiting_;
  ServiceRate rate_;
  ReturnSchedule returns_;
  std::deque<Accepted> accepted_;  // In order of their batches.
  // By priority: sums over `accepted_`.
  std::map<int32_t, WorkAmount> accepted_timely_;
  std::map<int32_t, WorkAmount> accepted_late_;
  int64_t late_to_log_ = 0;
  absl::Time next_late_log_ = absl::InfinitePast();
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_OVERLOAD_WORK_ADMISSION_H_
