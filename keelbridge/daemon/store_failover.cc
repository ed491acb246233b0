#include "keelbridge/daemon/store_failover.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "absl/strings/escaping.h"
#include "keelbridge/base/clock.h"

namespace keelbridge {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
// Interval of probes of the direct path while calls go through a peer.
constexpr absl::Duration kProbeInterval = absl::Milliseconds(150);
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(500);
// Only a read with at most this timeout is used as a probe, such as the read of
// the current leader, a single short record. A read with a longer timeout may
// return a whole configuration, which a slow link cannot transfer within a
// probe.
constexpr absl::Duration kSmallReadTimeout = absl::Milliseconds(800);
// A call with less time left is not sent through a peer.
constexpr absl::Duration kMinRelayTime = absl::Milliseconds(50);
// One append at a time, plus concurrent reads that may hang until they time
// out: three of the configuration and a probe of it, one of the current leader,
// one of the workers, and two probes of the direct path. The remaining
// connections serve calls from peers.
constexpr size_t kStoreConnections = 12;
constexpr size_t kLongPollConnections = 8;
// A connection to the store that was idle for longer may be dead. A new
// connection costs a round trip (some milliseconds), a dead one the timeout of
// a call. A leader calls more often than this and keeps its connection.
constexpr absl::Duration kStoreIdleExpiry = absl::Seconds(2);

EventHttpClient::Options ClientOptions(size_t connections) {
  EventHttpClient::Options options;
  options.max_connections = connections;
  options.idle_expiry = kStoreIdleExpiry;
  return options;
}

// Returns whether the call failed for a reason that another path to the store
// may not have.
bool IsUnavailable(const HttpOutcome& outcome) {
  return !outcome.response || outcome.response->status == kTooManyRequests ||
         outcome.response->status == kUnavailable;
}

// Returns whether the store certainly did not execute the call, so that it may
// be sent over another path.
bool CertainlyNotExecuted(const HttpOutcome& outcome) {
  if (!outcome.response) return NothingWasSent(outcome.failure);
  return IsUnavailable(outcome);
}

Json::Value RequestToJson(const HttpRequest& request) {
  Json::Value out(Json::objectValue);
  out["method"] = request.method;
  out["path"] = request.path;
  out["body"] = absl::Base64Escape(request.body);
  out["content_type"] = request.content_type;
  if (request.progress_timeout < absl::InfiniteDuration())
    out["silence_ms"] =
        Json::Int64(absl::ToInt64Milliseconds(request.progress_timeout));
  return out;
}

HttpRequest RequestFromJson(const Json::Value& in) {
  HttpRequest request;
  request.method = in["method"].asString();
  request.path = in["path"].asString();
  absl::Base64Unescape(in["body"].asString(), &request.body);
  request.content_type = in["content_type"].asString();
  if (in["silence_ms"].isIntegral())
    request.progress_timeout = absl::Milliseconds(in["silence_ms"].asInt64());
  return request;
}

}  // namespace

StoreFailover::StoreFailover(boost::asio::io_context& loop,
                             const Address& store, EventRpcClient& rpc)
    : store_(loop, store, ClientOptions(kStoreConnections)), rpc_(rpc) {}

void StoreFailover::Send(const HttpRequest& request, absl::Duration timeout,
                         std::function<void(HttpOutcome)> done) {
  const bool read = request.method == "GET";
  const bool small = read && timeout <= kSmallReadTimeout;
  if (small) probe_request_ = request;
  const absl::Time now = SystemNow().mono;
  const bool can_probe = !probe_request_.path.empty();
  // A store that refuses calls is still called directly first. It answers
  // immediately, and a successful call shows that it is available again.
  const bool through_peer = failures_ > 0 && !store_refused_ &&
                            !peers_.empty() && (can_probe || now < next_probe_);
  if (through_peer) {
    // Reads succeed and only appends fail. A large read sent over both paths
    // would be transferred twice over the same link.
    const bool only_direct = read && !small && !read_failed_;
    if (!only_direct) {
      const bool send_both_ways = now >= next_probe_ || !read_failed_;
      if (read && send_both_ways)
        return SendBothWays(request, timeout, std::move(done));
      if (can_probe) ProbeDirect();
      return SendThroughPeer(request, timeout, std::move(done));
    }
  }
  next_probe_ = now + kProbeInterval;
  SendDirect(request, timeout,
             [this, request, deadline = now + timeout,
              done = std::move(done)](HttpOutcome outcome) {
               const absl::Duration left = deadline - SystemNow().mono;
               const bool relay = CertainlyNotExecuted(outcome) &&
                                  !peers_.empty() && left > kMinRelayTime;
               if (relay) return SendThroughPeer(request, left, done);
               done(std::move(outcome));
             });
}

