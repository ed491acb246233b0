// Fuzzes a worker's record from the stream of workers: any text is parsed, or
// refused with a reason.

#include "keelbridge/protocol/worker_incarnation.h"
#include "platform/dialect.h"
#include "testing/fuzz/fuzz_check.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const platform::Dialect dialect;
  const auto record =
      dialect.ParseWorkerRecord("w-1", fuzz::InputText(data, size));
  if (!record) {
    fuzz::Require(!record.error().message.empty(), "a refusal gives a reason");
    return 0;
  }
  const keelbridge::WorkerIncarnation incarnation =
      keelbridge::ParseWorkerIncarnation(record.value().id);
  fuzz::Require(incarnation.name == "w-1", "the record keeps its name");
  fuzz::Require(
      keelbridge::WorkerIncarnationId(incarnation) == record.value().id,
      "the id of an incarnation survives a round trip");
  return 0;
}
