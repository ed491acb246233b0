#include "keelbridge/coordination/freshness.h"

#include <algorithm>

namespace keelbridge {

void Freshness::OnConfirmed(absl::Time at) {
  confirmed_ = std::max(confirmed_, at);
}

bool Freshness::AskDue(Role role, absl::Time now) {
  const absl::Duration after = role == Role::kSource
                                   ? options_.source_asks_after
                                   : options_.follower_asks_after;
  if (Age(now) < after) return false;
  if (now - asked_ < options_.ask_again) return false;
  asked_ = now;
  return true;
}

bool Freshness::MayDeny(absl::Time now) const {
  return Age(now) <= options_.deny_within;
}

}  // namespace keelbridge
