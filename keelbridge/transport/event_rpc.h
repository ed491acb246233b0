// JSON-RPC 2.0 between nodes on an event loop.
//
// Handlers may reply asynchronously, for example once a record is durable. The
// dispatcher of libjsonrpccpp expects the result on return and cannot be used;
// the messages have the same format and travel over the HTTP server of
// `event_http_server.h`.
//
//   EventRpcServer server(loop, address);
//   server.Add("ping", [](const Json::Value&, EventRpcServer::Reply reply) {
//     reply({Json::Value("pong")});
//   });
//   EventRpcClient client(loop);
//   client.Call(peer, "ping", params, absl::Seconds(1), [](RpcOutcome o) {});

#ifndef KEELBRIDGE_TRANSPORT_EVENT_RPC_H_
#define KEELBRIDGE_TRANSPORT_EVENT_RPC_H_

#include <json/json.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "absl/time/time.h"
#include "keelbridge/base/result.h"
#include "keelbridge/transport/event_http_client.h"
#include "keelbridge/transport/event_http_server.h"
#include "keelbridge/transport/rpc_frames.h"

namespace keelbridge {

// Dispatches JSON-RPC calls to registered methods. Not thread-safe: all calls
// must come from the loop's thread.
class EventRpcServer {
 public:
  using Reply = std::function<void(JsonRpcReply)>;
  using Method = std::function<void(const Json::Value& params, Reply reply)>;

  EventRpcServer(boost::asio::io_context& loop, const Address& listen);
  void Add(const std::string& name, Method method);
  Result<int> Start() { return server_.Start(); }

 private:
  void Handle(const ServerRequest& request,
              const EventHttpServer::Reply& reply);

  std::map<std::string, Method> methods_;
  EventHttpServer server_;
};

// Class of a call. Each lane has its own connections to a peer, so calls of one
// lane never wait for calls of another.
enum class RpcLane {
  kWork,     // Client calls, advice, and store access through a peer.
  kOrders,   // Orders to workers relayed by a peer, and their responses.
  kControl,  // Leadership and liveness: few, short, latency-critical.
};

// Calls methods of peers over pooled keep-alive connections. Not thread-safe:
// all calls must come from the loop's thread.
class EventRpcClient {
 public:
  explicit EventRpcClient(boost::asio::io_context& loop) : loop_(loop) {}
  void Call(const std::string& address, const std::string& method,
            Json::Value params, absl::Duration timeout,
            std::function<void(RpcOutcome)> done,
            RpcLane lane = RpcLane::kWork);

 private:
  boost::asio::io_context& loop_;
  std::map<std::pair<std::string, RpcLane>, std::unique_ptr<EventHttpClient>>
      peers_;
  int64_t next_id_ = 1;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_EVENT_RPC_H_
