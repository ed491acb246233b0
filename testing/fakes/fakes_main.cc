// Runs fakes of the platform and of the workers and targets of a
// configuration.
//
//   CONFIG=examples/picture-desk/configuration.json
//   keelbridge-fakes --configuration=$CONFIG --out=run/configuration.json
//
// Picks a free port unless --port is set, writes a copy of the configuration
// with the addresses that it serves to --out, and writes its port to
// --ready_file once it is serving.

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "keelbridge/base/json_reader.h"
#include "testing/fakes/platform_server.h"

ABSL_FLAG(std::string, configuration, "",
          "configuration whose workers and targets to simulate");
ABSL_FLAG(
    std::string, out, "",
    "file for the configuration with the addresses served by this process");
ABSL_FLAG(std::string, ready_file, "",
          "file for the port, written once the server is ready");
ABSL_FLAG(int, port, 0, "port to listen on; 0 picks a free port");
ABSL_FLAG(int, workers_per_zone, 1000,
          "maximum number of simulated workers in each zone");
ABSL_FLAG(int64_t, runner_work_ms, 2,
          "time that a runner takes to serve a request, in milliseconds");
ABSL_FLAG(absl::Duration, host_list_lag, absl::Seconds(1),
          "delay until a leaving host appears in the host list");
ABSL_FLAG(absl::Duration, log_retention, absl::Hours(1),
          "retention time of log records");

namespace keelbridge::testing {
namespace {

// Returns `root` with all addresses pointing to this process and without the
// workers of each zone beyond the limit.
Json::Value RewriteAddresses(Json::Value root, int port, int workers_per_zone) {
  const std::string base = absl::StrCat("127.0.0.1:", port);
  std::map<std::string, int> workers_in_zone;
  Json::Value workers(Json::arrayValue);
  for (Json::Value& worker : root["workers"]) {
    if (++workers_in_zone[worker["zone"].asString()] > workers_per_zone)
      continue;
    worker["address"] =
        absl::StrCat(base, "/worker/", worker["name"].asString());
    workers.append(worker);
  }
  root["workers"] = workers;
  for (Json::Value& target : root["targets"]) {
    target["address"] =
        absl::StrCat(base, "/runner/", target["name"].asString());
  }
  return root;
}

int Run() {
  std::ifstream file(absl::GetFlag(FLAGS_configuration));
  std::stringstream text;
  text << file.rdbuf();
  Result<Configuration> configuration =
      ParseConfiguration(text.str(), absl::GetFlag(FLAGS_configuration));
  if (!configuration) {
    std::cerr << configuration.error().message << "\n";
    return 2;
  }
  PlatformServer::Options options;
  options.port = absl::GetFlag(FLAGS_port);
  options.runner_work_ms = absl::GetFlag(FLAGS_runner_work_ms);
  options.host_list_lag = absl::GetFlag(FLAGS_host_list_lag);
  options.log_retention = absl::GetFlag(FLAGS_log_retention);
  PlatformServer server(options);
  server.Serve(configuration.value());
  Result<int> port = server.Start();
  if (!port) {
    std::cerr << port.error().message << "\n";
    return 1;
  }
  const JsonDocument document =
      JsonDocument::Parse(text.str(), "configuration");
  if (!absl::GetFlag(FLAGS_out).empty()) {
    std::ofstream(absl::GetFlag(FLAGS_out))
        << ToJsonText(RewriteAddresses(document.root(), port.value(),
                                       absl::GetFlag(FLAGS_workers_per_zone)))
        << "\n";
  }
  if (!absl::GetFlag(FLAGS_ready_file).empty())
    std::ofstream(absl::GetFlag(FLAGS_ready_file)) << port.value() << "\n";
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int signal = 0;
  sigwait(&signals, &signal);
  server.Stop();
  return 0;
}

}  // namespace
}  // namespace keelbridge::testing

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Fakes of the platform, its workers and its targets, for tests and "
      "demonstrations.");
  absl::ParseCommandLine(argc, argv);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return keelbridge::testing::Run();
}
