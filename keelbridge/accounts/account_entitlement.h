// Decides, as a job arrives, whether it is beyond what its client account is
// entitled to send to a full site.
//
// It answers a load in which one account sends many times its usual for some
// seconds: its backlog outlasts the burst, so that what the account has running
// is not what delays the others. Of each account, jobs at the rate of its
// weight's part of what the site lately did are its usual work and keep their
// place, also within a burst. The others are excess, and wait behind the work
// of everybody else.
//
// Two token buckets per account measure jobs and work. A job is excess only if
// both are empty: many small jobs take little of a site, and a few large gangs
// are what a small account usually sends. However, an account that is far
// beyond its part of the work is excess whatever the number of its jobs.
// Excess jobs take no tokens, so that the usual work of an account is served
// again as soon as its burst is over.
//
// The class is pure: it performs no I/O and reads no clock.
//
//   AccountEntitlement entitlement;
//   entitlement.OnDone(work, now);  // A job of any account is done.
//   job.excess = entitlement.TakeJob(account, part_of_weights, work, now);

#ifndef KEELBRIDGE_ACCOUNTS_ACCOUNT_ENTITLEMENT_H_
#define KEELBRIDGE_ACCOUNTS_ACCOUNT_ENTITLEMENT_H_

#include <cstddef>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "keelbridge/accounts/account_usage.h"
#include "keelbridge/accounts/decayed_sum.h"

namespace keelbridge {

class AccountEntitlement {
 public:
  // What the site lately did for all accounts, per second.
  struct Service {
    double jobs = 0;
    double work = 0;  // By estimates; 1 is the whole site.
  };
  // The tokens of an account.
  struct Tokens {
    double jobs = 0;
    double work = 0;  // Negative: the account is beyond its part.
  };

  // Records that a job of an account is done. `work` is what was estimated for
  // it, so that wrong estimates count alike for what is sent and done.
  void OnDone(double work, absl::Time now);
  // Takes tokens for a new job. `part` is that of the account's weight in the
  // weights of all accounts that ask: 0 to 1. At 0 each job is excess. Returns
  // whether the job is excess.
  bool TakeJob(AccountId account, double part, double work, absl::Time now);
  // Returns whether a job of the account would be excess now.
  bool WouldExceed(AccountId account, double part, absl::Time now) const;
  // Forgets accounts that sent nothing for a minute; their buckets count as
  // full. To be called every few seconds.
  void DropIdle(absl::Time now);

  Service ServiceAt(absl::Time now) const;
  // Those of an account that sent nothing lately are more than its bucket
  // holds.
  Tokens TokensOf(AccountId account) const;
  int64_t excess_jobs(AccountId account) const;
  // Takes over what an earlier leader knows.
  void RestoreService(const Service& service, absl::Time now);
  void RestoreTokens(AccountId account, const Tokens& tokens, absl::Time now);
  size_t size() const { return accounts_.size(); }

 private:
  // The service is the larger of two means: the short one follows a load that
  // rises, and the long one lasts while the store or the leader is away and
  // nothing ends.
  static constexpr absl::Duration kShortHalfLife = absl::Seconds(5);
  static constexpr absl::Duration kLongHalfLife = absl::Seconds(40);

  struct Account {
    Tokens tokens;
    absl::Time filled = absl::InfinitePast();
    int64_t excess = 0;
  };
  // The tokens per second of an account, and what its buckets hold.
  struct Terms {
    Tokens rate;
    Tokens depth;
  };

  // Returns whether the tokens suffice for a job.
  static bool IsWithin(const Tokens& tokens);
  bool IsExcess(const Tokens& tokens, double part, absl::Time now) const;
  Terms TermsOf(double part, absl::Time now) const;
  static void Fill(Account& account, const Terms& terms, absl::Time now);

  DecayedSum jobs_short_{kShortHalfLife};
  DecayedSum jobs_long_{kLongHalfLife};
  DecayedSum work_short_{kShortHalfLife};
  DecayedSum work_long_{kLongHalfLife};
  absl::Time began_ = absl::InfiniteFuture();
  absl::flat_hash_map<AccountId, Account> accounts_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_ACCOUNTS_ACCOUNT_ENTITLEMENT_H_
