#include "keelbridge/transport/trace.h"

#include <json/json.h>

#include <cstdio>

#include "absl/base/thread_annotations.h"
#include "absl/random/random.h"
#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

constexpr size_t kHeaderLength = 55;
constexpr int kSpanKindServer = 2;

// The destination of the spans of this process.
struct SpanSink {
  absl::Mutex mutex;
  std::string service ABSL_GUARDED_BY(mutex);
  FILE* file ABSL_GUARDED_BY(mutex) = nullptr;
};

SpanSink& Sink() {
  static auto* sink = new SpanSink();
  return *sink;
}

bool ParseHex(const std::string& text, uint64_t* out) {
  for (const char c : text) {
    if (!absl::ascii_isxdigit(static_cast<unsigned char>(c)) ||
        absl::ascii_isupper(static_cast<unsigned char>(c))) {
      return false;
    }
  }
  return absl::SimpleHexAtoi(text, out);
}

Json::Value Attribute(const std::string& key, const std::string& value) {
  Json::Value out;
  out["key"] = key;
  out["value"]["stringValue"] = value;
  return out;
}

}  // namespace

std::string TraceContext::ToHeader() const {
  return absl::StrFormat("00-%016x%016x-%016x-01", trace_high, trace_low, span);
}

TraceContext TraceContext::Parse(const std::string& header) {
  TraceContext context;
  if (header.size() != kHeaderLength || header[2] != '-' || header[35] != '-' ||
      header[52] != '-')
    return {};
  if (!ParseHex(header.substr(3, 16), &context.trace_high) ||
      !ParseHex(header.substr(19, 16), &context.trace_low) ||
      !ParseHex(header.substr(36, 16), &context.span) || !context.valid()) {
    return {};
  }
  return context;
}

void InitTracing(const std::string& service, const std::string& path) {
  SpanSink& sink = Sink();
  absl::MutexLock lock(&sink.mutex);
  sink.service = service;
  if (path == "-") {
    sink.file = stdout;
  } else if (!path.empty()) {
    sink.file = fopen(path.c_str(), "ae");
  }
}

uint64_t RandomId() {
  thread_local absl::BitGen generator;
  return absl::Uniform<uint64_t>(absl::IntervalClosed, generator, 1,
                                 UINT64_MAX);
}

Span::Span(std::string name, const TraceContext& parent)
    : name_(std::move(name)),
      parent_span_(parent.valid() ? parent.span : 0),
      context_(parent),
      start_(absl::Now()) {
  if (!parent.valid()) context_ = TraceContext{RandomId(), RandomId(), 0};
  context_.span = RandomId();
}

Span::~Span() {
  SpanSink& sink = Sink();
  absl::MutexLock lock(&sink.mutex);
  if (sink.file == nullptr) return;
  Json::Value span;
  span["traceId"] =
      absl::StrFormat("%016x%016x", context_.trace_high, context_.trace_low);
  span["spanId"] = absl::StrFormat("%016x", context_.span);
  if (parent_span_ != 0)
    span["parentSpanId"] = absl::StrFormat("%016x", parent_span_);
  span["name"] = name_;
  span["kind"] = kSpanKindServer;
  span["startTimeUnixNano"] = absl::StrCat(absl::ToUnixNanos(start_));
  span["endTimeUnixNano"] = absl::StrCat(absl::ToUnixNanos(absl::Now()));
  for (const auto& [key, value] : attributes_)
    span["attributes"].append(Attribute(key, value));
  Json::Value line;
  Json::Value& resource = line["resourceSpans"][0];
  resource["resource"]["attributes"].append(
      Attribute("service.name", sink.service));
  resource["scopeSpans"][0]["scope"]["name"] = "keelbridge";
  resource["scopeSpans"][0]["spans"].append(span);
  fprintf(sink.file, "%s\n", ToJsonText(line).c_str());
  fflush(sink.file);
}

}  // namespace keelbridge
