// Distributed tracing: one span for each hop of a request or task start, linked
// across processes by the W3C `traceparent` header.
//
// OpenTelemetry's C++ library is not packaged for Debian 12. This module
// implements the W3C header and writes spans as OTLP/JSON, one per line, which
// the file receiver of an OpenTelemetry collector reads.
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

// Identifies one span of one trace. All zeros mean that there is none.
struct TraceContext {
  uint64_t trace_high = 0;
  uint64_t trace_low = 0;
  uint64_t span = 0;

  bool valid() const { return (trace_high | trace_low) != 0 && span != 0; }
  // Returns the `traceparent` value, "00-<32 hex>-<16 hex>-01".
  std::string ToHeader() const;
  // Parses a `traceparent` value. A malformed one yields an invalid context,
  // which starts a new trace.
  static TraceContext Parse(const std::string& header);
};

// Sets where the spans of this process are written: a file path, "-" for
// standard output, or empty to discard them. `service` is the service name in
// the spans.
void InitTracing(const std::string& service, const std::string& path);

// Returns a random nonzero identifier that is unlikely to be drawn by any other
// process. Thread-safe.
uint64_t RandomId();

// A span that is written when it is destroyed.
class Span {
 public:
  // Starts a child of `parent`, or the root span of a new trace if `parent` is
  // invalid.
  Span(std::string name, const TraceContext& parent);
  ~Span();
  Span(const Span&) = delete;
  Span& operator=(const Span&) = delete;

  const TraceContext& context() const { return context_; }
  // Adds an attribute.
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
