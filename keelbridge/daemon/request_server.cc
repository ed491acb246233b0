#include "keelbridge/daemon/request_server.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kMaxDeadline = absl::Hours(1);
constexpr size_t kMaxKeyBytes = 256;
constexpr int kMaxAttempts = 4;

// Returns whether a header belongs to one hop and must not be forwarded.
bool IsHopByHopHeader(const std::string& name) {
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

int HttpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kInvalid:
      return 400;
    default:
      return 503;
  }
}

}  // namespace

RequestServer::RequestServer(const Settings& settings, uint64_t incarnation,
                             LogClient& log, Metrics& metrics)
    : name_(settings.name),
      zone_(settings.zone),
      metrics_(metrics),
      claims_(log, incarnation, settings.log_timeout, settings.append_interval),
      router_(Router::Options()),
      tickets_(settings.name, incarnation) {}

void RequestServer::ApplyConfiguration(const Configuration& configuration) {
  absl::MutexLock lock(&mutex_);
  configured_ = true;
  router_.SetConfiguration(configuration, zone_);
  for (const TargetConfig& target : configuration.targets) {
    if (target.zone != zone_) continue;
    const auto it = addresses_.find(target.name);
    if (it != addresses_.end() && it->second == target.address) continue;
    Result<Address> address = ParseAddress(target.address);
    if (!address) continue;
    HttpClient::Options options;
    options.max_idle = static_cast<size_t>(target.connections);
    clients_[target.name] =
        std::make_shared<HttpClient>(address.value(), options);
    addresses_[target.name] = target.address;
  }
  entry_hosts_.clear();
  for (const EntryHostConfig& host : configuration.entry_hosts) {
    entry_hosts_[host.name] = host.gateway;
  }
}

void RequestServer::SetDrainingTargets(const std::set<std::string>& names) {
  absl::MutexLock lock(&mutex_);
  router_.SetDrainingTargets(names);
}

void RequestServer::SetShare(int index, int count) {
  absl::MutexLock lock(&mutex_);
  router_.SetShare(index, count);
}

ServerResponse RequestServer::IssueTicket(const ServerRequest& request) {
  if (request.method != "POST")
    return {405, {{"Allow", "POST"}}, "use POST\n", "text/plain"};
  absl::MutexLock lock(&mutex_);
  Json::Value out;
  out["ticket"] = tickets_.Issue(absl::Now());
  return {201, {}, ToJsonText(out) + "\n"};
}

