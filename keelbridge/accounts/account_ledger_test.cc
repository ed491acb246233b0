#include "keelbridge/accounts/account_ledger.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

constexpr Resources kNeed{1000, 1024, 0};

AccountLedger LedgerWithMaximum(Resources maximum) {
  ClientAccount account;
  account.name = "a";
  account.maximum = maximum;
  AccountLedger ledger;
  ledger.usage.SetAccounts({account});
  return ledger;
}

JobSpec OneStep(int32_t count, bool gang) {
  StepSpec step;
  step.count = count;
  step.requested = kNeed;
  step.gang = gang;
  JobSpec spec;
  spec.steps = {step};
  return spec;
}

TEST_CASE("account ledger: a gang wider than the maximum can never start") {
  AccountLedger ledger = LedgerWithMaximum({5000, 0, 0});
  const AccountId id = ledger.usage.FindId("a");
  CHECK(ledger.WaitForMaximum(OneStep(5, true), id, 0) == absl::ZeroDuration());
  CHECK(ledger.WaitForMaximum(OneStep(6, true), id, 0) ==
        absl::InfiniteDuration());
  // Single tasks run one after the other.
  CHECK(ledger.WaitForMaximum(OneStep(6, false), id, 0) ==
        absl::ZeroDuration());
  CHECK(ledger.WaitForMaximum(OneStep(600, true), kNoAccount, 0) ==
        absl::ZeroDuration());
}

TEST_CASE("account ledger: a task larger than the maximum can never start") {
  AccountLedger ledger = LedgerWithMaximum({0, 512, 0});
  CHECK(ledger.WaitForMaximum(OneStep(1, false), ledger.usage.FindId("a"), 0) ==
        absl::InfiniteDuration());
}

TEST_CASE("account ledger: a job waits for what its account has waiting") {
  AccountLedger ledger = LedgerWithMaximum({5000, 0, 0});
  const AccountId id = ledger.usage.FindId("a");
  ledger.backlog.Add(id, 0, kNeed, 20, absl::Seconds(2));
  CHECK(ledger.WaitForMaximum(OneStep(1, false), id, 0) == absl::Seconds(8));
}

const absl::Time kBegin = absl::UnixEpoch() + absl::Hours(1);
constexpr ResourceTotals kCapacity{100000, 102400, 0};

// A job that takes a tenth of the site for a second.
std::unique_ptr<Job> JobOf(JobId id, const std::string& account) {
  JobSpec spec = OneStep(10, false);
  spec.steps[0].estimated_ms = 1000;
  auto job = std::make_unique<Job>(id, "restore", spec, 0);
  job->account = account;
  job->end = JobState::kCompleted;
  return job;
}

// A site that does eight jobs a second for accounts "a" and "b", of equal
// weight. "a" then sends 30 at once. Returns how many of these are excess.
int PlayBurst(AccountLedger& ledger, absl::Time& now) {
  ledger.usage.SetAccounts({});
  JobId id = 0;
  for (int i = 0; i < 80; ++i) {
    ledger.OnPlacementPass(kCapacity, now);
    auto job = JobOf(++id, i % 2 == 0 ? "a" : "b");
    ledger.OnSubmitted(*job, now);
    ledger.OnEnded(*job, now);
    now += absl::Milliseconds(125);
  }
  int excess = 0;
  for (int i = 0; i < 30; ++i) {
    auto job = JobOf(++id, "a");
    ledger.OnSubmitted(*job, now);
    excess += job->excess ? 1 : 0;
  }
  return excess;
}

