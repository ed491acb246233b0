// Shared by all commands: options, output streams, calls to daemons, and the
// mapping of errors to exit codes.
//
//   Result<Json::Value> answer = CallScheduler(context, "top", params);
//   if (!answer) return ReportError(context, answer.error());
//   PrintJson(context, answer.value());

#ifndef KEELBRIDGE_CLI_COMMAND_CONTEXT_H_
#define KEELBRIDGE_CLI_COMMAND_CONTEXT_H_

#include <json/json.h>

#include <iosfwd>
#include <string>

#include "absl/time/time.h"
#include "keelbridge/base/result.h"
#include "keelbridge/cli/commands.h"

namespace keelbridge::cli {

// The options of a command and its output streams.
struct Context {
  const Options& options;
  std::ostream& out;
  std::ostream& err;
};

// Returns the exit code for `error`.
int ExitCodeFor(const Error& error);
// Prints `error` to `context.err`, with its retry delay if it has one, and
// returns its exit code.
int ReportError(const Context& context, const Error& error);
// Prints `what` and a reference to the usage text, and returns `kExitBadInput`.
int ReportUsageError(const Context& context, const std::string& what);
// Prints `value` as one line of JSON.
void PrintJson(const Context& context, const Json::Value& value);

// Calls a method of the daemon at `address`, in a new trace span.
Result<Json::Value> CallDaemon(const std::string& address,
                               const std::string& method,
                               const Json::Value& params,
                               absl::Duration timeout);
// Calls the schedulers in turn, for up to `options.timeout`, until one returns
// a result or an error other than `kUnavailable`.
Result<Json::Value> CallScheduler(const Context& context,
                                  const std::string& method,
                                  const Json::Value& params);

}  // namespace keelbridge::cli

#endif  // KEELBRIDGE_CLI_COMMAND_CONTEXT_H_
