#include "keelbridge/daemon/gateway.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/coordination/membership.h"
#include "keelbridge/daemon/configuration_follower.h"
#include "keelbridge/daemon/metrics.h"
#include "keelbridge/daemon/periodic_task.h"
#include "keelbridge/daemon/request_server.h"
#include "keelbridge/protocol/platform_clients.h"
#include "keelbridge/protocol/verdict.h"
#include "keelbridge/transport/http_server.h"
#include "keelbridge/transport/rpc_client.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kPeerTimeout = absl::Milliseconds(500);

}  // namespace

class Gateway::Impl {
 public:
  Impl(const Settings& settings, Address log, Address hosts)
      : settings_(settings),
        incarnation_(RandomId() >> 1),
        log_(std::move(log)),
        host_list_(std::move(hosts)),
        configuration_(log_, settings.log_timeout),
        metrics_("gateway"),
        requests_(settings, incarnation_, log_, metrics_) {}

  Result<void> Start() {
    Result<Address> listen = ParseAddress(settings_.listen);
    if (!listen) return listen.error();
    HttpServer::Options options;
    options.ip = listen.value().ip;
    options.port = listen.value().port;
    options.max_threads = static_cast<size_t>(settings_.max_connections);
    options.max_body_bytes = static_cast<size_t>(settings_.max_body_bytes);
    AddRpcMethods();
    server_ = std::make_unique<HttpServer>(
        options,
        [this](const ServerRequest& request) { return Handle(request); });
    Result<int> port = server_->Start();
    if (!port) return port.error();
    port_ = port.value();
    StartMembership(absl::StrCat(listen.value().ip, ":", port_));
    tasks_.Start("configuration", settings_.poll_interval,
                 [this] { FollowConfiguration(); });
    tasks_.Start("hosts", settings_.poll_interval, [this] { FollowHosts(); });
    tasks_.Start("membership", absl::Milliseconds(500),
                 [this] { StepMembership(); });
    PeriodicTask* claims = tasks_.Start("claims", absl::Seconds(1),
                                        [this] { requests_.claims().Step(); });
    requests_.claims().SetWaker([claims] { claims->Wake(); });
    if (!settings_.ready_file.empty())
      std::ofstream(settings_.ready_file) << port_ << "\n";
    LogEvent(Severity::kInfo, "gateway_serves",
             {{"zone", settings_.zone}, {"port", absl::StrCat(port_)}});
    return Success();
  }

  int port() const { return port_; }

  void Drain() {
    LogEvent(Severity::kInfo, "gateway_drains",
             {{"in_flight", absl::StrCat(in_flight_.load())}});
    draining_ = true;
    SendLeaveMessages();
    server_->Drain();
    // Gives the balancer time to see /readyz; requests that still arrive are
    // served.
    absl::SleepFor(settings_.drain_notice);
    const absl::Time deadline = SystemNow().mono + settings_.drain_timeout;
    while (in_flight_ > 0 && SystemNow().mono < deadline)
      absl::SleepFor(absl::Milliseconds(10));
    server_->Stop();
    tasks_.Stop();
    LogEvent(Severity::kInfo, "gateway_stopped",
             {{"in_flight", absl::StrCat(in_flight_.load())}});
  }

 private:
  // Periodic tasks.

  void FollowConfiguration() {
    bool changed = configuration_.PollLog();
    std::optional<std::string> newer_peer;
    {
      absl::MutexLock lock(&mutex_);
      newer_peer =
          membership_ ? membership_->NewerConfigurationAt() : std::nullopt;
    }
    // Asks a peer that reported a newer version, and all configured peers if
    // this gateway has no configuration yet and the log does not answer.
    if (newer_peer) changed = configuration_.PollPeer(*newer_peer) || changed;
    if (configuration_.version() < 0 && !configuration_.log_answers()) {
      for (const std::string& peer : settings_.peers)
        changed = configuration_.PollPeer(peer) || changed;
    }
    if (changed) ApplyConfiguration();
  }

  void ApplyConfiguration() {
    const Configuration configuration = configuration_.current();
    requests_.ApplyConfiguration(configuration);
    absl::MutexLock lock(&mutex_);
    if (membership_)
      membership_->SetConfigurationVersion(configuration.version);
    metrics_.Set("configuration_version", {},
                 static_cast<double>(configuration.version));
    LogEvent(Severity::kInfo, "configuration_in_force",
             {{"version", absl::StrCat(configuration.version)}});
  }

