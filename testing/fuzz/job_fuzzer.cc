// A job in the product's own form, from the store or a peer, and tasks' names.
// A value of the wrong type throws `Json::Exception`, as the header says of
// nothing else.

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
      "a task's name reads the same");
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
                "a job reads the same from what was written");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string text = fuzz::InputText(data, size);
  CheckTaskId(text);
  CheckJob(keelbridge::JsonDocument::Parse(text, "job").root());
  return 0;
}
