// Fuzzes client calls, advice and replies between nodes. The first byte of the
// input selects the message type of the rest. Any object is parsed, or refused
// with the value for an unknown message. Only a request for advice throws
// `Json::Exception`, which the RPC server turns into an error response.

#include "keelbridge/base/json_reader.h"
#include "keelbridge/daemon/node_messages.h"
#include "testing/fuzz/fuzz_check.h"

namespace {

using keelbridge::ClientAnswer;

void CheckClientReply(const Json::Value& in) {
  const keelbridge::ClientReply reply = keelbridge::ClientReplyFromJson(in);
  fuzz::Require(reply.answer >= ClientAnswer::kAccepted &&
                    reply.answer <= ClientAnswer::kConflict,
                "an answer is a known enumerator");
}

void CheckClientCall(const Json::Value& in) {
  const auto call = keelbridge::ClientCallFromJson(in);
  if (!call) {
    fuzz::Require(!call.error().message.empty(), "a refusal gives a reason");
    return;
  }
  fuzz::Require(call.value().kind != keelbridge::ClientCallKind::kSubmit ||
                    keelbridge::CheckJobSpec(call.value().spec),
                "an accepted job is within the limits");
  const Json::Value encoded = ToJson(call.value());
  const auto decoded_again = keelbridge::ClientCallFromJson(encoded);
  fuzz::Require(decoded_again && ToJson(decoded_again.value()) == encoded,
                "a call survives a round trip");
}

void CheckAdviceRequest(const Json::Value& in) {
  try {
    keelbridge::AdviceRequestFromJson(in);
  } catch (const Json::Exception&) {
    return;
  }
}

void CheckHandover(const Json::Value& in) {
  const auto handover = keelbridge::LeaderHandoverFromJson(in);
  if (!handover) return;
  const Json::Value encoded = ToJson(*handover);
  const auto decoded_again = keelbridge::LeaderHandoverFromJson(encoded);
  fuzz::Require(decoded_again && ToJson(*decoded_again) == encoded,
                "a handover survives a round trip");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) return 0;
  const auto document = keelbridge::JsonDocument::Parse(
      fuzz::InputText(data + 1, size - 1), "message");
  const Json::Value& in = document.root();
  switch (data[0]) {
    case 'c':
      CheckClientCall(in);
      break;
    case 'q':
      CheckAdviceRequest(in);
      break;
    case 'r':
      CheckClientReply(in);
      break;
    case 'a':
      keelbridge::AdviceReplyFromJson(in);
      break;
    case 'l':
      keelbridge::LeaderFromJson(in);
      break;
    case 'h':
      CheckHandover(in);
      break;
    default:
      break;
  }
  return 0;
}