  void FollowHosts() {
    Result<std::set<std::string>> leaving =
        host_list_.Leaving(settings_.log_timeout);
    std::optional<std::set<std::string>> drained = DrainedTargets();
    if (leaving) leaving_hosts_ = std::move(leaving.value());
    if (drained) drained_targets_ = std::move(*drained);
    std::set<std::string> leaving_targets = leaving_hosts_;
    leaving_targets.insert(drained_targets_.begin(), drained_targets_.end());
    requests_.SetDrainingTargets(leaving_targets);
  }

  std::optional<std::set<std::string>> DrainedTargets() {
    if (settings_.scheduler.empty()) return std::nullopt;
    Result<Address> address = ParseAddress(settings_.scheduler);
    if (!scheduler_) scheduler_ = std::make_unique<RpcClient>(address.value());
    Result<Json::Value> answer = scheduler_->Call(
        "drained_targets", Json::objectValue, kPeerTimeout, TraceContext());
    if (!answer || !answer.value()["targets"].isArray()) return std::nullopt;
    std::set<std::string> names;
    for (const Json::Value& name : answer.value()["targets"])
      names.insert(name.asString());
    return names;
  }

  void StartMembership(const std::string& address) {
    Member self{settings_.name, address,
                static_cast<uint64_t>(absl::ToUnixMillis(absl::Now())),
                MemberState::kAlive};
    absl::MutexLock lock(&mutex_);
    membership_ = std::make_unique<Membership>(
        Membership::Options(), std::move(self), settings_.peers, incarnation_);
  }

  void StepMembership() {
    std::optional<Membership::Probe> probe;
    {
      absl::MutexLock lock(&mutex_);
      probe = membership_->Tick(SystemNow().mono);
      UpdateShareLocked();
    }
    if (!probe) return;
    std::optional<MemberMessage> answer =
        SendProbe(probe->address, probe->message);
    absl::MutexLock lock(&mutex_);
    membership_->OnAnswer(*probe, answer, SystemNow().mono);
  }

  std::optional<MemberMessage> SendProbe(const std::string& address,
                                         const MemberMessage& message) {
    Result<Address> parsed = ParseAddress(address);
    if (!parsed) return std::nullopt;
    std::shared_ptr<RpcClient>& client = peers_[address];
    if (!client) client = std::make_shared<RpcClient>(parsed.value());
    Result<Json::Value> answer =
        client->Call("probe", ToJson(message), kPeerTimeout, TraceContext());
    if (!answer) return std::nullopt;
    try {
      return MemberMessageFromJson(answer.value());
    } catch (const Json::Exception&) {
      return std::nullopt;
    }
  }

  void SendLeaveMessages() {
    std::vector<Member> live;
    MemberMessage message;
    {
      absl::MutexLock lock(&mutex_);
      live = membership_->Live();
      message = membership_->MakeLeaveMessage();
    }
    for (const Member& member : live) {
      if (member.name == settings_.name) continue;
      Result<Address> address = ParseAddress(member.address);
      if (!address) continue;
      // A peer that does not receive it finds out by probing.
      (void)RpcClient(address.value())
          .Call("probe", ToJson(message), kPeerTimeout, TraceContext());
    }
  }

