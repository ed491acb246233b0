#include "keelbridge/accounts/account_ledger.h"

#include <doctest/doctest.h>

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
  step.need = kNeed;
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

}  // namespace
}  // namespace keelbridge
