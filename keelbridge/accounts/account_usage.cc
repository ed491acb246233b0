#include "keelbridge/accounts/account_usage.h"

#include <algorithm>
#include <utility>

namespace keelbridge {
namespace {

// Returns how many tasks of `need` fit below `maximum` with `used` running.
int64_t CountFitsIn(int64_t need, int64_t used, int64_t maximum,
                    int64_t wanted) {
  if (maximum <= 0 || need <= 0) return wanted;
  return std::clamp<int64_t>((maximum - used) / need, 0, wanted);
}

double Share(int64_t part, int64_t whole) {
  if (whole <= 0) return 0;
  return static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

ResourceTotals& ResourceTotals::operator+=(const Resources& other) {
  cpu_milli += other.cpu_milli;
  memory_mib += other.memory_mib;
  accelerators += other.accelerators;
  return *this;
}

ResourceTotals& ResourceTotals::operator+=(const ResourceTotals& other) {
  cpu_milli += other.cpu_milli;
  memory_mib += other.memory_mib;
  accelerators += other.accelerators;
  return *this;
}

ResourceTotals& ResourceTotals::operator-=(const Resources& other) {
  cpu_milli -= other.cpu_milli;
  memory_mib -= other.memory_mib;
  accelerators -= other.accelerators;
  return *this;
}

AccountUsage::AccountUsage() : accounts_(1) { ids_.emplace("", kNoAccount); }

void AccountUsage::SetAccounts(const std::vector<ClientAccount>& accounts) {
  for (const ClientAccount& configured : accounts) {
    Account& account = Find(IdOf(configured.name));
    account.weight = std::max(configured.weight, kMinAccountWeight);
    account.maximum = configured.maximum;
  }
}

AccountId AccountUsage::IdOf(const std::string& name) {
  const auto [it, inserted] = ids_.try_emplace(name, size());
  if (inserted) {
    accounts_.emplace_back();
    accounts_.back().name = name;
  }
  return it->second;
}

AccountId AccountUsage::FindId(const std::string& name) const {
  const auto found = ids_.find(name);
  return found == ids_.end() ? kNoAccount : found->second;
}

void AccountUsage::ClearPossible() {
  for (Account& account : accounts_) {
    account.unobserved = ResourceTotals();
    account.unanswered = ResourceTotals();
  }
}

void AccountUsage::LimitUnobserved(const ResourceTotals& limit) {
  for (Account& account : accounts_) {
    ResourceTotals& unobserved = account.unobserved;
    unobserved.cpu_milli = std::min(unobserved.cpu_milli, limit.cpu_milli);
    unobserved.memory_mib = std::min(unobserved.memory_mib, limit.memory_mib);
    unobserved.accelerators =
        std::min(unobserved.accelerators, limit.accelerators);
  }
}

void AccountUsage::ClearWaiting() {
  for (Account& account : accounts_) account.waiting = 0;
}

std::vector<AccountUsage::Figures> AccountUsage::LargestAccounts(
    size_t max_accounts) const {
  std::vector<Figures> out;
  for (AccountId id = kNoAccount + 1; id < size(); ++id) {
    const Account& account = Find(id);
    out.push_back(
        {account.name, account.running.cpu_milli, account.waiting, id});
  }
  std::sort(out.begin(), out.end(), [](const Figures& a, const Figures& b) {
    return std::make_pair(-a.cpu_milli_running, a.account) <
           std::make_pair(-b.cpu_milli_running, b.account);
  });
  if (out.size() > max_accounts) out.resize(max_accounts);
  return out;
}

int32_t AccountUsage::CountFits(AccountId id, const Resources& need,
                                int32_t wanted) const {
  if (id == kNoAccount) return wanted;
  const Account& account = Find(id);
  ResourceTotals used = account.running;
  used += account.unobserved;
  used += account.unanswered;
  int64_t fits = wanted;
  fits = CountFitsIn(need.cpu_milli, used.cpu_milli, account.maximum.cpu_milli,
                     fits);
  fits = CountFitsIn(need.memory_mib, used.memory_mib,
                     account.maximum.memory_mib, fits);
  fits = CountFitsIn(need.accelerators, used.accelerators,
                     account.maximum.accelerators, fits);
  return static_cast<int32_t>(fits);
}

bool AccountUsage::FitsMaximum(AccountId id, const Resources& need,
                               int32_t tasks) const {
  if (id == kNoAccount) return true;
  const Resources& maximum = Find(id).maximum;
  return CountFitsIn(need.cpu_milli, 0, maximum.cpu_milli, tasks) == tasks &&
         CountFitsIn(need.memory_mib, 0, maximum.memory_mib, tasks) == tasks &&
         CountFitsIn(need.accelerators, 0, maximum.accelerators, tasks) ==
             tasks;
}

double AccountUsage::WeightedShare(AccountId id,
                                   const ResourceTotals& total) const {
  const Account& account = Find(id);
  const double share =
      std::max({Share(account.running.cpu_milli, total.cpu_milli),
                Share(account.running.memory_mib, total.memory_mib),
                Share(account.running.accelerators, total.accelerators)});
  return share / account.weight;
}

}  // namespace keelbridge
