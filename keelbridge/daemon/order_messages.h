// Orders to workers that another node carries, and their answers, as rows of
// JSON: many travel in one message, so that a row holds no names.

#ifndef KEELBRIDGE_DAEMON_ORDER_MESSAGES_H_
#define KEELBRIDGE_DAEMON_ORDER_MESSAGES_H_

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "keelbridge/protocol/site_worker.h"

namespace keelbridge {

// An order for a relay to carry. Its number is the leader's, and is told with
// the answer. Of the worker only id and address travel.
struct RelayedOrder {
  int64_t number = 0;
  WorkerRecord worker;
  std::variant<StartOrder, StopOrder, ObserveOrder> order;
};

// `reply.order` alone counts for orders that are no looks.
struct RelayedReply {
  int64_t number = 0;
  ObserveReply reply;
};

Json::Value ToRow(const RelayedOrder& order);
// None: it cannot be read.
std::optional<RelayedOrder> OrderFromRow(const Json::Value& row);
Json::Value ToRow(const RelayedReply& reply);
std::optional<RelayedReply> ReplyFromRow(const Json::Value& row);

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_ORDER_MESSAGES_H_