ServerResponse RequestServer::Serve(const ServerRequest& request, Span& span) {
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
      if (!configured_) {
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
        millis > absl::ToInt64Milliseconds(kMaxDeadline)) {
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
  return ServeNonRepeatable(request, context, span);
}

ServerResponse RequestServer::ServeNonRepeatable(const ServerRequest& request,
                                                 const RequestContext& context,
                                                 Span& span) {
  const std::string ticket = FindHeader(request.headers, kTicketHeader);
  if (!ticket.empty()) return ServeWithTicket(ticket, request, context, span);
  const std::string key = FindHeader(request.headers, kIdempotencyKeyHeader);
  if (key.empty()) {
    return Refusal(
        428, Verdict::kDidNotRun,
        absl::StrCat("\"", context.service, "\" must not run twice: send ",
                     kIdempotencyKeyHeader, " with a key of your own, or ",
                     kTicketHeader, " with a ticket from POST ", kTicketPath,
                     ", the same one each time you send this request"));
  }
  if (key.size() > kMaxKeyBytes)
    return Refusal(400, Verdict::kDidNotRun,
                   "the key must be at most 256 bytes");
  const std::string claim = absl::StrCat(context.service, "|", key);
  switch (claims_.Claim(claim, context.deadline - SystemNow().mono)) {
    case ClaimService::Answer::kAlreadyClaimed:
      return Refusal(
          409, Verdict::kMayHaveRun,
          "a request with this key was taken on before; it may have run");
    case ClaimService::Answer::kNotRecorded:
      return Refusal(
          503, Verdict::kDidNotRun,
          "the log took no record of the key in time; nothing was sent on",
          absl::Seconds(2));
    case ClaimService::Answer::kBusy:
      return Refusal(503, Verdict::kDidNotRun,
                     "too many requests wait for the log", absl::Seconds(1));
    case ClaimService::Answer::kGranted:
      break;
  }
  ServerResponse response = Forward(request, context, span);
  if (HasVerdict(response, Verdict::kDidNotRun)) claims_.Release(claim);
  return response;
}

bool RequestServer::HasVerdict(const ServerResponse& response,
                               Verdict verdict) {
  return FindHeader(response.headers, kVerdictHeader) == VerdictName(verdict);
}

ServerResponse RequestServer::ServeWithTicket(const std::string& text,
                                              const ServerRequest& request,
                                              const RequestContext& context,
                                              Span& span) {
  Result<Ticket> ticket = TicketFromText(text);
  if (!ticket) return Refusal(400, Verdict::kDidNotRun, ticket.error().message);
  if (ticket.value().gateway != name_)
    return ForwardToIssuer(ticket.value(), request, context, span);
  {
    absl::MutexLock lock(&mutex_);
    const bool first =
        tickets_.IssuedByThisIncarnation(ticket.value()) &&
        tickets_.Use(ticket.value(), absl::Now()) == TicketUse::kFirst;
    if (!first) {
      return Refusal(409, Verdict::kMayHaveRun,
                     "this ticket was used before, has expired, or is of an "
                     "earlier run; the request may have run");
    }
  }
  ServerResponse response = Forward(request, context, span);
  if (HasVerdict(response, Verdict::kDidNotRun)) {
    absl::MutexLock lock(&mutex_);
    tickets_.Release(ticket.value());
  }
  return response;
}

// Forwards the request to the gateway that issued the ticket, the only one that
// may dispatch it.
ServerResponse RequestServer::ForwardToIssuer(const Ticket& ticket,
                                              const ServerRequest& request,
                                              const RequestContext& context,
                                              Span& span) {
  std::shared_ptr<HttpClient> issuer;
  {
    absl::MutexLock lock(&mutex_);
    const auto it = entry_hosts_.find(ticket.gateway);
    if (it != entry_hosts_.end()) {
      std::shared_ptr<HttpClient>& client = ticket_issuers_[it->second];
      Result<Address> address = ParseAddress(it->second);
      if (!client && address)
        client = std::make_shared<HttpClient>(address.value(),
                                              HttpClient::Options());
      issuer = client;
    }
  }
  if (!issuer) {
    return Refusal(409, Verdict::kMayHaveRun,
                   "the gateway that issued this ticket is not in the "
                   "configuration; nothing runs now");
  }
  HttpRequest out = MakeForwardedRequest(request, context, span, 0);
  out.headers.emplace_back(kTicketHeader, TicketToText(ticket));
  const HttpOutcome outcome =
      issuer->Send(out, context.deadline - SystemNow().mono);
  if (!outcome.response) {
    return Refusal(502, Verdict::kMayHaveRun,
                   "the gateway that issued this ticket does not answer; the "
                   "request may have run");
  }
  return ResponseFromTarget(
      *outcome.response, FindHeader(outcome.response->headers, kVerdictHeader));
}

HttpRequest RequestServer::MakeForwardedRequest(const ServerRequest& request,
                                                const RequestContext& context,
                                                const Span& span,
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
    if (!IsHopByHopHeader(name) && !IsReplacedHeader(name))
      out.headers.emplace_back(name, value);
  }
  out.headers.emplace_back(kRequestIdHeader, context.request_id);
  out.headers.emplace_back(kAttemptHeader, absl::StrCat(attempt));
  const int64_t remaining_ms =
      absl::ToInt64Milliseconds(context.deadline - SystemNow().mono);
  out.headers.emplace_back(kDeadlineHeader,
                           absl::StrCat(std::max<int64_t>(1, remaining_ms)));
  out.headers.emplace_back("traceparent", span.context().ToHeader());
  out.body = request.body;
  const std::string type = FindHeader(request.headers, "Content-Type");
  out.content_type = type.empty() ? "application/octet-stream" : type;
  return out;
}

// Returns whether a header of the caller is dropped because this class sets the
// header itself where it is needed.
bool RequestServer::IsReplacedHeader(const std::string& name) {
  for (const char* own :
       {kRequestIdHeader, kAttemptHeader, kDeadlineHeader, kTicketHeader}) {
    if (absl::EqualsIgnoreCase(name, own)) return true;
  }
  return false;
}

