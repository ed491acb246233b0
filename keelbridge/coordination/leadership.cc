#include "keelbridge/coordination/leadership.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace keelbridge {
namespace {

// Between two requests for the same hold.
constexpr absl::Duration kSoonest = absl::Milliseconds(30);

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

absl::Duration Leadership::Jitter(double least, double most) {
  return options_.hold_ttl *
         std::uniform_real_distribution<double>(least, most)(random_);
}

std::vector<HoldOrder> Leadership::ToAll(HoldMode mode) const {
  std::vector<HoldOrder> out;
  for (const auto& [name, vote] : votes_) out.push_back({name, mode, epoch_});
  return out;
}

std::vector<HoldOrder> Leadership::Tick(Now both) {
  if (votes_.empty()) return {};
  const absl::Time now = both.mono;
  switch (role_) {
    case Role::kStandby: {
      if (now < next_poll_) return {};
      next_poll_ = now + options_.poll_every;
      const auto at =
          std::uniform_int_distribution<size_t>(0, votes_.size() - 1)(random_);
      return {{std::next(votes_.begin(), static_cast<ptrdiff_t>(at))->first,
               HoldMode::kQuery, 0}};
    }
    case Role::kAsking:
      if (FreeVotes() >= Majority()) {
        Campaign(both);
        return ToAll(HoldMode::kAcquire);
      }
      if (now >= campaign_ends_) StandBy(now + Jitter(0.1, 0.5));
      return std::exchange(ask_all_, false) ? ToAll(HoldMode::kQuery)
                                            : std::vector<HoldOrder>();
    case Role::kCandidate:
      if (overtaken_) {
        Campaign(both);
        return ToAll(HoldMode::kAcquire);
      }
      // Those that were held are asked again when that hold has lapsed.
      if (now < campaign_ends_) return Renewals(now);
      return Resign(now, Jitter(0.1, 0.6));
    case Role::kLeader:
      Recount(now);
      if (now >= leads_until_) {
        StandBy(now + Jitter(0.1, 0.5));
        return {};
      }
      if (overtaken_) {
        // The holds are still ours, so nobody can come between.
        Campaign(both);
        return ToAll(HoldMode::kAcquire);
      }
      return Renewals(now);
  }
  return {};
}

std::vector<HoldOrder> Leadership::Renewals(absl::Time now) {
  std::vector<HoldOrder> out;
  for (auto& [name, vote] : votes_) {
    if (now < vote.next_renewal) continue;
    vote.next_renewal = now + options_.renew_every;
    out.push_back({name, HoldMode::kAcquire, epoch_});
  }
  return out;
}

void Leadership::StandBy(absl::Time until) {
  role_ = Role::kStandby;
  leads_until_ = absl::InfinitePast();
  next_poll_ = until;
  for (auto& [name, vote] : votes_) vote = Vote();
}

std::vector<HoldOrder> Leadership::Resign(absl::Time now,
                                          absl::Duration stay_out) {
  std::vector<HoldOrder> out;
  if (role_ == Role::kLeader || role_ == Role::kCandidate)
    out = ToAll(HoldMode::kRelease);
  StandBy(now + stay_out);
  return out;
}

void Leadership::OnQueryReply(Vote& vote, const HoldReply& reply,
                              absl::Time now) {
  // A worker that restarted may have promised a hold that it no longer knows
  // of.
  vote.free = reply.hold_left <= absl::ZeroDuration() &&
              reply.up >= options_.hold_ttl + options_.margin;
  if (role_ == Role::kStandby) {
    if (!vote.free) {
      next_poll_ = now + std::min(options_.poll_every,
                                  reply.hold_left + Jitter(0.01, 0.05));
      return;
    }
    role_ = Role::kAsking;
    campaign_ends_ = now + options_.asking_timeout;
    ask_all_ = true;
  }
}

size_t Leadership::FreeVotes() const {
  return static_cast<size_t>(
      std::count_if(votes_.begin(), votes_.end(),
                    [](const auto& entry) { return entry.second.free; }));
}

void Leadership::Campaign(Now now) {
  role_ = Role::kCandidate;
  overtaken_ = false;
  epoch_ = std::max(highest_seen_ + 1, absl::ToUnixSeconds(now.wall));
  campaign_ends_ = now.mono + options_.hold_ttl;
  for (auto& [name, vote] : votes_)
    vote.next_renewal = now.mono + options_.renew_every;
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
    it->second.next_renewal = now + std::max(reply->hold_left, kSoonest);
    // A campaign that failed left a higher epoch there, and this worker will
    // never take our orders again.
    overtaken_ = overtaken_ || reply->epoch > epoch_;
  } else if (reply->up >= options_.hold_ttl + options_.margin) {
    it->second.held_until =
        std::max(it->second.held_until, sent_at + options_.hold_ttl);
  }
  Recount(now);
}

void Leadership::Recount(absl::Time now) {
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
