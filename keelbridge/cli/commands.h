// The commands of the `keelbridge` program, apart from flags and usage.
//
//   Options options;
//   options.schedulers = {"127.0.0.1:9101"};
//   int exit_code = RunCommand({"plan", "intents.json"}, options, std::cout,
//   std::cerr);

#ifndef KEELBRIDGE_CLI_COMMANDS_H_
#define KEELBRIDGE_CLI_COMMANDS_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace keelbridge::cli {

// Exit codes.
constexpr int kExitOk = 0;
constexpr int kExitUnavailable =
    1;  // A party that is needed does not answer, or refuses for now.
constexpr int kExitBadInput =
    2;  // Usage, or a fault in a file; every fault is printed.
constexpr int kExitStale = 3;  // Somebody else was first.
constexpr int kExitMayHaveRun =
    4;  // Of `request` and `confirm`: it may have taken effect.

struct Options {
  bool json = false;  // For programs, in place of tables.
  std::string log;    // Address of the platform's log.
  std::vector<std::string>
      schedulers;  // Addresses, of one zone; the one that leads is found.
  std::string gateway;
  std::string out;  // File for the plan.
  std::string method = "GET";
  std::string key;     // Idempotency key.
  std::string ticket;  // "new" gets one first.
  std::string body;
  std::string zone;  // Of a drain.
  absl::Duration timeout = absl::Seconds(10);
  bool follow = false;  // Of `watch`.
  bool yes = false;     // Of `drain`: confirm at once.
};

// Runs one command and returns its exit code.
int RunCommand(const std::vector<std::string>& arguments,
               const Options& options, std::ostream& out, std::ostream& err);

// What `--help` says.
const char* Usage();

}  // namespace keelbridge::cli

#endif  // KEELBRIDGE_CLI_COMMANDS_H_
