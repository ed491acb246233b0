// Gossip-based membership of the entry hosts of a zone. The cost per host does
// not grow with the number of hosts.
//
// In each round a host probes one other host, in shuffled order, and both pass
// on the latest changes. A host that does not answer is *suspect*. Unless it
// refutes the suspicion under a higher incarnation, it counts as dead after a
// timeout. A host that restarts has a new incarnation and is never confused
// with its previous process.
//
//   Membership membership(options, self, seeds, seed);
//   if (auto probe = membership.Tick(now)) {
//     Send(probe->address, probe->message);
//   }
//   membership.OnAnswer(*probe, answer, now);

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
  // Increases with each restart of the host and each time the host refutes a
  // suspicion.
  uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;
};

// A probe or its answer: the sender, its configuration version and recent
// membership changes.
struct MemberMessage {
  Member sender;
  int64_t configuration_version = -1;
  std::vector<Member> changes;
};

Json::Value ToJson(const MemberMessage& message);
MemberMessage MemberMessageFromJson(const Json::Value& in);

// Performs no I/O and reads no clock.
class Membership {
 public:
  struct Options {
    absl::Duration probe_interval = absl::Seconds(1);
    absl::Duration suspect_timeout = absl::Seconds(3);
    absl::Duration forget_after = absl::Minutes(5);
    int max_changes_per_message = 6;
    int sends_per_change = 8;  // Number of messages that carry a change.
  };

  struct Probe {
    std::string name;  // Empty for a seed known by address only.
    std::string address;
    MemberMessage message;
  };

  Membership(Options options, Member self, std::vector<std::string> seeds,
             uint64_t seed);

  // Returns the probe that is due, if any.
  std::optional<Probe> Tick(absl::Time now);
  // Applies a probe and returns the answer.
  MemberMessage OnProbe(const MemberMessage& probe, absl::Time now);
  // Records the answer to a probe; `answer` is nullopt if none arrived in time.
  void OnAnswer(const Probe& probe, const std::optional<MemberMessage>& answer,
                absl::Time now);
  // Marks this host as having left and returns the message that announces it.
  MemberMessage MakeLeaveMessage();

  void SetConfigurationVersion(int64_t version) { version_ = version; }
  // Returns the alive and suspect members including this host, ordered by name.
  std::vector<Member> Live() const;
  const std::map<std::string, Member>& all() const { return view_; }
  // Returns the address of a peer that reported a newer configuration version
  // than this host's.
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
  std::map<std::string, Member> view_;  // Excludes this host.
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
