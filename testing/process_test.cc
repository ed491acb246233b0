// Failures brought about with real processes, signals and sockets. Judged from
// the stand-ins' journals.

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
             : VerdictName(VerdictOfFailure(outcome.failure));
}

size_t Begins(const std::vector<RunFact>& facts) {
  return static_cast<size_t>(std::count_if(
      facts.begin(), facts.end(), [](const RunFact& f) { return f.begins; }));
}

bool AllRun(const SmallCell& cell, size_t tasks) {
  return Eventually([&] {
    const std::vector<RunFact> facts = cell.RunFacts();
    return 2 * Begins(facts) - facts.size() == tasks;
  });
}

TEST_CASE(
    "processes: the leading scheduler is killed; nothing restarts, nothing "
    "runs twice") {
  SmallCell cell({});
  cell.Publish();
  REQUIRE(cell.Confirm({Service("index", 6)}));
  REQUIRE(AllRun(cell, 6));
  const int leader = cell.AwaitLeader();
  cell.scheduler(leader).Signal(SIGKILL);
  cell.scheduler(leader).Wait();
  cell.ForgetScheduler(leader);
  REQUIRE(cell.AwaitLeader() == 1 - leader);
  // Longer than any lease: what the new leader did not take over would lapse.
  absl::SleepFor(absl::Seconds(6));
  CHECK(cell.RunFacts().size() == 6);
  CHECK(cell.Confirm({Service("more", 2)}));
  CHECK(AllRun(cell, 8));
}

TEST_CASE(
    "processes: the leading scheduler is frozen for longer than any lease and "
    "thaws") {
  SmallCell cell({});
  cell.Publish();
  REQUIRE(cell.Confirm({Service("index", 6)}));
  REQUIRE(AllRun(cell, 6));
  const int leader = cell.AwaitLeader();
  cell.scheduler(leader).Signal(SIGSTOP);
  REQUIRE(Eventually([&] { return cell.Leader() == 1 - leader; }));
  absl::SleepFor(absl::Seconds(6));
  cell.scheduler(leader).Signal(SIGCONT);
  absl::SleepFor(absl::Seconds(2));
  CHECK(cell.RunFacts().size() == 6);
  CHECK(CheckRuns(cell.RunFacts(), RunRules()).empty());
  CHECK(cell.Leader() >= 0);
}

TEST_CASE(
    "processes: the leading scheduler is stopped as planned, again and again") {
  SmallCell cell({});
  cell.Publish();
  REQUIRE(cell.Confirm({Service("index", 6)}));
  REQUIRE(AllRun(cell, 6));
  for (int round = 0; round < 4; ++round) {
    const int leader = cell.AwaitLeader();
    cell.scheduler(leader).Signal(SIGTERM);
    CHECK(cell.scheduler(leader).Wait() == 0);
    CHECK(cell.AwaitLeader() == 1 - leader);
    cell.StartScheduler(leader);
  }
  absl::SleepFor(absl::Seconds(2));
  CHECK(cell.RunFacts().size() == 6);
}

TEST_CASE(
    "processes: the log is down; a killed scheduler is replaced and requests "
    "go on") {
  SmallCell cell({});
  cell.Publish();
  REQUIRE(cell.Confirm({Service("index", 6)}));
  REQUIRE(AllRun(cell, 6));
  Faults down;
  down.down = true;
  cell.platform().SetFaults("log", down);
  const int leader = cell.AwaitLeader();
  cell.scheduler(leader).Signal(SIGKILL);
  cell.scheduler(leader).Wait();
  cell.ForgetScheduler(leader);
  CHECK(cell.AwaitLeader() == 1 - leader);
  CHECK(VerdictOf(cell.Send(0, {"GET", "/licence/1", {}, "", ""})) == "Ran");
  // What needs a record is refused at once, and did not run.
  HttpRequest keyed{"POST",
                    "/thumbnail/1",
                    {{kIdempotencyKeyHeader, "k"}, {kDeadlineHeader, "700"}},
                    "x",
                    "text/plain"};
  const HttpOutcome refused = cell.Send(0, keyed);
  CHECK(VerdictOf(refused) == "DidNotRun");
  REQUIRE(refused.response.has_value());
  CHECK(!FindHeader(refused.response->headers, "Retry-After").empty());
  CHECK(cell.Runs("key", "k") == 0);
  // A gateway that starts now takes the configuration from its peer.
  cell.gateway(0).Signal(SIGKILL);
  cell.gateway(0).Wait();
  cell.StartGateway(0);
  CHECK(Eventually([&] { return cell.Ready(0); }));
  CHECK(VerdictOf(cell.Send(0, {"GET", "/licence/2", {}, "", ""})) == "Ran");
  absl::SleepFor(absl::Seconds(5));
  CHECK(cell.RunFacts().size() == 6);
}

