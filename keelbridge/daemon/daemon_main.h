// Code shared by the main functions of the daemons: settings, exit codes and
// signals.
//
//   return RunDaemon<Gateway>("keelbridge-gateway", settings_path);

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
// The daemon could not start, for example because its port is in use.
constexpr int kExitFailed = 1;
// The settings file is unreadable or invalid; all of its faults are printed.
constexpr int kExitBadSettings = 2;

// Blocks SIGTERM and SIGINT in this thread and the threads it starts later, and
// ignores SIGPIPE. Must be called before any thread starts.
inline sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A connection closed by the peer must fail the write, not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Runs `Daemon` with the settings file at `path` until SIGTERM or SIGINT, then
// drains it. Returns the exit code of the process.
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
