// The read-only commands `explain`, `watch`, `status` and `top`.

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "keelbridge/cli/command_list.h"
#include "keelbridge/cli/job_timeline.h"
#include "keelbridge/protocol/job.h"

namespace keelbridge::cli {
namespace {

constexpr int kMilliPerCore = 1000;
constexpr int kMibPerGib = 1024;
// Polling interval of `watch --follow`.
constexpr absl::Duration kWatchInterval = absl::Milliseconds(500);

// Prints the timeline of a job from log files or, without files, from standard
// input.
int ExplainJob(const Context& context, JobId job,
               const std::vector<std::string>& files) {
  JobTimeline timeline(job);
  const auto add_all = [&timeline](std::istream& in) {
    std::string line;
    while (std::getline(in, line)) timeline.AddLine(line);
  };
  for (const std::string& file : files) {
    std::ifstream in(file);
    if (!in) {
      context.err << file << ": cannot be read\n";
      return kExitBadInput;
    }
    add_all(in);
  }
  if (files.empty()) add_all(std::cin);
  if (!timeline.found()) {
    context.err << "no log line names job " << JobIdText(job)
                << "; pass the logs of all nodes\n";
    return kExitBadInput;
  }
  context.out << timeline.Text();
  return kExitOk;
}

// Prints the status of one daemon as text.
void PrintStatus(const Context& context, const Json::Value& s) {
  context.out << absl::StrFormat(
      "%-14s %-8s %-9s configuration %d, log %s\n", s["name"].asString(),
      s["zone"].asString(), s["role"].asString(),
      s["configuration_version"].asInt64(),
      s["log_answers"].asBool() ? "answers" : "is away");
  if (!s.isMember("epoch")) return;
  context.out << absl::StrFormat(
      "  epoch %d, %d tasks running, %d waiting, %d starts including "
      "%d restarts\n",
      s["epoch"].asInt64(), s["tasks_running"].asInt64(),
      s["tasks_waiting"].asInt64(), s["starts"].asInt64(),
      s["restarts"].asInt64());
  for (const Json::Value& row : s["work"]) {
    context.out << absl::StrFormat(
        "  %-22s %-8s %-12s %-12s %d tasks, %d ended, %d unknown\n",
        row["intent"].asString(), row["kind"].asString(),
        row["class"].asString(), row["team"].asString(), row["tasks"].asInt64(),
        row["ended"].asInt64(), row["unknown"].asInt64());
  }
}

}  // namespace

int Explain(const Context& context, const Arguments& arguments) {
  JobId job = 0;
  if (!arguments.empty() && ParseJobId(arguments[0], &job))
    return ExplainJob(
        context, job,
        std::vector<std::string>(arguments.begin() + 1, arguments.end()));
  if (arguments.size() != 1)
    return ReportUsageError(context,
                            "explain INTENT/NUMBER, or explain JOB [LOG...]");
  Json::Value params;
  params["task"] = arguments[0];
  Result<Json::Value> answer = CallScheduler(context, "explain", params);
  if (!answer) return ReportError(context, answer.error());
  if (context.options.json) {
    PrintJson(context, answer.value());
  } else {
    context.out << arguments[0] << ": " << answer.value()["text"].asString()
                << "\n";
  }
  return kExitOk;
}

int Watch(const Context& context, const Arguments& arguments) {
  if (!arguments.empty()) return ReportUsageError(context, "watch [--follow]");
  Json::Value params;
  params["after"] = 0;
  do {
    Result<Json::Value> answer = CallScheduler(context, "watch", params);
    if (!answer) return ReportError(context, answer.error());
    for (const Json::Value& line : answer.value()["lines"])
      context.out << line.asString() << "\n";
    context.out.flush();
    params["after"] = answer.value()["next"];
    if (context.options.follow) absl::SleepFor(kWatchInterval);
  } while (context.options.follow);
  return kExitOk;
}

int Status(const Context& context, const Arguments& arguments) {
  std::vector<std::string> addresses =
      arguments.empty() ? context.options.schedulers : arguments;
  if (arguments.empty() && !context.options.gateway.empty())
    addresses.push_back(context.options.gateway);
  if (addresses.empty())
    return ReportUsageError(
        context, "status [ADDRESS...], or with --scheduler or --gateway");
  int exit_code = kExitOk;
  for (const std::string& address : addresses) {
    Result<Json::Value> status = CallDaemon(
        address, "status", Json::objectValue, context.options.timeout);
    if (!status) {
      exit_code = ReportError(context, status.error());
      continue;
    }
    if (context.options.json) {
      PrintJson(context, status.value());
      continue;
    }
    PrintStatus(context, status.value());
  }
  return exit_code;
}

int Top(const Context& context, const Arguments& arguments) {
  if (!arguments.empty()) return ReportUsageError(context, "top");
  Result<Json::Value> answer = CallScheduler(context, "top", Json::objectValue);
  if (!answer) return ReportError(context, answer.error());
  if (context.options.json) {
    PrintJson(context, answer.value());
    return kExitOk;
  }
  const auto amounts = [](const Json::Value& used, const Json::Value& total) {
    return absl::StrFormat(
        "%5.1f/%-5.1f cores  %6.1f/%-6.1f GiB  %d/%d accelerators",
        used["cpu_milli"].asDouble() / kMilliPerCore,
        total["cpu_milli"].asDouble() / kMilliPerCore,
        used["memory_mib"].asDouble() / kMibPerGib,
        total["memory_mib"].asDouble() / kMibPerGib,
        used["accelerators"].asInt(), total["accelerators"].asInt());
  };
  for (const Json::Value& row : answer.value()["workers"]) {
    context.out << absl::StrFormat(
        "%-14s %-10s %-6s %4d tasks  %s\n", row["worker"].asString(),
        row["rack"].asString(), row["schedulable"].asBool() ? "open" : "closed",
        row["tasks"].asInt64(), amounts(row["used"], row["total"]));
  }
  for (const Json::Value& row : answer.value()["teams"]) {
    context.out << absl::StrFormat(
        "team %-14s %5.1f%% of the zone, quota %5.1f%%\n",
        row["team"].asString(), 100 * row["share"].asDouble(),
        100 * row["quota"].asDouble());
  }
  return kExitOk;
}

}  // namespace keelbridge::cli
