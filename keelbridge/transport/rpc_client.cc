#include "keelbridge/transport/rpc_client.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

// JSON-RPC reserves -32000 to -32099 for servers; each `ErrorCode` is mapped to
// one of these.
constexpr int kFirstErrorCode = -32050;
constexpr int kLastErrorCode =
    kFirstErrorCode + static_cast<int>(ErrorCode::kUnknown);

HttpClient::Options ConnectionOptions() {
  HttpClient::Options options;
  // No idle connections: calls are rare, and the peer's HTTP library wakes up a
  // hundred times per second for each open connection.
  options.max_idle = 0;
  return options;
}

}  // namespace

JsonRpcReply ToRpcReply(const Error& error) {
  JsonRpcReply reply;
  reply.error_code = kFirstErrorCode + static_cast<int>(error.code);
  reply.error_message = error.message;
  return reply;
}

RpcClient::RpcClient(Address address)
    : http_(std::move(address), ConnectionOptions()) {}

Result<Json::Value> RpcClient::Call(const std::string& method,
                                    const Json::Value& params,
                                    absl::Duration timeout,
                                    const TraceContext& trace) {
  HttpOutcome outcome;
  const JsonRpcTransport transport = [&](const std::string& text) {
    HttpRequest request{"POST", kRpcPath, {}, text, "application/json"};
    if (trace.valid())
      request.headers.emplace_back("traceparent", trace.ToHeader());
    outcome = http_.Send(request, timeout);
    return outcome.response && outcome.response->status == 200
               ? outcome.response->body
               : std::string();
  };
  const JsonRpcReply reply = CallJsonRpc(method, params, transport);
  if (outcome.failure != SendFailure::kNone) {
    const bool nothing_sent = NothingWasSent(outcome.failure);
    return MakeError(
        nothing_sent ? ErrorCode::kUnavailable : ErrorCode::kUnknown,
        outcome.message);
  }
  if (outcome.response && outcome.response->status != 200) {
    return MakeError(
        ErrorCode::kUnavailable,
        absl::StrCat("status ", outcome.response->status, " from the peer"));
  }
  if (reply.error_code >= kFirstErrorCode &&
      reply.error_code <= kLastErrorCode) {
    return MakeError(static_cast<ErrorCode>(reply.error_code - kFirstErrorCode),
                     reply.error_message);
  }
  if (reply.error_code != 0)
    return MakeError(ErrorCode::kInvalid, reply.error_message);
  return reply.result;
}

}  // namespace keelbridge
