// The frames of JSON-RPC 2.0 that nodes send each other; see `event_rpc.h`.
//
//   const RpcCall call = ParseRpcCall(request.body);
//   if (!call.readable) return reply(SerializeRpcResponse(call.id, error));
//   const RpcOutcome outcome = ParseRpcResponse(response.body);

#ifndef KEELBRIDGE_TRANSPORT_RPC_FRAMES_H_
#define KEELBRIDGE_TRANSPORT_RPC_FRAMES_H_

#include <json/json.h>

#include <cstdint>
#include <string>

#include "keelbridge/transport/json_rpc.h"

namespace keelbridge {

struct RpcCall {
  bool valid = false;  // It names a method.
  Json::Value id;      // Null where there is none.
  std::string method;
  Json::Value params;
};

// What came of a call.
struct RpcOutcome {
  bool answered = false;  // The method ran and gave `result`.
  bool sent = false;      // The method may have run.
  bool refused = false;   // The peer's port is closed.
  Json::Value result;
  std::string error;
};

// `params` may be null.
std::string SerializeRpcCall(int64_t id, const std::string& method,
                             Json::Value params);
RpcCall ParseRpcCall(const std::string& body);
std::string SerializeRpcResponse(const Json::Value& id,
                                 const JsonRpcReply& reply);
// Of a call that was sent. An answer that cannot be read is an error.
RpcOutcome ParseRpcResponse(const std::string& body);

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_RPC_FRAMES_H_
