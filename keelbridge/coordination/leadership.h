// Who decides in a zone: leadership leased from a majority of the zone's
// workers.
//
// A scheduler leads while it holds the hold (see `worker_messages.h`) of more
// than half of the zone's workers. A second holder cannot get a majority before
// the first one's holds lapse, so there is at most one leader, and it needs no
// log and no service of ours. The epoch is more than the highest that a
// majority has seen, and at least the wall clock in seconds, so that it also
// grows when workers restart and forget it. The same message that renews the
// leadership seals the worker and renews the task leases on it.
//
// A hold counts from when its request was *sent* and only from a worker that
// has been up for longer than a hold lasts, because a worker that restarts
// forgets what it promised.
//
//   Leadership leadership(options, seed);
//   leadership.SetWorkers(names, now);
//   for (const HoldOrder& order : leadership.Tick(now)) Send(order);   //
//   now.mono below leadership.OnReply(worker, sent_at, reply, now); if
//   (leadership.Leads(now)) ...

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

// A hold message to send now.
struct HoldOrder {
  std::string worker;
  HoldMode mode = HoldMode::kQuery;
  int64_t epoch = 0;
};

// Pure. Times are monotonic.
class Leadership {
 public:
  struct Options {
    std::string holder;  // Scheduler name and incarnation: another run is
                         // another holder.
    absl::Duration hold_ttl = absl::Seconds(3);
    absl::Duration renew_every = absl::Seconds(1);
    absl::Duration poll_every =
        absl::Milliseconds(750);  // A standby asks one worker this often.
    // How long a standby that found one worker free asks all the others.
    absl::Duration query_timeout = absl::Milliseconds(800);
    absl::Duration margin = absl::Milliseconds(
        150);  // For clock rates and for acting on the answer.
  };

  Leadership(Options options, uint64_t seed);

  // The zone's workers by the configuration in force.
  void SetWorkers(const std::vector<std::string>& names);
  // An epoch that is known from elsewhere (the log); ours will be higher.
  void RecordEpoch(int64_t epoch) {
    highest_seen_ = std::max(highest_seen_, epoch);
  }

  // The messages that are due.
  std::vector<HoldOrder> Tick(Now now);

  // `reply` is nothing when none came.
  void OnReply(const std::string& worker, HoldMode mode, int64_t epoch,
               absl::Time sent_at, const std::optional<HoldReply>& reply,
               absl::Time now);

  // Gives up leadership now and stays out of it for `stay_out`. Returns the
  // releases to send.
  std::vector<HoldOrder> Resign(absl::Time now, absl::Duration stay_out);

  bool Leads(absl::Time now) const {
    return role_ == Role::kLeader && now < leads_until_;
  }
  // When leadership ends unless it is renewed. Commands must not take effect
  // later.
  absl::Time leads_until() const { return leads_until_; }
  int64_t epoch() const { return epoch_; }
  // When the present leadership was won.
  absl::Time won_at() const { return won_at_; }

 private:
  enum class Role { kStandby, kQuerying, kCandidate, kLeader };
  struct Vote {
    absl::Time held_until = absl::InfinitePast();
    absl::Time next_renewal = absl::InfinitePast();
    bool free = false;  // As the last query of this campaign said.
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
  bool saw_higher_epoch_ =
      false;                // A worker has seen a higher epoch than ours.
  bool query_all_ = false;  // A broadcast of queries is due.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_LEADERSHIP_H_
