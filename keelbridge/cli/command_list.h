// The commands of the `keelbridge` program, one function each. Each takes the
// words after its name and returns the exit code.
//
//   int exit_code = Publish(context, {"configuration.json"});

#ifndef KEELBRIDGE_CLI_COMMAND_LIST_H_
#define KEELBRIDGE_CLI_COMMAND_LIST_H_

#include <string>
#include <vector>

#include "keelbridge/cli/command_context.h"

namespace keelbridge::cli {

using Words = std::vector<std::string>;

// configuration_commands.cc
int Check(const Context& context, const Words& files);
int Publish(const Context& context, const Words& files);

// plan_commands.cc
int MakeAndShowPlan(const Context& context, const Words& files);
int Confirm(const Context& context, const Words& files);
int Drain(const Context& context, const Words& words);

// view_commands.cc
int Explain(const Context& context, const Words& words);
int Watch(const Context& context, const Words& words);
int Status(const Context& context, const Words& words);
int Top(const Context& context, const Words& words);

// request_command.cc
int Request(const Context& context, const Words& words);

}  // namespace keelbridge::cli

#endif  // KEELBRIDGE_CLI_COMMAND_LIST_H_
