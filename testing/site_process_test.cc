// Nodes of a site as real processes against the platform stand-in: signals,
// outages and callers' errors, judged from what the workers really ran.

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <fstream>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/time/clock.h"
#include "testing/support/site_test_cluster.h"
#include "testing/support/zone_test_cluster.h"

namespace keelbridge::testing {
namespace {

void CheckNoFaults(SiteCell& cell) {
  const std::vector<std::string> faults = cell.Faults();
  CAPTURE(absl::StrJoin(faults, "\n"));
  CHECK(faults.empty());
}

int StatusOf(const HttpOutcome& outcome) {
  return outcome.response ? outcome.response->status : 0;
}

TEST_CASE("site processes: jobs of steps and gangs through every node") {
  SiteCell cell({});
  REQUIRE(cell.AwaitReady(3));
  for (uint64_t job = 1; job <= 9; ++job) {
    const std::string body =
        job % 3 == 0 ? SiteCell::GangThenOne(4) : SiteCell::OneStep(2, 200);
    CHECK(StatusOf(cell.Call(static_cast<int>(job % 3), "POST", job, body)) ==
          200);
    // The same id again, at another node, is the same job.
    CHECK(StatusOf(cell.Call(static_cast<int>((job + 1) % 3), "POST", job,
                             body)) == 200);
  }
  for (uint64_t job = 1; job <= 9; ++job)
    CHECK(cell.AwaitState(job, "completed"));
  CHECK(cell.RunCount() == 6 * 2 + 3 * 5);
  CheckNoFaults(cell);
}

TEST_CASE("site processes: bad settings are named, and nothing starts") {
  const std::string path = "/tmp/keelbridge-bad-settings.json";
  std::ofstream(path) << "{\"name\": \"n\", \"store\": \"nowhere\"}";
  ChildProcess node("keelbridge-node", {"--settings=" + path}, path + ".log");
  CHECK(node.Wait() == 2);
  std::ifstream log(path + ".log");
  const std::string text((std::istreambuf_iterator<char>(log)),
                         std::istreambuf_iterator<char>());
  CHECK(absl::StrContains(text, "zone"));
  CHECK(absl::StrContains(text, "client_listen"));
  CHECK(absl::StrContains(text, "store"));
}

TEST_CASE("site processes: wrong calls get clear answers and cost nothing") {
  SiteCell cell({});
  REQUIRE(cell.AwaitReady(3));
  CHECK(StatusOf(cell.Call(0, "GET", 99)) == 410);
  CHECK(StatusOf(cell.Call(0, "DELETE", 99)) == 410);
  CHECK(StatusOf(cell.Call(0, "POST", 5, "no json")) == 400);
  CHECK(StatusOf(cell.Call(0, "POST", 5, "{\"steps\":[]}")) == 400);
  CHECK(StatusOf(cell.Call(0, "POST", 5, "{\"steps\":[{\"count\":\"x\"}]}")) ==
        400);
  HttpRequest elsewhere{"GET", "/other/", {{"Host", kSiteHost}}, "", ""};
  CHECK(StatusOf(cell.Raw(0, elsewhere)) == 404);
  HttpRequest bad_id{
      "GET", absl::StrCat(kSitePrefix, "zz"), {{"Host", kSiteHost}}, "", ""};
  CHECK(StatusOf(cell.Raw(0, bad_id)) == 400);
  HttpRequest large{"POST",
                    absl::StrCat(kSitePrefix, "0000000000000005"),
                    {{"Host", kSiteHost}},
                    std::string(1 << 20, 'x'),
                    "application/json"};
  const int status = StatusOf(cell.Raw(0, large));
  CHECK((status == 413 || status == 0));
  CHECK(cell.Ready(0));
  CHECK(StatusOf(cell.Call(0, "GET", 5)) == 410);
}

TEST_CASE("site processes: a traced call leaves a span a hop") {
  SiteCell cell({});
  REQUIRE(cell.AwaitReady(3));
  const int follower = cell.Leader() == 0 ? 1 : 0;
  const std::string trace = "0af7651916cd43dd8448eb211c80319c";
  HttpRequest request{
      "POST",
      absl::StrCat(kSitePrefix, "00000000000000aa"),
      {{"Host", kSiteHost},
       {"traceparent", absl::StrCat("00-", trace, "-b7ad6b7169203331-01")}},
      SiteCell::OneStep(1, 100),
      "application/json"};
  REQUIRE(StatusOf(cell.Raw(follower, request)) == 200);
  const auto spans = [&](int node) {
    std::ifstream in(cell.directory() + absl::StrCat("/node-", node, ".spans"));
    return std::string((std::istreambuf_iterator<char>(in)),
                       std::istreambuf_iterator<char>());
  };
  CHECK(Eventually([&] {
    return absl::StrContains(spans(follower), trace) &&
           absl::StrContains(spans(follower), "node.call") &&
           absl::StrContains(spans(cell.Leader()), "leader.call");
  }));
}

TEST_CASE("site processes: a cancelled job stops and is told so") {
  SiteCell cell({});
  REQUIRE(cell.AwaitReady(3));
  REQUIRE(cell.SubmitAnywhere(1, SiteCell::OneStep(2, 20000)));
  REQUIRE(cell.AwaitState(1, "running"));
  CHECK(StatusOf(cell.Call(1, "DELETE", 1)) == 200);
  CHECK(cell.State(1) == "cancelled");
  absl::SleepFor(absl::Seconds(1));
  size_t running = 0;
  cell.WithPlatform([&](SitePlatform& platform) {
    for (const SiteRun& run : platform.runs())
      running += run.ended == absl::InfiniteFuture() ? 1 : 0;
  });
  CHECK(running == 0);
}

TEST_CASE(
    "site processes: the leader is killed; nothing runs twice, nothing "
    "is lost") {
  SiteCell cell({});
  REQUIRE(cell.AwaitReady(3));
  for (uint64_t job = 1; job <= 6; ++job)
    REQUIRE(cell.SubmitAnywhere(job, SiteCell::OneStep(2, 3000)));
  const int leader = cell.Leader();
  REQUIRE(leader >= 0);
  cell.node(leader).Signal(SIGKILL);
  cell.node(leader).Wait();
  cell.ForgetNode(leader);
  for (uint64_t job = 7; job <= 9; ++job)
    REQUIRE(cell.SubmitAnywhere(job, SiteCell::OneStep(1, 200)));
  for (uint64_t job = 1; job <= 9; ++job)
    CHECK(cell.AwaitState(job, "completed", absl::Seconds(30)));
  CHECK(cell.RunCount() == 6 * 2 + 3);
  CheckNoFaults(cell);
}

TEST_CASE("site processes: all nodes are killed right after a job was taken") {
  SiteCell cell({});
  REQUIRE(cell.AwaitReady(3));
  REQUIRE(cell.SubmitAnywhere(1, SiteCell::OneStep(2, 1000)));
  for (int i = 0; i < 3; ++i) {
    cell.node(i).Signal(SIGKILL);
    cell.node(i).Wait();
  }
  for (int i = 0; i < 3; ++i) cell.StartNode(i);
  REQUIRE(cell.AwaitReady(3));
  CHECK(cell.AwaitState(1, "completed", absl::Seconds(30)));
  CheckNoFaults(cell);
}

TEST_CASE("site processes: the store is down; what was accepted goes on") {
  SiteCell cell({});
  REQUIRE(cell.AwaitReady(3));
  for (uint64_t job = 1; job <= 4; ++job)
    REQUIRE(cell.SubmitAnywhere(job, SiteCell::OneStep(1, 1500)));
  SiteStore::Faults down;
  down.down = true;
  cell.WithPlatform(
      [&](SitePlatform& platform) { platform.store().SetFaults(down); });
  // An idle leader learns of it at its next sign of life, 1.5 s apart.
  absl::SleepFor(absl::Milliseconds(2500));
  const HttpOutcome refused = cell.Call(0, "POST", 50, SiteCell::OneStep(1, 1));
  CHECK(StatusOf(refused) == 503);
  REQUIRE(refused.response.has_value());
  CHECK(!FindHeader(refused.response->headers, "Retry-After").empty());
  absl::SleepFor(absl::Milliseconds(1500));
  cell.WithPlatform([&](SitePlatform& platform) {
    platform.store().SetFaults(SiteStore::Faults());
  });
  for (uint64_t job = 1; job <= 4; ++job)
    CHECK(cell.AwaitState(job, "completed"));
  CHECK(cell.State(50) == "gone");
  CHECK(cell.RunCount() == 4);
  CheckNoFaults(cell);
}

TEST_CASE(
    "site processes: what an outage gathered is kept in several appends") {
  SiteCell::Options options;
  options.platform.workers = 30;
  SiteCell cell(options);
  REQUIRE(cell.AwaitReady(3));
  constexpr uint64_t kJobs = 80;
  for (uint64_t job = 1; job <= kJobs; ++job)
    CHECK(StatusOf(cell.Call(static_cast<int>(job % 3), "POST", job,
                             SiteCell::OneStep(2, 2500, 1000))) == 200);
  // All of them end while the store is away: more than it takes at once.
  SiteStore::Faults down;
  down.down = true;
  cell.WithPlatform(
      [&](SitePlatform& platform) { platform.store().SetFaults(down); });
  absl::SleepFor(absl::Seconds(4));
  cell.WithPlatform([](SitePlatform& platform) {
    platform.store().SetFaults(SiteStore::Faults());
  });
  for (uint64_t job = 1; job <= kJobs; ++job)
    CHECK(cell.AwaitState(job, "completed"));
  CHECK(cell.RunCount() == 2 * kJobs);
  CheckNoFaults(cell);
}

TEST_CASE("site processes: answers of store and workers are lost") {
  SiteCell cell({});
  REQUIRE(cell.AwaitReady(3));
  SiteStore::Faults lossy;
  lossy.lost_answers = 0.3;
  cell.WithPlatform([&](SitePlatform& platform) {
    platform.store().SetFaults(lossy);
    platform.SetLostOrders(0.1);
  });
  for (uint64_t job = 1; job <= 8; ++job)
    CHECK(cell.SubmitAnywhere(job, SiteCell::OneStep(2, 200)));
  cell.WithPlatform([&](SitePlatform& platform) {
    platform.store().SetFaults(SiteStore::Faults());
    platform.SetLostOrders(0);
  });
  for (uint64_t job = 1; job <= 8; ++job)
    CHECK(cell.AwaitState(job, "completed", absl::Seconds(40)));
  CheckNoFaults(cell);
}

TEST_CASE("site processes: a lost answer of the store costs little time") {
  SiteCell cell({});
  REQUIRE(cell.AwaitReady(3));
  SiteStore::Faults lossy;
  lossy.lost_answers = 0.4;
  cell.WithPlatform(
      [&](SitePlatform& platform) { platform.store().SetFaults(lossy); });
  constexpr uint64_t kJobs = 30;
  std::vector<absl::Duration> times;
  for (uint64_t job = 1; job <= kJobs; ++job) {
    const absl::Time begun = absl::Now();
    REQUIRE(cell.SubmitAnywhere(job, SiteCell::OneStep(1, 50, 200)));
    times.push_back(absl::Now() - begun);
  }
  std::sort(times.begin(), times.end());
  // Seven of ten lost no answer or one.
  CHECK(times[kJobs * 7 / 10] < absl::Milliseconds(450));
  cell.WithPlatform([&](SitePlatform& platform) {
    platform.store().SetFaults(SiteStore::Faults());
  });
  for (uint64_t job = 1; job <= kJobs; ++job)
    CHECK(cell.AwaitState(job, "completed"));
  CheckNoFaults(cell);
}

TEST_CASE("site processes: each node is stopped as planned, in turn") {
  SiteCell cell({});
  REQUIRE(cell.AwaitReady(3));
  for (uint64_t job = 1; job <= 3; ++job)
    REQUIRE(cell.SubmitAnywhere(job, SiteCell::OneStep(1, 12000)));
  for (int i = 0; i < 3; ++i) {
    cell.node(i).Signal(SIGTERM);
    CHECK(cell.node(i).Wait() == 0);
    cell.StartNode(i);
    REQUIRE(cell.AwaitReady(3));
  }
  for (uint64_t job = 1; job <= 3; ++job)
    CHECK(cell.AwaitState(job, "completed", absl::Seconds(30)));
  CHECK(cell.RunCount() == 3);
  CheckNoFaults(cell);
}

TEST_CASE("site processes: a log that nobody reads stops nothing") {
  SiteCell::Options options;
  options.blocked_logs = true;
  SiteCell cell(options);
  REQUIRE(cell.AwaitReady(3));
  // More lines than a pipe and the ring hold.
  constexpr uint64_t kJobs = 400;
  for (uint64_t job = 1; job <= kJobs; ++job)
    REQUIRE(cell.SubmitAnywhere(job, SiteCell::OneStep(1, 50, 200)));
  for (uint64_t job = 1; job <= kJobs; ++job)
    REQUIRE(cell.AwaitState(job, "completed"));
  CHECK(cell.DroppedLogLines(cell.Leader()) > 0);
  CheckNoFaults(cell);
}

}  // namespace
}  // namespace keelbridge::testing
