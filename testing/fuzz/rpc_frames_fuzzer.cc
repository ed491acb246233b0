// Frames of calls between nodes: any body is read as a call and as an answer,
// or refused, and what is written is read and written the same. The first
// writing replaces bytes that are no UTF-8.

#include "keelbridge/transport/rpc_frames.h"
#include "testing/fuzz/fuzz_check.h"

namespace {

void CheckCall(const std::string& body) {
  const keelbridge::RpcCall call = keelbridge::ReadRpcCall(body);
  if (!call.readable) return;
  const std::string text = keelbridge::RpcCallText(1, call.method, call.params);
  const keelbridge::RpcCall again = keelbridge::ReadRpcCall(text);
  fuzz::Require(again.readable && keelbridge::RpcCallText(1, again.method,
                                                          again.params) == text,
                "a call reads the same");
}

void CheckAnswer(const std::string& body) {
  const keelbridge::RpcOutcome outcome = keelbridge::ReadRpcAnswer(body);
  fuzz::Require(outcome.sent, "a call that was answered was sent");
  if (!outcome.answered) return;
  const std::string text =
      keelbridge::RpcAnswerText(1, {outcome.result, 0, ""});
  const keelbridge::RpcOutcome again = keelbridge::ReadRpcAnswer(text);
  fuzz::Require(again.answered &&
                    keelbridge::RpcAnswerText(1, {again.result, 0, ""}) == text,
                "an answer reads the same");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string body = fuzz::Text(data, size);
  CheckCall(body);
  CheckAnswer(body);
  return 0;
}
