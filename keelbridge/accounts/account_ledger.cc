#include "keelbridge/accounts/account_ledger.h"

#include <algorithm>
#include <utility>

namespace keelbridge {
namespace {

// Jobs that earlier leaders ended longer before their last end than this say
// little of what the site can do.
constexpr absl::Duration kRebuiltPeriod = absl::Seconds(30);
// A shorter period says nothing of a rate.
constexpr absl::Duration kMinRebuiltPeriod = absl::Seconds(2);

// A job of an earlier leader. Only the account is known of one that has ended.
struct PastJob {
  int64_t at_ms = 0;  // Of its acceptance or end, by the wall clock.
  const Job* job = nullptr;
};

// Returns the jobs of client accounts, oldest first.
std::vector<PastJob> PastJobs(const JobTable& jobs) {
  std::vector<PastJob> past;
  for (const auto& [id, job] : jobs) {
    if (job->account.empty()) continue;
    past.push_back(
        {job->Ended() ? job->ended_ms : job->accepted_ms, job.get()});
  }
  std::sort(past.begin(), past.end(), [](const PastJob& a, const PastJob& b) {
    return std::make_pair(a.at_ms, a.job->id) <
           std::make_pair(b.at_ms, b.job->id);
  });
  return past;
}

// Returns the jobs done per second, or 0 if that is not known.
double DonePerSecond(const std::vector<PastJob>& past) {
  std::vector<int64_t> ends;
  for (const PastJob& one : past) {
    if (one.job->end == JobState::kCompleted) ends.push_back(one.at_ms);
  }
  if (ends.empty()) return 0;
  const int64_t since = ends.back() - absl::ToInt64Milliseconds(kRebuiltPeriod);
  const auto first = std::lower_bound(ends.begin(), ends.end(), since);
  const absl::Duration period = absl::Milliseconds(ends.back() - *first);
  if (period < kMinRebuiltPeriod) return 0;
  return static_cast<double>(ends.end() - first) /
         absl::ToDoubleSeconds(period);
}

}  // namespace

absl::Duration AccountLedger::WaitForMaximum(const JobSpec& spec,
                                             AccountId account,
                                             int32_t priority) const {
  const bool fits = std::all_of(
      spec.steps.begin(), spec.steps.end(), [&](const StepSpec& step) {
        const int32_t together = step.gang ? step.count : 1;
        return usage.FitsMaximum(account, AccountCharge(step), together);
      });
  if (!fits) return absl::InfiniteDuration();
  return backlog.MinWait(account, priority, usage.MaximumOf(account));
}

void AccountLedger::OnSubmitted(Job& job, absl::Time now) {
  const AccountId account = usage.IdOf(job.account);
  const double work = EstimatedWork(job.spec, capacity);
  history.OnSubmitted(account, work, now);
  const double part = history.PartOf(account, usage);
  job.excess = entitlement.TakeJob(account, part, work, now);
}

void AccountLedger::OnEnded(const Job& job, absl::Time now) {
  if (job.account.empty() || job.end != JobState::kCompleted) return;
  entitlement.OnDone(EstimatedWork(job.spec, capacity), now);
}

void AccountLedger::OnPlacementPass(const ResourceTotals& site_capacity,
                                    absl::Time now) {
  capacity = site_capacity;
  last_pass = now;
  excess_waiting.clear();
  history.OnTime(usage, capacity, now);
  entitlement.DropIdle(now);
}

void AccountLedger::AddExcessWaiting(AccountId account, const StepSpec& step,
                                     int32_t waiting) {
  StepSpec part = step;
  part.count = waiting;
  excess_waiting[account] += EstimatedWork(part, capacity);
}

AccountLedger::ShareVerdict AccountLedger::JudgeShare(
    AccountId account, const JobSpec& spec) const {
  ShareVerdict verdict;
  const double part = history.PartOf(account, usage);
  verdict.exceeds = entitlement.WouldExceed(account, part, last_pass);
  if (!verdict.exceeds) return verdict;
  const auto waiting = excess_waiting.find(account);
  const double before = waiting == excess_waiting.end() ? 0 : waiting->second;
  const double work = before + EstimatedWork(spec, capacity);
  const double left =
      entitlement.ServiceAt(last_pass).work - history.AskedByOthers(account);
  verdict.wait =
      left > 0 ? absl::Seconds(work / left) : absl::InfiniteDuration();
  return verdict;
}

const char* AccountLedger::WaitReason(const Job& job, bool exceeds_share,
                                      const char* otherwise) {
  return exceeds_share && job.excess ? "its client account exceeds its share"
                                     : otherwise;
}

std::vector<AccountLedger::Figures> AccountLedger::LargestAccounts(
    size_t max_accounts) const {
  std::vector<Figures> out;
  for (const AccountUsage::Figures& account :
       usage.LargestAccounts(max_accounts)) {
    const AccountHistory::Figures past = history.FiguresOf(account.id);
    out.push_back({account, past.asked, past.received,
                   entitlement.excess_jobs(account.id)});
  }
  return out;
}

// Only differences between times of earlier leaders are used, as their clocks
// may differ from this one's. The work of jobs that have ended is not recorded,
// and that of waiting jobs is no measure of it: large jobs wait longest. Until
// more jobs have ended, the numbers of jobs decide.
void AccountLedger::Rebuild(const JobTable& jobs,
                            const ResourceTotals& site_capacity,
                            absl::Time now) {
  capacity = site_capacity;
  const std::vector<PastJob> past = PastJobs(jobs);
  if (past.empty()) return;
  for (const PastJob& one : past) {
    const absl::Duration before =
        absl::Milliseconds(past.back().at_ms - one.at_ms);
    history.OnSubmitted(usage.IdOf(one.job->account),
                        EstimatedWork(one.job->spec, capacity), now - before);
  }
  for (const PastJob& one : past) {
    // An account that has excess waiting has used up what it may send at once.
    if (one.job->excess)
      entitlement.RestoreTokens(usage.IdOf(one.job->account), {}, now);
  }
  const double done = DonePerSecond(past);
  if (done > 0) entitlement.RestoreService({done, 0}, now);
  history.UpdateWeights(usage);
}

AccountsHandover AccountLedger::Handover() const {
  AccountsHandover out;
  const AccountEntitlement::Service service = entitlement.ServiceAt(last_pass);
  out.served_jobs = service.jobs;
  out.served_work = service.work;
  for (AccountId id = kNoAccount + 1; id < usage.size(); ++id) {
    const AccountHistory::Sums sums = history.SumsOf(id);
    if (sums.jobs <= 0 && sums.received <= 0) continue;
    const AccountEntitlement::Tokens tokens = entitlement.TokensOf(id);
    out.accounts.push_back({usage.NameOf(id), sums.asked, sums.received,
                            sums.jobs, tokens.jobs, tokens.work});
  }
  std::sort(out.accounts.begin(), out.accounts.end(),
            [](const AccountHandover& a, const AccountHandover& b) {
              return std::make_pair(-a.asked, a.account) <
                     std::make_pair(-b.asked, b.account);
            });
  if (out.accounts.size() > kMaxAccountsHandedOver)
    out.accounts.resize(kMaxAccountsHandedOver);
  return out;
}

void AccountLedger::OnHandover(const AccountsHandover& handover,
                               absl::Time now) {
  if (handover.accounts.empty()) return;
  entitlement.RestoreService({handover.served_jobs, handover.served_work}, now);
  for (const AccountHandover& account : handover.accounts) {
    const AccountId id = usage.FindId(account.account);
    history.Restore(id, account.asked, account.received, account.jobs, now);
    entitlement.RestoreTokens(id, {account.job_tokens, account.work_tokens},
                              now);
  }
  history.UpdateWeights(usage);
}

}  // namespace keelbridge