TEST_CASE(
    "processes: every gateway is stopped and started in turn under load; no "
    "request is cut off") {
  SmallCell::Options options;
  options.entry_hosts = 3;
  options.runner_work_ms = 10;
  SmallCell cell(options);
  cell.Publish();
  std::atomic<bool> stop{false};
  std::atomic<int> answered{0};
  std::atomic<int> cut{0};
  std::atomic<int> refused{0};
  std::vector<std::unique_ptr<HttpClient>> clients;
  clients.reserve(3);
  for (int i = 0; i < 3; ++i) {
    clients.push_back(std::make_unique<HttpClient>(
        ParseAddress(cell.GatewayAddress(i)).value(), HttpClient::Options()));
  }
  // The balancer asks each host whether it is ready, and sends requests to
  // those that were; when a host takes no connection, it tries the next.
  std::array<std::atomic<bool>, 3> ready{true, true, true};
  std::thread balancer([&] {
    while (!stop) {
      for (int i = 0; i < 3; ++i) ready[i] = cell.Ready(i);
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
            ++cut;
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
    cell.gateway(i).Signal(SIGTERM);
    CHECK(cell.gateway(i).Wait() == 0);
    cell.StartGateway(i);
    CHECK(Eventually([&] { return cell.Ready(i); }));
  }
  stop = true;
  balancer.join();
  for (std::thread& caller : callers) caller.join();
  MESSAGE("answered ", answered.load(), ", refused ", refused.load(),
          ", cut off ", cut.load());
  CHECK(cut == 0);
  CHECK(answered > 100);
  CHECK(refused * 20 <= answered);
}

TEST_CASE(
    "processes: a ticket runs once, at whatever gateway it is sent, also when "
    "its gateway is killed") {
  SmallCell cell({});
  cell.Publish();
  const auto ticket_of = [&cell](int host) {
    const HttpOutcome outcome =
        cell.Send(host, {"POST", "/keelbridge/ticket", {}, "", ""});
    REQUIRE(outcome.response.has_value());
    const std::string& body = outcome.response->body;
    return body.substr(11, body.rfind('"') - 11);
  };
  const auto send = [&cell](int host, const std::string& ticket,
                            const std::string& id) {
    return cell.Send(host, {"POST",
                            "/thumbnail/" + id,
                            {{kTicketHeader, ticket}},
                            "x",
                            "text/plain"});
  };
  const std::string first = ticket_of(0);
  CHECK(VerdictOf(send(1, first, "a")) == "Ran");
  CHECK(VerdictOf(send(0, first, "a")) == "MayHaveRun");
  CHECK(VerdictOf(send(1, first, "a")) == "MayHaveRun");
  CHECK(cell.Runs("path", "thumbnail/a") == 1);
  const std::string second = ticket_of(0);
  cell.gateway(0).Signal(SIGKILL);
  cell.gateway(0).Wait();
  CHECK(VerdictOf(send(1, second, "b")) == "MayHaveRun");
  cell.StartGateway(0);
  // Before it has a configuration it refuses everything, whatever the ticket.
  REQUIRE(Eventually([&] { return cell.Ready(0); }));
  const HttpOutcome again = send(0, second, "b");
  CAPTURE(again.response ? again.response->body : again.message);
  CHECK(VerdictOf(again) == "MayHaveRun");
  CHECK(cell.Runs("path", "thumbnail/b") == 0);
  // Without ticket or key the caller is told what to send.
  const HttpOutcome bare =
      cell.Send(1, {"POST", "/thumbnail/c", {}, "x", "text/plain"});
  REQUIRE(bare.response.has_value());
  CHECK(bare.response->status == 428);
  CHECK(VerdictOf(bare) == "DidNotRun");
}

TEST_CASE(
    "processes: the same key sent at two gateways at once runs exactly once") {
  SmallCell cell({});
  cell.Publish();
  std::atomic<int> ran{0};
  std::vector<std::thread> callers;
  for (int host = 0; host < 2; ++host) {
    for (int part = 0; part < 4; ++part) {
      callers.emplace_back([&, host, part] {
        for (int k = part * 5; k < part * 5 + 5; ++k) {
          const HttpOutcome outcome = cell.Send(
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
    CHECK(cell.Runs("key", absl::StrCat("key", k)) == 1);
}

TEST_CASE("processes: targets that refuse, cut off or leave") {
  SmallCell cell({});
  cell.Publish();
  Faults refuse;
  refuse.refuse = true;
  cell.platform().SetFaults("runner/t0", refuse);
  int ran = 0;
  for (int i = 0; i < 20; ++i) {
    ran += VerdictOf(cell.Send(0, {"GET", "/licence/r", {}, "", ""})) == "Ran"
               ? 1
               : 0;
  }
  CHECK(ran == 20);
  cell.platform().SetFaults("runner/t0", Faults());

  Faults cut_off;
  cut_off.cut_off = true;
  for (const char* runner : {"t0", "t1", "t2"})
    cell.platform().SetFaults(absl::StrCat("runner/", runner), cut_off);
  // Repeatable: tried elsewhere, and never a part of an answer. Not repeatable:
  // once only.
  const HttpOutcome repeatable =
      cell.Send(0, {"GET", "/licence/c", {}, "", ""});
  CHECK(VerdictOf(repeatable) == "MayHaveRun");
  CHECK(cell.Runs("path", "licence/c") > 1);
  const HttpOutcome once = cell.Send(0, {"POST",
                                         "/thumbnail/c",
                                         {{kIdempotencyKeyHeader, "c"}},
                                         "x",
                                         "text/plain"});
  CHECK(VerdictOf(once) == "MayHaveRun");
  CHECK(cell.Runs("key", "c") == 1);
  for (const char* runner : {"t0", "t1", "t2"})
    cell.platform().SetFaults(absl::StrCat("runner/", runner), Faults());

  cell.platform().SetLeaving("t1", true);
  absl::SleepFor(absl::Seconds(3));
  const auto at_t1 = [&cell] { return cell.Runs("runner", "t1"); };
  const int before = at_t1();
  for (int i = 0; i < 60; ++i)
    (void)cell.Send(i % 2, {"GET", "/licence/l", {}, "", ""});
  CHECK(at_t1() == before);
}

// Sends raw bytes and returns the first line of the answer, if it waits.
std::string Raw(const std::string& address, const std::string& bytes,
                bool wait = true) {
  const Address to = ParseAddress(address).value();
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in in{};
  in.sin_family = AF_INET;
  in.sin_port = htons(static_cast<uint16_t>(to.port));
  inet_pton(AF_INET, to.ip.c_str(), &in.sin_addr);
  std::string answer;
  if (connect(fd, reinterpret_cast<sockaddr*>(&in), sizeof(in)) == 0) {
    // Longer than the server waits for the rest of a request.
    const timeval longest{8, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof(longest));
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

TEST_CASE("processes: hostile requests get a 4xx or nothing, and cost little") {
  SmallCell cell({});
  cell.Publish();
  const std::string address = cell.GatewayAddress(0);
  const long before = cell.gateway(0).ResidentKib();
  const auto is_4xx = [](const std::string& line) {
    return line.rfind("HTTP/1.1 4", 0) == 0;
  };
  CHECK(is_4xx(Raw(address, "GARBAGE\r\n\r\n")));
  CHECK(is_4xx(Raw(address, "BREW /licence/1 HTTP/1.1\r\nHost: x\r\n\r\n")));
  CHECK(is_4xx(
      Raw(address,
          "GET /nosuch HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")));
  CHECK(is_4xx(
      Raw(address,
          "GET /licence/1 HTTP/1.1\r\nHost: x\r\nKeelbridge-Deadline-Ms: "
          "soon\r\nConnection: close\r\n\r\n")));
  CHECK(is_4xx(
      Raw(address, "GET /" + std::string(100000, 'a') + " HTTP/1.1\r\n\r\n")));
  CHECK(is_4xx(Raw(address,
                   "POST /licence/1 HTTP/1.1\r\nHost: x\r\nContent-Length: "
                   "999999999\r\n\r\nx")));
  CHECK(is_4xx(Raw(
      address,
      "POST /licence/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc")));
  const std::string deep(20000, '[');
  const HttpOutcome rpc =
      cell.Send(0, {"POST", "/rpc", {}, deep, "application/json"});
  REQUIRE(rpc.response.has_value());
  CHECK(rpc.response->body.find("error") != std::string::npos);
  // Half a request each, and gone.
  const std::string half =
      "GET /licence/1 HTTP/1.1\r\nX-" + std::string(500, 'h') + ": 1\r\n";
  for (int i = 0; i < 200; ++i) (void)Raw(address, half, false);
  CHECK(VerdictOf(cell.Send(0, {"GET", "/licence/1", {}, "", ""})) == "Ran");
  const long after = cell.gateway(0).ResidentKib();
  MESSAGE("gateway's memory before ", before, " KiB, after ", after, " KiB");
  CHECK(after < before + 16L * 1024);
}

TEST_CASE("processes: bad settings and a taken port end with a clear message") {
  SmallCell cell({});
  const std::string base = cell.directory() + "/bad";
  std::ofstream(base + ".json") << "{\"name\": \"x\"}";
  ChildProcess bad("keelbridge-gateway", {"--settings=" + base + ".json"},
                   base + ".log");
  CHECK(bad.Wait() == 2);
  std::ofstream(base + "2.json")
      << "{\"name\": \"x\", \"zone\": \"z\", \"listen\": \""
      << cell.GatewayAddress(0)
      << "\", \"log\": \"127.0.0.1:1\", \"host_list\": \"127.0.0.1:1\"}";
  ChildProcess taken("keelbridge-gateway", {"--settings=" + base + "2.json"},
                     base + "2.log");
  CHECK(taken.Wait() == 1);
  std::stringstream said;
  said << std::ifstream(base + ".log").rdbuf()
       << std::ifstream(base + "2.log").rdbuf();
  CHECK(said.str().find("zone: missing") != std::string::npos);
  CHECK(said.str().find("listen: missing") != std::string::npos);
  CHECK(said.str().find("cannot listen on") != std::string::npos);
}

}  // namespace
}  // namespace keelbridge::testing
