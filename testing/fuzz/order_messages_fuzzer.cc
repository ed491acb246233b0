// Fuzzes the rows of orders and order replies between nodes: any row is parsed
// or refused, and a parsed row survives a round trip.

#include "keelbridge/base/json_reader.h"
#include "keelbridge/daemon/order_messages.h"
#include "testing/fuzz/fuzz_check.h"

namespace {

using keelbridge::OrderResult;
using keelbridge::RunEnd;

void CheckOrder(const Json::Value& row) {
  const auto order = keelbridge::OrderFromRow(row);
  if (!order) return;
  const Json::Value encoded = ToRow(*order);
  const auto decoded_again = keelbridge::OrderFromRow(encoded);
  fuzz::Require(decoded_again && ToRow(*decoded_again) == encoded,
                "an order survives a round trip");
}

void CheckReply(const Json::Value& row) {
  const auto reply = keelbridge::ReplyFromRow(row);
  if (!reply) return;
  const OrderResult result = reply->reply.order.result;
  fuzz::Require(result >= OrderResult::kDone && result <= OrderResult::kUnknown,
                "the result of a reply is a known enumerator");
  for (const keelbridge::EndedTask& task : reply->reply.ended)
    fuzz::Require(task.end >= RunEnd::kDone && task.end <= RunEnd::kAlone,
                  "the end of a run is a known enumerator");
  const Json::Value encoded = ToRow(*reply);
  const auto decoded_again = keelbridge::ReplyFromRow(encoded);
  fuzz::Require(decoded_again && ToRow(*decoded_again) == encoded,
                "a reply survives a round trip");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const auto message =
      keelbridge::JsonDocument::Parse(fuzz::InputText(data, size), "orders");
  for (const Json::Value& row : message.root()["rows"]) {
    CheckOrder(row);
    CheckReply(row);
  }
  return 0;
}
