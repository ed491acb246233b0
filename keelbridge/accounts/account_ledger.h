// What a scheduler knows of its client accounts: what each has running, which
// hold more than their share, and what waits. Where shares are kept over time
// (SchedulerPolicy::share_over_time), also what each lately sent and received.
//
//   AccountLedger accounts;
//   accounts.usage.SetAccounts(configuration.accounts);
//   absl::Duration wait = accounts.WaitForMaximum(spec, "agency-a", priority);

#ifndef KEELBRIDGE_ACCOUNTS_ACCOUNT_LEDGER_H_
#define KEELBRIDGE_ACCOUNTS_ACCOUNT_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "keelbridge/accounts/account_backlog.h"
#include "keelbridge/accounts/account_entitlement.h"
#include "keelbridge/accounts/account_history.h"
#include "keelbridge/accounts/account_shares.h"
#include "keelbridge/accounts/account_usage.h"
#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/leader_handover.h"
#include "keelbridge/state/job_table.h"

namespace keelbridge {

struct AccountLedger {
  AccountUsage usage;
  // As of the last placement pass.
  AccountShares shares;
  AccountBacklog backlog;

  // The following are used only where shares are kept over time.
  AccountHistory history;
  AccountEntitlement entitlement;
  // Of the whole site, as of the last placement pass.
  ResourceTotals capacity;
  // By account: work of timely excess steps that wait, in seconds of the whole
  // site, as of the last placement pass.
  absl::flat_hash_map<AccountId, double> excess_waiting;
  absl::Time last_pass = absl::InfinitePast();

  // Returns the least time for which a new job waits for the maximum of its
  // account, apart from the other accounts. Infinite if one of its steps could
  // not start even if the account had nothing else running.
  absl::Duration WaitForMaximum(const JobSpec& spec, AccountId account,
                                int32_t priority) const;

  // Counts a new job, and marks it if it is beyond what its account is entitled
  // to.
  void OnSubmitted(Job& job, absl::Time now);
  void OnEnded(const Job& job, absl::Time now);
  // Counts what the accounts have running on a site of this capacity. To be
  // called at each placement pass.
  void OnPlacementPass(const ResourceTotals& site_capacity, absl::Time now);
  // Counts a step whose excess tasks wait, after `OnPlacementPass`.
  void AddExcessWaiting(AccountId account, const StepSpec& step,
                        int32_t waiting);
  // Returns whether a new job of the account would be excess now, and how long
  // the account's excess would keep what the others leave of the site: zero if
  // the job would not be excess, and infinite if they leave nothing.
  struct ShareVerdict {
    bool exceeds = false;
    absl::Duration wait;
  };
  ShareVerdict JudgeShare(AccountId account, const JobSpec& spec) const;
  // Returns why a step waits that has found no capacity: because its account
  // exceeds its share over time, or else for the reason `otherwise`.
  static const char* WaitReason(const Job& job, bool exceeds_share,
                                const char* otherwise);

  // What an account has running and, where shares are kept over time, what it
  // lately asked for and received, as shares of the site.
  struct Figures {
    AccountUsage::Figures now;
    double asked_share = 0;
    double received_share = 0;
    int64_t excess_jobs = 0;  // Until the account is forgotten.
  };
  // Returns the figures of at most `max_accounts` accounts, those that run most
  // first.
  std::vector<Figures> LargestAccounts(size_t max_accounts) const;

  // Infers from the jobs of earlier leaders what the accounts sent, and how
  // fast the site did it. Without this, a new leader would take the first
  // account that sends something for the only one.
  void Rebuild(const JobTable& jobs, const ResourceTotals& site_capacity,
               absl::Time now);
  AccountsHandover Handover() const;
  void OnHandover(const AccountsHandover& handover, absl::Time now);
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_ACCOUNTS_ACCOUNT_LEDGER_H_
