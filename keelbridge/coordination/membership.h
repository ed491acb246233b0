// Which entry hosts of the zone are alive, at a cost a host that does not grow
// with their number.
//
// Each round a host probes one other, in shuffled turns, and both pass on the
// newest changes. One that does not answer is *suspected*; unless it says
// otherwise under a higher incarnation it counts as dead after a while. A host
// that returns has a new incarnation and is never taken for its former self.
//
//   Membership membership(options, self, seed);
//   if (auto probe = membership.Tick(now)) Send(probe->address,
//   probe->message); membership.OnAnswer(peer, answer, now);

#ifndef KEELBRIDGE_COORDINATION_MEMBERSHIP_H_
#define KEELBRIDGE_COORDINATION_MEMBERSHIP_H_

#include <json/json.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace keelbridge {

enum class MemberState { kAlive, kSuspect, kDead, kLeft };

struct Member {
  std::string name;
  std::string address;
  uint64_t incarnation = 0;  // Grows with each run of the host and each time it
                             // refutes a suspicion.
  MemberState state = MemberState::kAlive;
};

// A probe or its answer: who sends it, what version of the configuration it
// has, and recent changes.
struct MemberMessage {
  Member sender;
  int64_t configuration_version = -1;
  std::vector<Member> changes;
};

Json::Value ToJson(const MemberMessage& message);
MemberMessage MemberMessageFromJson(const Json::Value& in);

// Pure.
class Membership {
 public:
  struct Options {
    absl::Duration probe_interval = absl::Seconds(1);
    absl::Duration suspect_timeout = absl::Seconds(3);
    absl::Duration forget_after = absl::Minutes(5);
    int max_changes_per_message = 6;
    int sends_per_change = 8;  // How often a change is passed on.
  };

  struct Probe {
    std::string name;  // Empty for a seed that is known by address only.
    std::string address;
    MemberMessage message;
  };

  Membership(Options options, Member self, std::vector<std::string> seeds,
             uint64_t seed);

  // The probe that is due, if any.
  std::optional<Probe> Tick(absl::Time now);
  // Takes in a probe and makes the answer.
  MemberMessage OnProbe(const MemberMessage& probe, absl::Time now);
  // `answer` is nothing when none came in time.
  void OnAnswer(const Probe& probe, const std::optional<MemberMessage>& answer,
                absl::Time now);
  // What to tell others when this host leaves on purpose.
  MemberMessage MakeLeaveMessage();

  void SetConfigurationVersion(int64_t version) { version_ = version; }
  // Alive and suspected members with this host, by name.
  std::vector<Member> Live() const;
  const std::map<std::string, Member>& all() const { return view_; }
  // A peer that said it has a newer configuration than this host.
  std::optional<std::string> NewerConfigurationAt() const {
    return newer_configuration_at_;
  }

 private:
  struct Change {
    std::string name;
    int sends = 0;
  };

  void ApplyUpdate(const Member& member, absl::Time now);
  void QueueChange(const std::string& name);
  MemberMessage MakeMessage();
  void ApplyMessage(const MemberMessage& message, absl::Time now);

  const Options options_;
  Member self_;
  const std::vector<std::string> seeds_;
  std::mt19937_64 random_;
  std::map<std::string, Member> view_;  // Without this host.
  std::map<std::string, absl::Time> state_since_;
  std::vector<Change> changes_;
  std::vector<std::string> probe_order_;
  size_t next_seed_ = 0;
  absl::Time next_probe_at_ = absl::InfinitePast();
  int64_t version_ = -1;
  std::optional<std::string> newer_configuration_at_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_MEMBERSHIP_H_
