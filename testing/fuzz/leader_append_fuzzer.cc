// Fuzzes the record of a leader's last append: a record that is read survives a
// round trip.

#include "keelbridge/state/leader_append.h"
#include "testing/fuzz/fuzz_check.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  keelbridge::Record record = keelbridge::LeaderAppendRecord({});
  record.value = fuzz::InputText(data, size);
  const auto appended = keelbridge::ParseLeaderAppend(record);
  if (!appended) return 0;
  const auto again =
      keelbridge::ParseLeaderAppend(keelbridge::LeaderAppendRecord(*appended));
  fuzz::Require(again && again->begun.epoch == appended->begun.epoch &&
                    again->begun.at == appended->begun.at &&
                    again->leases_over == appended->leases_over,
                "the record of an append survives a round trip");
  return 0;
}
