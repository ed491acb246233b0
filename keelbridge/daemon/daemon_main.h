// What the mains of the daemons share: flags, settings, signals.
//
//   return RunDaemon<Gateway>("gateway", argc, argv);

#ifndef KEELBRIDGE_DAEMON_DAEMON_MAIN_H_
#define KEELBRIDGE_DAEMON_DAEMON_MAIN_H_

#include <csignal>
#include <iostream>
#include <memory>
#include <string>

#include "keelbridge/base/logging.h"
#include "keelbridge/base/result.h"
#include "keelbridge/daemon/settings.h"
#include "keelbridge/transport/trace.h"

namespace keelbridge {

// Exit codes of the daemons.
constexpr int kExitOk = 0;
constexpr int kExitFailed =
    1;  // It could not start, for example because the port is taken.
constexpr int kExitBadSettings =
    2;  // The settings are at fault; every fault is printed.

// Blocks SIGTERM and SIGINT in this thread and those it starts. Call before any
// thread starts.
inline sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes a connection is an error of that call, not a reason to
  // end.
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Runs `Daemon` by the settings at `path` until SIGTERM or SIGINT, then drains
// it.
template <typename Daemon>
int RunDaemon(const std::string& program, const std::string& path) {
  const sigset_t signals = BlockStopSignals();
  Result<std::string> text = ReadFile(path);
  if (!text) {
    std::cerr << program << ": " << text.error().message << "\n";
    return kExitBadSettings;
  }
  Result<Settings> settings = ParseSettings(text.value(), path);
  if (!settings) {
    std::cerr << settings.error().message << "\n";
    return kExitBadSettings;
  }
  InitLogging(program, settings.value().name, settings.value().log_level);
  InitTracing(program, settings.value().trace_file);
  Result<std::unique_ptr<Daemon>> daemon = Daemon::Start(settings.value());
  if (!daemon) {
    std::cerr << program << ": " << daemon.error().message << "\n";
    return kExitFailed;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  daemon.value()->Drain();
  return kExitOk;
}

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_DAEMON_MAIN_H_
