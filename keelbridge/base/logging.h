// Writes structured logs: one JSON object per event and line, on standard
// output or standard error.
//
// Each event has a stable name and named fields, by which tools can filter.
//
//   LogEvent(Severity::kInfo, "leader_won",
//            {{"zone", zone}, {"epoch", std::to_string(epoch)}});

#ifndef KEELBRIDGE_BASE_LOGGING_H_
#define KEELBRIDGE_BASE_LOGGING_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace keelbridge {

enum class Severity { kDebug, kInfo, kWarning, kError };

// Parses "debug", "info", "warning" or "error". Any other name gives `kInfo`.
Severity SeverityFromName(const std::string& name);

using LogFields = std::vector<std::pair<std::string, std::string>>;

// Sets up logging to standard error. Each line contains the process name
// "PROGRAM/NAME"; events below `min_severity` are dropped. Call this once,
// before the first event.
void InitLogging(const std::string& program, const std::string& name,
                 Severity min_severity);

// Like `InitLogging`, but for processes that must never block on their log. A
// background thread writes the lines from a bounded buffer to standard output.
// Lines that do not fit into the buffer are dropped and counted.
void InitBoundedLogging(const std::string& program, const std::string& name,
                        Severity min_severity);

// Returns the number of lines dropped so far because the buffer was full.
int64_t DroppedLogLines();

// Writes the buffered lines and ends the background thread. Gives up after a
// short time if nothing reads standard output.
void StopLogging();

// Writes one event. Thread-safe.
void LogEvent(Severity severity, const std::string& event,
              const LogFields& fields);

}  // namespace keelbridge

#endif  // KEELBRIDGE_BASE_LOGGING_H_
