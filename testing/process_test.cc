// Failure tests with real processes, signals and sockets. Results are checked
// against the journals of the fake platform, which record what really ran.

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "keelbridge/protocol/verdict.h"
#include "testing/support/zone_test_cluster.h"

namespace keelbridge::testing {
namespace {

Intent Service(const std::string& id, int64_t tasks) {
  Intent intent;
  intent.id = id;
  intent.kind = IntentKind::kService;
  intent.zone = "z";
  intent.team = "a";
  intent.work_class = WorkClass::kInteractive;
  intent.tasks = tasks;
  intent.resources = {4000, 4096, 0};
  return intent;
}

std::string VerdictOf(const HttpOutcome& outcome) {
  return outcome.response
             ? FindHeader(outcome.response->headers, kVerdictHeader)
             : VerdictName(VerdictFromFailure(outcome.failure));
}

size_t CountStarts(const std::vector<RunEvent>& run_events) {
  return static_cast<size_t>(
      std::count_if(run_events.begin(), run_events.end(),
                    [](const RunEvent& f) { return f.begins; }));
}

bool AwaitAllRunning(const ZoneTestCluster& cluster, size_t tasks) {
  return Eventually([&] {
    const std::vector<RunEvent> run_events = cluster.RunEvents();
    return 2 * CountStarts(run_events) - run_events.size() == tasks;
  });
}

TEST_CASE(
    "processes: the leading scheduler is killed; nothing restarts, nothing "
    "runs twice") {
  ZoneTestCluster cluster({});
  cluster.Publish();
  REQUIRE(cluster.Confirm({Service("index", 6)}));
  REQUIRE(AwaitAllRunning(cluster, 6));
  const int leader = cluster.AwaitLeader();
  cluster.scheduler(leader).Signal(SIGKILL);
  cluster.scheduler(leader).Wait();
  cluster.RemoveScheduler(leader);
  REQUIRE(cluster.AwaitLeader() == 1 - leader);
  // Sleeps for longer than any lease, so that the lease of any task that the
  // new leader failed to take over would expire.
  absl::SleepFor(absl::Seconds(6));
  CHECK(cluster.RunEvents().size() == 6);
  CHECK(cluster.Confirm({Service("more", 2)}));
  CHECK(AwaitAllRunning(cluster, 8));
}

TEST_CASE(
    "processes: the leading scheduler is suspended for longer than any lease "
    "and resumed") {
  ZoneTestCluster cluster({});
  cluster.Publish();
  REQUIRE(cluster.Confirm({Service("index", 6)}));
  REQUIRE(AwaitAllRunning(cluster, 6));
  const int leader = cluster.AwaitLeader();
  cluster.scheduler(leader).Signal(SIGSTOP);
  REQUIRE(Eventually([&] { return cluster.Leader() == 1 - leader; }));
  absl::SleepFor(absl::Seconds(6));
  cluster.scheduler(leader).Signal(SIGCONT);
  absl::SleepFor(absl::Seconds(2));
  CHECK(cluster.RunEvents().size() == 6);
  CHECK(CheckRuns(cluster.RunEvents(), RunRules()).empty());
  CHECK(cluster.Leader() >= 0);
}

TEST_CASE(
    "processes: the leading scheduler is shut down gracefully, repeatedly") {
  ZoneTestCluster cluster({});
  cluster.Publish();
  REQUIRE(cluster.Confirm({Service("index", 6)}));
  REQUIRE(AwaitAllRunning(cluster, 6));
  for (int round = 0; round < 4; ++round) {
    const int leader = cluster.AwaitLeader();
    cluster.scheduler(leader).Signal(SIGTERM);
    CHECK(cluster.scheduler(leader).Wait() == 0);
    CHECK(cluster.AwaitLeader() == 1 - leader);
    cluster.StartScheduler(leader);
  }
  absl::SleepFor(absl::Seconds(2));
  CHECK(cluster.RunEvents().size() == 6);
}

TEST_CASE(
    "processes: while the log is down, a killed scheduler is replaced and "
    "requests are served") {
  ZoneTestCluster cluster({});
  cluster.Publish();
  REQUIRE(cluster.Confirm({Service("index", 6)}));
  REQUIRE(AwaitAllRunning(cluster, 6));
  Faults down;
  down.down = true;
  cluster.platform().SetFaults("log", down);
  const int leader = cluster.AwaitLeader();
  cluster.scheduler(leader).Signal(SIGKILL);
  cluster.scheduler(leader).Wait();
  cluster.RemoveScheduler(leader);
  CHECK(cluster.AwaitLeader() == 1 - leader);
  CHECK(VerdictOf(cluster.Send(0, {"GET", "/licence/1", {}, "", ""})) == "Ran");
  // A request with an idempotency key needs a record in the log. It is refused
  // at once and has not run.
  HttpRequest keyed{"POST",
                    "/thumbnail/1",
                    {{kIdempotencyKeyHeader, "k"}, {kDeadlineHeader, "700"}},
                    "x",
                    "text/plain"};
  const HttpOutcome refused = cluster.Send(0, keyed);
  CHECK(VerdictOf(refused) == "DidNotRun");
  REQUIRE(refused.response.has_value());
  CHECK(!FindHeader(refused.response->headers, "Retry-After").empty());
  CHECK(cluster.CountRequests("key", "k") == 0);
  // A gateway that starts while the log is down gets the configuration from its
  // peer.
  cluster.gateway(0).Signal(SIGKILL);
  cluster.gateway(0).Wait();
  cluster.StartGateway(0);
  CHECK(Eventually([&] { return cluster.Ready(0); }));
  CHECK(VerdictOf(cluster.Send(0, {"GET", "/licence/2", {}, "", ""})) == "Ran");
  absl::SleepFor(absl::Seconds(5));
  CHECK(cluster.RunEvents().size() == 6);
}

TEST_CASE(
    "processes: gateways are restarted one after the other under load, and no "
    "request is interrupted") {
  ZoneTestCluster::Options options;
  options.entry_hosts = 3;
  options.runner_work_ms = 10;
  ZoneTestCluster cluster(options);
  cluster.Publish();
  std::atomic<bool> stop{false};
  std::atomic<int> answered{0};
  std::atomic<int> interrupted{0};
  std::atomic<int> refused{0};
  std::vector<std::unique_ptr<HttpClient>> clients;
  clients.reserve(3);
  for (int i = 0; i < 3; ++i) {
    clients.push_back(std::make_unique<HttpClient>(
        ParseAddress(cluster.GatewayAddress(i)).value(),
        HttpClient::Options()));
  }
  // The load balancer polls the readiness of each host and sends requests only
  // to hosts that were ready. If a host accepts no connection, it tries the
  // next one.
  std::array<std::atomic<bool>, 3> ready{true, true, true};
  std::thread balancer([&] {
    while (!stop) {
      for (int i = 0; i < 3; ++i) ready[i] = cluster.Ready(i);
      absl::SleepFor(absl::Milliseconds(100));
    }
  });
  std::vector<std::thread> callers;
  callers.reserve(6);
  for (int c = 0; c < 6; ++c) {
    callers.emplace_back([&, c] {
      for (int n = c; !stop; ++n) {
        for (int i = 0; i < 3; ++i) {
          const int host = (n + i) % 3;
          if (!ready[host]) continue;
          const HttpOutcome outcome = clients[host]->Send(
              {"GET", absl::StrCat("/licence/", n), {}, "", ""},
              absl::Seconds(10));
          if (outcome.failure == SendFailure::kNothingSent) continue;
          if (outcome.failure == SendFailure::kMayHaveSent) {
            ++interrupted;
          } else if (outcome.response->status == 200) {
            ++answered;
          } else {
            ++refused;
          }
          break;
        }
      }
    });
  }
  for (int i = 0; i < 3; ++i) {
    absl::SleepFor(absl::Milliseconds(300));
    cluster.gateway(i).Signal(SIGTERM);
    CHECK(cluster.gateway(i).Wait() == 0);
    cluster.StartGateway(i);
    CHECK(Eventually([&] { return cluster.Ready(i); }));
  }
  stop = true;
  balancer.join();
  for (std::thread& caller : callers) caller.join();
  MESSAGE("answered ", answered.load(), ", refused ", refused.load(),
          ", interrupted ", interrupted.load());
  CHECK(interrupted == 0);
  CHECK(answered > 100);
  CHECK(refused * 20 <= answered);
}

TEST_CASE(
    "processes: a ticket runs at most once at any gateway, even if the issuing "
    "gateway is killed") {
  ZoneTestCluster cluster({});
  cluster.Publish();
  const auto ticket_of = [&cluster](int host) {
    const HttpOutcome outcome =
        cluster.Send(host, {"POST", "/keelbridge/ticket", {}, "", ""});
    REQUIRE(outcome.response.has_value());
    const std::string& body = outcome.response->body;
    return body.substr(11, body.rfind('"') - 11);
  };
  const auto send = [&cluster](int host, const std::string& ticket,
                               const std::string& id) {
    return cluster.Send(host, {"POST",
                               "/thumbnail/" + id,
                               {{kTicketHeader, ticket}},
                               "x",
                               "text/plain"});
  };
  const std::string first = ticket_of(0);
  CHECK(VerdictOf(send(1, first, "a")) == "Ran");
  CHECK(VerdictOf(send(0, first, "a")) == "MayHaveRun");
  CHECK(VerdictOf(send(1, first, "a")) == "MayHaveRun");
  CHECK(cluster.CountRequests("path", "thumbnail/a") == 1);
  const std::string second = ticket_of(0);
  cluster.gateway(0).Signal(SIGKILL);
  cluster.gateway(0).Wait();
  CHECK(VerdictOf(send(1, second, "b")) == "MayHaveRun");
  cluster.StartGateway(0);
  // A gateway without a configuration refuses every request, so the test waits
  // until it is ready.
  REQUIRE(Eventually([&] { return cluster.Ready(0); }));
  const HttpOutcome after_restart = send(0, second, "b");
  CAPTURE(after_restart.response ? after_restart.response->body
                                 : after_restart.message);
  CHECK(VerdictOf(after_restart) == "MayHaveRun");
  CHECK(cluster.CountRequests("path", "thumbnail/b") == 0);
  // A request with neither a ticket nor a key gets status 428, Precondition
  // Required.
  const HttpOutcome without_ticket =
      cluster.Send(1, {"POST", "/thumbnail/c", {}, "x", "text/plain"});
  REQUIRE(without_ticket.response.has_value());
  CHECK(without_ticket.response->status == 428);
  CHECK(VerdictOf(without_ticket) == "DidNotRun");
}

TEST_CASE(
    "processes: the same key sent at two gateways at once runs exactly once") {
  ZoneTestCluster cluster({});
  cluster.Publish();
  std::atomic<int> ran{0};
  std::vector<std::thread> callers;
  for (int host = 0; host < 2; ++host) {
    for (int part = 0; part < 4; ++part) {
      callers.emplace_back([&, host, part] {
        for (int k = part * 5; k < part * 5 + 5; ++k) {
          const HttpOutcome outcome = cluster.Send(
              host, {"POST",
                     "/thumbnail/k",
                     {{kIdempotencyKeyHeader, absl::StrCat("key", k)}},
                     "x",
                     "text/plain"});
          ran += VerdictOf(outcome) == "Ran" ? 1 : 0;
        }
      });
    }
  }
  for (std::thread& caller : callers) caller.join();
  CHECK(ran == 20);
  for (int k = 0; k < 20; ++k)
    CHECK(cluster.CountRequests("key", absl::StrCat("key", k)) == 1);
}

TEST_CASE(
    "processes: targets refuse connections, interrupt responses or leave") {
  ZoneTestCluster cluster({});
  cluster.Publish();
  Faults refuse;
  refuse.refuse = true;
  cluster.platform().SetFaults("runner/t0", refuse);
  int ran = 0;
  for (int i = 0; i < 20; ++i) {
    ran +=
        VerdictOf(cluster.Send(0, {"GET", "/licence/r", {}, "", ""})) == "Ran"
            ? 1
            : 0;
  }
  CHECK(ran == 20);
  cluster.platform().SetFaults("runner/t0", Faults());

  Faults cut_off;
  cut_off.cut_off = true;
  for (const char* runner : {"t0", "t1", "t2"})
    cluster.platform().SetFaults(absl::StrCat("runner/", runner), cut_off);
  // A repeatable request is retried on another target, and the caller never
  // gets a partial response. A request that is not repeatable is sent only
  // once.
  const HttpOutcome repeatable =
      cluster.Send(0, {"GET", "/licence/c", {}, "", ""});
  CHECK(VerdictOf(repeatable) == "MayHaveRun");
  CHECK(cluster.CountRequests("path", "licence/c") > 1);
  const HttpOutcome non_repeatable =
      cluster.Send(0, {"POST",
                       "/thumbnail/c",
                       {{kIdempotencyKeyHeader, "c"}},
                       "x",
                       "text/plain"});
  CHECK(VerdictOf(non_repeatable) == "MayHaveRun");
  CHECK(cluster.CountRequests("key", "c") == 1);
  for (const char* runner : {"t0", "t1", "t2"})
    cluster.platform().SetFaults(absl::StrCat("runner/", runner), Faults());

  cluster.platform().SetLeaving("t1", true);
  absl::SleepFor(absl::Seconds(3));
  const auto count_at_t1 = [&cluster] {
    return cluster.CountRequests("runner", "t1");
  };
  const int before = count_at_t1();
  for (int i = 0; i < 60; ++i)
    (void)cluster.Send(i % 2, {"GET", "/licence/l", {}, "", ""});
  CHECK(count_at_t1() == before);
}

// Sends raw bytes on a new connection and returns the first line of the
// response, or an empty string if there is none or `wait` is false.
std::string SendRawBytes(const std::string& address, const std::string& bytes,
                         bool wait = true) {
  const Address to = ParseAddress(address).value();
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in in{};
  in.sin_family = AF_INET;
  in.sin_port = htons(static_cast<uint16_t>(to.port));
  inet_pton(AF_INET, to.ip.c_str(), &in.sin_addr);
  std::string answer;
  if (connect(fd, reinterpret_cast<sockaddr*>(&in), sizeof(in)) == 0) {
    // Longer than the server's timeout for the rest of a request.
    const timeval read_timeout{8, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &read_timeout,
               sizeof(read_timeout));
    (void)!write(fd, bytes.data(), bytes.size());
    char buffer[4096];
    ssize_t got = 0;
    while (wait && answer.find('\r') == std::string::npos &&
           (got = read(fd, buffer, sizeof(buffer))) > 0) {
      answer.append(buffer, static_cast<size_t>(got));
    }
  }
  close(fd);
  return answer.substr(0, answer.find('\r'));
}

TEST_CASE(
    "processes: malformed requests get a 4xx or no response and use little "
    "memory") {
  ZoneTestCluster cluster({});
  cluster.Publish();
  const std::string address = cluster.GatewayAddress(0);
  const long before = cluster.gateway(0).ResidentKib();
  const auto is_4xx = [](const std::string& line) {
    return line.rfind("HTTP/1.1 4", 0) == 0;
  };
  CHECK(is_4xx(SendRawBytes(address, "GARBAGE\r\n\r\n")));
  CHECK(is_4xx(
      SendRawBytes(address, "BREW /licence/1 HTTP/1.1\r\nHost: x\r\n\r\n")));
  CHECK(is_4xx(SendRawBytes(
      address,
      "GET /nosuch HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")));
  CHECK(is_4xx(SendRawBytes(
      address,
      "GET /licence/1 HTTP/1.1\r\nHost: x\r\nKeelbridge-Deadline-Ms: "
      "soon\r\nConnection: close\r\n\r\n")));
  CHECK(is_4xx(SendRawBytes(
      address, "GET /" + std::string(100000, 'a') + " HTTP/1.1\r\n\r\n")));
  CHECK(is_4xx(
      SendRawBytes(address,
                   "POST /licence/1 HTTP/1.1\r\nHost: x\r\nContent-Length: "
                   "999999999\r\n\r\nx")));
  CHECK(is_4xx(SendRawBytes(
      address,
      "POST /licence/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc")));
  const std::string nested_json(20000, '[');
  const HttpOutcome rpc =
      cluster.Send(0, {"POST", "/rpc", {}, nested_json, "application/json"});
  REQUIRE(rpc.response.has_value());
  CHECK(rpc.response->body.find("error") != std::string::npos);
  // 200 connections send an incomplete request and close.
  const std::string partial_request =
      "GET /licence/1 HTTP/1.1\r\nX-" + std::string(500, 'h') + ": 1\r\n";
  for (int i = 0; i < 200; ++i)
    (void)SendRawBytes(address, partial_request, false);
  CHECK(VerdictOf(cluster.Send(0, {"GET", "/licence/1", {}, "", ""})) == "Ran");
  const long after = cluster.gateway(0).ResidentKib();
  MESSAGE("resident memory of the gateway: before ", before, " KiB, after ",
          after, " KiB");
  CHECK(after < before + 16L * 1024);
}

TEST_CASE(
    "processes: invalid settings and a port in use end with a clear message") {
  ZoneTestCluster cluster({});
  const std::string base = cluster.directory() + "/bad";
  std::ofstream(base + ".json") << "{\"name\": \"x\"}";
  ChildProcess missing_settings(
      "keelbridge-gateway", {"--settings=" + base + ".json"}, base + ".log");
  CHECK(missing_settings.Wait() == 2);
  std::ofstream(base + "2.json")
      << "{\"name\": \"x\", \"zone\": \"z\", \"listen\": \""
      << cluster.GatewayAddress(0)
      << "\", \"log\": \"127.0.0.1:1\", \"host_list\": \"127.0.0.1:1\"}";
  ChildProcess port_in_use("keelbridge-gateway",
                           {"--settings=" + base + "2.json"}, base + "2.log");
  CHECK(port_in_use.Wait() == 1);
  std::stringstream log_text;
  log_text << std::ifstream(base + ".log").rdbuf()
           << std::ifstream(base + "2.log").rdbuf();
  CHECK(log_text.str().find("zone: missing") != std::string::npos);
  CHECK(log_text.str().find("listen: missing") != std::string::npos);
  CHECK(log_text.str().find("cannot listen on") != std::string::npos);
}

}  // namespace
}  // namespace keelbridge::testing
