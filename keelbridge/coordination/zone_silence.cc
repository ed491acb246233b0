#include "keelbridge/coordination/zone_silence.h"

namespace keelbridge {

void ZoneSilence::OnAnswered(const std::string& zone) { silences_.erase(zone); }

void ZoneSilence::OnUnanswered(const std::string& zone,
                               const std::string& member, absl::Time now) {
  if (zone.empty()) return;
  Silence& silence = silences_[zone];
  // Members that were silent long ago may answer by now.
  if (now - silence.last >= options_.memory) silence.members.clear();
  silence.last = now;
  if (silence.members.size() < options_.silent_members)
    silence.members.insert(member);
}

bool ZoneSilence::IsSilent(const std::string& zone, absl::Time now) const {
  const auto found = silences_.find(zone);
  return found != silences_.end() &&
         found->second.members.size() >= options_.silent_members &&
         now - found->second.last < options_.memory;
}

}  // namespace keelbridge
