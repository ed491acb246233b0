// JSON-RPC 2.0 between the processes of the system, based on libjsonrpccpp.
//
// Only the dispatcher and the codec of the library are used. Messages travel
// over a transport of the caller, HTTP of `http_server.h` in the daemons, so
// that there is one HTTP stack and one set of deadlines. This header includes
// neither the library nor Abseil because the library's headers only compile as
// C++14.
//
//   JsonRpcServer server;
//   server.Add("status", [](const Json::Value& params) {
//     return JsonRpcReply{Json::Value("ok")};
//   });
//   std::string response = server.Dispatch(request_text);

#ifndef KEELBRIDGE_TRANSPORT_JSON_RPC_H_
#define KEELBRIDGE_TRANSPORT_JSON_RPC_H_

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace keelbridge {

// The result of a method, or an error object instead of one. Methods return
// errors this way and do not throw.
struct JsonRpcReply {
  Json::Value result;
  int error_code = 0;  // 0 means no error.
  std::string error_message;
};

// Dispatches JSON-RPC requests to methods. Thread-safe after the last `Add`.
class JsonRpcServer {
 public:
  using Method = std::function<JsonRpcReply(const Json::Value& params)>;

  JsonRpcServer();
  ~JsonRpcServer();
  JsonRpcServer(const JsonRpcServer&) = delete;
  JsonRpcServer& operator=(const JsonRpcServer&) = delete;

  // Registers a method. The `params` passed to it are always an object.
  void Add(const std::string& name, Method method);

  // Handles one JSON-RPC message and returns the response. A message that is
  // not a valid call gets an error object of the protocol.
  std::string Dispatch(const std::string& request) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Sends a request message to a server and returns the response message, or an
// empty string if there was none.
using JsonRpcTransport = std::function<std::string(const std::string& request)>;

// Calls `method` over `transport`. Errors of the protocol, the method and the
// transport are returned in the reply.
JsonRpcReply CallJsonRpc(const std::string& method, const Json::Value& params,
                         const JsonRpcTransport& transport);

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_JSON_RPC_H_
