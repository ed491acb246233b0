// A client for another process of the system: JSON-RPC over HTTP, with a
// timeout and a trace context.
//
//   RpcClient peer(address);
//   Result<Json::Value> status = peer.Call(
//       "status", Json::objectValue, absl::Seconds(1), TraceContext());

#ifndef KEELBRIDGE_TRANSPORT_RPC_CLIENT_H_
#define KEELBRIDGE_TRANSPORT_RPC_CLIENT_H_

#include <json/json.h>

#include <string>

#include "keelbridge/base/result.h"
#include "keelbridge/transport/http_client.h"
#include "keelbridge/transport/json_rpc.h"
#include "keelbridge/transport/trace.h"

namespace keelbridge {

// The HTTP path of JSON-RPC on a daemon's port.
constexpr char kRpcPath[] = "/rpc";

// Encodes `error` for a response, so that `RpcClient::Call` returns an error
// with the same code.
JsonRpcReply ToRpcReply(const Error& error);

// Calls methods of one daemon. Thread-safe.
class RpcClient {
 public:
  explicit RpcClient(Address address);

  // Returns the method's result or error, or `kUnknown` if there was no
  // response although the call may have reached the peer.
  Result<Json::Value> Call(const std::string& method, const Json::Value& params,
                           absl::Duration timeout, const TraceContext& trace);

 private:
  HttpClient http_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_RPC_CLIENT_H_
