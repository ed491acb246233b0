#include "keelbridge/coordination/freshness.h"

#include <algorithm>

namespace keelbridge {

void Freshness::OnConfirmed(absl::Time at) {
  confirmed_ = std::max(confirmed_, at);
}

bool Freshness::RefreshDue(Role role, absl::Time now) const {
  return Age(now) >= (role == Role::kLeader ? options_.leader_refresh_after
                                            : options_.follower_refresh_after);
}

bool Freshness::MayDeny(absl::Time now) const {
  return Age(now) <= options_.max_age_for_denial;
}

}  // namespace keelbridge
