#include "keelbridge/cli/command_context.h"

#include <ostream>
#include <string>

#include "absl/time/clock.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/transport/address.h"
#include "keelbridge/transport/rpc_client.h"
#include "keelbridge/transport/trace.h"

namespace keelbridge::cli {
namespace {

// Delay before all schedulers are tried again. A new leader needs about this
// long to take over.
constexpr absl::Duration kRetryDelay = absl::Milliseconds(200);

}  // namespace

int ExitCodeFor(const Error& error) {
  switch (error.code) {
    case ErrorCode::kInvalid:
    case ErrorCode::kNotFound:
    case ErrorCode::kUnauthorized:
      return kExitBadInput;
    case ErrorCode::kStale:
    case ErrorCode::kConflict:
      return kExitStale;
    case ErrorCode::kUnknown:
      return kExitMayHaveRun;
    default:
      return kExitUnavailable;
  }
}

int ReportError(const Context& context, const Error& error) {
  context.err << error.message << "\n";
  if (error.retry_after > absl::ZeroDuration()) {
    context.err << "try again in " << absl::FormatDuration(error.retry_after)
                << "\n";
  }
  return ExitCodeFor(error);
}

int ReportUsageError(const Context& context, const std::string& what) {
  context.err << what << "\nSee keelbridge --help.\n";
  return kExitBadInput;
}

void PrintJson(const Context& context, const Json::Value& value) {
  context.out << ToJsonText(value) << "\n";
}

Result<Json::Value> CallDaemon(const std::string& address,
                               const std::string& method,
                               const Json::Value& params,
                               absl::Duration timeout) {
  Result<Address> parsed = ParseAddress(address);
  if (!parsed) return parsed.error();
  RpcClient client(parsed.value());
  const Span span("cli." + method, TraceContext());
  return client.Call(method, params, timeout, span.context());
}

Result<Json::Value> CallScheduler(const Context& context,
                                  const std::string& method,
                                  const Json::Value& params) {
  if (context.options.schedulers.empty()) {
    return MakeError(ErrorCode::kInvalid,
                     "no scheduler given; name those of the zone with "
                     "--scheduler=IP:PORT,IP:PORT");
  }
  const absl::Time deadline = SystemNow().mono + context.options.timeout;
  Error last;
  while (true) {
    for (const std::string& address : context.options.schedulers) {
      Result<Json::Value> answer =
          CallDaemon(address, method, params, context.options.timeout);
      if (answer || answer.error().code != ErrorCode::kUnavailable)
        return answer;
      last = answer.error();
    }
    if (SystemNow().mono >= deadline) return last;
    absl::SleepFor(kRetryDelay);
  }
}

}  // namespace keelbridge::cli
