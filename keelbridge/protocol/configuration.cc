#include "keelbridge/protocol/configuration.h"

#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/transport/address.h"

namespace keelbridge {
namespace {

constexpr double kMostCores = 4096;
constexpr double kMostMemoryGib = 65536;
constexpr int kMilliPerCore = 1000;
constexpr int kMibPerGib = 1024;

// Notes each name once and reports the second.
class Names {
 public:
  void Add(JsonReader& reader, const std::string& name) {
    if (!name.empty() && !names_.insert(name).second)
      reader.Fault("name", "must be unique in its list");
  }
  void Require(JsonReader& reader, const std::string& key,
               const std::string& name) const {
    if (!name.empty() && names_.count(name) == 0)
      reader.Fault(key, "must name one that is declared above");
  }

 private:
  std::set<std::string> names_;
};

void ReadAddress(JsonReader& reader, const std::string& key, std::string* out) {
  reader.Text(key, out);
  if (out->empty()) return;
  if (auto address = ParseAddress(*out); !address)
    reader.Fault(key, address.error().message);
}

void ReadResources(JsonReader& reader, Resources* out) {
  double cores = 0;
  double memory_gib = 0;
  int64_t accelerators = 0;
  reader.Number("cpu_cores", 0.001, kMostCores, &cores);
  reader.Number("memory_gib", 0.001, kMostMemoryGib, &memory_gib);
  reader.OptionalInteger("accelerators", 0, 1024, &accelerators);
  *out = {static_cast<int32_t>(cores * kMilliPerCore),
          static_cast<int32_t>(memory_gib * kMibPerGib),
          static_cast<int32_t>(accelerators)};
}

void ReadTarget(JsonReader& reader, const Names& zones, const Names& services,
                TargetConfig& target) {
  reader.Text("name", &target.name);
  reader.Text("zone", &target.zone);
  zones.Require(reader, "zone", target.zone);
  ReadAddress(reader, "address", &target.address);
  reader.Integer("slots", 1, 65536, &target.slots);
  reader.Integer("connections", 1, 65536, &target.connections);
  if (target.connections < target.slots)
    reader.Fault("connections", "must be at least \"slots\"");
  reader.Texts("services", &target.services);
  for (const std::string& service : target.services)
    services.Require(reader, "services", service);
}

}  // namespace

Result<Configuration> ParseConfiguration(const std::string& text,
                                         const std::string& source) {
  JsonDocument document = JsonDocument::Parse(text, source);
  Configuration out;
  out.text = text;
  if (!document.faults().empty()) return document.FaultError();
  JsonReader reader(document, document.root(), "");
  reader.Text("deployment", &out.deployment);
  std::string policy = "waiting-first";
  reader.Choice("policy", {"waiting-first", "packing-first"}, &policy);
  out.policy = policy == "packing-first" ? PolicyKind::kPackingFirst
                                         : PolicyKind::kWaitingFirst;
  Names zones, hosts, workers, targets, services, teams;
  reader.Each("zones", [&](JsonReader& r) {
    ZoneConfig& zone = out.zones.emplace_back();
    r.Text("name", &zone.name);
    zones.Add(r, zone.name);
    r.OptionalNumber("one_way_ms", 0, 10000, &zone.one_way_ms);
  });
  reader.Each("services", [&](JsonReader& r) {
    ServiceConfig& service = out.services.emplace_back();
    r.Text("name", &service.name);
    services.Add(r, service.name);
    r.Flag("repeatable", &service.repeatable);
    r.OptionalMillis("timeout_ms", 1, 3600000, &service.timeout);
  });
  reader.Each("teams", [&](JsonReader& r) {
    TeamConfig& team = out.teams.emplace_back();
    r.Text("name", &team.name);
    teams.Add(r, team.name);
    r.Number("quota", 0, 1, &team.quota);
  });
  reader.Each("entry_hosts", [&](JsonReader& r) {
    EntryHostConfig& host = out.entry_hosts.emplace_back();
    r.Text("name", &host.name);
    hosts.Add(r, host.name);
    r.Text("zone", &host.zone);
    zones.Require(r, "zone", host.zone);
    ReadAddress(r, "gateway", &host.gateway);
    ReadAddress(r, "scheduler", &host.scheduler);
  });
  reader.Each("workers", [&](JsonReader& r) {
    WorkerConfig& worker = out.workers.emplace_back();
    r.Text("name", &worker.name);
    workers.Add(r, worker.name);
    r.Text("zone", &worker.zone);
    zones.Require(r, "zone", worker.zone);
    r.Text("rack", &worker.rack);
    ReadAddress(r, "address", &worker.address);
    ReadResources(r, &worker.resources);
  });
  reader.Each("targets", [&](JsonReader& r) {
    TargetConfig& target = out.targets.emplace_back();
    ReadTarget(r, zones, services, target);
    targets.Add(r, target.name);
  });
  reader.Finish();
  if (!document.faults().empty()) return document.FaultError();
  return out;
}

bool MajoritiesOverlap(const Configuration& from, const Configuration& to,
                       std::string* why) {
  struct Counts {
    size_t old_count = 0;
    size_t new_count = 0;
    size_t all = 0;
  };
  std::map<std::string, Counts> zones;
  std::set<std::string> old_names;
  for (const WorkerConfig& worker : from.workers) {
    old_names.insert(worker.zone + "\n" + worker.name);
    ++zones[worker.zone].old_count;
    ++zones[worker.zone].all;
  }
  for (const WorkerConfig& worker : to.workers) {
    ++zones[worker.zone].new_count;
    if (old_names.count(worker.zone + "\n" + worker.name) == 0)
      ++zones[worker.zone].all;
  }
  for (const auto& [zone, counts] : zones) {
    if (counts.old_count == 0 || counts.new_count == 0) continue;
    if (counts.old_count / 2 + 1 + counts.new_count / 2 + 1 > counts.all)
      continue;
    *why = absl::StrCat("zone ", zone, " goes from ", counts.old_count,
                        " workers to ", counts.new_count, " with only ",
                        counts.old_count + counts.new_count - counts.all,
                        " kept; change fewer at once, so that a majority of "
                        "the old list and one of the new always share "
                        "a worker");
    return false;
  }
  return true;
}

}  // namespace keelbridge
