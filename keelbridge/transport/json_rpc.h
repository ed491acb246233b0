// JSON-RPC 2.0 between the system's own processes, by libjsonrpccpp.
//
// The library's dispatch and codec are used; the text travels over whatever
// carries it (here: HTTP of `http_server.h`), so there is one HTTP stack and
// one set of deadlines. This header names neither the library nor Abseil,
// because the library's headers only compile as C++14.
//
//   JsonRpcServer server;
//   server.Add("status", [](const Json::Value& params) { return
//   Json::Value("ok"); }); std::string answer = server.Dispatch(request_text);

#ifndef KEELBRIDGE_TRANSPORT_JSON_RPC_H_
#define KEELBRIDGE_TRANSPORT_JSON_RPC_H_

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace keelbridge {

// What a method throws nowhere but hands back: an error object in place of a
// result.
struct JsonRpcReply {
  Json::Value result;
  int error_code = 0;  // 0: no error.
  std::string error_message;
};

// Thread-safe after the last `Add`.
class JsonRpcServer {
 public:
  using Method = std::function<JsonRpcReply(const Json::Value& params)>;

  JsonRpcServer();
  ~JsonRpcServer();
  JsonRpcServer(const JsonRpcServer&) = delete;
  JsonRpcServer& operator=(const JsonRpcServer&) = delete;

  // `params` is always an object.
  void Add(const std::string& name, Method method);

  // Answers one JSON-RPC text. A text that is no call gets the protocol's error
  // object.
  std::string Dispatch(const std::string& request) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Carries a request text to a server and returns the answer text; an empty
// answer means that none came.
using JsonRpcTransport = std::function<std::string(const std::string& request)>;

// Calls `method` through `carrier`. Errors of the protocol, the method and the
// carrier come back in the reply.
JsonRpcReply CallJsonRpc(const std::string& method, const Json::Value& params,
                         const JsonRpcTransport& transport);

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_JSON_RPC_H_
