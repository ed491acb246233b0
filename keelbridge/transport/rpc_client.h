// Calls another process of the system: JSON-RPC over HTTP, with a deadline and
// a trace.
//
//   RpcClient peer(address);
//   Result<Json::Value> status = peer.Call("status", Json::objectValue,
//   absl::Seconds(1), TraceContext());

#ifndef KEELBRIDGE_TRANSPORT_RPC_CLIENT_H_
#define KEELBRIDGE_TRANSPORT_RPC_CLIENT_H_

#include <json/json.h>

#include <string>

#include "keelbridge/base/result.h"
#include "keelbridge/transport/http_client.h"
#include "keelbridge/transport/json_rpc.h"
#include "keelbridge/transport/trace.h"

namespace keelbridge {

// The path that carries JSON-RPC on a daemon's port.
constexpr char kRpcPath[] = "/rpc";

// How an error crosses a call and comes back as the same kind.
JsonRpcReply ToRpcReply(const Error& error);

// Thread-safe.
class RpcClient {
 public:
  explicit RpcClient(Address address);

  // The method's result, or its error. `kUnknown` when the call may have
  // reached the other side.
  Result<Json::Value> Call(const std::string& method, const Json::Value& params,
                           absl::Duration timeout, const TraceContext& trace);

 private:
  HttpClient http_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_RPC_CLIENT_H_
