// Fuzzes the record of a job's early cancel: whatever the record holds, its job
// is refused, and what is read survives a round trip.

#include "keelbridge/accounts/early_cancels.h"
#include "testing/fuzz/fuzz_check.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  constexpr keelbridge::JobId kJob = 0x5c0e7a21d94b36f8;
  keelbridge::Record record =
      keelbridge::EarlyCancelRecord({kJob, {{"a", false}}});
  record.value = fuzz::InputText(data, size);
  const auto cancel = keelbridge::ParseEarlyCancel(record);
  fuzz::Require(cancel && cancel->job == kJob && !cancel->cancellers.empty(),
                "the id of a record is enough");
  const auto again =
      keelbridge::ParseEarlyCancel(keelbridge::EarlyCancelRecord(*cancel));
  fuzz::Require(again && again->cancellers.size() == cancel->cancellers.size(),
                "an early cancel survives a round trip");
  return 0;
}
