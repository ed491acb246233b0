// Structured log lines: one line an event, JSON, on standard error.
//
// An event has a stable name and fields; a program filters by them, a person
// reads them.
//
//   LogEvent(Severity::kInfo, "leader_won", {{"zone", zone}, {"epoch",
//   std::to_string(epoch)}});

#ifndef KEELBRIDGE_BASE_LOGGING_H_
#define KEELBRIDGE_BASE_LOGGING_H_

#include <string>
#include <utility>
#include <vector>

namespace keelbridge {

enum class Severity { kDebug, kInfo, kWarning, kError };

using LogFields = std::vector<std::pair<std::string, std::string>>;

// Names the process in each line and drops events below `least`. Call once,
// before the first event.
void InitLogging(const std::string& program, const std::string& name,
                 Severity least);

// Writes one event. Thread-safe.
void LogEvent(Severity severity, const std::string& event,
              const LogFields& fields);

}  // namespace keelbridge

#endif  // KEELBRIDGE_BASE_LOGGING_H_
