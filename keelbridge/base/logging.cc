#include "keelbridge/base/logging.h"

#include <json/json.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace keelbridge {
namespace {

namespace logging = boost::log;

std::string& ProcessName() {
  static auto* name = new std::string();
  return *name;
}

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
                 Severity least) {
  ProcessName() = program + "/" + name;
  logging::add_console_log(
      std::clog,
      logging::keywords::format = logging::expressions::stream
                                  << logging::expressions::smessage,
      logging::keywords::auto_flush = true);
  logging::core::get()->set_filter(
      logging::expressions::attr<int>("Severity") >= static_cast<int>(least));
}

void LogEvent(Severity severity, const std::string& event,
              const LogFields& fields) {
  thread_local logging::sources::severity_logger<int> logger;
  Json::Value line(Json::objectValue);
  line["time"] = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(),
                                  absl::UTCTimeZone());
  line["severity"] = SeverityName(severity);
  line["process"] = ProcessName();
  line["event"] = event;
  for (const auto& [key, value] : fields) line[key] = value;
  static const Json::StreamWriterBuilder* writer_builder = [] {
    auto* writer = new Json::StreamWriterBuilder();
    (*writer)["indentation"] = "";
    return writer;
  }();
  BOOST_LOG_SEV(logger, static_cast<int>(severity))
      << Json::writeString(*writer_builder, line);
}

}  // namespace keelbridge
