#include "keelbridge/coordination/leadership.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace keelbridge {
namespace {

// Minimum delay before a refused hold is requested again.
constexpr absl::Duration kMinRetryDelay = absl::Milliseconds(30);

}  // namespace

Leadership::Leadership(Options options, uint64_t seed)
    : options_(std::move(options)), random_(seed) {}

void Leadership::SetWorkers(const std::vector<std::string>& names) {
  std::map<std::string, Vote> votes;
  for (const std::string& name : names) {
    const auto it = votes_.find(name);
    votes[name] = it == votes_.end() ? Vote() : it->second;
  }
  votes_ = std::move(votes);
}

absl::Duration Leadership::Jitter(double min_fraction, double max_fraction) {
  return options_.hold_ttl * std::uniform_real_distribution<double>(
                                 min_fraction, max_fraction)(random_);
}

std::vector<HoldOrder> Leadership::OrdersToAll(HoldMode mode) const {
  std::vector<HoldOrder> out;
  for (const auto& [name, vote] : votes_) out.push_back({name, mode, epoch_});
  return out;
}

std::vector<HoldOrder> Leadership::Tick(Now clocks) {
  if (votes_.empty()) return {};
  const absl::Time now = clocks.mono;
  switch (role_) {
    case Role::kStandby: {
      if (now < next_poll_) return {};
      next_poll_ = now + options_.poll_interval;
      const auto index =
          std::uniform_int_distribution<size_t>(0, votes_.size() - 1)(random_);
      return {{std::next(votes_.begin(), static_cast<ptrdiff_t>(index))->first,
               HoldMode::kQuery, 0}};
    }
    case Role::kQuerying:
      if (FreeVotes() >= Majority()) {
        StartCampaign(clocks);
        return OrdersToAll(HoldMode::kAcquire);
      }
      if (now >= campaign_ends_) BecomeStandby(now + Jitter(0.1, 0.5));
      return std::exchange(query_all_, false) ? OrdersToAll(HoldMode::kQuery)
                                              : std::vector<HoldOrder>();
    case Role::kCandidate:
      if (saw_higher_epoch_) {
        StartCampaign(clocks);
        return OrdersToAll(HoldMode::kAcquire);
      }
      // Workers that are held by another scheduler are asked again when that
      // hold expires.
      if (now < campaign_ends_) return DueRenewals(now);
      return Resign(now, Jitter(0.1, 0.6));
    case Role::kLeader:
      UpdateLeadership(now);
      if (now >= leads_until_) {
        BecomeStandby(now + Jitter(0.1, 0.5));
        return {};
      }
      if (saw_higher_epoch_) {
        // This scheduler still has the holds, so no other can win in between.
        StartCampaign(clocks);
        return OrdersToAll(HoldMode::kAcquire);
      }
      return DueRenewals(now);
  }
  return {};
}

std::vector<HoldOrder> Leadership::DueRenewals(absl::Time now) {
  std::vector<HoldOrder> out;
  for (auto& [name, vote] : votes_) {
    if (now < vote.next_renewal) continue;
    vote.next_renewal = now + options_.renew_interval;
    out.push_back({name, HoldMode::kAcquire, epoch_});
  }
  return out;
}

void Leadership::BecomeStandby(absl::Time until) {
  role_ = Role::kStandby;
  leads_until_ = absl::InfinitePast();
  next_poll_ = until;
  for (auto& [name, vote] : votes_) vote = Vote();
}

std::vector<HoldOrder> Leadership::Resign(absl::Time now,
                                          absl::Duration stay_out) {
  std::vector<HoldOrder> out;
  if (role_ == Role::kLeader || role_ == Role::kCandidate)
    out = OrdersToAll(HoldMode::kRelease);
  BecomeStandby(now + stay_out);
  return out;
}

void Leadership::OnQueryReply(Vote& vote, const HoldReply& reply,
                              absl::Time now) {
  // A worker that restarted recently may have granted a hold that it has
  // forgotten.
  vote.free = reply.hold_remaining <= absl::ZeroDuration() &&
              reply.uptime >= options_.hold_ttl + options_.margin;
  if (role_ == Role::kStandby) {
    if (!vote.free) {
      next_poll_ = now + std::min(options_.poll_interval,
                                  reply.hold_remaining + Jitter(0.01, 0.05));
      return;
    }
    role_ = Role::kQuerying;
    campaign_ends_ = now + options_.query_timeout;
    query_all_ = true;
  }
}

size_t Leadership::FreeVotes() const {
  return static_cast<size_t>(
      std::count_if(votes_.begin(), votes_.end(),
                    [](const auto& entry) { return entry.second.free; }));
}

void Leadership::StartCampaign(Now now) {
  role_ = Role::kCandidate;
  saw_higher_epoch_ = false;
  epoch_ = std::max(highest_seen_ + 1, absl::ToUnixSeconds(now.wall));
  campaign_ends_ = now.mono + options_.hold_ttl;
  for (auto& [name, vote] : votes_)
    vote.next_renewal = now.mono + options_.renew_interval;
}

void Leadership::OnReply(const std::string& worker, HoldMode mode,
                         int64_t epoch, absl::Time sent_at,
                         const std::optional<HoldReply>& reply,
                         absl::Time now) {
  const auto it = votes_.find(worker);
  if (it == votes_.end() || !reply) return;
  highest_seen_ = std::max(highest_seen_, reply->epoch);
  if (mode == HoldMode::kQuery) return OnQueryReply(it->second, *reply, now);
  if (mode != HoldMode::kAcquire || epoch != epoch_) return;
  if (role_ != Role::kCandidate && role_ != Role::kLeader) return;
  if (!reply->granted) {
    it->second.held_until = absl::InfinitePast();
    it->second.next_renewal =
        now + std::max(reply->hold_remaining, kMinRetryDelay);
    // A failed campaign left a higher epoch on this worker, which will reject
    // all orders with the current epoch.
    saw_higher_epoch_ = saw_higher_epoch_ || reply->epoch > epoch_;
  } else if (reply->uptime >= options_.hold_ttl + options_.margin) {
    it->second.held_until =
        std::max(it->second.held_until, sent_at + options_.hold_ttl);
  }
  UpdateLeadership(now);
}

void Leadership::UpdateLeadership(absl::Time now) {
  if (votes_.empty()) {
    leads_until_ = absl::InfinitePast();
    return;
  }
  std::vector<absl::Time> ends;
  ends.reserve(votes_.size());
  for (const auto& [name, vote] : votes_) ends.push_back(vote.held_until);
  const auto nth = ends.begin() + static_cast<ptrdiff_t>(Majority() - 1);
  std::nth_element(ends.begin(), nth, ends.end(), std::greater<>());
  const absl::Time until =
      *nth == absl::InfinitePast() ? *nth : *nth - options_.margin;
  if (role_ == Role::kCandidate && now < until) {
    role_ = Role::kLeader;
    won_at_ = now;
    leads_until_ = until;
  } else if (role_ == Role::kLeader) {
    leads_until_ = until;
  }
}

}  // namespace keelbridge
