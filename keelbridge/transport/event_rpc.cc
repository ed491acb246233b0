#include "keelbridge/transport/event_rpc.h"

#include <utility>

#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

// Enough for a hundred peers that use all they may.
constexpr size_t kMostPeerConnections = 1000;
constexpr size_t kMostPeerBodyBytes = 8 << 20;
constexpr size_t kWorkConnectionsToPeer = 8;
constexpr size_t kControlConnectionsToPeer = 2;
// Messages are answered at once: a second one is under way only when the first
// is late.
constexpr size_t kOrderConnectionsToPeer = 4;
// A caller drops what idles for longer. The server waits a little more, so
// that no call meets its end; what went silent for good counts no longer.
constexpr absl::Duration kPeerClientIdle = absl::Seconds(30);
constexpr absl::Duration kPeerServerIdle = absl::Seconds(35);
// Heartbeats come every 0.4 s: what idles for longer than two is a caller's
// further connection, or dead.
constexpr absl::Duration kSpareAfter = absl::Seconds(1);
constexpr int kMethodNotFound = -32601;
constexpr int kInvalidRequest = -32600;

EventHttpServer::Options PeerServerOptions(const Address& listen) {
  EventHttpServer::Options options;
  options.listen = listen;
  options.most_connections = kMostPeerConnections;
  options.most_body_bytes = kMostPeerBodyBytes;
  options.idle_timeout = kPeerServerIdle;
  options.spare_after = kSpareAfter;
  options.skip_abandoned = true;
  return options;
}

size_t ConnectionsOf(RpcLane lane) {
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

ServerResponse Frame(const Json::Value& id, const JsonRpcReply& reply) {
  Json::Value out(Json::objectValue);
  out["jsonrpc"] = "2.0";
  out["id"] = id;
  if (reply.error_code != 0) {
    out["error"]["code"] = reply.error_code;
    out["error"]["message"] = reply.error_message;
  } else {
    out["result"] = reply.result;
  }
  return {200, {}, ToJsonText(out), "application/json"};
}

}  // namespace

EventRpcServer::EventRpcServer(boost::asio::io_context& loop,
                               const Address& listen)
    : server_(
          loop, PeerServerOptions(listen),
          [this](const ServerRequest& request, EventHttpServer::Reply reply) {
            Handle(request, std::move(reply));
          }) {}

void EventRpcServer::Add(const std::string& name, Method method) {
  methods_[name] = std::move(method);
}

void EventRpcServer::Handle(const ServerRequest& request,
                            EventHttpServer::Reply reply) {
  const JsonDocument document = JsonDocument::Parse(request.body, "the call");
  const Json::Value& call = document.root();
  const Json::Value& id = call["id"];
  if (!document.faults().empty() || !call["method"].isString())
    return reply(Frame(id, {Json::Value(), kInvalidRequest, "no call"}));
  const auto method = methods_.find(call["method"].asString());
  if (method == methods_.end())
    return reply(Frame(id, {Json::Value(), kMethodNotFound, "no such method"}));
  method->second(call["params"],
                 [id, reply = std::move(reply)](const JsonRpcReply& answer) {
                   reply(Frame(id, answer));
                 });
}

void EventRpcClient::Call(const std::string& address, const std::string& method,
                          Json::Value params, absl::Duration timeout,
                          std::function<void(RpcOutcome)> done, RpcLane lane) {
  auto& peer = peers_[{address, lane}];
  if (peer == nullptr) {
    auto parsed = ParseAddress(address);
    EventHttpClient::Options options;
    options.most_connections = ConnectionsOf(lane);
    options.idle_expiry = kPeerClientIdle;
    options.drop_unsent = true;
    peer = std::make_unique<EventHttpClient>(
        loop_, parsed ? parsed.value() : Address{"0.0.0.0", 0, ""}, options);
  }
  Json::Value call(Json::objectValue);
  call["jsonrpc"] = "2.0";
  call["id"] = Json::Int64(next_id_++);
  call["method"] = method;
  call["params"] = std::move(params);
  HttpRequest request;
  request.method = "POST";
  request.path = "/rpc";
  request.body = ToJsonText(call);
  peer->Send(std::move(request), timeout,
             [done = std::move(done)](const HttpOutcome& outcome) {
               RpcOutcome out;
               if (!outcome.response) {
                 out.sent = outcome.failure == SendFailure::kMayHaveSent;
                 out.error = outcome.message;
                 out.refused = outcome.refused;
                 return done(std::move(out));
               }
               out.sent = true;
               const JsonDocument document =
                   JsonDocument::Parse(outcome.response->body, "the answer");
               const Json::Value& answer = document.root();
               if (answer.isMember("result")) {
                 out.answered = true;
                 out.result = answer["result"];
               } else {
                 out.error = answer["error"]["message"].asString();
               }
               done(std::move(out));
             });
}

}  // namespace keelbridge
