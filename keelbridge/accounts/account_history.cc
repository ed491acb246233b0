#include "keelbridge/accounts/account_history.h"

#include <algorithm>

namespace keelbridge {
namespace {

// More often would cost time of the leader and say no more, as runs take
// longer.
constexpr absl::Duration kMinInterval = absl::Milliseconds(50);
// A longer gap means that the process was suspended. What ran meanwhile is
// unknown.
constexpr absl::Duration kMaxInterval = absl::Seconds(1);
// An account is dropped once both its work and its jobs have decayed to this.
constexpr double kForgottenWork = 1e-6;
constexpr double kForgottenJobs = 1e-3;
// An account has asked lately while this many of its jobs are left in the
// window: that is for some 40 s after a single job.
constexpr double kAsksLately = 0.05;

void RaiseTo(double amount, DecayedSum& sum, absl::Time now) {
  sum.Add(std::max(0.0, amount - sum.At(now)), now);
}

double Share(double part, int64_t whole) {
  return whole <= 0 ? 0 : part / static_cast<double>(whole);
}

}  // namespace

double DominantShareOf(const ResourceTotals& part,
                       const ResourceTotals& whole) {
  return std::max(
      {Share(static_cast<double>(part.cpu_milli), whole.cpu_milli),
       Share(static_cast<double>(part.memory_mib), whole.memory_mib),
       Share(static_cast<double>(part.accelerators), whole.accelerators)});
}

double EstimatedWork(const StepSpec& step, const ResourceTotals& capacity) {
  ResourceTotals charge;
  charge += AccountCharge(step);
  return DominantShareOf(charge, capacity) * step.count *
         absl::ToDoubleSeconds(absl::Milliseconds(step.estimated_ms));
}

double EstimatedWork(const JobSpec& spec, const ResourceTotals& capacity) {
  double work = 0;
  for (const StepSpec& step : spec.steps) work += EstimatedWork(step, capacity);
  return work;
}

void AccountHistory::Begin(absl::Time now) { began_ = std::min(began_, now); }

void AccountHistory::OnSubmitted(AccountId account, double work,
                                 absl::Time now) {
  if (account == kNoAccount) return;
  Begin(now);
  Account& entry = accounts_[account];
  entry.asked.Add(work, now);
  entry.jobs.Add(1, now);
}

void AccountHistory::OnTime(const AccountUsage& usage,
                            const ResourceTotals& capacity, absl::Time now) {
  if (now - counted_ < kMinInterval) return;
  Begin(now);
  const bool follows = now - counted_ <= kMaxInterval;
  const double seconds = follows ? absl::ToDoubleSeconds(now - counted_) : 0;
  counted_ = now;
  for (AccountId id = kNoAccount + 1; id < usage.size(); ++id) {
    const double share = DominantShareOf(usage.Running(id), capacity);
    if (share > 0) accounts_[id].received.Add(share * seconds, now);
  }
  DropIdle(now);
  UpdateWeights(usage);
  total_received_ = 0;
  total_asked_ = 0;
  for (const auto& [id, entry] : accounts_) {
    total_received_ += entry.received.PerSecond(now, began_);
    total_asked_ += entry.asked.PerSecond(now, began_);
  }
}

void AccountHistory::UpdateWeights(const AccountUsage& usage) {
  total_weight_ = 0;
  for (auto& [id, entry] : accounts_) {
    const bool asks = entry.jobs.At(counted_) >= kAsksLately;
    entry.weight = asks ? usage.WeightOf(id) : 0;
    total_weight_ += entry.weight;
  }
}

double AccountHistory::PartOf(AccountId account,
                              const AccountUsage& usage) const {
  const double weight = usage.WeightOf(account);
  const auto found = accounts_.find(account);
  const double counted = found == accounts_.end() ? 0 : found->second.weight;
  const double others = std::max(0.0, total_weight_ - counted);
  if (weight <= kMinAccountWeight && others > kMinAccountWeight) return 0;
  return weight / (others + weight);
}

void AccountHistory::DropIdle(absl::Time now) {
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    const Account& entry = it->second;
    const bool idle = entry.asked.At(now) < kForgottenWork &&
                      entry.received.At(now) < kForgottenWork &&
                      entry.jobs.At(now) < kForgottenJobs;
    if (idle) {
      accounts_.erase(it++);
    } else {
      ++it;
    }
  }
}

void AccountHistory::Restore(AccountId account, double asked, double received,
                             double jobs, absl::Time now) {
  if (account == kNoAccount) return;
  // The sums stand for whole windows.
  Begin(now - 3 * kHalfLife);
  Account& entry = accounts_[account];
  RaiseTo(asked, entry.asked, now);
  RaiseTo(received, entry.received, now);
  RaiseTo(jobs, entry.jobs, now);
}

AccountHistory::Sums AccountHistory::SumsOf(AccountId account) const {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) return Sums();
  const Account& entry = found->second;
  return {entry.asked.At(counted_), entry.received.At(counted_),
          entry.jobs.At(counted_)};
}

AccountHistory::Figures AccountHistory::FiguresOf(AccountId account) const {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) return Figures();
  const Account& entry = found->second;
  Figures figures;
  figures.asked = entry.asked.PerSecond(counted_, began_);
  figures.received = entry.received.PerSecond(counted_, began_);
  figures.jobs_per_second = entry.jobs.PerSecond(counted_, began_);
  if (total_weight_ > 0)
    figures.entitled = total_received_ * entry.weight / total_weight_;
  return figures;
}

double AccountHistory::Surplus(AccountId account) const {
  const Figures figures = FiguresOf(account);
  return figures.received - figures.entitled;
}

double AccountHistory::AskedByOthers(AccountId account) const {
  return std::max(0.0, total_asked_ - FiguresOf(account).asked);
}

}  // namespace keelbridge
