#include "keelbridge/accounts/account_entitlement.h"

#include <algorithm>

namespace keelbridge {
namespace {

// An account may send this multiple of its part for long, because what accounts
// usually send varies around their parts.
constexpr double kHeadroom = 1.25;
// How long an account may send its part at once.
constexpr double kBurstSeconds = 4;
// A bucket holds at least this many jobs: below that, chance decides how many
// jobs of a small account come together.
constexpr double kMinBurstJobs = 4;
// An account whose jobs are few may be this far beyond its part of the work, in
// seconds of the whole site: that is some of the largest gangs of a small
// account.
constexpr double kToleratedDebt = 2;
// No job is excess before jobs have ended for this long, because what the site
// can do is not known.
constexpr absl::Duration kLearning = absl::Seconds(2);
// More than any bucket holds; limited to that as it is filled.
constexpr AccountEntitlement::Tokens kFull = {1e6, 1e6};
constexpr absl::Duration kForgetAfter = absl::Minutes(1);

}  // namespace

void AccountEntitlement::OnDone(double work, absl::Time now) {
  began_ = std::min(began_, now);
  jobs_short_.Add(1, now);
  jobs_long_.Add(1, now);
  work_short_.Add(work, now);
  work_long_.Add(work, now);
}

AccountEntitlement::Service AccountEntitlement::ServiceAt(
    absl::Time now) const {
  if (began_ == absl::InfiniteFuture()) return Service();
  return {std::max(jobs_short_.PerSecond(now, began_),
                   jobs_long_.PerSecond(now, began_)),
          std::max(work_short_.PerSecond(now, began_),
                   work_long_.PerSecond(now, began_))};
}

AccountEntitlement::Terms AccountEntitlement::TermsOf(double part,
                                                      absl::Time now) const {
  const Service service = ServiceAt(now);
  Terms terms;
  terms.rate = {kHeadroom * part * service.jobs,
                kHeadroom * part * service.work};
  terms.depth = {std::max(terms.rate.jobs * kBurstSeconds, kMinBurstJobs),
                 terms.rate.work * kBurstSeconds};
  return terms;
}

void AccountEntitlement::Fill(Account& account, const Terms& terms,
                              absl::Time now) {
  if (account.filled == absl::InfinitePast()) {
    account.tokens = terms.depth;
    account.filled = now;
    return;
  }
  if (now <= account.filled) return;
  const double seconds = absl::ToDoubleSeconds(now - account.filled);
  Tokens& tokens = account.tokens;
  tokens.jobs =
      std::min(tokens.jobs + seconds * terms.rate.jobs, terms.depth.jobs);
  tokens.work =
      std::min(tokens.work + seconds * terms.rate.work, terms.depth.work);
  account.filled = now;
}

bool AccountEntitlement::IsWithin(const Tokens& tokens) {
  const bool far_beyond = tokens.work < -kToleratedDebt;
  // A job that exceeds what is left is not excess if something is left: one
  // large gang is no burst.
  return tokens.work >= 0 || (tokens.jobs >= 1 && !far_beyond);
}

bool AccountEntitlement::IsExcess(const Tokens& tokens, double part,
                                  absl::Time now) const {
  const bool known = now - began_ >= kLearning;
  return known && (part <= 0 || !IsWithin(tokens));
}

bool AccountEntitlement::TakeJob(AccountId id, double part, double work,
                                 absl::Time now) {
  if (id == kNoAccount) return false;
  Account& account = accounts_[id];
  Fill(account, TermsOf(part, now), now);
  Tokens& tokens = account.tokens;
  if (IsExcess(tokens, part, now)) {
    ++account.excess;
    return true;
  }
  tokens.jobs = std::max(0.0, tokens.jobs - 1);
  tokens.work -= work;
  return false;
}

bool AccountEntitlement::WouldExceed(AccountId id, double part,
                                     absl::Time now) const {
  if (id == kNoAccount) return false;
  const auto found = accounts_.find(id);
  Account account = found == accounts_.end() ? Account() : found->second;
  Fill(account, TermsOf(part, now), now);
  return IsExcess(account.tokens, part, now);
}

void AccountEntitlement::DropIdle(absl::Time now) {
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    if (now - it->second.filled > kForgetAfter) {
      accounts_.erase(it++);
    } else {
      ++it;
    }
  }
}

AccountEntitlement::Tokens AccountEntitlement::TokensOf(
    AccountId account) const {
  const auto found = accounts_.find(account);
  return found == accounts_.end() ? kFull : found->second.tokens;
}

int64_t AccountEntitlement::excess_jobs(AccountId account) const {
  const auto found = accounts_.find(account);
  return found == accounts_.end() ? 0 : found->second.excess;
}

void AccountEntitlement::RestoreService(const Service& service,
                                        absl::Time now) {
  // Enters the rates as if they had lasted for a long half-life.
  const absl::Time since = now - kLongHalfLife;
  began_ = std::min(began_, since);
  const auto restore = [&](DecayedSum& sum, double rate) {
    const double missing = rate - sum.PerSecond(now, began_);
    if (missing <= 0) return;
    DecayedSum unit = sum;
    unit.Add(1, now);
    const double of_one =
        unit.PerSecond(now, began_) - sum.PerSecond(now, began_);
    sum.Add(missing / of_one, now);
  };
  restore(jobs_long_, service.jobs);
  restore(work_long_, service.work);
}

void AccountEntitlement::RestoreTokens(AccountId account, const Tokens& tokens,
                                       absl::Time now) {
  if (account == kNoAccount) return;
  Account& entry = accounts_[account];
  entry.tokens = tokens;
  entry.filled = now;
}

}  // namespace keelbridge
