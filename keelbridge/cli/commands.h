// Runs the commands of the `keelbridge` program. The caller parses the flags.
//
//   Options options;
//   options.schedulers = {"127.0.0.1:9101"};
//   int exit_code =
//       RunCommand({"plan", "intents.json"}, options, std::cout, std::cerr);

#ifndef KEELBRIDGE_CLI_COMMANDS_H_
#define KEELBRIDGE_CLI_COMMANDS_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace keelbridge::cli {

// Exit codes.
constexpr int kExitOk = 0;
// A required process does not respond, or temporarily rejects the call.
constexpr int kExitUnavailable = 1;
// Wrong usage, or errors in a file, all of which are printed.
constexpr int kExitBadInput = 2;
// A concurrent change by another operator took effect first.
constexpr int kExitStale = 3;
// The command may have taken effect, for example a request or a confirmation
// without a response.
constexpr int kExitMayHaveRun = 4;

// The flags of the commands.
struct Options {
  bool json = false;  // Print JSON instead of tables.
  std::string log;    // Address of the platform's log.
  // Addresses of the schedulers of one zone; the leader is found by trying
  // each.
  std::vector<std::string> schedulers;
  std::string gateway;  // Address of a gateway.
  std::string out;      // File to which the plan is written.
  std::string method = "GET";
  std::string key;     // Idempotency key.
  std::string ticket;  // "new" requests one first.
  std::string body;
  std::string zone;  // The zone of a drain.
  absl::Duration timeout = absl::Seconds(10);
  bool follow = false;  // Keep polling, for `watch`.
  bool yes = false;     // Confirm the plan immediately, for `drain`.
};

// Runs one command and returns its exit code.
int RunCommand(const std::vector<std::string>& arguments,
               const Options& options, std::ostream& out, std::ostream& err);

// Returns the help text.
const char* Usage();

}  // namespace keelbridge::cli

#endif  // KEELBRIDGE_CLI_COMMANDS_H_
