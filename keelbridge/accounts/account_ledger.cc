#include "keelbridge/accounts/account_ledger.h"

#include <algorithm>

namespace keelbridge {

absl::Duration AccountLedger::WaitForMaximum(const JobSpec& spec,
                                             AccountId account,
                                             int32_t priority) const {
  const bool fits = std::all_of(
      spec.steps.begin(), spec.steps.end(), [&](const StepSpec& step) {
        const int32_t together = step.gang ? step.count : 1;
        return usage.FitsMaximum(account, step.need, together);
      });
  if (!fits) return absl::InfiniteDuration();
  return backlog.MinWait(account, priority, usage.MaximumOf(account));
}

}  // namespace keelbridge
