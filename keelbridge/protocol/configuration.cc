#include "keelbridge/protocol/configuration.h"

#include <map>
#include <set>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/transport/address.h"

namespace keelbridge {
namespace {

constexpr double kMaxCores = 4096;
constexpr double kMaxMemoryGib = 65536;
constexpr int kMilliPerCore = 1000;
constexpr int kMibPerGib = 1024;

// The names declared in one list. Reports duplicates and undeclared names.
class DeclaredNames {
 public:
  void Add(JsonReader& reader, const std::string& name) {
    if (!name.empty() && !names_.insert(name).second)
      reader.ReportFault("name", "must be unique in its list");
  }
  void Require(JsonReader& reader, const std::string& key,
               const std::string& name) const {
    if (!name.empty() && names_.count(name) == 0)
      reader.ReportFault(key, "must name one that is declared above");
  }

 private:
  std::set<std::string> names_;
};

void ReadAddress(JsonReader& reader, const std::string& key, std::string* out) {
  reader.String(key, out);
  if (out->empty()) return;
  if (auto address = ParseAddress(*out); !address)
    reader.ReportFault(key, address.error().message);
}

void ReadResources(JsonReader& reader, Resources* out) {
  double cores = 0;
  double memory_gib = 0;
  int64_t accelerators = 0;
  reader.Number("cpu_cores", 0.001, kMaxCores, &cores);
  reader.Number("memory_gib", 0.001, kMaxMemoryGib, &memory_gib);
  reader.OptionalInteger("accelerators", 0, 1024, &accelerators);
  *out = {static_cast<int32_t>(cores * kMilliPerCore),
          static_cast<int32_t>(memory_gib * kMibPerGib),
          static_cast<int32_t>(accelerators)};
}

void ReadTarget(JsonReader& reader, const DeclaredNames& zones,
                const DeclaredNames& services, TargetConfig& target) {
  reader.String("name", &target.name);
  reader.String("zone", &target.zone);
  zones.Require(reader, "zone", target.zone);
  ReadAddress(reader, "address", &target.address);
  reader.Integer("slots", 1, 65536, &target.slots);
  reader.Integer("connections", 1, 65536, &target.connections);
  if (target.connections < target.slots)
    reader.ReportFault("connections", "must be at least \"slots\"");
  reader.StringList("services", &target.services);
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
  reader.String("deployment", &out.deployment);
  std::string policy = "waiting-first";
  reader.OneOf("policy", {"waiting-first", "packing-first"}, &policy);
  out.policy = policy == "packing-first" ? PolicyKind::kPackingFirst
                                         : PolicyKind::kWaitingFirst;
  DeclaredNames zones, hosts, workers, targets, services, teams;
  reader.ObjectList("zones", [&](JsonReader& r) {
    ZoneConfig& zone = out.zones.emplace_back();
    r.String("name", &zone.name);
    zones.Add(r, zone.name);
    r.OptionalNumber("one_way_ms", 0, 10000, &zone.one_way_ms);
  });
  reader.ObjectList("services", [&](JsonReader& r) {
    ServiceConfig& service = out.services.emplace_back();
    r.String("name", &service.name);
    services.Add(r, service.name);
    r.Bool("repeatable", &service.repeatable);
    r.OptionalMillis("timeout_ms", 1, 3600000, &service.timeout);
  });
  reader.ObjectList("teams", [&](JsonReader& r) {
    TeamConfig& team = out.teams.emplace_back();
    r.String("name", &team.name);
    teams.Add(r, team.name);
    r.Number("quota", 0, 1, &team.quota);
  });
  reader.ObjectList("entry_hosts", [&](JsonReader& r) {
    EntryHostConfig& host = out.entry_hosts.emplace_back();
    r.String("name", &host.name);
    hosts.Add(r, host.name);
    r.String("zone", &host.zone);
    zones.Require(r, "zone", host.zone);
    ReadAddress(r, "gateway", &host.gateway);
    ReadAddress(r, "scheduler", &host.scheduler);
  });
  reader.ObjectList("workers", [&](JsonReader& r) {
    WorkerConfig& worker = out.workers.emplace_back();
    r.String("name", &worker.name);
    workers.Add(r, worker.name);
    r.String("zone", &worker.zone);
    zones.Require(r, "zone", worker.zone);
    r.String("rack", &worker.rack);
    ReadAddress(r, "address", &worker.address);
    ReadResources(r, &worker.resources);
  });
  reader.ObjectList("targets", [&](JsonReader& r) {
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
