#include "testing/support/zone_test_cluster.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/protocol/log_messages.h"
#include "keelbridge/protocol/platform_clients.h"

namespace keelbridge::testing {
namespace {

constexpr absl::Duration kEventuallyTimeout = absl::Seconds(60);
constexpr absl::Duration kCallTimeout = absl::Seconds(5);

Json::Value ParseJson(const std::string& line) {
  return JsonDocument::Parse(line, "journal").root();
}

}  // namespace

bool Eventually(const std::function<bool()>& done) {
  const absl::Time end = absl::Now() + kEventuallyTimeout;
  while (!done()) {
    if (absl::Now() > end) return false;
    absl::SleepFor(absl::Milliseconds(20));
  }
  return true;
}

ZoneTestCluster::ZoneTestCluster(Options options) : options_(options) {
  std::string name =
      (std::filesystem::temp_directory_path() / "keelbridge-test.XXXXXX")
          .string();
  directory_ = mkdtemp(name.data());
  PlatformServer::Options platform;
  platform.runner_work_ms = options.runner_work_ms;
  platform.host_list_lag = absl::Milliseconds(200);
  platform_ = std::make_unique<PlatformServer>(platform);
  platform_port_ = platform_->Start().value();
  platform_->Serve(ParseConfiguration(ConfigurationText(), "test").value());
  hosts_.resize(static_cast<size_t>(options.entry_hosts));
  for (int i = 0; i < options.entry_hosts; ++i) {
    StartScheduler(i);
    StartGateway(i);
  }
}

ZoneTestCluster::~ZoneTestCluster() {
  hosts_.clear();
  platform_->Stop();
  // Setting KEELBRIDGE_KEEP keeps the logs of the processes for inspection.
  if (std::getenv("KEELBRIDGE_KEEP") == nullptr) {
    std::filesystem::remove_all(directory_);
  }
}

std::string ZoneTestCluster::PlatformAddress() const {
  return absl::StrCat("127.0.0.1:", platform_port_);
}

std::string ZoneTestCluster::StartDaemon(const std::string& role, int host,
                                         int port,
                                         std::unique_ptr<ChildProcess>* child) {
  const std::string base = absl::StrCat(directory_, "/", role, host);
  std::filesystem::remove(base + ".port");
  Json::Value settings;
  settings["name"] = absl::StrCat("e", host);
  settings["zone"] = "z";
  settings["listen"] = absl::StrCat("127.0.0.1:", port);
  settings["log"] = PlatformAddress() + "/log";
  settings["host_list"] = PlatformAddress() + "/hosts";
  settings["peers"] = Json::Value(Json::arrayValue);
  for (const Host& other : hosts_) {
    const std::string& peer =
        role == "gateway" ? other.gateway_address : other.scheduler_address;
    if (!peer.empty()) settings["peers"].append(peer);
  }
  settings["ready_file"] = base + ".port";
  settings["poll_every_ms"] = 200;
  settings["log_timeout_ms"] = 500;
  settings["drain_notice_ms"] = 1200;
  settings["hold_ttl_ms"] = 1200;
  settings["lease_ttl_ms"] = 4000;
  settings["command_validity_ms"] = 500;
  settings["clock_error_ms"] = 50;
  if (role == "gateway") settings["scheduler"] = hosts_[host].scheduler_address;
  std::ofstream(base + ".json") << ToJsonText(settings);
  *child = std::make_unique<ChildProcess>(
      "keelbridge-" + role,
      std::vector<std::string>{"--settings=" + base + ".json"}, base + ".log");
  int port_served = 0;
  Eventually([&] {
    std::ifstream file(base + ".port");
    return static_cast<bool>(file >> port_served);
  });
  return absl::StrCat("127.0.0.1:", port_served);
}

void ZoneTestCluster::StartGateway(int host) {
  Host& h = hosts_[host];
  Result<Address> old = ParseAddress(h.gateway_address);
  h.gateway_address =
      StartDaemon("gateway", host, old ? old.value().port : 0, &h.gateway);
}

void ZoneTestCluster::StartScheduler(int host) {
  Host& h = hosts_[host];
  Result<Address> old = ParseAddress(h.scheduler_address);
  h.scheduler_address =
      StartDaemon("scheduler", host, old ? old.value().port : 0, &h.scheduler);
}

std::string ZoneTestCluster::ConfigurationText() const {
  Json::Value out;
  out["deployment"] = "test";
  out["policy"] = "waiting-first";
  out["zones"][0]["name"] = "z";
  const auto service = [&out](const char* name, bool repeatable) {
    Json::Value row;
    row["name"] = name;
    row["repeatable"] = repeatable;
    row["timeout_ms"] = 4000;
    out["services"].append(row);
  };
  service("licence", true);
  service("thumbnail", false);
  out["teams"][0]["name"] = "a";
  out["teams"][0]["quota"] = 1.0;
  out["entry_hosts"] = Json::Value(Json::arrayValue);
  for (size_t i = 0; i < hosts_.size(); ++i) {
    Json::Value row;
    row["name"] = absl::StrCat("e", i);
    row["zone"] = "z";
    row["gateway"] = hosts_[i].gateway_address;
    row["scheduler"] = hosts_[i].scheduler_address;
    out["entry_hosts"].append(row);
  }
  for (int i = 0; i < options_.workers; ++i) {
    Json::Value row;
    row["name"] = absl::StrCat("w", i);
    row["zone"] = "z";
    row["rack"] = "r";
    row["address"] = absl::StrCat(PlatformAddress(), "/worker/w", i);
    row["cpu_cores"] = 16;
    row["memory_gib"] = 32;
    out["workers"].append(row);
  }
  for (int i = 0; i < options_.targets; ++i) {
    Json::Value row;
    row["name"] = absl::StrCat("t", i);
    row["zone"] = "z";
    row["address"] = absl::StrCat(PlatformAddress(), "/runner/t", i);
    row["slots"] = static_cast<Json::Int64>(options_.slots);
    row["connections"] = 64;
    row["services"].append("licence");
    row["services"].append("thumbnail");
    out["targets"].append(row);
  }
  return ToJsonText(out);
}

void ZoneTestCluster::Publish() {
  LogClient log(ParseAddress(PlatformAddress() + "/log").value());
  const Envelope envelope{{RandomId() >> 1, 1},
                          {ConfigurationEntry{-1, -1, ConfigurationText()}}};
  (void)log.Append(kConfigurationStream, EnvelopeToText(envelope),
                   kCallTimeout);
  Eventually([this] {
    for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
      if (!Ready(i)) return false;
    }
    return true;
  });
}

