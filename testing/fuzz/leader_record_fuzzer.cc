// The record that says who leads: any text is read or refused, and what is read
// is written and read the same.

#include "keelbridge/coordination/site_election.h"
#include "testing/fuzz/fuzz_check.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const auto leader = keelbridge::LeaderFromRecord(
      {keelbridge::kLeaderKey, fuzz::InputText(data, size), 0});
  if (!leader) return 0;
  const keelbridge::Record encoded = ToRecord(*leader);
  const auto decoded_again = keelbridge::LeaderFromRecord(encoded);
  fuzz::Require(
      decoded_again && ToRecord(*decoded_again).value == encoded.value,
      "a leader's record reads the same");
  return 0;
}
