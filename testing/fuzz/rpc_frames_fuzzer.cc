// Frames of calls between nodes: any body is read as a call and as an answer,
// or refused, and what is read is written and read the same.

#include "keelbridge/transport/rpc_frames.h"
#include "testing/fuzz/fuzz_check.h"

namespace {

void CheckCall(const std::string& body) {
  const keelbridge::RpcCall call = keelbridge::ReadRpcCall(body);
  if (!call.readable) return;
  const keelbridge::RpcCall again = keelbridge::ReadRpcCall(
      keelbridge::RpcCallText(1, call.method, call.params));
  fuzz::Require(again.readable && again.method == call.method &&
                    again.params == call.params,
                "a call reads the same");
}

void CheckAnswer(const std::string& body) {
  const keelbridge::RpcOutcome outcome = keelbridge::ReadRpcAnswer(body);
  fuzz::Require(outcome.sent, "a call that was answered was sent");
  if (!outcome.answered) return;
  const keelbridge::RpcOutcome again = keelbridge::ReadRpcAnswer(
      keelbridge::RpcAnswerText(1, {outcome.result, 0, ""}));
  fuzz::Require(again.answered && again.result == outcome.result,
                "an answer reads the same");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string body = fuzz::Text(data, size);
  CheckCall(body);
  CheckAnswer(body);
  return 0;
}
