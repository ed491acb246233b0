// The commands `plan`, `confirm` and `drain`.

#include <fstream>
#include <string>
#include <vector>

#include "absl/strings/str_format.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/cli/command_list.h"
#include "keelbridge/daemon/settings.h"
#include "keelbridge/protocol/intent.h"

namespace keelbridge::cli {
namespace {

void PrintPlan(const Context& context, const Plan& plan) {
  context.out << "plan " << plan.id << " for zone " << plan.zone
              << ", on the state after plan " << plan.base << "\n";
  context.out << absl::StrFormat("  %-12s %-22s %7s %10s  %s\n", "what",
                                 "intent", "tasks", "starts in", "detail");
  for (const PlanStep& step : plan.steps) {
    context.out << absl::StrFormat(
        "  %-12s %-22s %7d %9.1fs  %s\n", step.action, step.intent, step.tasks,
        static_cast<double>(step.start_in_ms) / 1000, step.detail);
  }
  for (const std::string& line : plan.risks)
    context.out << "  at risk: " << line << "\n";
  for (const std::string& line : plan.rejected_alternatives)
    context.out << "  rejected alternative: " << line << "\n";
  for (const std::string& line : plan.quotas)
    context.out << "  share:   " << line << "\n";
  context.out << "Nothing has changed yet.\n";
}

Result<Plan> RequestPlan(const Context& context,
                         const std::vector<Intent>& intents) {
  Json::Value params;
  params["intents"] = Json::Value(Json::arrayValue);
  for (const Intent& intent : intents) params["intents"].append(ToJson(intent));
  Result<Json::Value> answer = CallScheduler(context, "plan", params);
  if (!answer) return answer.error();
  return PlanFromJson(answer.value());
}

int ShowPlan(const Context& context, const Plan& plan) {
  if (context.options.json) {
    PrintJson(context, ToJson(plan));
  } else {
    PrintPlan(context, plan);
  }
  if (!context.options.out.empty()) {
    std::ofstream(context.options.out) << ToJsonText(ToJson(plan)) << "\n";
    if (!context.options.json)
      context.out << "Confirm it with: keelbridge confirm "
                  << context.options.out << "\n";
  }
  return kExitOk;
}

int ConfirmPlan(const Context& context, const Json::Value& plan) {
  Json::Value params;
  params["plan"] = plan;
  Result<Json::Value> answer = CallScheduler(context, "confirm", params);
  if (!answer) return ReportError(context, answer.error());
  if (context.options.json) PrintJson(context, answer.value());
  if (answer.value().isMember("confirmed")) {
    if (!context.options.json)
      context.out << "confirmed: " << answer.value()["confirmed"].asString()
                  << "\n";
    return kExitOk;
  }
  if (!context.options.json) {
    context.out << "refused as stale: " << answer.value()["stale"].asString()
                << "\n";
    if (answer.value().isMember("fresh")) {
      context.out << "A fresh plan for the same intents:\n";
      ShowPlan(context, PlanFromJson(answer.value()["fresh"]));
    }
  }
  return kExitStale;
}

}  // namespace

int MakeAndShowPlan(const Context& context, const Arguments& files) {
  if (files.size() != 1)
    return ReportUsageError(context, "plan FILE [--out=PLAN]");
  Result<std::string> text = ReadFile(files[0]);
  if (!text) return ReportError(context, text.error());
  Result<std::vector<Intent>> intents = ParseIntents(text.value(), files[0]);
  if (!intents) return ReportError(context, intents.error());
  Result<Plan> plan = RequestPlan(context, intents.value());
  if (!plan) return ReportError(context, plan.error());
  return ShowPlan(context, plan.value());
}

int Confirm(const Context& context, const Arguments& files) {
  if (files.size() != 1)
    return ReportUsageError(context,
                            "confirm PLAN, a file that `plan --out` wrote");
  Result<std::string> text = ReadFile(files[0]);
  if (!text) return ReportError(context, text.error());
  const JsonDocument document = JsonDocument::Parse(text.value(), files[0]);
  if (!document.faults().empty())
    return ReportError(context, document.FaultError());
  if (!document.root().isMember("base"))
    return ReportUsageError(context, files[0] + " does not contain a plan");
  return ConfirmPlan(context, document.root());
}

int Drain(const Context& context, const Arguments& arguments) {
  if (arguments.size() != 2 ||
      (arguments[0] != "host" && arguments[0] != "target")) {
    return ReportUsageError(context,
                            "drain host|target NAME --zone=ZONE [--yes]");
  }
  Intent intent;
  intent.id = "drain-" + arguments[1];
  intent.kind = arguments[0] == "host" ? IntentKind::kDrainHost
                                       : IntentKind::kDrainTarget;
  intent.zone = context.options.zone;
  intent.subject = arguments[1];
  Result<Plan> plan = RequestPlan(context, {intent});
  if (!plan) return ReportError(context, plan.error());
  ShowPlan(context, plan.value());
  return context.options.yes ? ConfirmPlan(context, ToJson(plan.value()))
                             : kExitOk;
}

}  // namespace keelbridge::cli
