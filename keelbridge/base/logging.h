// Structured log lines: one line an event, JSON, on standard output or error.
//
// An event has a stable name and fields; a program filters by them, a person
// reads them.
//
//   LogEvent(Severity::kInfo, "leader_won", {{"zone", zone}, {"epoch",
//   std::to_string(epoch)}});

#ifndef KEELBRIDGE_BASE_LOGGING_H_
#define KEELBRIDGE_BASE_LOGGING_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace keelbridge {

enum class Severity { kDebug, kInfo, kWarning, kError };

// "debug", "info", "warning" or "error"; anything else is info.
Severity SeverityFromName(const std::string& name);

using LogFields = std::vector<std::pair<std::string, std::string>>;

// Names the process in each line and drops events below `least`. Call once,
// before the first event.
void InitLogging(const std::string& program, const std::string& name,
                 Severity min_severity);

// Like `InitLogging`, for processes that must never wait for whoever reads
// their log: lines go through a bounded ring to a writer of their own, on
// standard output. What does not fit is dropped and counted.
void InitBoundedLogging(const std::string& program, const std::string& name,
                        Severity min_severity);

// Lines dropped so far because the ring was full.
int64_t DroppedLogLines();

// Writes what the ring holds and ends its writer, waiting a little at most.
void StopLogging();

// Writes one event. Thread-safe.
void LogEvent(Severity severity, const std::string& event,
              const LogFields& fields);

}  // namespace keelbridge

#endif  // KEELBRIDGE_BASE_LOGGING_H_
