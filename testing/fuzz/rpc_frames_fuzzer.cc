// Fuzzes RPC frames between nodes: any body is parsed as a call and as a
// response, or refused, and an encoded frame survives a round trip. Only the
// first encoding replaces bytes that are not UTF-8.

#include "keelbridge/transport/rpc_frames.h"
#include "testing/fuzz/fuzz_check.h"

namespace {

void CheckCall(const std::string& body) {
  const keelbridge::RpcCall call = keelbridge::ParseRpcCall(body);
  if (!call.valid) return;
  const std::string text =
      keelbridge::SerializeRpcCall(1, call.method, call.params);
  const keelbridge::RpcCall decoded_again = keelbridge::ParseRpcCall(text);
  fuzz::Require(decoded_again.valid &&
                    keelbridge::SerializeRpcCall(1, decoded_again.method,
                                                 decoded_again.params) == text,
                "a call survives a round trip");
}

void CheckAnswer(const std::string& body) {
  const keelbridge::RpcOutcome outcome = keelbridge::ParseRpcResponse(body);
  fuzz::Require(outcome.sent, "a call that was answered was sent");
  if (!outcome.answered) return;
  const std::string text =
      keelbridge::SerializeRpcResponse(1, {outcome.result, 0, ""});
  const keelbridge::RpcOutcome decoded_again =
      keelbridge::ParseRpcResponse(text);
  fuzz::Require(
      decoded_again.answered && keelbridge::SerializeRpcResponse(
                                    1, {decoded_again.result, 0, ""}) == text,
      "a response survives a round trip");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string body = fuzz::InputText(data, size);
  CheckCall(body);
  CheckAnswer(body);
  return 0;
}
