#include "keelbridge/transport/rpc_frames.h"

#include <utility>

#include "keelbridge/base/json_reader.h"

namespace keelbridge {

std::string SerializeRpcCall(int64_t id, const std::string& method,
                             Json::Value params) {
  Json::Value out(Json::objectValue);
  out["jsonrpc"] = "2.0";
  out["id"] = Json::Int64(id);
  out["method"] = method;
  out["params"] = std::move(params);
  return ToJsonText(out);
}

RpcCall ParseRpcCall(const std::string& body) {
  JsonDocument document = JsonDocument::Parse(body, "the call");
  RpcCall call;
  call.id = document.Take("id");
  const Json::Value& method = document.root()["method"];
  call.valid = document.faults().empty() && method.isString();
  if (!call.valid) return call;
  call.method = method.asString();
  // A message may have thousands of rows, which are not copied.
  call.params = document.Take("params");
  return call;
}

std::string SerializeRpcResponse(const Json::Value& id,
                                 const JsonRpcReply& reply) {
  Json::Value out(Json::objectValue);
  out["jsonrpc"] = "2.0";
  out["id"] = id;
  if (reply.error_code != 0) {
    out["error"]["code"] = reply.error_code;
    out["error"]["message"] = reply.error_message;
  } else {
    out["result"] = reply.result;
  }
  return ToJsonText(out);
}

RpcOutcome ParseRpcResponse(const std::string& body) {
  JsonDocument document = JsonDocument::Parse(body, "the answer");
  const Json::Value& answer = document.root();
  RpcOutcome out;
  out.sent = true;
  if (answer.isMember("result")) {
    out.answered = true;
    out.result = document.Take("result");
    return out;
  }
  const Json::Value& error = answer["error"];
  const bool has_message = error.isObject() && error["message"].isString();
  out.error =
      has_message ? error["message"].asString() : "the answer cannot be read";
  return out;
}

}  // namespace keelbridge
