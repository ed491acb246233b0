// Remembers what each client account lately asked for and received, and
// compares it with what the account is entitled to.
//
// It answers a load in which accounts differ in kind: what a small account with
// a few large gangs has running at one moment says nothing about its share, and
// neither does that of an account whose burst is over while its backlog
// remains. An account is entitled to a part of what all accounts received, in
// proportion to its weight among those that asked lately. What it has is
// measured by its dominant resource: one unit is the whole site for a second.
//
// The class is pure: it performs no I/O and reads no clock. It holds an entry
// only for accounts that asked or received something within some half-lives.
//
//   AccountHistory history;
//   history.OnSubmitted(account, work, now);
//   history.OnTime(usage, capacity, now);  // At least every second.
//   if (history.Surplus(account) > 0) Serve(others_first);

#ifndef KEELBRIDGE_ACCOUNTS_ACCOUNT_HISTORY_H_
#define KEELBRIDGE_ACCOUNTS_ACCOUNT_HISTORY_H_

#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "keelbridge/accounts/account_usage.h"
#include "keelbridge/accounts/decayed_sum.h"
#include "keelbridge/protocol/job.h"

namespace keelbridge {

// Returns the dominant share of `part` in a whole site.
double DominantShareOf(const ResourceTotals& part, const ResourceTotals& whole);
// Returns the work of a job by its client's estimates, in seconds of the whole
// site. 0 if the capacity is not known yet.
double EstimatedWork(const JobSpec& spec, const ResourceTotals& capacity);
double EstimatedWork(const StepSpec& step, const ResourceTotals& capacity);

class AccountHistory {
 public:
  // The recent past of one account, as shares of the site (1: all of it).
  struct Figures {
    double asked = 0;     // The work of submitted jobs per second.
    double received = 0;  // What it had running, in the mean.
    // What it is entitled to of what all accounts received.
    double entitled = 0;
    double jobs_per_second = 0;
  };
  // How fast the past loses weight: bursts of some seconds stand out, and an
  // account that sends a gang every few seconds is measured by several of them.
  static constexpr absl::Duration kHalfLife = absl::Seconds(10);

  // Records a submitted job of this work (see `EstimatedWork`).
  void OnSubmitted(AccountId account, double work, absl::Time now);
  // Counts what accounts have running for the time since the previous call.
  // Calls in quick succession are taken together. Drops accounts that have
  // decayed to nothing.
  void OnTime(const AccountUsage& usage, const ResourceTotals& capacity,
              absl::Time now);
  // Takes over changed weights. Also part of `OnTime`.
  void UpdateWeights(const AccountUsage& usage);
  // Takes over what an earlier leader knows of an account, where that is more
  // than is known already.
  void Restore(AccountId account, double asked, double received, double jobs,
               absl::Time now);
  // Sums of the window, for another leader.
  struct Sums {
    double asked = 0;
    double received = 0;
    double jobs = 0;
  };
  Sums SumsOf(AccountId account) const;

  // The figures as of the latest `OnTime`. All are 0 for an unknown account.
  Figures FiguresOf(AccountId account) const;
  // Returns how much more of the site the account received than it is entitled
  // to; negative if it received less.
  double Surplus(AccountId account) const;
  // Returns the part of the account's weight in the weights of all accounts
  // that lately asked for something, itself included: 0 to 1. 0 for an account
  // without a weight, unless no other asks.
  double PartOf(AccountId account, const AccountUsage& usage) const;
  // Returns the work that all other accounts asked for per second.
  double AskedByOthers(AccountId account) const;
  size_t size() const { return accounts_.size(); }

 private:
  struct Account {
    DecayedSum asked{kHalfLife};
    DecayedSum received{kHalfLife};
    DecayedSum jobs{kHalfLife};
    // As of the latest `UpdateWeights`. 0 if the account asked for nothing
    // lately.
    double weight = 0;
  };

  void Begin(absl::Time now);
  void DropIdle(absl::Time now);

  absl::flat_hash_map<AccountId, Account> accounts_;
  absl::Time began_ = absl::InfiniteFuture();
  absl::Time counted_ = absl::InfinitePast();
  double total_weight_ = 0;
  double total_received_ = 0;  // Per second.
  double total_asked_ = 0;     // Per second.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_ACCOUNTS_ACCOUNT_HISTORY_H_
