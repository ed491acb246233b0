// Serializes and parses the JSON-RPC 2.0 messages between nodes; see
// `event_rpc.h`.
//
//   const RpcCall call = ParseRpcCall(request.body);
//   if (!call.valid) return reply(SerializeRpcResponse(call.id, error));
//   const RpcOutcome outcome = ParseRpcResponse(response.body);

#ifndef KEELBRIDGE_TRANSPORT_RPC_FRAMES_H_
#define KEELBRIDGE_TRANSPORT_RPC_FRAMES_H_

#include <json/json.h>

#include <cstdint>
#include <string>

#include "keelbridge/transport/json_rpc.h"

namespace keelbridge {

// A parsed call message.
struct RpcCall {
  bool valid = false;  // Well-formed and with a method.
  Json::Value id;      // Null if there is none.
  std::string method;
  Json::Value params;
};

// The outcome of a call.
struct RpcOutcome {
  bool answered = false;  // The method ran and returned `result`.
  bool sent = false;      // The method may have run.
  bool refused = false;   // The peer refused the connection.
  Json::Value result;
  std::string error;
};

// Returns a call message. `params` may be null.
std::string SerializeRpcCall(int64_t id, const std::string& method,
                             Json::Value params);
// Parses a call message.
RpcCall ParseRpcCall(const std::string& body);
// Returns the response message to the call `id`.
std::string SerializeRpcResponse(const Json::Value& id,
                                 const JsonRpcReply& reply);
// Parses the response to a call that was sent. A malformed response yields an
// error.
RpcOutcome ParseRpcResponse(const std::string& body);

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_RPC_FRAMES_H_
