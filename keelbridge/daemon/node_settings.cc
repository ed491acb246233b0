#include "keelbridge/daemon/node_settings.h"

#include <algorithm>

#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

// Network traffic of a leader, in Mbit/s per processor that it uses.
constexpr double kLinkMbpsPerProcessor = 45;

void ReadAddress(JsonReader& reader, const std::string& key, bool required,
                 Address* out) {
  std::string text;
  if (required)
    reader.String(key, &text);
  else
    reader.OptionalString(key, &text);
  if (text.empty()) return;
  auto address = ParseAddress(text);
  if (!address) return reader.ReportFault(key, address.error().message);
  *out = address.value();
}

// Sets the mechanisms that the list `key` names to `enabled`.
void ReadSwitches(JsonReader& reader, const char* key, bool enabled,
                  SchedulerPolicy* policy) {
  if (!reader.Has(key)) return;
  std::vector<std::string> names;
  reader.StringList(key, &names);
  for (const std::string& name : names) {
    bool known = false;
    for (const PolicySwitch& policy_switch : PolicySwitches()) {
      if (name != policy_switch.name) continue;
      policy->*policy_switch.enabled = enabled;
      known = true;
    }
    if (!known) reader.ReportFault(key, "unknown mechanism: \"" + name + "\"");
  }
}

void ReadHeartbeatTree(JsonReader& reader, HeartbeatTree::Options* out) {
  auto max_flat_site = static_cast<int64_t>(out->max_flat_site);
  reader.OptionalInteger("max_flat_site", 1, 10000, &max_flat_site);
  out->max_flat_site = static_cast<size_t>(max_flat_site);
  auto max_children = static_cast<int64_t>(out->max_children);
  reader.OptionalInteger("max_heartbeat_children", 1, 10000, &max_children);
  out->max_children = static_cast<size_t>(max_children);
}

void ReadStartWindow(JsonReader& reader, StartWindow::Options* out) {
  constexpr int64_t kMaxStartsInFlight = 4096;
  int64_t max = out->max;
  reader.OptionalInteger("max_starts_in_flight", out->min, kMaxStartsInFlight,
                         &max);
  out->max = static_cast<int32_t>(max);
  out->initial = std::min(out->initial, out->max);
}

}  // namespace

std::string NodeSettings::PeerAddress() const {
  return (peer_announce.port != 0 ? peer_announce : peer_listen).ToString();
}

double NodeSettings::Capacity() const {
  return std::min(processor_share * processor_speed,
                  link_mbps / kLinkMbpsPerProcessor);
}

Result<NodeSettings> ParseNodeSettings(const std::string& text,
                                       const std::string& source) {
  JsonDocument document = JsonDocument::Parse(text, source);
  if (!document.faults().empty()) return document.FaultError();
  NodeSettings out;
  JsonReader reader(document, document.root(), "");
  reader.String("name", &out.name);
  reader.String("zone", &out.zone);
  ReadAddress(reader, "client_listen", true, &out.client_listen);
  ReadAddress(reader, "ready_listen", true, &out.ready_listen);
  ReadAddress(reader, "peer_listen", true, &out.peer_listen);
  ReadAddress(reader, "peer_announce", false, &out.peer_announce);
  ReadAddress(reader, "metrics_listen", false, &out.metrics_listen);
  ReadAddress(reader, "store", true, &out.store);
  ReadAddress(reader, "advice", false, &out.advice);
  reader.OptionalString("trace_file", &out.trace_file);
  if (out.trace_file == "-")
    reader.ReportFault("trace_file",
                       "must be a file; logs use standard output");
  if (reader.Has("seeds")) reader.StringList("seeds", &out.seeds);
  std::string level = "info";
  if (reader.Has("log_level"))
    reader.OneOf("log_level", {"debug", "info", "warning", "error"}, &level);
  out.log_level = SeverityFromName(level);
  reader.OptionalInteger("most_connections", 4, 65536, &out.max_connections);
  reader.OptionalInteger("store_append_bytes", 1024, 1 << 30,
                         &out.store_append_bytes);
  reader.OptionalInteger("store_record_bytes", 1024, 1 << 30,
                         &out.store_record_bytes);
  reader.OptionalNumber("processor_share", 0.001, 1024, &out.processor_share);
  reader.OptionalNumber("processor_speed", 0.001, 1024, &out.processor_speed);
  reader.OptionalNumber("direct_workers_per_processor", 0, 1e9,
                        &out.direct_workers_per_processor);
  ReadHeartbeatTree(reader, &out.heartbeat_tree);
  ReadStartWindow(reader, &out.start_window);
  reader.OptionalNumber("link_mbps", 0.001, 1e7, &out.link_mbps);
  reader.OptionalMillis("lease_ms", 100, 600000, &out.lease);
  reader.OptionalMillis("gang_wait_ms", 1, 600000, &out.gang_wait);
  reader.OptionalMillis("stop_timeout_ms", 1, 600000, &out.stop_timeout);
  double seconds = absl::ToDoubleSeconds(out.ended_retention);
  reader.OptionalNumber("ended_kept_s", 1, 1e6, &seconds);
  out.ended_retention = absl::Seconds(seconds);
  seconds = absl::ToDoubleSeconds(out.stop_grace);
  reader.OptionalNumber("stop_grace_s", 1, 1e6, &seconds);
  out.stop_grace = absl::Seconds(seconds);
  ReadSwitches(reader, "switched_on", true, &out.policy);
  ReadSwitches(reader, "switched_off", false, &out.policy);
  if (!document.faults().empty()) return document.FaultError();
  return out;
}

}  // namespace keelbridge
