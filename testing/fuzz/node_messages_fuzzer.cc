// Clients' calls, advice and answers between nodes: a first byte says which
// message the rest is. Any object is read, or refused by the value that stands
// for nothing known.

#include "keelbridge/base/json_reader.h"
#include "keelbridge/daemon/node_messages.h"
#include "testing/fuzz/fuzz_check.h"

namespace {

using keelbridge::ClientAnswer;

void CheckClientReply(const Json::Value& in) {
  const keelbridge::ClientReply reply = keelbridge::ClientReplyFromJson(in);
  fuzz::Require(reply.answer >= ClientAnswer::kAccepted &&
                    reply.answer <= ClientAnswer::kInvalid,
                "an answer is one of those that there are");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) return 0;
  const auto document = keelbridge::JsonDocument::Parse(
      fuzz::Text(data + 1, size - 1), "message");
  const Json::Value& in = document.root();
  switch (data[0]) {
    case 'r':
      CheckClientReply(in);
      break;
    case 'a':
      keelbridge::AdviceReplyFromJson(in);
      break;
    case 'l':
      keelbridge::LeaderFromJson(in);
      break;
    default:
      break;
  }
  return 0;
}
