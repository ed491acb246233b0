#include "keelbridge/base/logging.h"

#include <json/json.h>

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <iostream>
#include <thread>

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace keelbridge {
namespace {

namespace logging = boost::log;

std::string& ProcessName() {
  static auto* name = new std::string();
  return *name;
}

// Lines that wait for the writer at most; about half a second of a busy leader.
constexpr size_t kRingLines = 1024;
constexpr int kFlushTries = 20;
constexpr std::chrono::milliseconds kFlushPause(10);

std::atomic<int64_t>& Dropped() {
  static std::atomic<int64_t> dropped{0};
  return dropped;
}

// What the ring does when it is full: the line is dropped and counted.
struct DropAndCount {
  template <typename Lock>
  static bool on_overflow(const logging::record_view&, Lock&) {
    ++Dropped();
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}
};

using BoundedSink = logging::sinks::asynchronous_sink<
    logging::sinks::text_ostream_backend,
    logging::sinks::bounded_fifo_queue<kRingLines, DropAndCount>>;

boost::shared_ptr<BoundedSink>& Sink() {
  static auto* sink = new boost::shared_ptr<BoundedSink>();
  return *sink;
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

Severity SeverityFromName(const std::string& name) {
  if (name == "debug") return Severity::kDebug;
  if (name == "warning") return Severity::kWarning;
  return name == "error" ? Severity::kError : Severity::kInfo;
}

void InitBoundedLogging(const std::string& program, const std::string& name,
                        Severity least) {
  ProcessName() = program + "/" + name;
  auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream*) {}));
  backend->auto_flush(true);
  Sink() = boost::make_shared<BoundedSink>(backend);
  Sink()->set_formatter(logging::expressions::stream
                        << logging::expressions::smessage);
  logging::core::get()->add_sink(Sink());
  logging::core::get()->set_filter(
      logging::expressions::attr<int>("Severity") >= static_cast<int>(least));
}

int64_t DroppedLogLines() { return Dropped(); }

void StopLogging() {
  if (Sink() == nullptr) return;
  logging::core::get()->remove_sink(Sink());
  std::atomic<bool> done{false};
  std::thread flush([&done] {
    Sink()->stop();
    Sink()->flush();
    done = true;
  });
  for (int i = 0; i < kFlushTries && !done; ++i)
    std::this_thread::sleep_for(kFlushPause);
  if (done)
    flush.join();
  else
    flush.detach();  // Nobody reads; the process ends without these lines.
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