  void UpdateShareLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const std::vector<Member> live = membership_->Live();
    const auto own_entry = std::find_if(
        live.begin(), live.end(),
        [this](const Member& m) { return m.name == settings_.name; });
    requests_.SetShare(static_cast<int>(own_entry - live.begin()),
                       static_cast<int>(live.size()));
    metrics_.Set("live_gateways", {}, static_cast<double>(live.size()));
  }

  void AddRpcMethods() {
    rpc_.Add("probe", [this](const Json::Value& params) {
      absl::MutexLock lock(&mutex_);
      JsonRpcReply reply;
      if (!membership_)
        return ToRpcReply(MakeError(ErrorCode::kUnavailable, "starting"));
      reply.result = ToJson(membership_->OnProbe(MemberMessageFromJson(params),
                                                 SystemNow().mono));
      return reply;
    });
    rpc_.Add("configuration", [this](const Json::Value& params) {
      JsonRpcReply reply;
      reply.result = configuration_.MakePeerReply(params["have"].asInt64());
      return reply;
    });
    rpc_.Add("status", [this](const Json::Value&) {
      JsonRpcReply reply;
      reply.result = Status();
      return reply;
    });
  }

  Json::Value Status() {
    Json::Value out;
    out["name"] = settings_.name;
    out["zone"] = settings_.zone;
    out["role"] = "gateway";
    out["draining"] = draining_.load();
    out["in_flight"] = in_flight_.load();
    out["configuration_version"] =
        static_cast<Json::Int64>(configuration_.version());
    out["log_answers"] = configuration_.log_answers();
    absl::MutexLock lock(&mutex_);
    out["gateways"] = Json::Value(Json::arrayValue);
    if (membership_) {
      for (const Member& member : membership_->Live())
        out["gateways"].append(member.name);
    }
    return out;
  }

  // Requests.

  ServerResponse Handle(const ServerRequest& request) {
    if (request.path == "/healthz") return {200, {}, "ok\n", "text/plain"};
    if (request.path == "/readyz") return Readiness();
    if (request.path == "/metrics")
      return {200, {}, metrics_.Text(), "text/plain; version=0.0.4"};
    if (request.path == kRpcPath)
      return {200, {}, rpc_.Dispatch(request.body), "application/json"};
    if (request.path == kTicketPath) return requests_.IssueTicket(request);
    ++in_flight_;
    const absl::Time start = SystemNow().mono;
    Span span("gateway.request",
              TraceContext::Parse(FindHeader(request.headers, "traceparent")));
    ServerResponse response = requests_.Serve(request, span);
    std::string verdict = "none";
    for (const auto& [name, value] : response.headers) {
      if (name == kVerdictHeader) verdict = value;
    }
    span.Set("http.status_code", absl::StrCat(response.status));
    span.Set("keelbridge.verdict", verdict);
    metrics_.Count(
        "requests_total",
        {{"verdict", verdict}, {"status", absl::StrCat(response.status)}});
    metrics_.Observe("request_seconds", {},
                     absl::ToDoubleSeconds(SystemNow().mono - start));
    --in_flight_;
    return response;
  }

  ServerResponse Readiness() {
    if (draining_) return {503, {}, "draining\n", "text/plain"};
    if (configuration_.version() < 0)
      return {503,
              {},
              "no configuration yet, from the log or a peer\n",
              "text/plain"};
    return {200, {}, "ready\n", "text/plain"};
  }

  const Settings settings_;
  const uint64_t incarnation_;
  LogClient log_;
  HostListClient host_list_;
  ConfigurationFollower configuration_;
  Metrics metrics_;
  JsonRpcServer rpc_;
  std::atomic<bool> draining_{false};
  std::atomic<int> in_flight_{0};
  int port_ = 0;

  RequestServer requests_;
  absl::Mutex mutex_;
  std::unique_ptr<Membership> membership_ ABSL_GUARDED_BY(mutex_);
  // Used only by the hosts task.
  std::set<std::string> leaving_hosts_;
  std::set<std::string> drained_targets_;
  // Used only by the membership task.
  std::map<std::string, std::shared_ptr<RpcClient>> peers_;
  std::unique_ptr<RpcClient> scheduler_;  // Used only by the hosts task.
  std::unique_ptr<HttpServer> server_;
  // Last, so that its threads end before the members they use are destroyed.
  PeriodicTaskRunner tasks_;
};

Gateway::Gateway(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Gateway::~Gateway() = default;

Result<std::unique_ptr<Gateway>> Gateway::Start(const Settings& settings) {
  Result<Address> log = ParseAddress(settings.log);
  Result<Address> hosts = ParseAddress(settings.host_list);
  if (!log) return log.error();
  if (!hosts) return hosts.error();
  auto impl = std::make_unique<Impl>(settings, log.value(), hosts.value());
  if (Result<void> started = impl->Start(); !started) return started.error();
  return std::unique_ptr<Gateway>(new Gateway(std::move(impl)));
}

int Gateway::port() const { return impl_->port(); }
void Gateway::Drain() { impl_->Drain(); }

}  // namespace keelbridge
