// The configuration that operators publish: zones, entry hosts, workers,
// targets, services, teams, policy.
//
// Its version is the log offset of its first publication and only grows. The
// same reader checks it on the command line, on a daemon and in tests.
//
//   Result<Configuration> configuration = ParseConfiguration(text,
//   "desk.json");

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
  double one_way_ms = 0;  // To the other zones of the deployment.
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
  int64_t slots = 0;        // Requests that it runs at the same time.
  int64_t connections = 0;  // Connections that it accepts.
  std::vector<std::string> services;
};

struct ServiceConfig {
  std::string name;
  bool repeatable = false;  // Running a request twice does no harm.
  absl::Duration timeout = absl::Seconds(5);
};

struct TeamConfig {
  std::string name;
  double quota = 0;  // Share of the cell, 0 to 1, that it can always get back.
};

enum class PolicyKind { kWaitingFirst, kPackingFirst };

struct Configuration {
  // The offset of the first publication; -1 when it has none yet.
  int64_t version = -1;
  std::string deployment;
  PolicyKind policy = PolicyKind::kWaitingFirst;
  std::vector<ZoneConfig> zones;
  std::vector<EntryHostConfig> entry_hosts;
  std::vector<WorkerConfig> workers;
  std::vector<TargetConfig> targets;
  std::vector<ServiceConfig> services;
  std::vector<TeamConfig> teams;
  // The text that was published, handed on unchanged.
  std::string text;
};

// Every fault of `text` at once, or the configuration. Names must be unique;
// zones and services must exist.
Result<Configuration> ParseConfiguration(const std::string& text,
                                         const std::string& source);

// Whether any majority of the workers of each zone in `from` shares a worker
// with any majority in `to`. Only then can no two schedulers lead a zone, one
// by the old list and one by the new. On false, `why` says which zone and how
// many workers may change at once.
bool MajoritiesOverlap(const Configuration& from, const Configuration& to,
                       std::string* why);

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_CONFIGURATION_H_
