// Tells refused clients when to return, and remembers when they first tried.
//
// It answers an overload in which refused clients return all at once, and in
// which those that tried first have no better chance than newcomers. The
// returns are spread over the coming seconds, so that the work promised to a
// second does not exceed what the site does in it. Work promised to seconds
// before the latest start of a newcomer counts as ahead of it, so the promise
// is kept in the order of first tries: a later try is given a later second, or
// none. It counts by the share of clients that did return, since a site that
// waits for clients that went elsewhere would idle.
//
// A client is told to return within 1 to 5 whole seconds: `Retry-After` has no
// fractions, and what the site does later cannot be foreseen. If these seconds
// are full, or the result would have no value by then, it is told the longest
// time and promised nothing. Its first try is still remembered.
//
// The class is pure and bounded. A leader that dies loses its entries: the
// clients are then newcomers again.
//
//   ReturnSchedule returns(ReturnSchedule::Options{});
//   const auto answer = returns.Refuse(id, wish, now);
//   SetRetryAfter(answer.retry_after);
//   // When the client is back:
//   const absl::Duration age = returns.AgeOf(id, now);
//   const bool kept = returns.OnAccepted(id, now);

#ifndef KEELBRIDGE_OVERLOAD_RETURN_SCHEDULE_H_
#define KEELBRIDGE_OVERLOAD_RETURN_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/leader_handover.h"

namespace keelbridge {

class ReturnSchedule {
 public:
  struct Options {
    size_t max_entries = 100000;  // Refused clients that are remembered.
    int64_t min_seconds = 1;
    int64_t max_seconds = 5;
    // How long after its second a client is still expected.
    absl::Duration keep = absl::Seconds(5);
    // A return up to this long after its second still counts as promised,
    // because clients add jitter.
    absl::Duration grace = absl::Seconds(1);
  };
  // What a refused client asks for.
  struct Wish {
    int32_t priority = 0;
    double work = 0;  // In thousandths of a processor times seconds.
    // The earliest and the latest time until its return that are of use. No
    // return is promised if the earliest is later.
    absl::Duration earliest;
    absl::Duration latest;
    // The work that the site does for it in a second. 0: nothing can be
    // promised.
    double rate = 0;
  };
  struct Answer {
    absl::Duration retry_after;  // In whole seconds.
    bool promised = false;
  };

  explicit ReturnSchedule(Options options) : options_(options) {}

  // Records the refusal of a job and promises a time if there is one. A client
  // that returned before its time keeps its promise.
  Answer Refuse(JobId id, const Wish& wish, Now now);
  // Forgets clients that are overdue by more than `keep`.
  void ForgetOverdue(absl::Time now);
  // Returns the time since the job was first tried, 0 for a newcomer.
  absl::Duration AgeOf(JobId id, absl::Time now) const;
  // Returns whether the client returns when it was told to.
  bool ReturnsAsPromised(JobId id, absl::Time now) const;
  // Forgets the job, which was accepted. Returns whether that keeps a promise.
  bool OnAccepted(JobId id, absl::Time now);
  // Returns the work that clients of this and more urgent priorities are
  // expected to bring, as promised, from the current second to that of `until`.
  double PromisedUntil(int32_t priority, absl::Time now,
                       absl::Time until) const;
  // Returns the share of the promised work that was brought, smoothed.
  double return_share() const { return return_share_; }
  size_t size() const { return entries_.size(); }

  // The entries with the latest first tries, for the next leader.
  std::vector<ReturnHandover> Export(size_t max_entries) const;
  // Adds the entries of an earlier leader. Known jobs keep their entries.
  void Import(const std::vector<ReturnHandover>& entries, Now now);

 private:
  struct Entry {
    absl::Time first_try;
    absl::Time due;  // When the client was told to return.
    double work = 0;
    int32_t priority = 0;
    bool promised = false;
  };
  // A second of the monotonic clock.
  struct Second {
    std::map<int32_t, double> promised;  // By priority.
    double total = 0;         // Of `promised`: what has not returned yet.
    double given = 0;         // All that was promised.
    std::vector<JobId> jobs;  // Told to return then. May be outdated.
  };

  static int64_t SecondOf(absl::Time time) { return absl::ToUnixSeconds(time); }
  // Returns the least number of seconds after which a return is of use.
  int64_t FirstSecond(const Wish& wish) const;
  // Returns the seconds until the earliest one that has room, or 0.
  int64_t FindSecond(const Wish& wish, absl::Time now) const;
  void Insert(JobId id, const Entry& entry);
  // Withdraws what was promised, because the client has returned.
  void Withdraw(Entry& entry);
  void CountReturns(const Second& second);

  const Options options_;
  absl::flat_hash_map<JobId, Entry> entries_;
  std::map<int64_t, Second> seconds_;
  // Half of the clients are expected as long as nothing is known of them.
  double return_share_ = 0.5;
  // What the wall clock is ahead of the monotonic clock.
  absl::Duration wall_offset_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_OVERLOAD_RETURN_SCHEDULE_H_
