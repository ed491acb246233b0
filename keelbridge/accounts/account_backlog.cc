#include "keelbridge/accounts/account_backlog.h"

#include <algorithm>

namespace keelbridge {
namespace {

double SecondsFor(double work, int32_t maximum) {
  return maximum <= 0 ? 0 : work / maximum;
}

}  // namespace

void AccountBacklog::Add(AccountId account, int32_t priority,
                         const Resources& need, int64_t tasks,
                         absl::Duration estimate) {
  if (account == kNoAccount) return;
  const double seconds =
      static_cast<double>(tasks) * absl::ToDoubleSeconds(estimate);
  Work& work = work_[account][priority];
  work.cpu_milli += need.cpu_milli * seconds;
  work.memory_mib += need.memory_mib * seconds;
  work.accelerators += need.accelerators * seconds;
}

absl::Duration AccountBacklog::MinWait(AccountId account, int32_t priority,
                                       const Resources& maximum) const {
  const auto found = work_.find(account);
  if (found == work_.end()) return absl::ZeroDuration();
  Work total;
  for (const auto& [its_priority, work] : found->second) {
    if (its_priority > priority) break;
    total.cpu_milli += work.cpu_milli;
    total.memory_mib += work.memory_mib;
    total.accelerators += work.accelerators;
  }
  return absl::Seconds(
      std::max({SecondsFor(total.cpu_milli, maximum.cpu_milli),
                SecondsFor(total.memory_mib, maximum.memory_mib),
                SecondsFor(total.accelerators, maximum.accelerators)}));
}

}  // namespace keelbridge
