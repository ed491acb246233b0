#include "keelbridge/accounts/account_shares.h"

#include <doctest/doctest.h>

#include <string>

namespace keelbridge {
namespace {

constexpr ResourceTotals kSite{100000, 100000, 0};

// Two accounts with the weights 3 and 1.
AccountUsage TwoAccounts() {
  AccountUsage usage;
  ClientAccount large;
  large.name = "large";
  large.weight = 3;
  ClientAccount small;
  small.name = "small";
  small.weight = 1;
  usage.SetAccounts({large, small});
  return usage;
}

void Run(AccountUsage& usage, const std::string& account, int32_t cpu_milli) {
  usage.Add(usage.IdOf(account), {cpu_milli, 0, 0});
}

TEST_CASE("account shares: an account is entitled to its weight's part") {
  AccountUsage usage = TwoAccounts();
  const AccountId large = usage.IdOf("large");
  const AccountId small = usage.IdOf("small");
  AccountShares shares;
  Run(usage, "large", 70000);
  Run(usage, "small", 26000);
  shares.Update(usage, kSite, {large, small});
  CHECK_FALSE(shares.Exceeds(large));
  CHECK(shares.Exceeds(small));
  Run(usage, "large", 6000);
  shares.Update(usage, kSite, {large, small});
  CHECK(shares.Exceeds(large));
}

TEST_CASE("account shares: the part of an account without work is free") {
  AccountUsage usage = TwoAccounts();
  const AccountId small = usage.IdOf("small");
  AccountShares shares;
  Run(usage, "small", 90000);
  shares.Update(usage, kSite, {small});
  CHECK_FALSE(shares.Exceeds(small));
  // The other account has tasks to start.
  shares.Update(usage, kSite, {small, usage.IdOf("large")});
  CHECK(shares.Exceeds(small));
}

TEST_CASE("account shares: the scarcest resource counts") {
  AccountUsage usage = TwoAccounts();
  const AccountId small = usage.IdOf("small");
  AccountShares shares;
  usage.Add(small, {1000, 30000, 0});
  shares.Update(usage, kSite, {small, usage.IdOf("large")});
  CHECK(shares.Exceeds(small));
}

TEST_CASE("account shares: work without an account has no share") {
  AccountUsage usage = TwoAccounts();
  AccountShares shares;
  usage.Add(kNoAccount, {100000, 0, 0});
  shares.Update(usage, kSite, {kNoAccount});
  CHECK_FALSE(shares.Exceeds(kNoAccount));
}

TEST_CASE("account shares: cleared verdicts and new accounts exceed nothing") {
  AccountUsage usage = TwoAccounts();
  AccountShares shares;
  Run(usage, "small", 90000);
  shares.Update(usage, kSite, {usage.IdOf("large")});
  CHECK(shares.Exceeds(usage.IdOf("small")));
  CHECK_FALSE(shares.Exceeds(usage.IdOf("new")));
  shares.Clear();
  CHECK_FALSE(shares.Exceeds(usage.IdOf("small")));
}

}  // namespace
}  // namespace keelbridge
