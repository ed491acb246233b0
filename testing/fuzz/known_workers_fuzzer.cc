// Fuzzes the records in which leaders store known workers: a worker with any
// record is known, and a parsed record survives a round trip.

#include "keelbridge/state/known_workers.h"
#include "testing/fuzz/fuzz_check.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const auto known = keelbridge::ParseKnownWorker(
      {keelbridge::KnownWorkerKey("w-1"), fuzz::InputText(data, size), 0});
  fuzz::Require(known.has_value(), "a worker with a record is known");
  fuzz::Require(known->worker.id == "w-1", "the worker keeps its id");
  const keelbridge::Record encoded = KnownWorkerRecord(*known);
  const auto decoded_again = keelbridge::ParseKnownWorker(encoded);
  fuzz::Require(
      decoded_again && KnownWorkerRecord(*decoded_again).value == encoded.value,
      "the record of a known worker survives a round trip");
  return 0;
}
