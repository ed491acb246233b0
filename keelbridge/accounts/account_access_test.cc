#include "keelbridge/accounts/account_access.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

using Verdict = AccessDecision::Verdict;

SiteConfiguration TwoAccounts() {
  SiteConfiguration configuration;
  configuration.has_accounts = true;
  configuration.accounts.resize(2);
  configuration.accounts[0].name = "a";
  configuration.accounts[0].keys = {"key-a1", "key-a2"};
  configuration.accounts[1].name = "b";
  configuration.accounts[1].keys = {"key-b"};
  configuration.BuildIndex();
  return configuration;
}

TEST_CASE("account access: a key authenticates its account") {
  const SiteConfiguration configuration = TwoAccounts();
  const Queue queue;
  for (const char* key : {"key-a1", "key-a2"}) {
    const AccessDecision access = CheckAccess(configuration, queue, key);
    CHECK(access.verdict == Verdict::kAccount);
    REQUIRE(access.account != nullptr);
    CHECK(access.account->name == "a");
  }
  CHECK(CheckAccess(configuration, queue, "key-b").account->name == "b");
}

TEST_CASE("account access: an unknown or missing key is denied") {
  const SiteConfiguration configuration = TwoAccounts();
  const Queue queue;
  for (const char* key : {"key-c", "key-a1 ", "KEY-A1", "key-a11"}) {
    const AccessDecision access = CheckAccess(configuration, queue, key);
    CHECK(access.verdict == Verdict::kUnknownKey);
    CHECK_FALSE(access.allowed());
    CHECK(std::string(access.reason()).find(key) == std::string::npos);
  }
  CHECK(CheckAccess(configuration, queue, "").verdict == Verdict::kMissingKey);
}

TEST_CASE("account access: a queue may allow anonymous calls") {
  const SiteConfiguration configuration = TwoAccounts();
  Queue queue;
  queue.allows_anonymous = true;
  CHECK(CheckAccess(configuration, queue, "").verdict == Verdict::kAnonymous);
  CHECK(CheckAccess(configuration, queue, "?").verdict == Verdict::kAnonymous);
  CHECK(CheckAccess(configuration, queue, "key-b").account->name == "b");
}

TEST_CASE("account access: a site without accounts serves every call") {
  const SiteConfiguration configuration;
  CHECK(CheckAccess(configuration, Queue(), "").allowed());
  CHECK(CheckAccess(configuration, Queue(), "any").allowed());
}

TEST_CASE("account access: a site whose accounts have no keys serves none") {
  SiteConfiguration configuration;
  configuration.has_accounts = true;
  configuration.BuildIndex();
  CHECK_FALSE(CheckAccess(configuration, Queue(), "key").allowed());
}

TEST_CASE("account access: a job belongs to the account that submitted it") {
  CHECK(MayAccessJob("a", false, "a"));
  CHECK_FALSE(MayAccessJob("b", false, "a"));
  CHECK_FALSE(MayAccessJob("", false, "a"));
  // Submitted before the site had accounts.
  CHECK(MayAccessJob("b", false, ""));
  CHECK(MayAccessJob("", true, "a"));
}

}  // namespace
}  // namespace keelbridge