void StoreFailover::SendBothWays(const HttpRequest& request,
                                 absl::Duration timeout,
                                 std::function<void(HttpOutcome)> done) {
  next_probe_ = SystemNow().mono + kProbeInterval;
  auto pending_done =
      std::make_shared<std::function<void(HttpOutcome)>>(std::move(done));
  auto outstanding = std::make_shared<int>(2);
  const auto on_outcome = [pending_done, outstanding](HttpOutcome outcome) {
    const bool last = --*outstanding == 0;
    if (*pending_done && (last || !IsUnavailable(outcome)))
      std::exchange(*pending_done, nullptr)(std::move(outcome));
  };
  SendDirect(request, timeout, on_outcome);
  SendThroughPeer(request, timeout, on_outcome);
}

void StoreFailover::ProbeDirect() {
  const absl::Time now = SystemNow().mono;
  if (now < next_probe_) return;
  next_probe_ = now + kProbeInterval;
  SendDirect(probe_request_, kProbeTimeout, [](const HttpOutcome&) {});
}

void StoreFailover::SendDirect(const HttpRequest& request,
                               absl::Duration timeout,
                               std::function<void(HttpOutcome)> done) {
  ++calls_;
  store_.Send(request, timeout,
              [this, read = request.method == "GET",
               done = std::move(done)](HttpOutcome outcome) {
                if (read) read_failed_ = IsUnavailable(outcome);
                OnDirectOutcome(outcome);
                done(std::move(outcome));
              });
}

void StoreFailover::OnDirectOutcome(const HttpOutcome& outcome) {
  store_refused_ = outcome.response.has_value() && IsUnavailable(outcome);
  if (!IsUnavailable(outcome)) {
    failures_ = 0;
    lost_since_ = absl::InfiniteFuture();
    return;
  }
  if (++failures_ > 1) return;
  lost_since_ = SystemNow().mono;
  if (outcome.response || probe_request_.path.empty()) return;
  // Possibly only a kept-alive connection is dead. A read on a new connection
  // shows whether the store is reachable before the caller retries.
  next_probe_ = lost_since_;
  ProbeDirect();
}

void StoreFailover::SendThroughPeer(const HttpRequest& request,
                                    absl::Duration timeout,
                                    std::function<void(HttpOutcome)> done) {
  ++relayed_;
  // The peer that forwarded the last call is used until it fails.
  const size_t number = next_peer_;
  const std::string& peer = peers_[number % peers_.size()];
  Json::Value params = RequestToJson(request);
  params["timeout_ms"] = Json::Int64(absl::ToInt64Milliseconds(timeout));
  rpc_.Call(peer, kMethod, params, timeout + absl::Milliseconds(100),
            [this, number, done = std::move(done)](const RpcOutcome& outcome) {
              HttpOutcome out;
              const int status =
                  outcome.answered ? outcome.result["status"].asInt() : 0;
              const bool unavailable = status == 0 ||
                                       status == kTooManyRequests ||
                                       status == kUnavailable;
              if (unavailable && next_peer_ == number) ++next_peer_;
              if (status == 0) {
                const bool sent = outcome.answered
                                      ? outcome.result["sent"].asBool()
                                      : outcome.sent;
                out.failure = sent ? SendFailure::kMayHaveSent
                                   : SendFailure::kNothingSent;
                out.message = "through a peer: " + outcome.error;
                return done(std::move(out));
              }
              out.response.emplace();
              out.response->status = status;
              if (!absl::Base64Unescape(outcome.result["body"].asString(),
                                        &out.response->body)) {
                out.response.reset();
                out.failure = SendFailure::kMayHaveSent;
                out.message = "a peer's answer cannot be read";
              }
              done(std::move(out));
            });
}

void StoreFailover::ServePeer(const Json::Value& params,
                              EventRpcServer::Reply reply) {
  const absl::Duration timeout =
      absl::Milliseconds(params["timeout_ms"].asInt64());
  SendDirect(RequestFromJson(params), timeout,
             [reply = std::move(reply)](const HttpOutcome& outcome) {
               Json::Value out(Json::objectValue);
               out["status"] = outcome.response ? outcome.response->status : 0;
               out["sent"] = !NothingWasSent(outcome.failure);
               if (outcome.response)
                 out["body"] = absl::Base64Escape(outcome.response->body);
               reply({out, 0, ""});
             });
}

StoreLongPolls::StoreLongPolls(boost::asio::io_context& loop,
                               const Address& store)
    : store_(loop, store, ClientOptions(kLongPollConnections)) {}

void StoreLongPolls::Send(const HttpRequest& request, absl::Duration timeout,
                          std::function<void(HttpOutcome)> done) {
  store_.Send(request, timeout, std::move(done));
}

}  // namespace keelbridge
