#include "keelbridge/cli/commands.h"

#include <functional>
#include <map>
#include <ostream>

#include "absl/strings/str_cat.h"
#include "keelbridge/cli/command_list.h"

namespace keelbridge::cli {

const char* Usage() {
  return R"(keelbridge COMMAND [ARGUMENTS] [FLAGS]

  check FILE...               check settings, configurations and intents; every fault with its line
  publish FILE                publish a configuration                     (--log)
  plan FILE                   what intents would do; changes nothing      (--scheduler, --out=PLAN)
  confirm PLAN                carry out a plan                            (--scheduler)
  drain host|target NAME      plan a drain; confirm it with --yes         (--scheduler, --zone)
  explain INTENT/NUMBER       why a task is where it is, or why it waits  (--scheduler)
  explain JOB [LOG...]        a job's way and what went wrong, from nodes' logs (or standard input)
  watch                       decisions, step by step                     (--scheduler, --follow)
  status [ADDRESS...]         what daemons say of themselves              (--scheduler, --gateway)
  top                         workers and teams                           (--scheduler)
  request /SERVICE/PATH       send a request as a caller                  (--gateway, --method, --key, --ticket, --body)
  version

Exit codes: 0 done; 1 not available now; 2 wrong input; 3 somebody else was first; 4 it may have taken effect.
--json prints for programs. --scheduler takes all schedulers of a zone, separated by commas.)";
}

int RunCommand(const std::vector<std::string>& arguments,
               const Options& options, std::ostream& out, std::ostream& err) {
  using Command =
      std::function<int(const Context&, const std::vector<std::string>&)>;
  static const auto* commands = new std::map<std::string, Command>{
      {"check", Check},     {"publish", Publish}, {"plan", MakeAndShowPlan},
      {"confirm", Confirm}, {"drain", Drain},     {"explain", Explain},
      {"watch", Watch},     {"status", Status},   {"top", Top},
      {"request", Request},
  };
  const Context context{options, out, err};
  if (arguments.empty())
    return ReportUsageError(context, "no command was given");
  if (arguments[0] == "version") {
    out << "keelbridge " << KEELBRIDGE_VERSION << "\n";
    return kExitOk;
  }
  if (arguments[0] == "help") {
    out << Usage() << "\n";
    return kExitOk;
  }
  const auto command = commands->find(arguments[0]);
  if (command == commands->end())
    return ReportUsageError(
        context, absl::StrCat("unknown command \"", arguments[0], "\""));
  return command->second(context, std::vector<std::string>(
                                      arguments.begin() + 1, arguments.end()));
}

}  // namespace keelbridge::cli
