// The commands of the `keelbridge` program, one function each. A function takes
// the arguments that follow the command's name and returns the exit code.
//
//   int exit_code = Publish(context, {"configuration.json"});

#ifndef KEELBRIDGE_CLI_COMMAND_LIST_H_
#define KEELBRIDGE_CLI_COMMAND_LIST_H_

#include <string>
#include <vector>

#include "keelbridge/cli/command_context.h"

namespace keelbridge::cli {

using Arguments = std::vector<std::string>;

// configuration_commands.cc
int Check(const Context& context, const Arguments& files);
int Publish(const Context& context, const Arguments& files);

// plan_commands.cc
int MakeAndShowPlan(const Context& context, const Arguments& files);
int Confirm(const Context& context, const Arguments& files);
int Drain(const Context& context, const Arguments& arguments);

// view_commands.cc
int Explain(const Context& context, const Arguments& arguments);
int Watch(const Context& context, const Arguments& arguments);
int Status(const Context& context, const Arguments& arguments);
int Top(const Context& context, const Arguments& arguments);

// request_command.cc
int Request(const Context& context, const Arguments& arguments);

}  // namespace keelbridge::cli

#endif  // KEELBRIDGE_CLI_COMMAND_LIST_H_
