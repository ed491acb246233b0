#include "testing/support/site_test_cluster.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <future>
#include <iostream>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/protocol/job.h"

namespace keelbridge::testing {
namespace {

constexpr absl::Duration kAwaitTimeout = absl::Seconds(20);
constexpr absl::Duration kPollInterval = absl::Milliseconds(50);
// Less than the 15 s after which nodes close an idle connection.
constexpr absl::Duration kClientIdle = absl::Seconds(10);
// Nodes listen on x.x.x.10 and the following addresses. The seed address
// x.x.x.9 leads to the first node through a proxy, so that a node that is cut
// off by its peer proxy cannot be reached through the seed address either.
constexpr int kSeedHost = 9;
constexpr int kFirstHost = 10;
// The ports of each node.
constexpr int kPeerPort = 7580;
constexpr int kClientPort = 7581;
constexpr int kReadyPort = 7582;
constexpr int kMetricsPort = 7583;
// Lines of each node's log that are printed if the cluster is not ready.
constexpr int kPrintedLogLines = 3;

// Returns the prefix of loopback addresses that only this test cluster uses. On
// a shared address, a port that is free when it is chosen may be taken before
// the node listens on it, by another test cluster or as the local port of a new
// connection.
std::string UniqueSubnet() {
  static std::atomic<uint32_t> clusters{0};
  constexpr uint32_t kClustersPerProcess = 8;
  const uint32_t cluster =
      static_cast<uint32_t>(::getpid()) * kClustersPerProcess +
      clusters++ % kClustersPerProcess;
  // 127.0 to 127.15 are left to other programs.
  return absl::StrCat("127.", 16 + cluster / 256 % 240, ".", cluster % 256,
                      ".");
}

HttpOutcome CallAddress(const std::string& address, const HttpRequest& request,
                        absl::Duration timeout) {
  HttpClient client(ParseAddress(address).value(), {});
  return client.Send(request, timeout);
}

}  // namespace

SiteTestCluster::SiteTestCluster(const Options& options)
    : options_(options),
      subnet_(UniqueSubnet()),
      work_(boost::asio::make_work_guard(loop_)),
      nodes_(static_cast<size_t>(options.nodes)) {
  char path[] = "/tmp/keelbridge-site-XXXXXX";
  directory_ = ::mkdtemp(path);
  platform_ = std::make_unique<SitePlatform>(loop_, options_.platform);
  platform_->PublishConfiguration(1);
  for (int i = 0; options_.proxies && i < options_.nodes; ++i)
    store_proxies_.push_back(
        std::make_unique<FaultProxy>(loop_, platform_->store_address()));
  if (options_.proxies) platform_->UseWorkerProxies();
  thread_ = std::thread([this] { loop_.run(); });
  for (int i = 0; options_.proxies && i < options_.nodes; ++i)
    AddPeerProxy(HostOf(i));
  if (options_.proxies) AddSeedProxy();
  for (int i = 0; i < options_.nodes; ++i) {
    const std::string ip = HostOf(i);
    Node& node = nodes_[Index(i)];
    node.client_address = absl::StrCat(ip, ":", kClientPort);
    node.ready_address = absl::StrCat(ip, ":", kReadyPort);
    node.metrics_address = absl::StrCat(ip, ":", kMetricsPort);
    node.peer_address = absl::StrCat(ip, ":", kPeerPort);
    node.persistent_client = std::make_unique<HttpClient>(
        ParseAddress(node.client_address).value(), HttpClient::Options());
    node.settings_path = absl::StrCat(directory_, "/node-", i, ".json");
    WriteSettings(i);
    StartNode(i);
  }
}

void SiteTestCluster::AddPeerProxy(const std::string& ip) {
  std::promise<void> added;
  boost::asio::post(loop_, [&] {
    peer_proxies_.push_back(
        std::make_unique<FaultProxy>(loop_, Address{ip, kPeerPort, ""}));
    added.set_value();
  });
  added.get_future().wait();
}

void SiteTestCluster::AddSeedProxy() {
  WithPlatform([&](SitePlatform&) {
    seed_proxy_ =
        std::make_unique<FaultProxy>(loop_, peer_proxies_[0]->address(),
                                     Address{Host(kSeedHost), kPeerPort, ""});
  });
}

std::string SiteTestCluster::Host(int number) const {
  return absl::StrCat(subnet_, number);
}

std::string SiteTestCluster::HostOf(int node) const {
  return Host(kFirstHost + node);
}

SiteTestCluster::~SiteTestCluster() {
  nodes_.clear();
  for (const int pipe : log_pipes_) ::close(pipe);
  // Stop the loop first: its pending handlers refer to the platform.
  loop_.stop();
  thread_.join();
  store_proxies_.clear();
  seed_proxy_.reset();
  peer_proxies_.clear();
  platform_.reset();
}

void SiteTestCluster::WriteSettings(int index) {
  const Node& node = nodes_[Index(index)];
  Json::Value settings(Json::objectValue);
  settings["name"] = absl::StrCat("node-", index);
  settings["zone"] = absl::StrCat("zone-", ZoneOf(index));
  settings["client_listen"] = node.client_address;
  settings["ready_listen"] = node.ready_address;
  settings["peer_listen"] = node.peer_address;
  if (options_.proxies)
    settings["peer_announce"] =
        peer_proxies_[Index(index)]->address().ToString();
  settings["metrics_listen"] = node.metrics_address;
  const Address store = options_.proxies
                            ? store_proxies_[Index(index)]->address()
                            : platform_->store_address();
  settings["store"] = store.ToString();
  settings["advice"] = platform_->advice_address().ToString();
  // The first node does not need the proxy to reach itself.
  const std::string seed =
      options_.proxies && index > 0 ? Host(kSeedHost) : HostOf(0);
  settings["seeds"].append(seed + ":1");
  settings["trace_file"] = absl::StrCat(directory_, "/node-", index, ".spans");
  if (options_.heartbeat_tree) {
    settings["max_flat_site"] = 1;
    settings["max_heartbeat_children"] = 2;
  }
  settings["stop_grace_s"] = 6;
  settings["store_append_bytes"] = Json::Int64(SiteStore::kMaxAppendBytes);
  std::ofstream(node.settings_path) << ToJsonText(settings);
}

void SiteTestCluster::StartNode(int index) {
  Node& node = nodes_[Index(index)];
  const std::string log = absl::StrCat(directory_, "/node-", index, ".log");
  if (options_.blocked_logs && ::mkfifo(log.c_str(), 0600) == 0)
    log_pipes_.push_back(::open(log.c_str(), O_RDWR | O_NONBLOCK));
  node.process = std::make_unique<ChildProcess>(
      "keelbridge-node",
      std::vector<std::string>{absl::StrCat("--settings=", node.settings_path)},
      log);
}

bool SiteTestCluster::Ready(int index) {
  const HttpOutcome outcome =
      CallAddress(nodes_[Index(index)].ready_address,
                  {"GET", "/ready", {}, "", ""}, absl::Milliseconds(500));
  return outcome.response && outcome.response->status == 200;
}

bool SiteTestCluster::AwaitReady(int count) {
  const absl::Time until = absl::Now() + kAwaitTimeout;
  while (absl::Now() < until) {
    int ready = 0;
    for (int i = 0; i < options_.nodes; ++i) ready += Ready(i) ? 1 : 0;
    if (ready >= count) return true;
    absl::SleepFor(kPollInterval);
  }
  PrintNodeStates();
  return false;
}

void SiteTestCluster::PrintNodeStates() {
  for (int i = 0; i < options_.nodes; ++i) {
    std::cerr << "node " << i << (Alive(i) ? " runs, " : " has ended, ")
              << (Ready(i) ? "ready\n" : "not ready\n");
    std::ifstream log(absl::StrCat(directory_, "/node-", i, ".log"));
    std::deque<std::string> last;
    for (std::string line; std::getline(log, line);) {
      last.push_back(line);
      if (last.size() > kPrintedLogLines) last.pop_front();
    }
    for (const std::string& line : last) std::cerr << "  " << line << "\n";
  }
}

int SiteTestCluster::Leader() {
  for (int i = 0; i < options_.nodes; ++i) {
    if (!Alive(i)) continue;
    const HttpOutcome outcome =
        CallAddress(nodes_[Index(i)].metrics_address,
                    {"GET", "/metrics", {}, "", ""}, absl::Milliseconds(500));
    if (outcome.response &&
        absl::StrContains(outcome.response->body, "keelbridge_node_leads 1"))
      return i;
  }
  return -1;
}

int64_t SiteTestCluster::ReadGauge(int index, const std::string& name) {
  const HttpOutcome outcome =
      CallAddress(nodes_[Index(index)].metrics_address,
                  {"GET", "/metrics", {}, "", ""}, absl::Milliseconds(500));
  if (!outcome.response) return -1;
  const std::string line = absl::StrCat("\n", name, " ");
  const size_t at = outcome.response->body.find(line);
  int64_t value = -1;
  if (at == std::string::npos) return value;
  const std::string rest = outcome.response->body.substr(at + line.size());
  return absl::SimpleAtoi(rest.substr(0, rest.find('\n')), &value) ? value : -1;
}

int64_t SiteTestCluster::DroppedLogLines(int index) {
  return ReadGauge(index, "keelbridge_node_log_lines_dropped");
}

int64_t SiteTestCluster::ConfigurationVersion(int index) {
  return ReadGauge(index, "keelbridge_node_configuration_version");
}

int64_t SiteTestCluster::MemberCount(int index) {
  return ReadGauge(index, "keelbridge_node_members");
}

int64_t SiteTestCluster::HeartbeatDepth(int index) {
  return ReadGauge(index, "keelbridge_node_heartbeat_depth");
}

std::unique_ptr<HttpClient> SiteTestCluster::NewClient(int index) const {
  HttpClient::Options options;
  options.idle_expiry = kClientIdle;
  return std::make_unique<HttpClient>(
      ParseAddress(nodes_[Index(index)].client_address).value(), options);
}

HttpOutcome SiteTestCluster::SendRequest(int index, const HttpRequest& request,
                                         absl::Duration timeout) {
  return nodes_[Index(index)].persistent_client->Send(request, timeout);
}

HttpHeaders SiteTestCluster::RequestHeaders() const {
  HttpHeaders headers = {{"Host", kSiteHost}};
  if (!options_.key.empty())
    headers.emplace_back("X-Keelbridge-Key", options_.key);
  return headers;
}

HttpOutcome SiteTestCluster::Call(int index, const std::string& method,
                                  uint64_t job, const std::string& body,
                                  absl::Duration timeout) {
  HttpRequest request{method, absl::StrCat(kSitePrefix, JobIdText(job)),
                      RequestHeaders(), body, "application/json"};
  return SendRequest(index, request, timeout);
}

bool SiteTestCluster::SubmitAnywhere(uint64_t job, const std::string& body) {
  const absl::Time until = absl::Now() + kAwaitTimeout;
  for (int turn = 0; absl::Now() < until; ++turn) {
    const int index = turn % options_.nodes;
    if (!Alive(index)) continue;
    const HttpOutcome outcome = Call(index, "POST", job, body);
    if (outcome.response && outcome.response->status == 200) return true;
    absl::SleepFor(kPollInterval);
  }
  return false;
}

std::string SiteTestCluster::State(uint64_t job) {
  for (int i = 0; i < options_.nodes; ++i) {
    if (!Alive(i)) continue;
    const HttpOutcome outcome = Call(i, "GET", job);
    if (!outcome.response) continue;
    if (outcome.response->status == 410) return "gone";
    if (outcome.response->status != 200) continue;
    return JsonDocument::Parse(outcome.response->body, "state")
        .root()["state"]
        .asString();
  }
  return "";
}

bool SiteTestCluster::AwaitState(uint64_t job, const std::string& state,
                                 absl::Duration max_wait) {
  const absl::Time until = absl::Now() + max_wait;
  while (absl::Now() < until) {
    if (State(job) == state) return true;
    absl::SleepFor(kPollInterval);
  }
  return false;
}

void SiteTestCluster::SetStoreProxy(int node, FaultProxy::Mode mode) {
  WithPlatform(
      [&](SitePlatform&) { store_proxies_[Index(node)]->SetMode(mode); });
}

void SiteTestCluster::SetPeerProxy(int node, FaultProxy::Mode mode) {
  boost::asio::post(
      loop_, [this, node, mode] { peer_proxies_[Index(node)]->SetMode(mode); });
}

void SiteTestCluster::HealStoreProxyWithoutReset(int node) {
  WithPlatform(
      [&](SitePlatform&) { store_proxies_[Index(node)]->ResumeForwarding(); });
}

void SiteTestCluster::HealPeerProxyWithoutReset(int node) {
  WithPlatform(
      [&](SitePlatform&) { peer_proxies_[Index(node)]->ResumeForwarding(); });
}

void SiteTestCluster::BlackholeOpenConnectionsOf(int node) {
  WithPlatform([&](SitePlatform&) {
    store_proxies_[Index(node)]->BlackholeOpenConnections();
    peer_proxies_[Index(node)]->BlackholeOpenConnections();
  });
}

void SiteTestCluster::BlackholeAllOpenConnections() {
  WithPlatform([&](SitePlatform& platform) {
    for (const auto& proxy : store_proxies_) proxy->BlackholeOpenConnections();
    for (const auto& proxy : peer_proxies_) proxy->BlackholeOpenConnections();
    seed_proxy_->BlackholeOpenConnections();
    platform.BlackholeOpenWorkerConnections();
  });
}

void SiteTestCluster::SetStoreLinkRate(int node, double bytes_per_second) {
  WithPlatform([&](SitePlatform&) {
    store_proxies_[Index(node)]->SetResponseRate(bytes_per_second);
  });
}

void SiteTestCluster::SetWorkerProxy(int worker, FaultProxy::Mode mode) {
  WithPlatform(
      [&](SitePlatform& platform) { platform.SetWorkerProxy(worker, mode); });
}

void SiteTestCluster::WithPlatform(
    const std::function<void(SitePlatform&)>& step) {
  std::promise<void> done;
  boost::asio::post(loop_, [&] {
    step(*platform_);
    done.set_value();
  });
  done.get_future().wait();
}

std::vector<std::string> SiteTestCluster::Violations() {
  std::vector<std::string> out;
  WithPlatform([&](SitePlatform& platform) { out = platform.violations(); });
  return out;
}

size_t SiteTestCluster::RunCount() {
  size_t out = 0;
  WithPlatform([&](SitePlatform& platform) { out = platform.runs().size(); });
  return out;
}

std::string SiteTestCluster::OneStepJob(int tasks, int work_ms, int cpu) {
  const std::string plan =
      absl::StrCat("[{\\\"cpu\\\":", cpu,
                   ",\\\"memory\\\":1024,\\\"work_ms\\\":", work_ms, "}]");
  return absl::StrCat("{\"taskSpec\":\"", plan,
                      "\",\"steps\":[{\"count\":", tasks, ",\"cpu\":", cpu,
                      ",\"memoryRequestMb\":1024,\"estimatedMs\":", work_ms,
                      "}]}");
}

std::string SiteTestCluster::CrashingTasksJob(int tasks) {
  return absl::StrCat(
      "{\"taskSpec\":\"[{\\\"cpu\\\":2000,\\\"memory\\\":1024,\\\"work_ms\\\":"
      "5000,\\\"crashes\\\":true}]\",\"steps\":[{\"count\":",
      tasks, ",\"cpu\":2000,\"memoryRequestMb\":1024,\"estimatedMs\":500}]}");
}

std::string SiteTestCluster::GangThenOneTaskJob(int members) {
  const std::string plan = absl::StrCat(
      "[{\\\"cpu\\\":3000,\\\"memory\\\":1024,\\\"work_ms\\\":400,"
      "\\\"gang\\\":",
      members, "},{\\\"cpu\\\":1000,\\\"memory\\\":512,\\\"work_ms\\\":200}]");
  return absl::StrCat(
      "{\"taskSpec\":\"", plan, "\",\"steps\":[{\"count\":", members,
      ",\"cpu\":3000,\"memoryRequestMb\":1024,\"estimatedMs\":400,\"gang\":"
      "true},{\"count\":1,\"cpu\":1000,\"memoryRequestMb\":512,\"estimatedMs\":"
      "200,\"dependsOn\":[0]}]}");
}

}  // namespace keelbridge::testing
