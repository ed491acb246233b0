// Detects that an availability zone is out of reach as a whole.
//
// Each worker and node of a zone that is cut off leaves calls unanswered for
// itself, and would be found out by itself only after its own time-out. In a
// zone that is in reach, answers arrive all the time, the more often the larger
// it is. So several members of one zone that leave calls unanswered in a row,
// without any answer from the zone in between, show that none of them answers.
//
// The class is pure and has no clock of its own.
//
//   ZoneSilence silence{ZoneSilence::Options()};
//   silence.OnUnanswered("zone-1", "worker-a", now);
//   silence.OnAnswered("zone-1");
//   if (silence.IsSilent("zone-1", now)) UseAnotherZone();

#ifndef KEELBRIDGE_COORDINATION_ZONE_SILENCE_H_
#define KEELBRIDGE_COORDINATION_ZONE_SILENCE_H_

#include <cstddef>
#include <set>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace keelbridge {

class ZoneSilence {
 public:
  struct Options {
    // Number of members in a row whose calls remain unanswered.
    size_t silent_members = 5;
    // After this time without another unanswered call the zone is tried again.
    absl::Duration memory = absl::Seconds(1);
  };

  explicit ZoneSilence(Options options) : options_(options) {}

  // Records that a member of `zone` answered. A zone without a name is ignored.
  void OnAnswered(const std::string& zone);
  // Records that `member` of `zone` left a call unanswered.
  void OnUnanswered(const std::string& zone, const std::string& member,
                    absl::Time now);
  bool IsSilent(const std::string& zone, absl::Time now) const;

 private:
  struct Silence {
    std::set<std::string> members;  // At most Options::silent_members.
    absl::Time last;                // The last unanswered call.
  };

  const Options options_;
  // By zone: the unanswered calls since its last answer.
  absl::flat_hash_map<std::string, Silence> silences_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_ZONE_SILENCE_H_