std::string RequestServer::UrlEncode(const std::string& text) {
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

ServerResponse RequestServer::Forward(const ServerRequest& request,
                                      const RequestContext& context,
                                      Span& parent) {
  std::set<std::string> tried;
  Verdict verdict = Verdict::kDidNotRun;
  std::string last_failure = "no attempt was made";
  {
    absl::MutexLock lock(&mutex_);
    RetryBudgetFor(context.team).OnFirstTry();
  }
  for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
    const absl::Duration remaining = context.deadline - SystemNow().mono;
    if (remaining <= absl::ZeroDuration()) break;
    Router::Pick pick;
    std::shared_ptr<HttpClient> client;
    {
      absl::MutexLock lock(&mutex_);
      Result<Router::Pick> choice =
          router_.Choose(context.service, tried, SystemNow().mono);
      if (!choice) {
        if (attempt > 1) break;
        return Refusal(HttpStatusOf(choice.error().code), Verdict::kDidNotRun,
                       choice.error().message, choice.error().retry_after);
      }
      pick = choice.value();
      client = clients_[pick.target];
    }
    Span span("gateway.attempt", parent.context());
    span.Set("keelbridge.target", pick.target);
    HttpOutcome outcome = client->Send(
        MakeForwardedRequest(request, context, span, attempt), remaining);
    const AttemptResult result = ClassifyAttempt(outcome, context, attempt);
    {
      absl::MutexLock lock(&mutex_);
      router_.Done(pick.target, result, SystemNow().mono);
    }
    metrics_.Count("attempts_total",
                   {{"target", pick.target}, {"result", AttemptName(result)}});
    if (result == AttemptResult::kAnswered) {
      return ResponseFromTarget(*outcome.response, VerdictName(Verdict::kRan));
    }
    tried.insert(pick.target);
    last_failure = outcome.message;
    if (result == AttemptResult::kNoAnswer) verdict = Verdict::kMayHaveRun;
    if (!Router::MayRetry(result, context.repeatable)) break;
    absl::MutexLock lock(&mutex_);
    if (!RetryBudgetFor(context.team).TrySpend()) break;
  }
  const bool deadline_passed = SystemNow().mono >= context.deadline;
  const std::string message =
      absl::StrCat(verdict == Verdict::kDidNotRun ? "the request did not run"
                                                  : "the request may have run",
                   ": ", last_failure);
  return Refusal(deadline_passed ? 504 : 503, verdict, message,
                 absl::Seconds(1));
}

const char* RequestServer::AttemptName(AttemptResult result) {
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

// Classifies the outcome of an attempt. An answer to another request or another
// attempt counts as no answer.
AttemptResult RequestServer::ClassifyAttempt(HttpOutcome& outcome,
                                             const RequestContext& context,
                                             int attempt) {
  if (!outcome.response) {
    return VerdictFromFailure(outcome.failure) == Verdict::kDidNotRun
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
  const bool mismatched = (!id.empty() && id != context.request_id) ||
                          (!echoed.empty() && echoed != absl::StrCat(attempt));
  if (mismatched) {
    metrics_.Count("strange_answers_total", {});
    outcome.message = "the target sent the answer to another request";
    return AttemptResult::kNoAnswer;
  }
  return AttemptResult::kAnswered;
}

ServerResponse RequestServer::ResponseFromTarget(const HttpResponse& in,
                                                 const std::string& verdict) {
  ServerResponse out;
  out.status = in.status;
  out.body = in.body;
  out.content_type = FindHeader(in.headers, "Content-Type");
  if (out.content_type.empty()) out.content_type = "application/octet-stream";
  for (const auto& [name, value] : in.headers) {
    if (!IsHopByHopHeader(name) &&
        !absl::EqualsIgnoreCase(name, kVerdictHeader))
      out.headers.emplace_back(name, value);
  }
  out.headers.emplace_back(
      kVerdictHeader,
      verdict.empty() ? VerdictName(Verdict::kMayHaveRun) : verdict);
  return out;
}

RetryBudget& RequestServer::RetryBudgetFor(const std::string& team) {
  // Beyond kMaxBudgets teams, further names share one budget, so that made-up
  // names cannot exhaust memory.
  const bool known = budgets_.size() < kMaxBudgets || budgets_.count(team) > 0;
  return budgets_.try_emplace(known ? team : "", RetryBudget::Options())
      .first->second;
}

}  // namespace keelbridge
