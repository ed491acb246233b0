// Estimates how long new work of a client account waits for the account's own
// maximum.
//
// It answers a load in which one account sends more than its maximum allows to
// run: however much of the site is free, its backlog shrinks no faster than the
// maximum permits. A job that would wait for too long is better refused when it
// arrives.
//
// The class is pure. Only tasks that are worth running in time are added.
//
//   AccountBacklog backlog;
//   backlog.Clear();
//   backlog.Add(account, priority, need, tasks, estimate);  // Each step.
//   absl::Duration wait = backlog.MinWait(account, priority, maximum);

#ifndef KEELBRIDGE_ACCOUNTS_ACCOUNT_BACKLOG_H_
#define KEELBRIDGE_ACCOUNTS_ACCOUNT_BACKLOG_H_

#include <cstdint>
#include <map>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "keelbridge/accounts/account_usage.h"
#include "keelbridge/protocol/resources.h"

namespace keelbridge {

class AccountBacklog {
 public:
  void Clear() { work_.clear(); }
  // Adds waiting tasks that are estimated to run for `estimate` each.
  void Add(AccountId account, int32_t priority, const Resources& need,
           int64_t tasks, absl::Duration estimate);
  // Returns the least time until all waiting tasks of the account with this or
  // a more urgent priority have run, if never more than `maximum` runs at a
  // time. Lower priority numbers are more urgent.
  absl::Duration MinWait(AccountId account, int32_t priority,
                         const Resources& maximum) const;

 private:
  // Amounts of resources, each multiplied by the seconds of its use.
  struct Work {
    double cpu_milli = 0;
    double memory_mib = 0;
    double accelerators = 0;
  };
  absl::flat_hash_map<AccountId, std::map<int32_t, Work>> work_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_ACCOUNTS_ACCOUNT_BACKLOG_H_
