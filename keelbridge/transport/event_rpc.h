// JSON-RPC 2.0 between nodes on an event loop.
//
// Handlers may answer later, for example once a record is kept, so the
// dispatcher of libjsonrpccpp, which wants the answer on return, does not fit;
// the frames are the same, over HTTP of `event_http_server.h`.
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

// All on the loop's thread.
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

// Calls of one lane never wait for calls of the other.
enum class RpcLane {
  kWork,     // Clients' calls, advice, the store through a peer.
  kOrders,   // Orders to workers that a peer carries, and their answers.
  kControl,  // Who leads and who is there: few, short, and never late.
};

// All on the loop's thread. Connections to peers are kept.
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
