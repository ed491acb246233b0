// Measures the check of a call's key beside the lookup of its queue, and the
// time to load a configuration with many accounts.

#include <benchmark/benchmark.h>

#include <string>

#include "absl/strings/str_cat.h"
#include "keelbridge/accounts/account_access.h"
#include "platform/dialect.h"

namespace keelbridge {
namespace {

constexpr int kAccounts = 10000;

std::string KeyOf(int account, int key) {
  return absl::StrCat("key-", key, "-of-account-", account);
}

std::string ConfigurationText() {
  std::string out =
      R"({"version":1,"services":[{"name":"s"}],"routes":[{"name":"r",)"
      R"("host":"a.example","pathPrefix":"/x/","service":"s"}],"tenants":[)";
  for (int i = 0; i < kAccounts; ++i) {
    absl::StrAppend(&out, i == 0 ? "" : ",", R"({"name":"account-)", i,
                    R"(","apiKeys":[")", KeyOf(i, 1), R"(",")", KeyOf(i, 2),
                    R"("],"weight":1,"maximum":{"cpu":16000}})");
  }
  return out + "]}";
}

void BM_LoadAccounts(benchmark::State& state) {
  const std::string text = ConfigurationText();
  const platform::Dialect dialect;
  for (auto _ : state)
    benchmark::DoNotOptimize(dialect.ParseConfiguration(text));
}
BENCHMARK(BM_LoadAccounts)->Unit(benchmark::kMillisecond);

void BM_FindQueue(benchmark::State& state) {
  const auto configuration =
      platform::Dialect().ParseConfiguration(ConfigurationText()).value();
  for (auto _ : state)
    benchmark::DoNotOptimize(
        configuration.FindQueue("a.example", "/x/5c0e7a21d94b36f8"));
}
BENCHMARK(BM_FindQueue);

void BM_CheckAccess(benchmark::State& state) {
  const auto configuration =
      platform::Dialect().ParseConfiguration(ConfigurationText()).value();
  const Queue& queue = configuration.queues.front();
  const std::string key = KeyOf(kAccounts / 2, 2);
  for (auto _ : state)
    benchmark::DoNotOptimize(CheckAccess(configuration, queue, key));
}
BENCHMARK(BM_CheckAccess);

}  // namespace
}  // namespace keelbridge
