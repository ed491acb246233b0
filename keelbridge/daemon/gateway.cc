#include "keelbridge/daemon/gateway.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/coordination/membership.h"
#include "keelbridge/coordination/once.h"
#include "keelbridge/coordination/router.h"
#include "keelbridge/daemon/claim_desk.h"
#include "keelbridge/daemon/configuration_follower.h"
#include "keelbridge/daemon/duty.h"
#include "keelbridge/daemon/metrics.h"
#include "keelbridge/protocol/platform_clients.h"
#include "keelbridge/protocol/verdict.h"
#include "keelbridge/transport/http_server.h"
#include "keelbridge/transport/rpc_client.h"

namespace keelbridge {
namespace {

constexpr char kOwnPrefix[] = "/keelbridge/";
constexpr absl::Duration kPeerTimeout = absl::Milliseconds(500);
constexpr absl::Duration kLongestDeadline = absl::Hours(1);
constexpr size_t kLongestKey = 256;
constexpr int kMostAttempts = 4;

// Headers that belong to one hop and are not handed on.
bool HopHeader(const std::string& name) {
  static const auto* names = new std::set<std::string>{"connection",
                                                       "keep-alive",
                                                       "proxy-authenticate",
                                                       "proxy-authorization",
                                                       "te",
                                                       "trailer",
                                                       "upgrade",
                                                       "content-length",
                                                       "transfer-encoding",
                                                       "host",
                                                       "traceparent",
                                                       "remote_addr",
                                                       "remote_port",
                                                       "content-type",
                                                       "accept-encoding"};
  return names->count(absl::AsciiStrToLower(name)) > 0;
}

ServerResponse Refusal(int status, Verdict verdict, const std::string& message,
                       absl::Duration retry_after = absl::ZeroDuration()) {
  ServerResponse response{status,
                          {{kVerdictHeader, VerdictName(verdict)}},
                          message + "\n",
                          "text/plain"};
  if (retry_after > absl::ZeroDuration()) {
    const int64_t seconds =
        absl::ToInt64Seconds(absl::Ceil(retry_after, absl::Seconds(1)));
    response.headers.emplace_back("Retry-After", absl::StrCat(seconds));
  }
  return response;
}

int StatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kInvalid:
      return 400;
    default:
      return 503;
  }
}

