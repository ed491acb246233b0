#include "keelbridge/daemon/settings.h"

#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/transport/address.h"

namespace keelbridge {
namespace {

void CheckAddress(JsonReader& reader, const std::string& key,
                  const std::string& value) {
  if (value.empty()) return;
  if (auto address = ParseAddress(value); !address)
    reader.ReportFault(key, address.error().message);
}

}  // namespace

Result<Settings> ParseSettings(const std::string& text,
                               const std::string& source) {
  JsonDocument document = JsonDocument::Parse(text, source);
  if (!document.faults().empty()) return document.FaultError();
  Settings out;
  JsonReader reader(document, document.root(), "");
  reader.String("name", &out.name);
  reader.String("zone", &out.zone);
  reader.String("listen", &out.listen);
  CheckAddress(reader, "listen", out.listen);
  reader.String("log", &out.log);
  CheckAddress(reader, "log", out.log);
  reader.String("host_list", &out.host_list);
  CheckAddress(reader, "host_list", out.host_list);
  if (reader.Has("peers")) {
    reader.StringList("peers", &out.peers);
    for (const std::string& peer : out.peers)
      CheckAddress(reader, "peers", peer);
  }
  reader.OptionalString("scheduler", &out.scheduler);
  CheckAddress(reader, "scheduler", out.scheduler);
  reader.OptionalString("ready_file", &out.ready_file);
  reader.OptionalString("trace_file", &out.trace_file);
  std::string level = "info";
  if (reader.Has("log_level"))
    reader.OneOf("log_level", {"debug", "info", "warning", "error"}, &level);
  out.log_level = SeverityFromName(level);
  reader.OptionalInteger("most_connections", 4, 4096, &out.max_connections);
  reader.OptionalInteger("most_body_bytes", 1024, 1 << 28, &out.max_body_bytes);
  reader.OptionalMillis("log_timeout_ms", 10, 60000, &out.log_timeout);
  reader.OptionalMillis("poll_every_ms", 50, 4000, &out.poll_interval);
  reader.OptionalMillis("drain_notice_ms", 0, 60000, &out.drain_notice);
  reader.OptionalMillis("drain_most_ms", 0, 600000, &out.drain_timeout);
  reader.OptionalMillis("tick_ms", 1, 1000, &out.tick);
  reader.OptionalMillis("hold_ttl_ms", 300, 60000, &out.hold_ttl);
  reader.OptionalMillis("lease_ttl_ms", 600, 600000, &out.lease_ttl);
  reader.OptionalMillis("command_validity_ms", 50, 10000,
                        &out.command_validity);
  reader.OptionalMillis("clock_error_ms", 0, 10000, &out.clock_error);
  reader.OptionalMillis("append_every_ms", 10, 10000, &out.append_interval);
  reader.OptionalInteger("worker_threads", 1, 64, &out.worker_threads);
  if (out.lease_ttl < 2 * out.hold_ttl) {
    reader.ReportFault(
        "lease_ttl_ms",
        "must be at least twice hold_ttl_ms, so that tasks survive a "
        "change of leader");
  }
  reader.Finish();
  if (!document.faults().empty()) return document.FaultError();
  return out;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return MakeError(ErrorCode::kNotFound,
                     absl::StrCat("cannot read ", path,
                                  "; check the path and its permissions"));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace keelbridge
