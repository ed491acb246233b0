// Main function of keelbridge, the command-line tool for operators and callers;
// see keelbridge/cli/commands.h.

#include <iostream>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/strings/str_split.h"
#include "keelbridge/cli/commands.h"

ABSL_FLAG(bool, json, false, "print JSON for programs");
ABSL_FLAG(std::string, log, "", "address of the platform's log");
ABSL_FLAG(std::string, scheduler, "",
          "addresses of the zone's schedulers, separated by commas");
ABSL_FLAG(std::string, gateway, "",
          "address of a gateway, or of the load balancer in front of them");
ABSL_FLAG(std::string, out, "", "file to write the plan to");
ABSL_FLAG(std::string, method, "GET", "HTTP method of the request");
ABSL_FLAG(std::string, key, "", "idempotency key of the request");
ABSL_FLAG(std::string, ticket, "",
          "ticket of the request; \"new\" obtains one first");
ABSL_FLAG(std::string, body, "", "body of the request");
ABSL_FLAG(std::string, zone, "", "drain: availability zone");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(10), "maximum time to wait");
ABSL_FLAG(bool, follow, false, "watch: continue until interrupted");
ABSL_FLAG(bool, yes, false, "drain: confirm the plan immediately");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(keelbridge::cli::Usage());
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  keelbridge::cli::Options options;
  options.json = absl::GetFlag(FLAGS_json);
  options.log = absl::GetFlag(FLAGS_log);
  options.schedulers =
      absl::StrSplit(absl::GetFlag(FLAGS_scheduler), ',', absl::SkipEmpty());
  options.gateway = absl::GetFlag(FLAGS_gateway);
  options.out = absl::GetFlag(FLAGS_out);
  options.method = absl::GetFlag(FLAGS_method);
  options.key = absl::GetFlag(FLAGS_key);
  options.ticket = absl::GetFlag(FLAGS_ticket);
  options.body = absl::GetFlag(FLAGS_body);
  options.zone = absl::GetFlag(FLAGS_zone);
  options.timeout = absl::GetFlag(FLAGS_timeout);
  options.follow = absl::GetFlag(FLAGS_follow);
  options.yes = absl::GetFlag(FLAGS_yes);
  const std::vector<std::string> arguments(positional.begin() + 1,
                                           positional.end());
  return keelbridge::cli::RunCommand(arguments, options, std::cout, std::cerr);
}
