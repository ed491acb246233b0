#include "keelbridge/transport/event_rpc.h"

#include <utility>

namespace keelbridge {
namespace {

// Enough for a hundred peers that each use their maximum.
constexpr size_t kMaxPeerConnections = 1000;
constexpr size_t kMaxPeerBodyBytes = 8 << 20;
constexpr size_t kWorkConnectionsToPeer = 8;
constexpr size_t kControlConnectionsToPeer = 2;
// Order messages are answered immediately, so a second one is in flight only
// while the response to the first is late.
constexpr size_t kOrderConnectionsToPeer = 4;
// A client does not reuse connections that have been idle for longer. The
// server keeps them slightly longer, so that no call is sent on a connection
// that is being closed, and then closes them, so that dead connections stop
// counting towards its limit.
constexpr absl::Duration kPeerClientIdleExpiry = absl::Seconds(30);
constexpr absl::Duration kPeerServerIdleTimeout = absl::Seconds(35);
// A peer sends a heartbeat every 0.25 s, or every 0.4 s in a site of 40 nodes.
// So a connection that is idle for more than two of these periods is an
// additional connection of a peer, or dead.
constexpr absl::Duration kEvictIdleAfter = absl::Seconds(1);
constexpr int kMethodNotFound = -32601;
constexpr int kInvalidRequest = -32600;
constexpr int kInvalidParams = -32602;

EventHttpServer::Options PeerServerOptions(const Address& listen) {
  EventHttpServer::Options options;
  options.listen = listen;
  options.max_connections = kMaxPeerConnections;
  options.max_body_bytes = kMaxPeerBodyBytes;
  options.idle_timeout = kPeerServerIdleTimeout;
  options.evict_idle_after = kEvictIdleAfter;
  options.skip_abandoned = true;
  return options;
}

size_t MaxConnectionsFor(RpcLane lane) {
  switch (lane) {
    case RpcLane::kWork:
      return kWorkConnectionsToPeer;
    case RpcLane::kOrders:
      return kOrderConnectionsToPeer;
    case RpcLane::kControl:
      return kControlConnectionsToPeer;
  }
  return kControlConnectionsToPeer;
}

ServerResponse MakeRpcResponse(const Json::Value& id,
                               const JsonRpcReply& reply) {
  return {200, {}, SerializeRpcResponse(id, reply), "application/json"};
}

}  // namespace

EventRpcServer::EventRpcServer(boost::asio::io_context& loop,
                               const Address& listen)
    : server_(loop, PeerServerOptions(listen),
              [this](const ServerRequest& request,
                     const EventHttpServer::Reply& reply) {
                Handle(request, reply);
              }) {}

void EventRpcServer::Add(const std::string& name, Method method) {
  methods_[name] = std::move(method);
}

void EventRpcServer::Handle(const ServerRequest& request,
                            const EventHttpServer::Reply& reply) {
  const RpcCall call = ParseRpcCall(request.body);
  if (!call.valid)
    return reply(
        MakeRpcResponse(call.id, {Json::Value(), kInvalidRequest, "no call"}));
  const auto method = methods_.find(call.method);
  if (method == methods_.end())
    return reply(MakeRpcResponse(
        call.id, {Json::Value(), kMethodNotFound, "no such method"}));
  // Without an error response the caller would wait until its timeout.
  try {
    method->second(call.params,
                   [id = call.id, reply](const JsonRpcReply& answer) {
                     reply(MakeRpcResponse(id, answer));
                   });
  } catch (const Json::Exception& e) {
    reply(MakeRpcResponse(call.id, {Json::Value(), kInvalidParams, e.what()}));
  }
}

void EventRpcClient::Call(const std::string& address, const std::string& method,
                          Json::Value params, absl::Duration timeout,
                          std::function<void(RpcOutcome)> done, RpcLane lane) {
  auto& peer = peers_[{address, lane}];
  if (peer == nullptr) {
    auto parsed = ParseAddress(address);
    EventHttpClient::Options options;
    options.max_connections = MaxConnectionsFor(lane);
    options.idle_expiry = kPeerClientIdleExpiry;
    options.drop_unsent = true;
    peer = std::make_unique<EventHttpClient>(
        loop_, parsed ? parsed.value() : Address{"0.0.0.0", 0, ""}, options);
  }
  HttpRequest request;
  request.method = "POST";
  request.path = "/rpc";
  request.body = SerializeRpcCall(next_id_++, method, std::move(params));
  peer->Send(std::move(request), timeout,
             [done = std::move(done)](const HttpOutcome& outcome) {
               if (!outcome.response) {
                 RpcOutcome out;
                 out.sent = outcome.failure == SendFailure::kMayHaveSent;
                 out.error = outcome.message;
                 out.refused = outcome.refused;
                 return done(std::move(out));
               }
               done(ParseRpcResponse(outcome.response->body));
             });
}

}  // namespace keelbridge
