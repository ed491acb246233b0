// Fuzzes what heartbeats and their answers state about members. The first byte
// of the input selects the message type of the rest. Any object is parsed or
// refused with a reason, and a list takes no update but one that fits.

#include "keelbridge/base/json_reader.h"
#include "keelbridge/daemon/membership_messages.h"
#include "testing/fuzz/fuzz_check.h"

namespace {

using keelbridge::HeartbeatReport;
using keelbridge::MemberList;
using keelbridge::MemberUpdate;

void CheckUpdate(const MemberUpdate& update) {
  if (update.empty()) return;
  MemberList list;
  if (list.Apply(update) != MemberList::ApplyResult::kApplied) {
    fuzz::Require(list.size() == 0, "a refused update changes nothing");
    return;
  }
  fuzz::Require(list.size() <= MemberList::kMaxMembers, "a list is bounded");
  fuzz::Require(list.UpdateSince(update.state).empty(),
                "an applied update is up to date");
}

void CheckReport(const keelbridge::Result<HeartbeatReport>& report) {
  if (!report) {
    fuzz::Require(!report.error().message.empty(), "a refusal gives a reason");
    return;
  }
  const Json::Value encoded = ToJson(report.value());
  const auto decoded_again = keelbridge::HeartbeatReportFromJson(encoded);
  fuzz::Require(decoded_again && ToJson(decoded_again.value()) == encoded,
                "a report survives a round trip");
  CheckUpdate(report.value().subtree);
}

void CheckAnswer(const Json::Value& in) {
  const auto answer = keelbridge::HeartbeatReportAnswerFromJson(in);
  if (!answer) {
    fuzz::Require(!answer.error().message.empty(), "a refusal gives a reason");
    return;
  }
  const Json::Value encoded = ToJson(answer.value());
  const auto decoded_again = keelbridge::HeartbeatReportAnswerFromJson(encoded);
  fuzz::Require(decoded_again && ToJson(decoded_again.value()) == encoded,
                "an answer survives a round trip");
  if (answer.value().members) CheckUpdate(*answer.value().members);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) return 0;
  const auto document = keelbridge::JsonDocument::Parse(
      fuzz::InputText(data + 1, size - 1), "message");
  const Json::Value& in = document.root();
  switch (data[0]) {
    case 'r':
      CheckReport(keelbridge::HeartbeatReportFromJson(in));
      break;
    case 'e':
      CheckReport(keelbridge::EarlierHeartbeatFromJson(in));
      break;
    case 'a':
      CheckAnswer(in);
      break;
    default:
      break;
  }
  return 0;
}
