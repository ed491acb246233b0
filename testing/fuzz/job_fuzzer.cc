// Fuzzes task ids, and jobs in the internal JSON encoding that is used in the
// store and between nodes. A value of the wrong type throws `Json::Exception`;
// the header documents no other exception.

#include "keelbridge/base/json_reader.h"
#include "keelbridge/protocol/job.h"
#include "testing/fuzz/fuzz_check.h"

namespace {

void CheckTaskId(const std::string& text) {
  keelbridge::TaskId task;
  if (!keelbridge::ParseTaskId(text, &task)) return;
  keelbridge::TaskId decoded_again;
  fuzz::Require(
      keelbridge::ParseTaskId(keelbridge::TaskIdText(task), &decoded_again) &&
          decoded_again == task,
      "a task id survives a round trip");
}

void CheckJob(const Json::Value& json) {
  keelbridge::JobSpec spec;
  try {
    spec = keelbridge::JobSpecFromJson(json);
  } catch (const Json::Exception&) {
    return;
  }
  if (!keelbridge::CheckJobSpec(spec)) return;
  const Json::Value encoded = ToJson(spec);
  fuzz::Require(ToJson(keelbridge::JobSpecFromJson(encoded)) == encoded,
                "a job survives a round trip");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text = fuzz::InputText(data, size);
  CheckTaskId(text);
  CheckJob(keelbridge::JsonDocument::Parse(text, "job").root());
  return 0;
}
