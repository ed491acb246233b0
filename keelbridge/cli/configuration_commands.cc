// The commands `check` and `publish`.

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/cli/command_list.h"
#include "keelbridge/daemon/node_settings.h"
#include "keelbridge/daemon/settings.h"
#include "keelbridge/protocol/configuration.h"
#include "keelbridge/protocol/intent.h"
#include "keelbridge/protocol/platform_clients.h"
#include "keelbridge/state/configuration_state.h"

namespace keelbridge::cli {
namespace {

// Reads the configuration stream to its end. Returns false if the log does not
// respond.
bool ReadConfiguration(LogClient& log, absl::Duration timeout,
                       ConfigurationState& state) {
  while (true) {
    Result<LogBatch> batch =
        log.Read(kConfigurationStream, state.next(), timeout);
    if (!batch) return false;
    const bool at_end = batch.value().records.empty();
    state.OnBatch(batch.value());
    if (state.CaughtUp() || at_end) return true;
  }
}

// Waits until `version` is in force on all entry hosts of `configuration`.
// Returns how long that took, or nullopt on timeout.
std::optional<absl::Duration> WaitUntilInForce(
    const Context& context, const Configuration& configuration,
    int64_t version) {
  const absl::Time start = SystemNow().mono;
  const Json::Value no_params(Json::objectValue);
  for (const EntryHostConfig& host : configuration.entry_hosts) {
    for (const std::string& address : {host.gateway, host.scheduler}) {
      while (true) {
        Result<Json::Value> status =
            CallDaemon(address, "status", no_params, absl::Seconds(1));
        if (status &&
            status.value()["configuration_version"].asInt64() >= version)
          break;
        if (SystemNow().mono - start > context.options.timeout)
          return std::nullopt;
        absl::SleepFor(absl::Milliseconds(50));
      }
    }
  }
  return SystemNow().mono - start;
}

}  // namespace

int Check(const Context& context, const Arguments& files) {
  if (files.empty())
    return ReportUsageError(
        context, "check FILE...: settings, configurations and intents");
  int exit_code = kExitOk;
  for (const std::string& file : files) {
    Result<std::string> text = ReadFile(file);
    if (!text) {
      exit_code = ReportError(context, text.error());
      continue;
    }
    const JsonDocument document = JsonDocument::Parse(text.value(), file);
    std::optional<Error> error;
    std::string kind;
    if (document.root().isMember("intents")) {
      kind = "intents";
      if (auto parsed = ParseIntents(text.value(), file); !parsed)
        error = parsed.error();
    } else if (document.root().isMember("deployment")) {
      kind = "configuration";
      if (auto parsed = ParseConfiguration(text.value(), file); !parsed)
        error = parsed.error();
    } else if (document.root().isMember("client_listen")) {
      kind = "node settings";
      if (auto parsed = ParseNodeSettings(text.value(), file); !parsed)
        error = parsed.error();
    } else {
      kind = "settings";
      if (auto parsed = ParseSettings(text.value(), file); !parsed)
        error = parsed.error();
    }
    if (error) {
      exit_code = ReportError(context, *error);
    } else {
      context.out << file << ": good " << kind << "\n";
    }
  }
  return exit_code;
}

int Publish(const Context& context, const Arguments& files) {
  if (files.size() != 1) return ReportUsageError(context, "publish FILE");
  Result<std::string> text = ReadFile(files[0]);
  if (!text) return ReportError(context, text.error());
  Result<Configuration> configuration =
      ParseConfiguration(text.value(), files[0]);
  if (!configuration) return ReportError(context, configuration.error());
  Result<Address> address = ParseAddress(context.options.log);
  if (!address) return ReportError(context, address.error());
  LogClient log(address.value());
  ConfigurationState state;
  if (!ReadConfiguration(log, context.options.timeout, state)) {
    return ReportError(
        context, MakeError(ErrorCode::kUnavailable,
                           "the log does not respond; nothing was published",
                           absl::Seconds(5)));
  }
  std::string conflict;
  if (state.current().version >= 0 &&
      !MajoritiesOverlap(state.current(), configuration.value(), &conflict)) {
    return ReportError(context, MakeError(ErrorCode::kInvalid, conflict));
  }
  const Envelope envelope{
      {RandomId() >> 1, 1},
      {ConfigurationEntry{state.current().version, -1, text.value()}}};
  const std::string record = EnvelopeToText(envelope);
  // After a lost response the same envelope is appended again; readers ignore
  // all but the first copy.
  Result<int64_t> offset =
      log.Append(kConfigurationStream, record, context.options.timeout);
  for (int i = 0; !offset && i < 3; ++i)
    offset = log.Append(kConfigurationStream, record, context.options.timeout);
  if (!offset) {
    return ReportError(
        context,
        MakeError(ErrorCode::kUnknown,
                  "the log's responses were lost, so the configuration may be "
                  "published; publish it again, which is rejected if the first "
                  "attempt took effect",
                  absl::Seconds(5)));
  }
  if (!ReadConfiguration(log, context.options.timeout, state)) {
    return ReportError(context,
                       MakeError(ErrorCode::kUnknown,
                                 "appended, but the log does not respond to "
                                 "reads; check with status"));
  }
  if (state.current().text != text.value()) {
    return ReportError(
        context,
        MakeError(ErrorCode::kStale,
                  absl::StrCat("another operator published first: version ",
                               state.current().version,
                               " is in force; review it, "
                               "then publish again")));
  }
  const int64_t version = state.current().version;
  context.out << "accepted as version " << version << "\n";
  const std::optional<absl::Duration> wait =
      WaitUntilInForce(context, configuration.value(), version);
  if (!wait) {
    context.out << "not yet in force on every entry host; see status\n";
    return kExitUnavailable;
  }
  context.out << "in force on " << configuration.value().entry_hosts.size()
              << " entry hosts after "
              << absl::FormatDuration(absl::Floor(*wait, absl::Milliseconds(1)))
              << "\n";
  return kExitOk;
}

}  // namespace keelbridge::cli