bool ZoneTestCluster::Ready(int host) const {
  const HttpOutcome outcome =
      Send(host, {"GET", "/readyz", {}, "", ""}, absl::Seconds(1));
  return outcome.response && outcome.response->status == 200;
}

int ZoneTestCluster::Leader() const {
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (!hosts_[i].scheduler) continue;
    RpcClient client(ParseAddress(hosts_[i].scheduler_address).value());
    Result<Json::Value> status = client.Call(
        "status", Json::objectValue, absl::Milliseconds(300), TraceContext());
    if (status && status.value()["role"] == "leader")
      return static_cast<int>(i);
  }
  return -1;
}

int ZoneTestCluster::AwaitLeader() const {
  int leader = -1;
  Eventually([&] { return (leader = Leader()) >= 0; });
  return leader;
}

bool ZoneTestCluster::Confirm(const std::vector<Intent>& intents) const {
  Json::Value params;
  for (const Intent& intent : intents) params["intents"].append(ToJson(intent));
  return Eventually([&] {
    const int leader = AwaitLeader();
    if (leader < 0) return false;
    RpcClient client(ParseAddress(hosts_[leader].scheduler_address).value());
    Result<Json::Value> plan =
        client.Call("plan", params, kCallTimeout, TraceContext());
    if (!plan) return false;
    Json::Value confirm;
    confirm["plan"] = plan.value();
    Result<Json::Value> answer =
        client.Call("confirm", confirm, kCallTimeout, TraceContext());
    return answer && answer.value().isMember("confirmed");
  });
}

HttpOutcome ZoneTestCluster::Send(int host, const HttpRequest& request,
                                  absl::Duration timeout) const {
  HttpClient client(ParseAddress(hosts_[host].gateway_address).value(),
                    HttpClient::Options());
  return client.Send(request, timeout);
}

std::vector<Json::Value> ZoneTestCluster::JournalEntries(
    const std::string& kind) const {
  std::vector<Json::Value> out;
  for (const std::string& line : platform_->Journal()) {
    Json::Value row = ParseJson(line);
    if (row["kind"] == kind) out.push_back(std::move(row));
  }
  return out;
}

int ZoneTestCluster::CountRequests(const std::string& key,
                                   const std::string& value) const {
  int runs = 0;
  for (const Json::Value& row : JournalEntries())
    runs += row[key].asString() == value ? 1 : 0;
  return runs;
}

std::vector<RunEvent> ZoneTestCluster::RunEvents() const {
  std::vector<RunEvent> out;
  for (const Json::Value& row : JournalEntries("run")) {
    RunEvent run_event;
    run_event.at = absl::FromUnixMillis(row["at_ms"].asInt64());
    run_event.worker = row["worker"].asString();
    run_event.task = row["task"].asString();
    run_event.attempt = row["attempt"].asInt64();
    run_event.begins = row["begins"].asBool();
    out.push_back(std::move(run_event));
  }
  return out;
}

}  // namespace keelbridge::testing
