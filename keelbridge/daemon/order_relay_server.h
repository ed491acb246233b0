// Forwards a leader's orders to workers on its behalf; see
// `order_relay_client.h`.
//
// A relay makes no decisions: it sends each order once, with the leader's
// fencing token, and returns the worker's reply unchanged.
//
//   OrderRelayServer relay(loop, workers, rpc);
//   // For each call of `OrderRelayClient::kOrdersMethod`:
//   relay.HandleOrders(params);

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

// Not thread-safe: use it on the loop's thread only. Must outlive the handlers
// that the loop runs.
class OrderRelayServer {
 public:
  OrderRelayServer(boost::asio::io_context& loop, WorkerOrders& workers,
                   EventRpcClient& rpc);

  // Forwards the orders of a message.
  void HandleOrders(const Json::Value& params);
  int64_t forwarded() const { return forwarded_; }

 private:
  void ForwardOrder(const RelayedOrder& order, const std::string& reply_to);
  void QueueReply(const std::string& reply_to, int64_t number,
                  ObserveReply reply);
  // Sends the queued replies for one leader.
  void Flush(const std::string& reply_to);
  void Send(const std::string& reply_to, const Json::Value& params, int tries);
  // Closes connections to workers that have received no order for a while.
  void CloseIdleConnections();

  boost::asio::io_context& loop_;
  WorkerOrders& workers_;
  EventRpcClient& rpc_;
  // Encoded replies by the address of the leader that they are sent to.
  std::map<std::string, Json::Value> queued_replies_;
  absl::flat_hash_map<std::string, absl::Time>
      last_order_times_;  // By worker id.
  absl::Time next_idle_check_ = absl::InfinitePast();
  int64_t forwarded_ = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_ORDER_RELAY_SERVER_H_
