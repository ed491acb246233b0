// How a site node serves clients' calls: parses them, forwards them to the
// leader and answers them. Every call may be retried, because the job's id
// makes it idempotent.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/accounts/account_access.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/node_messages.h"
#include "keelbridge/daemon/site_node.h"
#include "keelbridge/transport/event_timer.h"
#include "keelbridge/transport/trace.h"

namespace keelbridge {
namespace {

// A client gets its answer this long before it stops waiting.
constexpr absl::Duration kAnswerMargin = absl::Milliseconds(200);
constexpr absl::Duration kMaxCallDuration = absl::Milliseconds(2600);
constexpr absl::Duration kTryTimeout = absl::Milliseconds(1000);
// Delay before the first retry; each further delay is twice as long.
constexpr absl::Duration kMinRetryDelay = absl::Milliseconds(60);
constexpr absl::Duration kMaxRetryDelay = absl::Milliseconds(480);
// A call that no leader can have executed is given up after this time.
constexpr absl::Duration kLeaderlessTimeout = absl::Milliseconds(1000);
// The limit for such a call while the leader is known to be out of reach.
constexpr absl::Duration kKnownLeaderlessTimeout = absl::Milliseconds(150);
constexpr absl::Duration kRetryAfter = absl::Seconds(1);
// Maximum length of a path in a log line: enough for a prefix and a job's id.
constexpr size_t kMaxLoggedPathBytes = 128;
constexpr int kFirstErrorStatus = 400;

ClientAnswer AnswerForError(const Error& error) {
  switch (error.code) {
    case ErrorCode::kNotFound:
      return ClientAnswer::kNoSuchQueue;
    case ErrorCode::kUnauthorized:
      return ClientAnswer::kUnauthorized;
    default:
      return ClientAnswer::kInvalid;
  }
}

const char* KindName(ClientCallKind kind) {
  switch (kind) {
    case ClientCallKind::kSubmit:
      return "submit";
    case ClientCallKind::kStatus:
      return "status";
    case ClientCallKind::kCancel:
      return "cancel";
    case ClientCallKind::kWaiting:
      return "waiting";
  }
  return "status";
}

// The answer to a call that was not accepted and will not run; the client may
// retry it later.
ClientReply RetryLaterReply(std::string message) {
  ClientReply reply;
  reply.answer = ClientAnswer::kRejected;
  reply.message = std::move(message);
  reply.retry_after = kRetryAfter;
  return reply;
}

// Begins this hop's span of a call that its caller traces. Returns null if the
// call is not traced.
std::shared_ptr<Span> BeginSpan(const ServerRequest& request,
                                const ClientCall& call) {
  const TraceContext parent =
      TraceContext::Parse(FindHeader(request.headers, "traceparent"));
  if (!parent.valid()) return nullptr;
  auto span = std::make_shared<Span>("node.call", parent);
  span->Set("kind", KindName(call.kind));
  span->Set("job", JobIdText(call.job));
  return span;
}

CallOutcome::TryResult ClassifyTry(const ClientReply& reply) {
  switch (reply.answer) {
    case ClientAnswer::kUnknown:
      return CallOutcome::TryResult::kTermEnded;
    case ClientAnswer::kRejected:
    case ClientAnswer::kUnauthorized:
      return CallOutcome::TryResult::kRejected;
    default:
      return CallOutcome::TryResult::kAnswered;
  }
}

CallOutcome::TryResult ClassifyTry(const RpcOutcome& outcome) {
  if (!outcome.answered) {
    return outcome.sent ? CallOutcome::TryResult::kNoAnswer
                        : CallOutcome::TryResult::kNothingSent;
  }
  if (outcome.result["not_leader"].asBool())
    return CallOutcome::TryResult::kNotLeader;
  return ClassifyTry(ClientReplyFromJson(outcome.result));
}

}  // namespace

void SiteNode::ServeClient(const ServerRequest& request,
                           EventHttpServer::Reply reply) {
  if (configuration_ == nullptr) {
    return reply(ports_.dialect->FormatReply(
        RetryLaterReply("this node has no configuration yet")));
  }
  if (final_replies_sent_)
    return reply(
        ports_.dialect->FormatReply(RetryLaterReply("this node stops")));
  auto call = ReadCall(request);
  if (!call)
    return reply(
        ports_.dialect->FormatReply(DenialReply(request, call.error())));
  auto pending = std::make_shared<PendingCall>();
  pending->call = std::move(call.value());
  pending->started_at = SystemNow().mono;
  pending->deadline = pending->started_at +
                      std::min(kMaxCallDuration,
                               std::max(pending->call.remaining - kAnswerMargin,
                                        kMinRetryDelay));
  std::shared_ptr<Span> span = BeginSpan(request, pending->call);
  if (span != nullptr) pending->trace = span->context().ToHeader();
  pending->reply = [this, kind = pending->call.kind, job = pending->call.job,
                    started_at = pending->started_at, span = std::move(span),
                    reply = std::move(reply)](const ClientReply& answer) {
    ServerResponse response = ports_.dialect->FormatReply(answer);
    // On a new connection, the balancer directs the client to a node that can
    // accept work.
    response.close_connection = !Ready();
    if (span != nullptr) span->Set("status", absl::StrCat(response.status));
    RecordReply(kind, job, answer, response.status,
                SystemNow().mono - started_at);
    reply(std::move(response));
  };
  pending_calls_.insert(pending);
  TryCall(pending);
}

Result<ClientCall> SiteNode::ReadCall(const ServerRequest& request) const {
  auto call = ports_.dialect->ParseClientCall(request, *configuration_);
  if (!call) return call;
  const Queue* queue = configuration_->FindQueueByName(call.value().queue);
  Caller& caller = call.value().caller;
  const AccessDecision access =
      CheckAccess(*configuration_, *queue, caller.key);
  if (!access.allowed())
    return MakeError(ErrorCode::kUnauthorized, access.reason());
  if (access.account != nullptr) caller.account = access.account->name;
  caller.configuration_version = configuration_->version;
  caller.queue_allows_anonymous = queue->allows_anonymous;
  return call;
}

ClientReply SiteNode::DenialReply(const ServerRequest& request,
                                  const Error& error) const {
  ClientReply denial;
  denial.answer = AnswerForError(error);
  denial.message = error.message;
  // The queue may have been added since, even under a prefix that is known
  // here, so an outdated configuration must not deny a call.
  const bool may_deny = !configuration_unreadable_ &&
                        configuration_freshness_.MayDeny(SystemNow().mono);
  if (!may_deny) {
    denial = RetryLaterReply(
        absl::StrCat("the configuration here may be old, and ", error.message));
  }
  LogEvent(Severity::kInfo, "call_denied",
           {{"method", request.method},
            {"host", FindHeader(request.headers, "Host")},
            {"path", request.path.substr(0, kMaxLoggedPathBytes)},
            {"why", denial.message},
            {"configuration_version", absl::StrCat(configuration_version())},
            {"unconfirmed_ms", UnconfirmedText()}});
  return denial;
}

void SiteNode::RecordReply(ClientCallKind kind, JobId job,
                           const ClientReply& answer, int status,
                           absl::Duration took) {
  metrics_.Observe("call_seconds", {{"kind", KindName(kind)}},
                   absl::ToDoubleSeconds(took));
  metrics_.Count("calls_total",
                 {{"kind", KindName(kind)}, {"status", absl::StrCat(status)}});
  // Read-only calls change no state, so they are logged only if they failed or
  // if the answer is that the job does not exist.
  const bool logged = kind == ClientCallKind::kSubmit ||
                      kind == ClientCallKind::kCancel ||
                      status >= kFirstErrorStatus;
  if (!logged) return;
  LogEvent(Severity::kInfo, "call_answered",
           {{"kind", KindName(kind)},
            {"job", JobIdText(job)},
            {"status", absl::StrCat(status)},
            {"took_ms", absl::StrCat(absl::ToInt64Milliseconds(took))},
            {"leader", election_.leader().node},
            {"epoch", absl::StrCat(election_.leader().epoch)},
            {"why", answer.message}});
}

void SiteNode::Finish(const std::shared_ptr<PendingCall>& pending,
                      const ClientReply& reply) {
  pending_calls_.erase(pending);
  if (pending->reply) std::exchange(pending->reply, nullptr)(reply);
}

void SiteNode::GiveUpAll() {
  const auto calls = pending_calls_;
  for (const auto& pending : calls) GiveUp(pending);
}

void SiteNode::TryCall(const std::shared_ptr<PendingCall>& pending) {
  if (SystemNow().mono >= pending->deadline) return GiveUp(pending);
  if (session_ != nullptr && !session_->ended())
    return session_->active() ? TryLocally(pending) : RetryLater(pending);
  const LeaderRecord& leader = election_.leader();
  if (leader.epoch == 0 || leader.address == settings_.PeerAddress())
    return RetryLater(pending);
  TryRemotely(leader.address, pending);
}

void SiteNode::TryLocally(const std::shared_ptr<PendingCall>& pending) {
  pending->call_outcome.BeginTry();
  session_->Handle(pending->call, [this, pending](const ClientReply& reply) {
    if (!pending->call_outcome.EndTry(ClassifyTry(reply)))
      return RetryLater(pending);
    Finish(pending, reply);
  });
  RunAfter(loop_, pending->deadline - SystemNow().mono,
           [this, pending] { GiveUp(pending); });
}

void SiteNode::TryRemotely(const std::string& address,
                           const std::shared_ptr<PendingCall>& pending) {
  Json::Value params = ToJson(pending->call);
  if (!pending->trace.empty()) params["traceparent"] = pending->trace;
  pending->call_outcome.BeginTry();
  rpc_.Call(address, "call", params,
            std::min(kTryTimeout, pending->deadline - SystemNow().mono),
            [this, pending](const RpcOutcome& outcome) {
              if (!pending->call_outcome.EndTry(ClassifyTry(outcome)))
                return RetryLater(pending);
              Finish(pending, ClientReplyFromJson(outcome.result));
            });
}

void SiteNode::RetryLater(const std::shared_ptr<PendingCall>& pending) {
  if (!pending->reply) return;
  const absl::Time now = SystemNow().mono;
  const absl::Duration leaderless_timeout =
      LeaderOutOfReach() ? kKnownLeaderlessTimeout : kLeaderlessTimeout;
  const bool leaderless = !pending->call_outcome.MayHaveRun() &&
                          now - pending->started_at > leaderless_timeout;
  pending->retry_delay =
      std::clamp(pending->retry_delay * 2, kMinRetryDelay, kMaxRetryDelay);
  if (leaderless || now + kMinRetryDelay >= pending->deadline)
    return GiveUp(pending);
  RunAfter(loop_, std::min(pending->retry_delay, pending->deadline - now),
           [this, pending] {
             if (pending->reply) TryCall(pending);
           });
}

void SiteNode::GiveUp(const std::shared_ptr<PendingCall>& pending) {
  if (!pending->reply) return;
  ClientReply reply;
  const bool unknown = pending->call.kind == ClientCallKind::kSubmit &&
                       pending->call_outcome.MayHaveRun();
  reply.answer = unknown ? ClientAnswer::kUnknown : ClientAnswer::kRejected;
  reply.message = unknown ? "nobody could confirm the job in time"
                          : "no leader answered; come back later";
  reply.retry_after =
      settings_.policy.spread_retries
          ? outage_retry_.OnRefused(pending->call.job, SystemNow().mono)
          : kRetryAfter;
  LogEvent(Severity::kInfo, "call_given_up",
           {{"kind", KindName(pending->call.kind)},
            {"job", JobIdText(pending->call.job)},
            {"queue", pending->call.queue},
            {"leader", election_.leader().node},
            {"epoch", absl::StrCat(election_.leader().epoch)},
            {"answer", unknown ? "unknown" : "not_taken"}});
  Finish(pending, reply);
}

}  // namespace keelbridge
