// What a scheduler knows of its client accounts: what each has running, which
// hold more than their share, and what waits.
//
//   AccountLedger accounts;
//   accounts.usage.SetAccounts(configuration.accounts);
//   absl::Duration wait = accounts.WaitForMaximum(spec, "agency-a", priority);

#ifndef KEELBRIDGE_ACCOUNTS_ACCOUNT_LEDGER_H_
#define KEELBRIDGE_ACCOUNTS_ACCOUNT_LEDGER_H_

#include <cstdint>

#include "absl/time/time.h"
#include "keelbridge/accounts/account_backlog.h"
#include "keelbridge/accounts/account_shares.h"
#include "keelbridge/accounts/account_usage.h"
#include "keelbridge/protocol/job.h"

namespace keelbridge {

struct AccountLedger {
  AccountUsage usage;
  // As of the last placement pass.
  AccountShares shares;
  AccountBacklog backlog;

  // Returns the least time for which a new job waits for the maximum of its
  // account, apart from the other accounts. Infinite if one of its steps could
  // not start even if the account had nothing else running.
  absl::Duration WaitForMaximum(const JobSpec& spec, AccountId account,
                                int32_t priority) const;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_ACCOUNTS_ACCOUNT_LEDGER_H_
