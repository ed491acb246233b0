// What every command works with: options, where to print, how to ask daemons,
// and how a fault becomes an exit code.
//
//   Result<Json::Value> answer = CallScheduler(context, "top", params);
//   if (!answer) return Fail(context, answer.error());
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

struct Context {
  const Options& options;
  std::ostream& out;
  std::ostream& err;
};

// The exit code that tells of `error`.
int ExitCodeFor(const Error& error);
// Prints `error`, with when to come back if it says so; returns its exit code.
int ReportError(const Context& context, const Error& error);
// Prints how the command is used; returns `kExitBadInput`.
int ReportUsageError(const Context& context, const std::string& what);
void PrintJson(const Context& context, const Json::Value& value);

// Calls a method of the daemon at `address`, as a span of its own.
Result<Json::Value> CallDaemon(const std::string& address,
                               const std::string& method,
                               const Json::Value& params,
                               absl::Duration timeout);
// Asks the schedulers in turn until one can answer, for as long as the options
// say. Anything but "cannot now" is an answer.
Result<Json::Value> CallScheduler(const Context& context,
                                  const std::string& method,
                                  const Json::Value& params);

}  // namespace keelbridge::cli

#endif  // KEELBRIDGE_CLI_COMMAND_CONTEXT_H_
