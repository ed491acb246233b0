// Spans: one for each hop of a request or task start, linked across processes
// by W3C `traceparent`.
//
// OpenTelemetry's C++ library is not packaged for Debian 12. Its nearest kin
// here: the W3C header in and out, and spans written as OTLP/JSON, one a line,
// which any collector's file receiver reads.
//
//   Span span("gateway.forward", TraceContext::Parse(header));
//   request.headers.emplace_back("traceparent", span.context().ToHeader());
//   span.Set("target", target.name);  // Written when the span ends.

#ifndef KEELBRIDGE_TRANSPORT_TRACE_H_
#define KEELBRIDGE_TRANSPORT_TRACE_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace keelbridge {

// Names one span of one trace. All zero: none.
struct TraceContext {
  uint64_t trace_high = 0;
  uint64_t trace_low = 0;
  uint64_t span = 0;

  bool valid() const { return (trace_high | trace_low) != 0 && span != 0; }
  // "00-<32 hex>-<16 hex>-01".
  std::string ToHeader() const;
  // Anything malformed gives an invalid context, which starts a new trace.
  static TraceContext Parse(const std::string& header);
};

// Where spans of this process go: a file path, "-" for standard output, or
// empty for nowhere.
void InitTracing(const std::string& service, const std::string& path);

// A random number that no other process is likely to draw. Thread-safe.
uint64_t RandomId();

class Span {
 public:
  // A child of `parent`, or the root of a new trace when `parent` is invalid.
  Span(std::string name, const TraceContext& parent);
  ~Span();
  Span(const Span&) = delete;
  Span& operator=(const Span&) = delete;

  const TraceContext& context() const { return context_; }
  void Set(const std::string& key, std::string value) {
    attributes_.emplace_back(key, std::move(value));
  }

 private:
  const std::string name_;
  const uint64_t parent_span_;
  TraceContext context_;
  const absl::Time start_;
  std::vector<std::pair<std::string, std::string>> attributes_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_TRACE_H_
