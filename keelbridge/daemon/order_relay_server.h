// Carries a leader's orders to workers on its behalf; see `relayed_orders.h`.
//
// A relay decides nothing: each order is sent once, under the fence that the
// leader gave it, and its answer goes back as it came.
//
//   OrderRelayServer relay(loop, workers, rpc);
//   relay.Carry(params);  // of `kOrdersMethod`.

#ifndef KEELBRIDGE_DAEMON_ORDER_RELAY_SERVER_H_
#define KEELBRIDGE_DAEMON_ORDER_RELAY_SERVER_H_

#include <json/json.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "keelbridge/daemon/order_messages.h"
#include "keelbridge/protocol/site_worker.h"
#include "keelbridge/transport/event_rpc.h"

namespace keelbridge {

// All on the loop's thread. Must outlive what the loop runs.
class OrderRelayServer {
 public:
  OrderRelayServer(boost::asio::io_context& loop, WorkerOrders& workers,
                   EventRpcClient& rpc);

  // Takes the orders of a message.
  void HandleOrders(const Json::Value& params);
  int64_t forwarded() const { return forwarded_; }

 private:
  void ForwardOrder(const RelayedOrder& order, const std::string& reply_to);
  void QueueReply(const std::string& reply_to, int64_t number,
                  ObserveReply reply);
  // Sends what was gathered for one leader.
  void Flush(const std::string& reply_to);
  void Send(const std::string& reply_to, const Json::Value& params, int tries);
  // Closes the connections to workers that got no order for long.
  void CloseIdleConnections();

  boost::asio::io_context& loop_;
  WorkerOrders& workers_;
  EventRpcClient& rpc_;
  // Rows of answers, by the leader that they go to.
  std::map<std::string, Json::Value> queued_replies_;
  absl::flat_hash_map<std::string, absl::Time> last_order_;  // By worker.
  absl::Time next_idle_check_ = absl::InfinitePast();
  int64_t forwarded_ = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_ORDER_RELAY_SERVER_H_
