#include "keelbridge/coordination/router.h"

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

Configuration MakeConfiguration(int count, int64_t slots) {
  Configuration configuration;
  configuration.services = {{"licence", true, absl::Seconds(1)}};
  for (int i = 0; i < count; ++i) {
    configuration.targets.push_back(
        {absl::StrCat("t", i), "z", "127.0.0.1:1", slots, 64, {"licence"}});
  }
  return configuration;
}

TEST_CASE("shares of all gateways add up to each target's limit") {
  for (int gateways = 1; gateways <= 12; ++gateways) {
    std::vector<int64_t> sums(5, 0);
    for (int g = 0; g < gateways; ++g) {
      Router router({});
      router.SetConfiguration(MakeConfiguration(5, 8), "z");
      router.SetShare(g, gateways);
      for (int t = 0; t < 5; ++t) {
        sums[t] += router.ShareOf(absl::StrCat("t", t));
      }
    }
    for (const int64_t sum : sums) CHECK(sum == 8);
  }
}

TEST_CASE(
    "requests in flight do not exceed the share; further ones fail as "
    "overloaded") {
  Router router({});
  router.SetConfiguration(MakeConfiguration(3, 4), "z");
  for (int i = 0; i < 12; ++i) {
    CHECK(router.Choose("licence", {}, kNow).has_value());
  }
  Result<Router::Pick> none = router.Choose("licence", {}, kNow);
  REQUIRE(!none.has_value());
  CHECK(none.error().code == ErrorCode::kOverloaded);
  CHECK(none.error().retry_after > absl::ZeroDuration());
  router.Done("t1", AttemptResult::kAnswered, kNow);
  CHECK(router.Choose("licence", {}, kNow).value().target == "t1");
}

TEST_CASE("draining targets and targets already tried receive no requests") {
  Router router({});
  router.SetConfiguration(MakeConfiguration(3, 100), "z");
  router.SetDrainingTargets({"t0"});
  for (int i = 0; i < 50; ++i) {
    CHECK(router.Choose("licence", {"t1"}, kNow).value().target == "t2");
  }
  CHECK(router.Choose("nosuch", {}, kNow).error().code == ErrorCode::kNotFound);
}

TEST_CASE("a target that fails repeatedly is ejected for a while") {
  Router router({});
  router.SetConfiguration(MakeConfiguration(4, 100), "z");
  for (int i = 0; i < 5; ++i) {
    router.Done("t2", AttemptResult::kNoAnswer, kNow);
  }
  CHECK(router.Ejected("t2", kNow));
  for (int i = 0; i < 50; ++i) {
    CHECK(router.Choose("licence", {}, kNow).value().target != "t2");
  }
  CHECK_FALSE(router.Ejected("t2", kNow + absl::Seconds(3)));
}

TEST_CASE(
    "when most targets fail all are used: the fault is more likely on this "
    "side") {
  Router router({});
  router.SetConfiguration(MakeConfiguration(3, 100), "z");
  for (const char* target : {"t0", "t1", "t2"}) {
    for (int i = 0; i < 5; ++i) {
      router.Done(target, AttemptResult::kNoAnswer, kNow);
    }
  }
  CHECK(router.Choose("licence", {}, kNow).has_value());
}

TEST_CASE("only requests that did not run or are repeatable are retried") {
  CHECK_FALSE(Router::MayRetry(AttemptResult::kAnswered, true));
  CHECK(Router::MayRetry(AttemptResult::kRefused, false));
  CHECK(Router::MayRetry(AttemptResult::kUnreached, false));
  CHECK_FALSE(Router::MayRetry(AttemptResult::kNoAnswer, false));
  CHECK(Router::MayRetry(AttemptResult::kNoAnswer, true));
}

TEST_CASE("retries are limited to a fraction of first tries") {
  RetryBudget budget({});
  int retries = 0;
  for (int i = 0; i < 10000; ++i) {
    budget.OnFirstTry();
    while (budget.TrySpend()) ++retries;
  }
  CHECK(retries <= 0.2 * 10000 + 20);
}

// Guards against a target that receives more than its limit, because the
// requests of before it was removed do not count, and lower the count as they
// are done.
TEST_CASE("a target that is removed and added again keeps its limit") {
  Router router({});
  router.SetConfiguration(MakeConfiguration(1, 4), "z");
  for (int i = 0; i < 4; ++i)
    REQUIRE(router.Choose("licence", {}, kNow).has_value());
  router.SetConfiguration(MakeConfiguration(0, 4), "z");
  CHECK(router.Choose("licence", {}, kNow).error().code ==
        ErrorCode::kUnavailable);
  router.SetConfiguration(MakeConfiguration(1, 4), "z");
  CHECK(router.InFlight("t0") == 4);
  CHECK(router.Choose("licence", {}, kNow).error().code ==
        ErrorCode::kOverloaded);
  for (int i = 0; i < 4; ++i) router.Done("t0", AttemptResult::kAnswered, kNow);
  CHECK(router.InFlight("t0") == 0);
  router.SetConfiguration(MakeConfiguration(0, 4), "z");
  CHECK(router.ShareOf("t0") == 0);
}

}  // namespace
}  // namespace keelbridge
