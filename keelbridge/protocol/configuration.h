// The configuration that operators publish: zones, entry hosts, workers,
// targets, services, teams and policy.
//
// The version of a configuration is the log offset of its first publication, so
// versions only increase. The command line, the daemons and the tests check
// configurations with the same parser.
//
//   Result<Configuration> configuration =
//       ParseConfiguration(text, "desk.json");

#ifndef KEELBRIDGE_PROTOCOL_CONFIGURATION_H_
#define KEELBRIDGE_PROTOCOL_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/base/result.h"
#include "keelbridge/protocol/resources.h"

namespace keelbridge {

struct ZoneConfig {
  std::string name;
  double one_way_ms = 0;  // One-way latency to the other zones.
};

struct EntryHostConfig {
  std::string name;
  std::string zone;
  std::string gateway;    // Address.
  std::string scheduler;  // Address.
};

struct WorkerConfig {
  std::string name;
  std::string zone;
  std::string rack;
  std::string address;
  Resources resources;
};

struct TargetConfig {
  std::string name;
  std::string zone;
  std::string address;
  int64_t slots = 0;        // Requests that it runs concurrently.
  int64_t connections = 0;  // Connections that it accepts.
  std::vector<std::string> services;
};

struct ServiceConfig {
  std::string name;
  bool repeatable = false;  // A request may be run twice.
  absl::Duration timeout = absl::Seconds(5);
};

struct TeamConfig {
  std::string name;
  // Share of the cell, 0 to 1, that the team can always reclaim.
  double quota = 0;
};

enum class PolicyKind { kWaitingFirst, kPackingFirst };

struct Configuration {
  // The log offset of the first publication; -1 if not published yet.
  int64_t version = -1;
  std::string deployment;
  PolicyKind policy = PolicyKind::kWaitingFirst;
  std::vector<ZoneConfig> zones;
  std::vector<EntryHostConfig> entry_hosts;
  std::vector<WorkerConfig> workers;
  std::vector<TargetConfig> targets;
  std::vector<ServiceConfig> services;
  std::vector<TeamConfig> teams;
  // The published text, which is passed to peers unchanged.
  std::string text;
};

// Returns the configuration, or an error that lists every fault of `text`.
// Names must be unique, and zones and services that are referred to must be
// declared.
Result<Configuration> ParseConfiguration(const std::string& text,
                                         const std::string& source);

// Whether every majority of the workers of each zone in `from` shares a worker
// with every majority in `to`. Only then can no two schedulers lead a zone, one
// by the old list of workers and one by the new. If not, `why` names the zone
// and says how many workers are kept.
bool MajoritiesOverlap(const Configuration& from, const Configuration& to,
                       std::string* why);

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_CONFIGURATION_H_
