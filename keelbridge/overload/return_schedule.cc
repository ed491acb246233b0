#include "keelbridge/overload/return_schedule.h"

#include <algorithm>
#include <tuple>

namespace keelbridge {
namespace {

// Weight of the latest second that is over in the smoothed return share.
constexpr double kReturnShareWeight = 0.3;

}  // namespace

int64_t ReturnSchedule::FirstSecond(const Wish& wish) const {
  const absl::Duration too_late = absl::Seconds(options_.max_seconds + 1);
  const absl::Duration earliest =
      absl::Ceil(std::min(wish.earliest, too_late), absl::Seconds(1));
  return std::max(absl::ToInt64Seconds(earliest), options_.min_seconds);
}

int64_t ReturnSchedule::FindSecond(const Wish& wish, absl::Time now) const {
  if (wish.rate <= 0) return 0;
  const int64_t first = FirstSecond(wish);
  for (int64_t s = first; s <= options_.max_seconds; ++s) {
    if (absl::Seconds(s) > wish.latest) return 0;
    const auto second = seconds_.find(SecondOf(now + absl::Seconds(s)));
    const double promised = second == seconds_.end() ? 0 : second->second.total;
    // A job that is larger than a second's work gets a second of its own.
    if (promised + wish.work <= wish.rate || promised <= 0) return s;
  }
  return 0;
}

ReturnSchedule::Answer ReturnSchedule::Refuse(JobId id, const Wish& wish,
                                              Now now) {
  ForgetOverdue(now.mono);
  wall_offset_ = now.wall - now.mono;
  Entry entry;
  entry.first_try = now.mono;
  const auto known = entries_.find(id);
  if (known != entries_.end()) {
    const absl::Duration left = known->second.due - now.mono;
    if (known->second.promised && left > absl::ZeroDuration()) {
      const absl::Duration seconds =
          std::max(absl::Ceil(left, absl::Seconds(1)),
                   absl::Seconds(options_.min_seconds));
      return {seconds, true};
    }
    Withdraw(known->second);
    entry.first_try = known->second.first_try;
  }
  const int64_t seconds = FindSecond(wish, now.mono);
  entry.promised = seconds > 0;
  entry.work = wish.work;
  entry.priority = wish.priority;
  Answer answer;
  answer.promised = entry.promised;
  answer.retry_after = absl::Seconds(
      entry.promised   ? seconds
      : wish.rate <= 0 ? std::min(FirstSecond(wish), options_.max_seconds)
                       : options_.max_seconds);
  entry.due = now.mono + answer.retry_after;
  if (known == entries_.end() && entries_.size() >= options_.max_entries)
    return {absl::Seconds(options_.max_seconds), false};
  Insert(id, entry);
  return answer;
}

void ReturnSchedule::Insert(JobId id, const Entry& entry) {
  entries_[id] = entry;
  Second& second = seconds_[SecondOf(entry.due)];
  second.jobs.push_back(id);
  if (!entry.promised) return;
  second.promised[entry.priority] += entry.work;
  second.total += entry.work;
  second.given += entry.work;
}

void ReturnSchedule::Withdraw(Entry& entry) {
  if (!entry.promised) return;
  entry.promised = false;
  const auto second = seconds_.find(SecondOf(entry.due));
  if (second == seconds_.end()) return;
  second->second.promised[entry.priority] -= entry.work;
  second->second.total -= entry.work;
}

absl::Duration ReturnSchedule::AgeOf(JobId id, absl::Time now) const {
  const auto known = entries_.find(id);
  if (known == entries_.end()) return absl::ZeroDuration();
  return std::max(now - known->second.first_try, absl::ZeroDuration());
}

bool ReturnSchedule::ReturnsAsPromised(JobId id, absl::Time now) const {
  const auto known = entries_.find(id);
  if (known == entries_.end() || !known->second.promised) return false;
  const int64_t due = SecondOf(known->second.due);
  return SecondOf(now) >= due && SecondOf(now - options_.grace) <= due;
}

bool ReturnSchedule::OnAccepted(JobId id, absl::Time now) {
  const auto known = entries_.find(id);
  if (known == entries_.end()) return false;
  const bool kept = ReturnsAsPromised(id, now);
  Withdraw(known->second);
  entries_.erase(known);
  return kept;
}

double ReturnSchedule::PromisedUntil(int32_t priority, absl::Time now,
                                     absl::Time until) const {
  const int64_t last = SecondOf(until);
  double promised = 0;
  for (auto it = seconds_.lower_bound(SecondOf(now));
       it != seconds_.end() && it->first <= last; ++it) {
    for (const auto& [other, work] : it->second.promised) {
      if (other <= priority) promised += work;
    }
  }
  return std::max(promised, 0.0) * return_share_;
}

void ReturnSchedule::CountReturns(const Second& second) {
  if (second.given <= 0) return;
  const double share = std::clamp(1 - second.total / second.given, 0.0, 1.0);
  return_share_ += kReturnShareWeight * (share - return_share_);
}

void ReturnSchedule::ForgetOverdue(absl::Time now) {
  const int64_t oldest = SecondOf(now - options_.keep);
  while (!seconds_.empty() && seconds_.begin()->first < oldest) {
    const int64_t second = seconds_.begin()->first;
    CountReturns(seconds_.begin()->second);
    for (const JobId id : seconds_.begin()->second.jobs) {
      const auto entry = entries_.find(id);
      // The client may have been told another second since.
      if (entry != entries_.end() && SecondOf(entry->second.due) == second)
        entries_.erase(entry);
    }
    seconds_.erase(seconds_.begin());
  }
}

std::vector<ReturnHandover> ReturnSchedule::Export(size_t max_entries) const {
  std::vector<ReturnHandover> out;
  out.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    ReturnHandover one;
    one.job = id;
    one.first_try_ms = ToMillis(entry.first_try + wall_offset_);
    one.due_ms = ToMillis(entry.due + wall_offset_);
    one.work = static_cast<int64_t>(entry.work);
    one.priority = entry.priority;
    one.promised = entry.promised;
    out.push_back(one);
  }
  std::sort(out.begin(), out.end(),
            [](const ReturnHandover& a, const ReturnHandover& b) {
              return std::tie(b.first_try_ms, b.job) <
                     std::tie(a.first_try_ms, a.job);
            });
  if (out.size() > max_entries) out.resize(max_entries);
  return out;
}

void ReturnSchedule::Import(const std::vector<ReturnHandover>& entries,
                            Now now) {
  ForgetOverdue(now.mono);
  wall_offset_ = now.wall - now.mono;
  for (const ReturnHandover& one : entries) {
    if (entries_.size() >= options_.max_entries) return;
    if (entries_.contains(one.job)) continue;
    Entry entry;
    entry.first_try = std::min(
        absl::FromUnixMillis(one.first_try_ms) - wall_offset_, now.mono);
    // Another machine's clock may be wrong.
    entry.due = std::min(absl::FromUnixMillis(one.due_ms) - wall_offset_,
                         now.mono + absl::Seconds(options_.max_seconds));
    if (entry.due + options_.keep < now.mono) continue;
    entry.work = std::max(static_cast<double>(one.work), 0.0);
    entry.priority = one.priority;
    entry.promised = one.promised;
    Insert(one.job, entry);
  }
}

}  // namespace keelbridge
