#include "keelbridge/accounts/account_history.h"

#include <doctest/doctest.h>

#include <string>

namespace keelbridge {
namespace {

const absl::Time kBegin = absl::UnixEpoch() + absl::Hours(1);
constexpr ResourceTotals kCapacity{100000, 100000, 0};

ClientAccount Account(const std::string& name, double weight) {
  ClientAccount account;
  account.name = name;
  account.weight = weight;
  return account;
}

// Lets time pass in steps of 100 ms. Returns its end.
absl::Time Pass(AccountHistory& history, const AccountUsage& usage,
                absl::Time from, absl::Duration time) {
  absl::Time now = from;
  for (; now < from + time; now += absl::Milliseconds(100))
    history.OnTime(usage, kCapacity, now);
  return now;
}

TEST_CASE("decayed sum: half is left after the half-life") {
  DecayedSum sum(absl::Seconds(10));
  sum.Add(8, kBegin);
  CHECK(sum.At(kBegin) == doctest::Approx(8));
  CHECK(sum.At(kBegin + absl::Seconds(10)) == doctest::Approx(4));
  sum.Add(1, kBegin + absl::Seconds(20));
  CHECK(sum.At(kBegin + absl::Seconds(20)) == doctest::Approx(3));
  // A late event counts at once.
  sum.Add(1, kBegin);
  CHECK(sum.At(kBegin + absl::Seconds(20)) == doctest::Approx(4));
}

TEST_CASE("decayed sum: a steady rate is known soon after its beginning") {
  DecayedSum sum(absl::Seconds(10));
  for (int i = 0; i < 30; ++i) sum.Add(1, kBegin + absl::Milliseconds(100 * i));
  const absl::Time now = kBegin + absl::Seconds(3);
  CHECK(sum.PerSecond(now, kBegin) == doctest::Approx(10).epsilon(0.02));
}

TEST_CASE("account history: what an account had running is its mean share") {
  AccountUsage usage;
  usage.SetAccounts({Account("a", 1), Account("b", 1)});
  const AccountId a = usage.IdOf("a");
  AccountHistory history;
  // The dominant resource is memory.
  usage.Add(a, {10000, 40000, 0});
  absl::Time now = Pass(history, usage, kBegin, absl::Seconds(10));
  CHECK(history.FiguresOf(a).received == doctest::Approx(0.4).epsilon(0.02));
  usage.Remove(a, {10000, 40000, 0});
  now = Pass(history, usage, now, absl::Seconds(10));
  const double later = history.FiguresOf(a).received;
  CHECK(later > 0.1);
  CHECK(later < 0.2);
}

TEST_CASE("account history: an account is entitled to its weight's part") {
  AccountUsage usage;
  usage.SetAccounts({Account("a", 3), Account("b", 1), Account("idle", 96)});
  const AccountId a = usage.IdOf("a");
  const AccountId b = usage.IdOf("b");
  AccountHistory history;
  usage.Add(a, {30000, 0, 0});
  usage.Add(b, {50000, 0, 0});
  history.OnSubmitted(a, 1, kBegin);
  history.OnSubmitted(b, 2, kBegin);
  Pass(history, usage, kBegin, absl::Seconds(5));
  CHECK(history.PartOf(a, usage) == doctest::Approx(0.75));
  CHECK(history.FiguresOf(a).entitled == doctest::Approx(0.6).epsilon(0.02));
  CHECK(history.Surplus(a) == doctest::Approx(-0.3).epsilon(0.05));
  CHECK(history.Surplus(b) == doctest::Approx(0.3).epsilon(0.05));
  CHECK(history.AskedByOthers(a) ==
        doctest::Approx(history.FiguresOf(b).asked));
}

TEST_CASE("account history: changed weights count at once") {
  AccountUsage usage;
  usage.SetAccounts({Account("a", 1), Account("b", 1)});
  const AccountId a = usage.IdOf("a");
  AccountHistory history;
  history.OnSubmitted(a, 1, kBegin);
  history.OnSubmitted(usage.IdOf("b"), 1, kBegin);
  history.OnTime(usage, kCapacity, kBegin);
  CHECK(history.PartOf(a, usage) == doctest::Approx(0.5));
  usage.SetAccounts({Account("a", 3), Account("b", 1)});
  history.UpdateWeights(usage);
  CHECK(history.PartOf(a, usage) == doctest::Approx(0.75));
  usage.SetAccounts({Account("a", 0), Account("b", 1)});
  history.UpdateWeights(usage);
  CHECK(history.PartOf(a, usage) == 0);
  // Accounts without weight share what there is.
  usage.SetAccounts({Account("a", 0), Account("b", 0)});
  history.UpdateWeights(usage);
  CHECK(history.PartOf(a, usage) == doctest::Approx(0.5));
}

TEST_CASE("account history: accounts that ask no more are forgotten") {
  AccountUsage usage;
  AccountHistory history;
  for (int i = 0; i < 1000; ++i)
    history.OnSubmitted(usage.IdOf("a" + std::to_string(i)), 1, kBegin);
  history.OnTime(usage, kCapacity, kBegin);
  CHECK(history.size() == 1000);
  // They stop to count for the parts of the others before that.
  const AccountId next = usage.IdOf("next");
  const absl::Time later = kBegin + absl::Minutes(1);
  history.OnSubmitted(next, 1, later);
  history.OnTime(usage, kCapacity, later);
  CHECK(history.PartOf(next, usage) == 1);
  history.OnTime(usage, kCapacity, kBegin + absl::Minutes(10));
  CHECK(history.size() == 0);
}

TEST_CASE("account history: a suspended process counts nothing for the gap") {
  AccountUsage usage;
  const AccountId a = usage.IdOf("a");
  usage.Add(a, {50000, 0, 0});
  AccountHistory history;
  history.OnTime(usage, kCapacity, kBegin);
  history.OnTime(usage, kCapacity, kBegin + absl::Seconds(30));
  CHECK(history.FiguresOf(a).received == 0);
}

TEST_CASE("account history: a site without workers divides by nothing") {
  AccountUsage usage;
  const AccountId a = usage.IdOf("a");
  usage.Add(a, {50000, 0, 0});
  AccountHistory history;
  JobSpec spec;
  spec.steps.emplace_back();
  spec.steps[0].requested = {1000, 1000, 1};
  spec.steps[0].estimated_ms = 1000;
  CHECK(EstimatedWork(spec, ResourceTotals()) == 0);
  history.OnTime(usage, ResourceTotals(), kBegin);
  history.OnTime(usage, ResourceTotals(), kBegin + absl::Seconds(1));
  CHECK(history.FiguresOf(a).received == 0);
  CHECK(history.PartOf(a, usage) == 1);
}

}  // namespace
}  // namespace keelbridge