// What a request is allowed and how it is identified.
struct RequestContext {
  std::string service;
  std::string request_id;
  std::string team;
  absl::Time deadline;  // Monotonic.
  bool repeatable = false;
};

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
        router_(Router::Options()),
        tickets_(settings.name, incarnation_),
        claims_(log_, incarnation_, settings.log_timeout,
                settings.append_every) {}

  Result<void> Start() {
    Result<Address> listen = ParseAddress(settings_.listen);
    if (!listen) return listen.error();
    HttpServer::Options options;
    options.ip = listen.value().ip;
    options.port = listen.value().port;
    options.most_threads = static_cast<size_t>(settings_.most_connections);
    options.most_body_bytes = static_cast<size_t>(settings_.most_body_bytes);
    AddRpcMethods();
    server_ = std::make_unique<HttpServer>(
        options,
        [this](const ServerRequest& request) { return Handle(request); });
    Result<int> port = server_->Start();
    if (!port) return port.error();
    port_ = port.value();
    StartMembership(absl::StrCat(listen.value().ip, ":", port_));
    duties_.Start("configuration", settings_.poll_every,
                  [this] { FollowConfiguration(); });
    duties_.Start("hosts", 2 * settings_.poll_every, [this] { FollowHosts(); });
    duties_.Start("membership", absl::Milliseconds(500),
                  [this] { StepMembership(); });
    Duty* claims =
        duties_.Start("claims", absl::Seconds(1), [this] { claims_.Step(); });
    claims_.SetWaker([claims] { claims->Wake(); });
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
    SayFarewell();
    server_->Drain();
    // Time for the balancer to see /readyz, while requests that come are still
    // served.
    absl::SleepFor(settings_.drain_notice);
    const absl::Time most = SystemNow().mono + settings_.drain_most;
    while (in_flight_ > 0 && SystemNow().mono < most)
      absl::SleepFor(absl::Milliseconds(10));
    server_->Stop();
    duties_.Stop();
    LogEvent(Severity::kInfo, "gateway_stopped",
             {{"in_flight", absl::StrCat(in_flight_.load())}});
  }

 private:
  // Duties.

  void FollowConfiguration() {
    bool changed = configuration_.PollLog();
    std::optional<std::string> newer;
    {
      absl::MutexLock lock(&mutex_);
      newer = membership_ ? membership_->NewerConfigurationAt() : std::nullopt;
    }
    // Peers are asked when they say that they know better, and by a fresh host
    // that the log does not answer.
    if (newer) changed = configuration_.PollPeer(*newer) || changed;
    if (configuration_.version() < 0 && !configuration_.log_answers()) {
      for (const std::string& peer : settings_.peers)
        changed = configuration_.PollPeer(peer) || changed;
    }
    if (changed) ApplyConfiguration();
  }

  void ApplyConfiguration() {
    const Configuration next = configuration_.current();
    absl::MutexLock lock(&mutex_);
    router_.SetConfiguration(next, settings_.zone);
    for (const TargetConfig& target : next.targets) {
      if (target.zone != settings_.zone) continue;
      const auto it = addresses_.find(target.name);
      if (it != addresses_.end() && it->second == target.address) continue;
      Result<Address> address = ParseAddress(target.address);
      if (!address) continue;
      HttpClient::Options options;
      options.most_idle = static_cast<size_t>(target.connections);
      clients_[target.name] =
          std::make_shared<HttpClient>(address.value(), options);
      addresses_[target.name] = target.address;
    }
    entry_hosts_.clear();
    for (const EntryHostConfig& host : next.entry_hosts)
      entry_hosts_[host.name] = host.gateway;
    if (membership_) membership_->SetConfigurationVersion(next.version);
    metrics_.Set("configuration_version", {},
                 static_cast<double>(next.version));
    LogEvent(Severity::kInfo, "configuration_in_force",
             {{"version", absl::StrCat(next.version)}});
  }

  void FollowHosts() {
    Result<std::set<std::string>> leaving =
        host_list_.Leaving(settings_.log_timeout);
    std::optional<std::set<std::string>> drained = DrainedTargets();
    absl::MutexLock lock(&mutex_);
    if (leaving) listed_leaving_ = std::move(leaving.value());
    if (drained) drained_ = std::move(*drained);
    std::set<std::string> all = listed_leaving_;
    all.insert(drained_.begin(), drained_.end());
    router_.SetLeaving(all);
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

  void SayFarewell() {
    std::vector<Member> live;
    MemberMessage message;
    {
      absl::MutexLock lock(&mutex_);
      live = membership_->Live();
      message = membership_->Farewell();
    }
    for (const Member& member : live) {
      if (member.name == settings_.name) continue;
      Result<Address> address = ParseAddress(member.address);
      if (!address) continue;
      // Who does not hear it finds out by probing.
      (void)RpcClient(address.value())
          .Call("probe", ToJson(message), kPeerTimeout, TraceContext());
    }
  }

  void UpdateShareLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const std::vector<Member> live = membership_->Live();
    const auto me = std::find_if(
        live.begin(), live.end(),
        [this](const Member& m) { return m.name == settings_.name; });
    router_.SetShare(static_cast<int>(me - live.begin()),
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
      reply.result = configuration_.ForPeer(params["have"].asInt64());
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
    if (request.path == absl::StrCat(kOwnPrefix, "ticket"))
      return IssueTicket(request);
    ++in_flight_;
    const absl::Time start = SystemNow().mono;
    Span span("gateway.request",
              TraceContext::Parse(FindHeader(request.headers, "traceparent")));
    ServerResponse response = Serve(request, span);
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

  ServerResponse IssueTicket(const ServerRequest& request) {
    if (request.method != "POST")
      return {405, {{"Allow", "POST"}}, "use POST\n", "text/plain"};
    absl::MutexLock lock(&mutex_);
    Json::Value out;
    out["ticket"] = tickets_.Issue(absl::Now());
    return {201, {}, ToJsonText(out) + "\n"};
  }

  ServerResponse Serve(const ServerRequest& request, Span& span) {
    RequestContext context;
    const size_t end = request.path.find('/', 1);
    context.service = request.path.substr(
        1, end == std::string::npos ? std::string::npos : end - 1);
    context.request_id = FindHeader(request.headers, kRequestIdHeader);
    if (context.request_id.empty())
      context.request_id = absl::StrFormat("%016x", RandomId());
    context.team = FindHeader(request.headers, kTeamHeader);
    span.Set("keelbridge.request_id", context.request_id);
    absl::Duration timeout;
    {
      absl::MutexLock lock(&mutex_);
      const ServiceConfig* service = router_.FindService(context.service);
      if (service == nullptr) {
        if (configuration_.version() < 0) {
          return Refusal(503, Verdict::kDidNotRun,
                         "no configuration is in force here yet",
                         absl::Seconds(1));
        }
        return Refusal(
            404, Verdict::kDidNotRun,
            absl::StrCat("no service \"", context.service,
                         "\"; the first part of the path names the service"));
      }
      context.repeatable = service->repeatable;
      timeout = service->timeout;
    }
    const std::string deadline = FindHeader(request.headers, kDeadlineHeader);
    if (!deadline.empty()) {
      int64_t millis = 0;
      if (!absl::SimpleAtoi(deadline, &millis) || millis < 1 ||
          millis > absl::ToInt64Milliseconds(kLongestDeadline)) {
        return Refusal(
            400, Verdict::kDidNotRun,
            absl::StrCat(
                kDeadlineHeader,
                " must be a whole number of milliseconds from 1 to 3600000"));
      }
      timeout = std::min(timeout, absl::Milliseconds(millis));
    }
    context.deadline = SystemNow().mono + timeout;
    if (context.repeatable) return Forward(request, context, span);
    return ServeOnce(request, context, span);
  }

  ServerResponse ServeOnce(const ServerRequest& request,
                           const RequestContext& context, Span& span) {
    const std::string ticket = FindHeader(request.headers, kTicketHeader);
    if (!ticket.empty()) return ServeWithTicket(ticket, request, context, span);
    const std::string key = FindHeader(request.headers, kIdempotencyKeyHeader);
    if (key.empty()) {
      return Refusal(
          428, Verdict::kDidNotRun,
          absl::StrCat("\"", context.service, "\" must not run twice: send ",
                       kIdempotencyKeyHeader, " with a key of your own, or ",
                       kTicketHeader, " with a ticket from POST ", kOwnPrefix,
                       "ticket, the same one each time you send this request"));
    }
    if (key.size() > kLongestKey)
      return Refusal(400, Verdict::kDidNotRun,
                     "the key must be at most 256 bytes");
    const std::string claim = absl::StrCat(context.service, "|", key);
    switch (claims_.Claim(claim, context.deadline - SystemNow().mono)) {
      case ClaimDesk::Answer::kTaken:
        return Refusal(
            409, Verdict::kMayHaveRun,
            "a request with this key was taken on before; it may have run");
      case ClaimDesk::Answer::kNoRecord:
        return Refusal(
            503, Verdict::kDidNotRun,
            "the log took no record of the key in time; nothing was sent on",
            absl::Seconds(2));
      case ClaimDesk::Answer::kBusy:
        return Refusal(503, Verdict::kDidNotRun,
                       "too many requests wait for the log", absl::Seconds(1));
      case ClaimDesk::Answer::kMine:
        break;
    }
    ServerResponse response = Forward(request, context, span);
    if (VerdictIs(response, Verdict::kDidNotRun)) claims_.Release(claim);
    return response;
  }

  static bool VerdictIs(const ServerResponse& response, Verdict verdict) {
    return FindHeader(response.headers, kVerdictHeader) == VerdictName(verdict);
  }

  ServerResponse ServeWithTicket(const std::string& text,
                                 const ServerRequest& request,
                                 const RequestContext& context, Span& span) {
    Result<Ticket> ticket = TicketFromText(text);
    if (!ticket)
      return Refusal(400, Verdict::kDidNotRun, ticket.error().message);
    if (ticket.value().gateway != settings_.name)
      return PassToOwner(ticket.value(), request, context, span);
    {
      absl::MutexLock lock(&mutex_);
      const bool first =
          tickets_.Mine(ticket.value()) &&
          tickets_.Use(ticket.value(), absl::Now()) == OnceUse::kFirst;
      if (!first) {
        return Refusal(409, Verdict::kMayHaveRun,
                       "this ticket was used before, has expired, or is of an "
                       "earlier run; the request may have run");
      }
    }
    ServerResponse response = Forward(request, context, span);
    if (VerdictIs(response, Verdict::kDidNotRun)) {
      absl::MutexLock lock(&mutex_);
      tickets_.Release(ticket.value());
    }
    return response;
  }

  // The request goes to the one gateway that may dispatch it.
  ServerResponse PassToOwner(const Ticket& ticket, const ServerRequest& request,
                             const RequestContext& context, Span& span) {
    std::shared_ptr<HttpClient> owner;
    {
      absl::MutexLock lock(&mutex_);
      const auto it = entry_hosts_.find(ticket.gateway);
      if (it != entry_hosts_.end()) {
        std::shared_ptr<HttpClient>& client = owners_[it->second];
        Result<Address> address = ParseAddress(it->second);
        if (!client && address)
          client = std::make_shared<HttpClient>(address.value(),
                                                HttpClient::Options());
        owner = client;
      }
    }
    if (!owner) {
      return Refusal(409, Verdict::kMayHaveRun,
                     "the gateway that issued this ticket is not in the "
                     "configuration; nothing runs now");
    }
    HttpRequest out = OutRequest(request, context, span, 0);
    out.headers.emplace_back(kTicketHeader, TicketToText(ticket));
    const HttpOutcome outcome =
        owner->Send(out, context.deadline - SystemNow().mono);
    if (!outcome.response) {
      return Refusal(502, Verdict::kMayHaveRun,
                     "the gateway that issued this ticket does not answer; the "
                     "request may have run");
    }
    return FromTarget(*outcome.response,
                      FindHeader(outcome.response->headers, kVerdictHeader));
  }

  HttpRequest OutRequest(const ServerRequest& request,
                         const RequestContext& context, const Span& span,
                         int attempt) const {
    HttpRequest out;
    out.method = request.method;
    out.path = request.path;
    char separator = '?';
    for (const auto& [key, value] : request.query) {
      absl::StrAppend(&out.path, std::string(1, separator), UrlEncode(key), "=",
                      UrlEncode(value));
      separator = '&';
    }
    for (const auto& [name, value] : request.headers) {
      if (!HopHeader(name) && !OwnHeader(name))
        out.headers.emplace_back(name, value);
    }
    out.headers.emplace_back(kRequestIdHeader, context.request_id);
    out.headers.emplace_back(kAttemptHeader, absl::StrCat(attempt));
    const int64_t left_ms =
        absl::ToInt64Milliseconds(context.deadline - SystemNow().mono);
    out.headers.emplace_back(kDeadlineHeader,
                             absl::StrCat(std::max<int64_t>(1, left_ms)));
    out.headers.emplace_back("traceparent", span.context().ToHeader());
    out.body = request.body;
    const std::string type = FindHeader(request.headers, "Content-Type");
    out.content_type = type.empty() ? "application/octet-stream" : type;
    return out;
  }

  // Headers that are set anew on each hop.
  static bool OwnHeader(const std::string& name) {
    for (const char* own :
         {kRequestIdHeader, kAttemptHeader, kDeadlineHeader, kTicketHeader}) {
      if (absl::EqualsIgnoreCase(name, own)) return true;
    }
    return false;
  }

  static std::string UrlEncode(const std::string& text) {
    std::string out;
    for (const char c : text) {
      const auto u = static_cast<unsigned char>(c);
      if (absl::ascii_isalnum(u) || c == '-' || c == '.' || c == '_' ||
          c == '~') {
        out += c;
      } else {
        absl::StrAppendFormat(&out, "%%%02X", u);
      }
    }
    return out;
  }

  ServerResponse Forward(const ServerRequest& request,
                         const RequestContext& context, Span& parent) {
    std::set<std::string> tried;
    Verdict verdict = Verdict::kDidNotRun;
    std::string trouble = "no attempt was made";
    {
      absl::MutexLock lock(&mutex_);
      Budget(context.team).OnFirstTry();
    }
    for (int attempt = 1; attempt <= kMostAttempts; ++attempt) {
      const absl::Duration left = context.deadline - SystemNow().mono;
      if (left <= absl::ZeroDuration()) break;
      Router::Pick pick;
      std::shared_ptr<HttpClient> client;
      {
        absl::MutexLock lock(&mutex_);
        Result<Router::Pick> chosen =
            router_.Choose(context.service, tried, SystemNow().mono);
        if (!chosen) {
          if (attempt > 1) break;
          return Refusal(StatusOf(chosen.error().code), Verdict::kDidNotRun,
                         chosen.error().message, chosen.error().retry_after);
        }
        pick = chosen.value();
        client = clients_[pick.target];
      }
      Span span("gateway.attempt", parent.context());
      span.Set("keelbridge.target", pick.target);
      HttpOutcome outcome =
          client->Send(OutRequest(request, context, span, attempt), left);
      const AttemptResult result = Judge(outcome, context, attempt);
      {
        absl::MutexLock lock(&mutex_);
        router_.Done(pick.target, result, SystemNow().mono);
      }
      metrics_.Count("attempts_total", {{"target", pick.target},
                                        {"result", AttemptName(result)}});
      if (result == AttemptResult::kAnswered) {
        return FromTarget(*outcome.response, VerdictName(Verdict::kRan));
      }
      tried.insert(pick.target);
      trouble = outcome.message;
      if (result == AttemptResult::kNoAnswer) verdict = Verdict::kMayHaveRun;
      if (!Router::MayRetry(result, context.repeatable)) break;
      absl::MutexLock lock(&mutex_);
      if (!Budget(context.team).Spend()) break;
    }
    const bool late = SystemNow().mono >= context.deadline;
    const std::string message = absl::StrCat(verdict == Verdict::kDidNotRun
                                                 ? "the request did not run"
                                                 : "the request may have run",
                                             ": ", trouble);
    return Refusal(late ? 504 : 503, verdict, message, absl::Seconds(1));
  }

  static const char* AttemptName(AttemptResult result) {
    switch (result) {
      case AttemptResult::kAnswered:
        return "answered";
      case AttemptResult::kRefused:
        return "refused";
      case AttemptResult::kUnreached:
        return "unreached";
      case AttemptResult::kNoAnswer:
        return "no_answer";
    }
    return "no_answer";
  }

  // What an attempt's outcome means. An answer to another request, or to
  // another attempt, is no answer.
  AttemptResult Judge(HttpOutcome& outcome, const RequestContext& context,
                      int attempt) {
    if (!outcome.response) {
      return VerdictOfFailure(outcome.failure) == Verdict::kDidNotRun
                 ? AttemptResult::kUnreached
                 : AttemptResult::kNoAnswer;
    }
    const HttpResponse& response = *outcome.response;
    if (FindHeader(response.headers, kVerdictHeader) ==
        VerdictName(Verdict::kDidNotRun)) {
      outcome.message = "the target refused it";
      return AttemptResult::kRefused;
    }
    const std::string id = FindHeader(response.headers, kRequestIdHeader);
    const std::string echoed = FindHeader(response.headers, kAttemptHeader);
    const bool strange = (!id.empty() && id != context.request_id) ||
                         (!echoed.empty() && echoed != absl::StrCat(attempt));
    if (strange) {
      metrics_.Count("strange_answers_total", {});
      outcome.message = "the target sent the answer to another request";
      return AttemptResult::kNoAnswer;
    }
    return AttemptResult::kAnswered;
  }

  static ServerResponse FromTarget(const HttpResponse& in,
                                   const std::string& verdict) {
    ServerResponse out;
    out.status = in.status;
    out.body = in.body;
    out.content_type = FindHeader(in.headers, "Content-Type");
    if (out.content_type.empty()) out.content_type = "application/octet-stream";
    for (const auto& [name, value] : in.headers) {
      if (!HopHeader(name) && !absl::EqualsIgnoreCase(name, kVerdictHeader))
        out.headers.emplace_back(name, value);
    }
    out.headers.emplace_back(
        kVerdictHeader,
        verdict.empty() ? VerdictName(Verdict::kMayHaveRun) : verdict);
    return out;
  }

  RetryBudget& Budget(const std::string& team)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    // Unknown names share one budget, so that made-up ones cost no memory.
    const bool known =
        budgets_.size() < kMostBudgets || budgets_.count(team) > 0;
    return budgets_.try_emplace(known ? team : "", RetryBudget::Options())
        .first->second;
  }

  static constexpr size_t kMostBudgets = 256;

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

  absl::Mutex mutex_;
  Router router_ ABSL_GUARDED_BY(mutex_);
  TicketTable tickets_ ABSL_GUARDED_BY(mutex_);
  std::unique_ptr<Membership> membership_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::shared_ptr<HttpClient>> clients_
      ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::string> addresses_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::string> entry_hosts_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::shared_ptr<HttpClient>> owners_
      ABSL_GUARDED_BY(mutex_);
  std::map<std::string, RetryBudget> budgets_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> listed_leaving_ ABSL_GUARDED_BY(mutex_);
  std::set<std::string> drained_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::shared_ptr<RpcClient>>
      peers_;                             // Of the membership duty only.
  std::unique_ptr<RpcClient> scheduler_;  // Of the hosts duty only.
  ClaimDesk claims_;
  std::unique_ptr<HttpServer> server_;
  DutyHost duties_;  // Last: ends first.
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
