// Decides which client accounts hold more than their share of a full site.
//
// It answers a load in which one account sends many times its usual: ordered by
// deadline alone, its tasks would delay everybody else's. An account is
// entitled to a part of the site in proportion to its weight among the accounts
// that have work. What it does not use is free for the others, so being over
// the share matters only where tasks of accounts within theirs wait.
//
// The class is pure: its input is what accounts have running and which of them
// wait, its output is a verdict for each account.
//
//   AccountShares shares;
//   shares.Update(usage, site_capacity, accounts_with_waiting_tasks);
//   if (shares.Exceeds(account)) PlaceLater(task);

#ifndef KEELBRIDGE_ACCOUNTS_ACCOUNT_SHARES_H_
#define KEELBRIDGE_ACCOUNTS_ACCOUNT_SHARES_H_

#include <vector>

#include "absl/container/flat_hash_set.h"
#include "keelbridge/accounts/account_usage.h"

namespace keelbridge {

class AccountShares {
 public:
  // Recomputes the verdicts. `capacity` is that of the whole site, and
  // `waiting` holds the accounts that have tasks to start.
  void Update(const AccountUsage& usage, const ResourceTotals& capacity,
              const absl::flat_hash_set<AccountId>& waiting);
  // Forgets all verdicts, so that no account exceeds its share.
  void Clear() { exceeds_.clear(); }
  // Returns whether the account had more running at the last update than it is
  // entitled to. False for `kNoAccount`.
  bool Exceeds(AccountId account) const;

 private:
  std::vector<bool> exceeds_;  // By account.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_ACCOUNTS_ACCOUNT_SHARES_H_
