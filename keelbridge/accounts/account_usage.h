// Counts what each client account has running and how much more it may start.
//
// An account's maximum must hold for what may run, not only for what is known
// to run: a start without an answer, a run on a silent worker, a run that is
// being stopped, and the runs that an earlier leader may have left behind all
// count. The owner reports each allocation when it is made and when it is
// certain that its run has ended, and, where runs may exist that it does not
// know of, an upper bound on them.
//
// A maximum that falls below what an account has running stops nothing; it only
// prevents further starts. An account that leaves the configuration keeps its
// last maximum and weight while its jobs last.
//
// The class is pure: it performs no I/O and reads no clock.
//
//   AccountUsage usage;
//   usage.SetAccounts(configuration.accounts);
//   const AccountId id = usage.IdOf("agency-a");
//   const int32_t tasks = usage.CountFits(id, need, 20);
//   usage.Add(id, need);     // An order to start a run is about to be sent.
//   usage.Remove(id, need);  // The run has ended.

#ifndef KEELBRIDGE_ACCOUNTS_ACCOUNT_USAGE_H_
#define KEELBRIDGE_ACCOUNTS_ACCOUNT_USAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "keelbridge/protocol/client_account.h"
#include "keelbridge/protocol/resources.h"

namespace keelbridge {

// Identifies an account within one `AccountUsage`.
using AccountId = int32_t;
// Stands for work without an account, which has no maximum.
constexpr AccountId kNoAccount = 0;
// The weight of an account whose configured weight is 0 or less than this: it
// yields to all others, but is not starved on a site that has room.
constexpr double kMinAccountWeight = 1e-3;

// Sums of resources over a site. `Resources` describes one worker or task and
// has narrower fields.
struct ResourceTotals {
  int64_t cpu_milli = 0;
  int64_t memory_mib = 0;
  int64_t accelerators = 0;

  ResourceTotals& operator+=(const Resources& other);
  ResourceTotals& operator+=(const ResourceTotals& other);
  ResourceTotals& operator-=(const Resources& other);
};

class AccountUsage {
 public:
  AccountUsage();

  // Sets the weights and maximums by the configuration in force.
  void SetAccounts(const std::vector<ClientAccount>& accounts);
  // Returns the id of the account `name`, which may be unknown to the
  // configuration. "" yields `kNoAccount`.
  AccountId IdOf(const std::string& name);
  // Like `IdOf`, but does not add the account. Returns `kNoAccount` if it is
  // unknown.
  AccountId FindId(const std::string& name) const;

  void Add(AccountId id, const Resources& need) { Find(id).running += need; }
  void Remove(AccountId id, const Resources& need) { Find(id).running -= need; }

  // Forgets the runs that may exist, which `AddUnobserved` and `AddUnanswered`
  // have added.
  void ClearPossible();
  // Adds `need` to what the account may have running unknown to the owner.
  void AddUnobserved(AccountId id, const Resources& need) {
    Find(id).unobserved += need;
  }
  // Adds `need` for a start whose order may still be carried out.
  void AddUnanswered(AccountId id, const Resources& need) {
    Find(id).unanswered += need;
  }
  // Limits what each account may have running unknown to the owner to `limit`,
  // for example to what all workers together can run on which there may be
  // unknown runs.
  void LimitUnobserved(const ResourceTotals& limit);

  // Counts the tasks that wait to start, for metrics.
  void ClearWaiting();
  void AddWaiting(AccountId id, int64_t tasks) { Find(id).waiting += tasks; }
  struct Figures {
    std::string account;
    int64_t cpu_milli_running = 0;
    int64_t tasks_waiting = 0;
    AccountId id = kNoAccount;
  };
  // Returns the figures of at most `max_accounts` accounts, those that run most
  // first.
  std::vector<Figures> LargestAccounts(size_t max_accounts) const;

  // Returns how many tasks with this need the account may start now, at most
  // `wanted`.
  int32_t CountFits(AccountId id, const Resources& need, int32_t wanted) const;
  // Returns whether the account could start `tasks` tasks of this need together
  // if it had nothing else running.
  bool FitsMaximum(AccountId id, const Resources& need, int32_t tasks) const;

  // Returns the account's weighted share: the largest of its shares of `total`
  // over the resources, divided by its weight.
  double WeightedShare(AccountId id, const ResourceTotals& total) const;

  const Resources& MaximumOf(AccountId id) const { return Find(id).maximum; }
  const std::string& NameOf(AccountId id) const { return Find(id).name; }
  double WeightOf(AccountId id) const { return Find(id).weight; }
  const ResourceTotals& Running(AccountId id) const { return Find(id).running; }
  // The number of accounts, including `kNoAccount`. Ids are below it.
  AccountId size() const { return static_cast<AccountId>(accounts_.size()); }

 private:
  struct Account {
    std::string name;
    double weight = 1;
    Resources maximum;
    ResourceTotals running;
    ResourceTotals unobserved;
    ResourceTotals unanswered;
    int64_t waiting = 0;  // Tasks.
  };
  Account& Find(AccountId id) { return accounts_[static_cast<size_t>(id)]; }
  const Account& Find(AccountId id) const {
    return accounts_[static_cast<size_t>(id)];
  }

  std::vector<Account> accounts_;  // By id.
  absl::flat_hash_map<std::string, AccountId> ids_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_ACCOUNTS_ACCOUNT_USAGE_H_
