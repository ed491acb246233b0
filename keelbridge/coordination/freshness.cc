#include "keelbridge/coordination/freshness.h"

#include <algorithm>

namespace keelbridge {

void Freshness::OnConfirmed(absl::Time at) {
  confirmed_ = std::max(confirmed_, at);
}

bool Freshness::AskDue(Role role, absl::Time now) const {
  return Age(now) >= (role == Role::kLeader ? options_.leader_asks_after
                                            : options_.follower_asks_after);
}

bool Freshness::MayDeny(absl::Time now) const {
  return Age(now) <= options_.deny_within;
}

}  // namespace keelbridge
