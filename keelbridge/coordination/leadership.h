// Elects the leading scheduler of a zone by leases on a majority of its
// workers.
//
// A scheduler leads while it has the hold (the leadership lease, see
// `worker_messages.h`) of more than half of the zone's workers. A second
// scheduler cannot get a majority before the holds of the first one expire, so
// there is at most one leader. The election depends on neither the log nor any
// other service of this system. A new epoch is higher than the highest that a
// majority has seen and at least the wall clock in seconds, so it also grows
// when workers restart and forget the last one. The message that renews the
// leadership also fences the commands of other schedulers, reads the worker's
// lease table and renews the task leases on the worker.
//
// A hold is counted from the time its request was sent, and only if the worker
// has been up for longer than a hold lasts, because a worker that restarts
// forgets the holds it granted.
//
//   Leadership leadership(options, seed);
//   leadership.SetWorkers(names);
//   for (const HoldOrder& order : leadership.Tick(now)) Send(order);
//   // For each reply:
//   leadership.OnReply(worker, mode, epoch, sent_at, reply, now.mono);
//   if (leadership.Leads(now.mono)) ...

#ifndef KEELBRIDGE_COORDINATION_LEADERSHIP_H_
#define KEELBRIDGE_COORDINATION_LEADERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/protocol/worker_messages.h"

namespace keelbridge {

// A hold request to send to `worker`.
struct HoldOrder {
  std::string worker;
  HoldMode mode = HoldMode::kQuery;
  int64_t epoch = 0;
};

// Performs no I/O and reads no clock. Times are monotonic.
class Leadership {
 public:
  struct Options {
    // Scheduler name and incarnation. A restarted scheduler is a different
    // holder.
    std::string holder;
    absl::Duration hold_ttl = absl::Seconds(3);
    absl::Duration renew_interval = absl::Seconds(1);
    // A standby queries one worker at this interval.
    absl::Duration poll_interval = absl::Milliseconds(750);
    // How long a standby that found one free worker queries all workers.
    absl::Duration query_timeout = absl::Milliseconds(800);
    // Covers differences in clock rate and the time taken to act on a reply.
    absl::Duration margin = absl::Milliseconds(150);
  };

  Leadership(Options options, uint64_t seed);

  // Sets the workers of the zone according to the configuration in force.
  void SetWorkers(const std::vector<std::string>& names);
  // Records an epoch that was learned from the log. Later epochs of this
  // scheduler are higher.
  void RecordEpoch(int64_t epoch) {
    highest_seen_ = std::max(highest_seen_, epoch);
  }

  // Returns the requests that are due.
  std::vector<HoldOrder> Tick(Now now);

  // Records the reply to a request; `reply` is nullopt if none arrived.
  void OnReply(const std::string& worker, HoldMode mode, int64_t epoch,
               absl::Time sent_at, const std::optional<HoldReply>& reply,
               absl::Time now);

  // Gives up leadership and does not campaign for `stay_out`. Returns the
  // release requests to send.
  std::vector<HoldOrder> Resign(absl::Time now, absl::Duration stay_out);

  bool Leads(absl::Time now) const {
    return role_ == Role::kLeader && now < leads_until_;
  }
  // Returns when leadership expires unless it is renewed. Commands must not
  // take effect after this time.
  absl::Time leads_until() const { return leads_until_; }
  int64_t epoch() const { return epoch_; }
  // Returns when the current leadership was won.
  absl::Time won_at() const { return won_at_; }

 private:
  enum class Role { kStandby, kQuerying, kCandidate, kLeader };
  struct Vote {
    absl::Time held_until = absl::InfinitePast();
    absl::Time next_renewal = absl::InfinitePast();
    bool free = false;  // As reported by the last query of this campaign.
  };

  size_t Majority() const { return votes_.size() / 2 + 1; }
  void UpdateLeadership(absl::Time now);
  void StartCampaign(Now now);
  void BecomeStandby(absl::Time until);
  absl::Duration Jitter(double min_fraction, double max_fraction);
  std::vector<HoldOrder> OrdersToAll(HoldMode mode) const;
  std::vector<HoldOrder> DueRenewals(absl::Time now);
  void OnQueryReply(Vote& vote, const HoldReply& reply, absl::Time now);
  size_t FreeVotes() const;

  const Options options_;
  std::mt19937_64 random_;
  Role role_ = Role::kStandby;
  std::map<std::string, Vote> votes_;
  int64_t highest_seen_ = 0;
  int64_t epoch_ = 0;
  absl::Time leads_until_ = absl::InfinitePast();
  absl::Time won_at_ = absl::InfinitePast();
  absl::Time next_poll_ = absl::InfinitePast();
  absl::Time campaign_ends_ = absl::InfinitePast();
  // A worker has seen a higher epoch than `epoch_`.
  bool saw_higher_epoch_ = false;
  bool query_all_ = false;  // A query must be sent to every worker.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_LEADERSHIP_H_
