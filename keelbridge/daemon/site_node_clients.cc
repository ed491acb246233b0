// Clients' calls: read, carried to the leader, answered. All of them may be
// tried again, since a job's id makes each of them happen once.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/node_messages.h"
#include "keelbridge/daemon/site_node.h"
#include "keelbridge/transport/event_timer.h"
#include "keelbridge/transport/trace.h"

namespace keelbridge {
namespace {

// A client gets its answer this much before it stops waiting.
constexpr absl::Duration kAnswerMargin = absl::Milliseconds(200);
constexpr absl::Duration kLongestForward = absl::Milliseconds(2600);
constexpr absl::Duration kTryTimeout = absl::Milliseconds(1000);
// The first pause before another try; each further one is twice as long.
constexpr absl::Duration kTryPause = absl::Milliseconds(60);
constexpr absl::Duration kLongestTryPause = absl::Milliseconds(480);
// Without anybody who leads, a call is given up after this long.
constexpr absl::Duration kLeaderlessPatience = absl::Milliseconds(1000);
// The same, once the leader is known to be out of reach.
constexpr absl::Duration kKnownLeaderlessPatience = absl::Milliseconds(150);
constexpr absl::Duration kRetryAfter = absl::Seconds(1);
// Bytes of a path in a log line: enough for a prefix and a job's id.
constexpr size_t kMostLoggedPath = 128;
constexpr int kFirstErrorStatus = 400;

ClientAnswer AnswerOf(const Error& error) {
  return error.code == ErrorCode::kNotFound ? ClientAnswer::kNoSuchQueue
                                            : ClientAnswer::kInvalid;
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

// Not taken here and now, and not to be run.
ClientReply ComeBack(std::string message) {
  ClientReply reply;
  reply.answer = ClientAnswer::kNotTaken;
  reply.message = std::move(message);
  reply.retry_after = kRetryAfter;
  return reply;
}

// Callers choose which of their calls are traced: a span a hop. Null: not this
// one.
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

CallFate::TryEnd EndOfTry(const ClientReply& reply) {
  switch (reply.answer) {
    case ClientAnswer::kUnknown:
      return CallFate::TryEnd::kTermEnded;
    case ClientAnswer::kNotTaken:
      return CallFate::TryEnd::kNotTaken;
    default:
      return CallFate::TryEnd::kAnswered;
  }
}

CallFate::TryEnd EndOfTry(const RpcOutcome& outcome) {
  if (!outcome.answered) {
    return outcome.sent ? CallFate::TryEnd::kNoAnswer
                        : CallFate::TryEnd::kNothingSent;
  }
  if (outcome.result["not_leader"].asBool()) return CallFate::TryEnd::kNotLed;
  return EndOfTry(ClientReplyFromJson(outcome.result));
}

}  // namespace

void SiteNode::ServeClient(const ServerRequest& request,
                           EventHttpServer::Reply reply) {
  if (configuration_ == nullptr) {
    return reply(ports_.dialect->FormatReply(
        ComeBack("this node has no configuration yet")));
  }
  if (last_answers_given_)
    return reply(ports_.dialect->FormatReply(ComeBack("this node stops")));
  auto call = ports_.dialect->ParseClientCall(request, *configuration_);
  if (!call)
    return reply(ports_.dialect->FormatReply(Deny(request, call.error())));
  auto forward = std::make_shared<Forward>();
  forward->call = std::move(call.value());
  forward->begun = SystemNow().mono;
  forward->deadline =
      forward->begun +
      std::min(kLongestForward,
               std::max(forward->call.remaining - kAnswerMargin, kTryPause));
  std::shared_ptr<Span> span = BeginSpan(request, forward->call);
  if (span != nullptr) forward->trace = span->context().ToHeader();
  forward->reply = [this, kind = forward->call.kind, job = forward->call.job,
                    begun = forward->begun, span = std::move(span),
                    reply = std::move(reply)](const ClientReply& answer) {
    ServerResponse response = ports_.dialect->FormatReply(answer);
    // The balancer then leads the client to a node that can take work.
    response.close_connection = !Ready();
    if (span != nullptr) span->Set("status", absl::StrCat(response.status));
    TellAnswer(kind, job, answer, response.status, SystemNow().mono - begun);
    reply(std::move(response));
  };
  open_calls_.insert(forward);
  Try(forward);
}

ClientReply SiteNode::Deny(const ServerRequest& request,
                           const Error& error) const {
  ClientReply refused;
  refused.answer = AnswerOf(error);
  refused.message = error.message;
  // The queue may have been added since, also below a prefix that is known
  // here: what is too old denies nothing.
  const bool may_deny = !configuration_unreadable_ &&
                        configuration_freshness_.MayDeny(SystemNow().mono);
  if (!may_deny) {
    refused = ComeBack(
        absl::StrCat("the configuration here may be old, and ", error.message));
  }
  LogEvent(Severity::kInfo, "call_denied",
           {{"method", request.method},
            {"host", FindHeader(request.headers, "Host")},
            {"path", request.path.substr(0, kMostLoggedPath)},
            {"why", refused.message},
            {"configuration_version", absl::StrCat(configuration_version())},
            {"unconfirmed_ms", UnconfirmedText()}});
  return refused;
}

void SiteNode::TellAnswer(ClientCallKind kind, JobId job,
                          const ClientReply& answer, int status,
                          absl::Duration took) {
  metrics_.Observe("call_seconds", {{"kind", KindName(kind)}},
                   absl::ToDoubleSeconds(took));
  metrics_.Count("calls_total",
                 {{"kind", KindName(kind)}, {"status", absl::StrCat(status)}});
  // Looks at a state change nothing; only those that fail or deny a job are
  // told of.
  const bool telling = kind == ClientCallKind::kSubmit ||
                       kind == ClientCallKind::kCancel ||
                       status >= kFirstErrorStatus;
  if (!telling) return;
  LogEvent(Severity::kInfo, "call_answered",
           {{"kind", KindName(kind)},
            {"job", JobIdText(job)},
            {"status", absl::StrCat(status)},
            {"took_ms", absl::StrCat(absl::ToInt64Milliseconds(took))},
            {"leader", election_.leader().node},
            {"epoch", absl::StrCat(election_.leader().epoch)},
            {"why", answer.message}});
}

void SiteNode::Finish(const std::shared_ptr<Forward>& forward,
                      const ClientReply& reply) {
  open_calls_.erase(forward);
  if (forward->reply) std::exchange(forward->reply, nullptr)(reply);
}

void SiteNode::GiveUpAll() {
  const auto open = open_calls_;
  for (const auto& forward : open) GiveUp(forward);
}

void SiteNode::Try(const std::shared_ptr<Forward>& forward) {
  if (SystemNow().mono >= forward->deadline) return GiveUp(forward);
  if (session_ != nullptr && !session_->ended())
    return session_->active() ? TryHere(forward) : TryAgain(forward);
  const LeaderRecord& leader = election_.leader();
  if (leader.epoch == 0 || leader.address == settings_.PeerAddress())
    return TryAgain(forward);
  TryAt(leader.address, forward);
}

void SiteNode::TryHere(const std::shared_ptr<Forward>& forward) {
  forward->fate.BeginTry();
  session_->Handle(forward->call, [this, forward](const ClientReply& reply) {
    if (!forward->fate.EndTry(EndOfTry(reply))) return TryAgain(forward);
    Finish(forward, reply);
  });
  RunAfter(loop_, forward->deadline - SystemNow().mono,
           [this, forward] { GiveUp(forward); });
}

void SiteNode::TryAt(const std::string& address,
                     const std::shared_ptr<Forward>& forward) {
  Json::Value params = ToJson(forward->call);
  if (!forward->trace.empty()) params["traceparent"] = forward->trace;
  forward->fate.BeginTry();
  rpc_.Call(address, "call", params,
            std::min(kTryTimeout, forward->deadline - SystemNow().mono),
            [this, forward](const RpcOutcome& outcome) {
              if (!forward->fate.EndTry(EndOfTry(outcome)))
                return TryAgain(forward);
              Finish(forward, ClientReplyFromJson(outcome.result));
            });
}

void SiteNode::TryAgain(const std::shared_ptr<Forward>& forward) {
  if (!forward->reply) return;
  const absl::Time now = SystemNow().mono;
  const absl::Duration patience =
      LeaderOutOfReach() ? kKnownLeaderlessPatience : kLeaderlessPatience;
  const bool leaderless =
      !forward->fate.MayHaveRun() && now - forward->begun > patience;
  forward->pause = std::clamp(forward->pause * 2, kTryPause, kLongestTryPause);
  if (leaderless || now + kTryPause >= forward->deadline)
    return GiveUp(forward);
  RunAfter(loop_, std::min(forward->pause, forward->deadline - now),
           [this, forward] {
             if (forward->reply) Try(forward);
           });
}

void SiteNode::GiveUp(const std::shared_ptr<Forward>& forward) {
  if (!forward->reply) return;
  ClientReply reply;
  const bool unknown = forward->call.kind == ClientCallKind::kSubmit &&
                       forward->fate.MayHaveRun();
  reply.answer = unknown ? ClientAnswer::kUnknown : ClientAnswer::kNotTaken;
  reply.message = unknown ? "nobody could confirm the job in time"
                          : "no leader answered; come back later";
  reply.retry_after = kRetryAfter;
  LogEvent(Severity::kInfo, "call_given_up",
           {{"kind", KindName(forward->call.kind)},
            {"job", JobIdText(forward->call.job)},
            {"queue", forward->call.queue},
            {"leader", election_.leader().node},
            {"epoch", absl::StrCat(election_.leader().epoch)},
            {"answer", unknown ? "unknown" : "not_taken"}});
  Finish(forward, reply);
}

}  // namespace keelbridge