TEST_CASE("account ledger: who would be excess is told with the wait") {
  AccountLedger ledger;
  absl::Time now = kBegin;
  const int excess = PlayBurst(ledger, now);
  CHECK(excess >= 5);
  CHECK(excess <= 20);
  ledger.OnPlacementPass(kCapacity, now);
  const AccountId a = ledger.usage.IdOf("a");
  const AccountId b = ledger.usage.IdOf("b");
  const JobSpec spec = JobOf(1, "a")->spec;
  CHECK(ledger.JudgeShare(a, spec).exceeds);
  CHECK_FALSE(ledger.JudgeShare(b, spec).exceeds);
  CHECK(ledger.JudgeShare(b, spec).wait == absl::ZeroDuration());
  const absl::Duration first = ledger.JudgeShare(a, spec).wait;
  CHECK(first > absl::ZeroDuration());
  CHECK(first < absl::Seconds(1));
  // Two seconds of the whole site wait already, half of which is left.
  ledger.AddExcessWaiting(a, spec.steps[0], 200);
  const absl::Duration later = ledger.JudgeShare(a, spec).wait;
  CHECK(later > absl::Seconds(3));
  CHECK(later < absl::Seconds(8));
}

TEST_CASE("account ledger: the next leader knows what the last one knew") {
  AccountLedger earlier;
  absl::Time now = kBegin;
  PlayBurst(earlier, now);
  earlier.OnPlacementPass(kCapacity, now);
  const AccountsHandover handover = earlier.Handover();
  REQUIRE(handover.accounts.size() == 2);
  CHECK(handover.accounts[0].account == "a");
  AccountLedger next;
  for (const char* name : {"b", "a"}) next.usage.IdOf(name);
  next.OnHandover(handover, now);
  next.OnPlacementPass(kCapacity, now);
  const JobSpec spec = JobOf(1, "a")->spec;
  CHECK(next.JudgeShare(next.usage.IdOf("a"), spec).exceeds);
  CHECK_FALSE(next.JudgeShare(next.usage.IdOf("b"), spec).exceeds);
  // Accounts that this leader does not know are not added.
  AccountLedger empty;
  empty.OnHandover(handover, now);
  CHECK(empty.usage.size() == 1);
  CHECK(empty.history.size() == 0);
}

TEST_CASE("account ledger: a handover of many accounts is limited") {
  AccountLedger ledger;
  for (JobId id = 1; id <= 2 * kMaxAccountsHandedOver; ++id) {
    auto job = JobOf(id, absl::StrCat("a", id));
    ledger.OnSubmitted(*job, kBegin);
  }
  ledger.OnPlacementPass(kCapacity, kBegin);
  CHECK(ledger.Handover().accounts.size() == kMaxAccountsHandedOver);
}

TEST_CASE("account ledger: what an earlier leader left tells who sent much") {
  JobTable jobs;
  for (JobId id = 1; id <= 100; ++id) {
    auto job = JobOf(id, id % 2 == 0 ? "a" : "b");
    job->ended_ms = 100 * static_cast<int64_t>(id);
    jobs.emplace(id, std::move(job));
  }
  auto waiting = JobOf(101, "a");
  waiting->end = JobState::kQueued;
  waiting->accepted_ms = 9990;
  waiting->excess = true;
  jobs.emplace(101, std::move(waiting));
  AccountLedger ledger;
  ledger.Rebuild(jobs, kCapacity, kBegin);
  CHECK(ledger.entitlement.ServiceAt(kBegin).jobs ==
        doctest::Approx(10).epsilon(0.05));
  const AccountId a = ledger.usage.IdOf("a");
  CHECK(ledger.history.PartOf(a, ledger.usage) == doctest::Approx(0.5));
  CHECK(ledger.entitlement.TokensOf(a).jobs == 0);
  AccountLedger empty;
  empty.Rebuild(JobTable(), kCapacity, kBegin);
  CHECK(empty.entitlement.ServiceAt(kBegin).jobs == 0);
}

TEST_CASE("account ledger: the share is the reason only of excess jobs") {
  auto job = JobOf(1, "a");
  CHECK(std::string(AccountLedger::WaitReason(*job, true, "other")) == "other");
  job->excess = true;
  CHECK(std::string(AccountLedger::WaitReason(*job, true, "other")) ==
        "its client account exceeds its share");
  CHECK(std::string(AccountLedger::WaitReason(*job, false, "other")) ==
        "other");
}

}  // namespace
}  // namespace keelbridge
