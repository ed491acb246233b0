#include "keelbridge/accounts/account_usage.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

constexpr Resources kNeed{1000, 2048, 0};

ClientAccount Account(const std::string& name, Resources maximum,
                      double weight = 1) {
  ClientAccount account;
  account.name = name;
  account.weight = weight;
  account.maximum = maximum;
  return account;
}

TEST_CASE("account usage: each limited resource bounds what may start") {
  AccountUsage usage;
  usage.SetAccounts({Account("cpu", {3500, 0, 0}),
                     Account("memory", {0, 4096, 0}),
                     Account("accelerators", {0, 0, 2}), Account("free", {})});
  CHECK(usage.CountFits(usage.IdOf("cpu"), kNeed, 9) == 3);
  CHECK(usage.CountFits(usage.IdOf("memory"), kNeed, 9) == 2);
  CHECK(usage.CountFits(usage.IdOf("accelerators"), kNeed, 9) == 9);
  CHECK(usage.CountFits(usage.IdOf("accelerators"), {1, 1, 1}, 9) == 2);
  CHECK(usage.CountFits(usage.IdOf("free"), kNeed, 9) == 9);
  CHECK(usage.CountFits(kNoAccount, kNeed, 9) == 9);
}

TEST_CASE("account usage: runs count until they are removed") {
  AccountUsage usage;
  usage.SetAccounts({Account("a", {3000, 0, 0})});
  const AccountId id = usage.IdOf("a");
  usage.Add(id, kNeed);
  usage.Add(id, kNeed);
  CHECK(usage.CountFits(id, kNeed, 9) == 1);
  usage.Remove(id, kNeed);
  CHECK(usage.CountFits(id, kNeed, 9) == 2);
}

TEST_CASE("account usage: a lowered maximum leaves nothing to start") {
  AccountUsage usage;
  usage.SetAccounts({Account("a", {3000, 0, 0})});
  const AccountId id = usage.IdOf("a");
  for (int i = 0; i < 3; ++i) usage.Add(id, kNeed);
  usage.SetAccounts({Account("a", {1000, 0, 0})});
  CHECK(usage.CountFits(id, kNeed, 9) == 0);
  CHECK(usage.Running(id).cpu_milli == 3000);
}

TEST_CASE("account usage: an account keeps its maximum when it is removed") {
  AccountUsage usage;
  usage.SetAccounts({Account("a", {1000, 0, 0})});
  usage.SetAccounts({});
  CHECK(usage.CountFits(usage.IdOf("a"), kNeed, 9) == 1);
}

TEST_CASE("account usage: runs that may exist count, up to a limit") {
  AccountUsage usage;
  usage.SetAccounts({Account("a", {9000, 0, 0})});
  const AccountId id = usage.IdOf("a");
  for (int i = 0; i < 8; ++i) usage.AddUnobserved(id, kNeed);
  usage.AddUnanswered(id, kNeed);
  CHECK(usage.CountFits(id, kNeed, 9) == 0);
  usage.LimitUnobserved({3000, 99999, 0});
  CHECK(usage.CountFits(id, kNeed, 9) == 5);
  usage.ClearPossible();
  CHECK(usage.CountFits(id, kNeed, 9) == 9);
}

TEST_CASE("account usage: tasks that can never run together are recognized") {
  AccountUsage usage;
  usage.SetAccounts({Account("a", {5000, 0, 0})});
  const AccountId id = usage.IdOf("a");
  for (int i = 0; i < 5; ++i) usage.Add(id, kNeed);
  CHECK(usage.FitsMaximum(id, kNeed, 5));
  CHECK_FALSE(usage.FitsMaximum(id, kNeed, 6));
  CHECK(usage.FitsMaximum(kNoAccount, kNeed, 1000));
}

TEST_CASE("account usage: the share is that of the scarcest resource") {
  AccountUsage usage;
  usage.SetAccounts({Account("a", {}, 2), Account("b", {}, 0)});
  usage.Add(usage.IdOf("a"), kNeed);
  usage.Add(usage.IdOf("b"), kNeed);
  const ResourceTotals total{10000, 4096, 0};
  CHECK(usage.WeightedShare(usage.IdOf("a"), total) == 0.25);
  CHECK(usage.WeightedShare(usage.IdOf("b"), total) > 1);
}

TEST_CASE("account usage: figures show the accounts that run most") {
  AccountUsage usage;
  usage.Add(usage.IdOf("a"), kNeed);
  usage.Add(usage.IdOf("b"), {2000, 1, 0});
  usage.AddWaiting(usage.IdOf("c"), 7);
  usage.Add(kNoAccount, kNeed);
  const auto largest = usage.LargestAccounts(9);
  REQUIRE(largest.size() == 3);
  CHECK(largest[0].account == "b");
  CHECK(largest[1].cpu_milli_running == 1000);
  CHECK(largest[2].tasks_waiting == 7);
  CHECK(usage.LargestAccounts(1).size() == 1);
  usage.ClearWaiting();
  CHECK(usage.LargestAccounts(9)[2].tasks_waiting == 0);
}

}  // namespace
}  // namespace keelbridge
