#include "keelbridge/base/logging.h"

#include <json/json.h>
#include <unistd.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <iostream>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "keelbridge/base/line_writer.h"

namespace keelbridge {
namespace {

namespace logging = boost::log;

std::string& ProcessName() {
  static auto* name = new std::string();
  return *name;
}

// How long a terminating process waits for its last log lines to be written.
constexpr absl::Duration kStopTimeout = absl::Milliseconds(200);

LineWriter*& Writer() {
  static LineWriter* writer = nullptr;
  return writer;
}

// Passes each line to the writer on the thread that logs it.
class WriterBackend : public logging::sinks::basic_formatted_sink_backend<
                          char, logging::sinks::concurrent_feeding> {
 public:
  static void consume(const logging::record_view&, const std::string& line) {
    Writer()->Add(line);
  }
};
using WriterSink = logging::sinks::synchronous_sink<WriterBackend>;

const char* SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return "debug";
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "error";
}

}  // namespace

void InitLogging(const std::string& program, const std::string& name,
                 Severity min_severity) {
  ProcessName() = program + "/" + name;
  logging::add_console_log(
      std::clog,
      logging::keywords::format = logging::expressions::stream
                                  << logging::expressions::smessage,
      logging::keywords::auto_flush = true);
  logging::core::get()->set_filter(
      logging::expressions::attr<int>("Severity") >=
      static_cast<int>(min_severity));
}

Severity SeverityFromName(const std::string& name) {
  if (name == "debug") return Severity::kDebug;
  if (name == "warning") return Severity::kWarning;
  return name == "error" ? Severity::kError : Severity::kInfo;
}

void InitBoundedLogging(const std::string& program, const std::string& name,
                        Severity min_severity) {
  ProcessName() = program + "/" + name;
  Writer() = new LineWriter(STDOUT_FILENO, LineWriter::Options());
  auto sink =
      boost::make_shared<WriterSink>(boost::make_shared<WriterBackend>());
  sink->set_formatter(logging::expressions::stream
                      << logging::expressions::smessage);
  logging::core::get()->add_sink(sink);
  logging::core::get()->set_filter(
      logging::expressions::attr<int>("Severity") >=
      static_cast<int>(min_severity));
}

int64_t DroppedLogLines() {
  return Writer() == nullptr ? 0 : Writer()->dropped();
}

void StopLogging() {
  if (Writer() != nullptr) Writer()->Stop(kStopTimeout);
}

void LogEvent(Severity severity, const std::string& event,
              const LogFields& fields) {
  thread_local logging::sources::severity_logger<int> logger;
  std::string line;
  line.reserve(256);
  const auto add = [&line](const char* before, const std::string& key,
                           const std::string& value) {
    line += before;
    line += Json::valueToQuotedString(key.c_str());
    line += ':';
    line += Json::valueToQuotedString(value.c_str());
  };
  add("{", "time",
      absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(),
                       absl::UTCTimeZone()));
  add(",", "severity", SeverityName(severity));
  add(",", "process", ProcessName());
  add(",", "event", event);
  for (const auto& [key, value] : fields) add(",", key, value);
  line += '}';
  BOOST_LOG_SEV(logger, static_cast<int>(severity)) << line;
}

}  // namespace keelbridge
