// Main function of keelbridge-node, a node of a site on the users' platform;
// see keelbridge/daemon/site_node.h.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/daemon_main.h"
#include "keelbridge/daemon/node_settings.h"
#include "keelbridge/daemon/site_node.h"
#include "platform/dialect.h"
#include "platform/log_store.h"
#include "platform/settings_path.h"
#include "platform/workers.h"

ABSL_FLAG(std::string, settings, "",
          "settings file; by default the platform's standard path");

namespace {

using keelbridge::LogEvent;
using keelbridge::Result;
using keelbridge::Severity;

Result<keelbridge::NodeSettings> LoadSettings(const std::string& path) {
  auto text = keelbridge::ReadFile(path);
  if (!text) return text.error();
  return keelbridge::ParseNodeSettings(text.value(), path);
}

// Runs the event loop until it is stopped. An exception fails only the handler
// that threw it, not the process.
void RunLoop(boost::asio::io_context& loop) {
  for (;;) {
    try {
      loop.run();
      return;
    } catch (const std::exception& e) {
      LogEvent(Severity::kError, "handler_failed", {{"what", e.what()}});
    }
  }
}

// On each SIGHUP, validates the settings file and logs the result.
void WatchReload(boost::asio::signal_set& reload, const std::string& path) {
  reload.async_wait([&reload, path](boost::system::error_code error, int) {
    if (error) return;
    const auto settings = LoadSettings(path);
    LogEvent(settings ? Severity::kInfo : Severity::kError, "settings_read",
             {{"what", settings ? "valid; address changes need a restart"
                                : settings.error().message}});
    WatchReload(reload, path);
  });
}

int Run(const std::string& path) {
  auto settings = LoadSettings(path);
  if (!settings) {
    std::cerr << settings.error().message << "\n";
    return keelbridge::kExitBadSettings;
  }
  keelbridge::InitBoundedLogging("node", settings.value().name,
                                 settings.value().log_level);
  keelbridge::InitTracing("node", settings.value().trace_file);
  boost::asio::io_context loop(1);
  boost::asio::signal_set stop(loop, SIGTERM, SIGINT);
  boost::asio::signal_set reload(loop, SIGHUP);
  keelbridge::EventRpcClient rpc(loop);
  keelbridge::StoreFailover store_failover(loop, settings.value().store, rpc);
  keelbridge::StoreLongPolls long_polls(loop, settings.value().store);
  platform::LogStore store(store_failover, long_polls);
  platform::HttpWorkerOrders workers(loop);
  platform::HttpAdviceService advice(loop, settings.value().advice);
  const platform::Dialect dialect;
  keelbridge::SiteNode node(loop, settings.value(),
                            {&store, &workers, &advice, &dialect},
                            store_failover, rpc);
  if (auto started = node.Start(); !started) {
    std::cerr << started.error().message << "\n";
    return keelbridge::kExitFailed;
  }
  stop.async_wait([&](boost::system::error_code error, int) {
    if (!error) node.Drain([&loop] { loop.stop(); });
  });
  WatchReload(reload, path);
  RunLoop(loop);
  keelbridge::StopLogging();
  // The loop's pending handlers refer to objects on this stack, so the process
  // exits without destroying the handlers or the objects.
  std::cout.flush();
  std::_Exit(keelbridge::kExitOk);
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "keelbridge-node --settings=FILE: a node of a site on the platform");
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) path = platform::SettingsPath();
  return Run(path);
}
