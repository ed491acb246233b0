// JSON encoding of relayed orders to workers and of their replies. Each is an
// array of fields without names, because one message carries many of them.

#ifndef KEELBRIDGE_DAEMON_ORDER_MESSAGES_H_
#define KEELBRIDGE_DAEMON_ORDER_MESSAGES_H_

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "keelbridge/protocol/site_worker.h"

namespace keelbridge {

// An order that a relay forwards to a worker. The leader assigns `number`, and
// the reply repeats it. Only the id and address of `worker` are encoded.
struct RelayedOrder {
  int64_t number = 0;
  WorkerRecord worker;
  std::variant<StartOrder, StopOrder, ObserveOrder> order;
};

// The reply to a relayed order. For starts and stops only `reply.order` is set.
struct RelayedReply {
  int64_t number = 0;
  ObserveReply reply;
};

Json::Value ToRow(const EndedTask& end);
// Returns nullopt if `row` cannot be parsed.
std::optional<EndedTask> EndFromRow(const Json::Value& row);
Json::Value ToRow(const RelayedOrder& order);
// Returns nullopt if `row` cannot be parsed.
std::optional<RelayedOrder> OrderFromRow(const Json::Value& row);
Json::Value ToRow(const RelayedReply& reply);
std::optional<RelayedReply> ReplyFromRow(const Json::Value& row);

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_ORDER_MESSAGES_H_
