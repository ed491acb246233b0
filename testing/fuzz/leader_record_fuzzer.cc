// Fuzzes the record of the current leader: any text is parsed or refused, and a
// parsed record survives a round trip.

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
      "the record of a leader survives a round trip");
  return 0;
}
