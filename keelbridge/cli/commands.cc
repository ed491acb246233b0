#include "keelbridge/cli/commands.h"

#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <optional>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/cli/job_story.h"
#include "keelbridge/daemon/node_settings.h"
#include "keelbridge/daemon/settings.h"
#include "keelbridge/protocol/configuration.h"
#include "keelbridge/protocol/intent.h"
#include "keelbridge/protocol/platform_clients.h"
#include "keelbridge/protocol/verdict.h"
#include "keelbridge/state/configuration_state.h"
#include "keelbridge/transport/rpc_client.h"

namespace keelbridge::cli {
namespace {

constexpr int kMilliPerCore = 1000;
constexpr int kMibPerGib = 1024;

// What every command works with.
struct Context {
  const Options& options;
  std::ostream& out;
  std::ostream& err;
};

int ExitCodeOf(const Error& error) {
  switch (error.code) {
    case ErrorCode::kInvalid:
    case ErrorCode::kNotFound:
      return kExitBadInput;
    case ErrorCode::kStale:
    case ErrorCode::kConflict:
      return kExitStale;
    case ErrorCode::kUnknown:
      return kExitMayHaveRun;
    default:
      return kExitUnavailable;
  }
}

int Fail(const Context& context, const Error& error) {
  context.err << error.message << "\n";
  if (error.retry_after > absl::ZeroDuration()) {
    context.err << "try again in " << absl::FormatDuration(error.retry_after)
                << "\n";
  }
  return ExitCodeOf(error);
}

int UsageFault(const Context& context, const std::string& what) {
  context.err << what << "\nSee keelbridge --help.\n";
  return kExitBadInput;
}

void PrintJson(const Context& context, const Json::Value& value) {
  context.out << ToJsonText(value) << "\n";
}

Result<Json::Value> CallOne(const std::string& address,
                            const std::string& method,
                            const Json::Value& params, absl::Duration timeout) {
  Result<Address> parsed = ParseAddress(address);
  if (!parsed) return parsed.error();
  RpcClient client(parsed.value());
  const Span span("cli." + method, TraceContext());
  return client.Call(method, params, timeout, span.context());
}

// Asks the schedulers in turn until one can answer. Anything but "cannot now"
// is an answer.
Result<Json::Value> CallScheduler(const Context& context,
                                  const std::string& method,
                                  const Json::Value& params) {
  if (context.options.schedulers.empty()) {
    return MakeError(ErrorCode::kInvalid,
                     "no scheduler given; name those of the zone with "
                     "--scheduler=IP:PORT,IP:PORT");
  }
  const absl::Time most = SystemNow().mono + context.options.timeout;
  Error last;
  while (true) {
    for (const std::string& address : context.options.schedulers) {
      Result<Json::Value> answer =
          CallOne(address, method, params, context.options.timeout);
      if (answer || answer.error().code != ErrorCode::kUnavailable)
        return answer;
      last = answer.error();
    }
    if (SystemNow().mono >= most) return last;
    absl::SleepFor(absl::Milliseconds(200));
  }
}

// check

int Check(const Context& context, const std::vector<std::string>& files) {
  if (files.empty())
    return UsageFault(context,
                      "check FILE...: settings, configurations and intents");
  int exit_code = kExitOk;
  for (const std::string& file : files) {
    Result<std::string> text = ReadFile(file);
    if (!text) {
      exit_code = Fail(context, text.error());
      continue;
    }
    const JsonDocument document = JsonDocument::Parse(text.value(), file);
    std::optional<Error> error;
    std::string kind;
    if (document.root().isMember("intents")) {
      kind = "intents";
      if (auto read = ParseIntents(text.value(), file); !read)
        error = read.error();
    } else if (document.root().isMember("deployment")) {
      kind = "configuration";
      if (auto read = ParseConfiguration(text.value(), file); !read)
        error = read.error();
    } else if (document.root().isMember("client_listen")) {
      kind = "node settings";
      if (auto read = ParseNodeSettings(text.value(), file); !read)
        error = read.error();
    } else {
      kind = "settings";
      if (auto read = ParseSettings(text.value(), file); !read)
        error = read.error();
    }
    if (error) {
      exit_code = Fail(context, *error);
    } else {
      context.out << file << ": good " << kind << "\n";
    }
  }
  return exit_code;
}

// publish

// Reads the whole stream; false when the log does not answer.
bool ReadConfiguration(LogClient& log, absl::Duration timeout,
                       ConfigurationState& state) {
  while (true) {
    Result<LogBatch> batch =
        log.Read(kConfigurationStream, state.next(), timeout);
    if (!batch) return false;
    const bool end = batch.value().records.empty();
    state.OnBatch(batch.value());
    if (state.CaughtUp() || end) return true;
  }
}

// The slowest of the configuration's entry hosts to have `version` in force, or
// nothing when time ran out.
std::optional<absl::Duration> WaitInForce(const Context& context,
                                          const Configuration& configuration,
                                          int64_t version) {
  const absl::Time start = SystemNow().mono;
  const Json::Value none(Json::objectValue);
  for (const EntryHostConfig& host : configuration.entry_hosts) {
    for (const std::string& address : {host.gateway, host.scheduler}) {
      while (true) {
        Result<Json::Value> status =
            CallOne(address, "status", none, absl::Seconds(1));
        if (status &&
            status.value()["configuration_version"].asInt64() >= version)
          break;
        if (SystemNow().mono - start > context.options.timeout)
          return std::nullopt;
        absl::SleepFor(absl::Milliseconds(50));
      }
    }
  }
  return SystemNow().mono - start;
}

int Publish(const Context& context, const std::vector<std::string>& files) {
  if (files.size() != 1) return UsageFault(context, "publish FILE");
  Result<std::string> text = ReadFile(files[0]);
  if (!text) return Fail(context, text.error());
  Result<Configuration> configuration =
      ParseConfiguration(text.value(), files[0]);
  if (!configuration) return Fail(context, configuration.error());
  Result<Address> address = ParseAddress(context.options.log);
  if (!address) return Fail(context, address.error());
  LogClient log(address.value());
  ConfigurationState state;
  if (!ReadConfiguration(log, context.options.timeout, state)) {
    return Fail(context,
                MakeError(ErrorCode::kUnavailable,
                          "the log does not answer; nothing was published",
                          absl::Seconds(5)));
  }
  std::string why;
  if (state.current().version >= 0 &&
      !MajoritiesOverlap(state.current(), configuration.value(), &why)) {
    return Fail(context, MakeError(ErrorCode::kInvalid, why));
  }
  const Envelope envelope{
      {RandomId() >> 1, 1},
      {ConfigurationEntry{state.current().version, -1, text.value()}}};
  const std::string record = EnvelopeToText(envelope);
  // The same envelope again after a lost answer: readers take the first.
  Result<int64_t> offset =
      log.Append(kConfigurationStream, record, context.options.timeout);
  for (int i = 0; !offset && i < 3; ++i)
    offset = log.Append(kConfigurationStream, record, context.options.timeout);
  if (!offset) {
    return Fail(
        context,
        MakeError(
            ErrorCode::kUnknown,
            "the log's answers were lost; it may be published; publish again, "
            "which is refused if the first took effect",
            absl::Seconds(5)));
  }
  if (!ReadConfiguration(log, context.options.timeout, state)) {
    return Fail(
        context,
        MakeError(
            ErrorCode::kUnknown,
            "appended, but the log does not answer a read; ask with status"));
  }
  if (state.current().text != text.value()) {
    return Fail(
        context,
        MakeError(ErrorCode::kStale,
                  absl::StrCat("another operator published first: version ",
                               state.current().version,
                               " is in force; look at it, "
                               "then publish again")));
  }
  const int64_t version = state.current().version;
  context.out << "accepted as version " << version << "\n";
  const std::optional<absl::Duration> wait =
      WaitInForce(context, configuration.value(), version);
  if (!wait) {
    context.out << "not yet in force on every entry host; see status\n";
    return kExitUnavailable;
  }
  context.out << "in force on " << configuration.value().entry_hosts.size()
              << " entry hosts after "
              << absl::FormatDuration(absl::Floor(*wait, absl::Milliseconds(1)))
              << "\n";
  return kExitOk;
}

// plan, confirm, drain

void PrintPlan(const Context& context, const Plan& plan) {
  context.out << "plan " << plan.id << " for zone " << plan.zone
              << ", on the state after plan " << plan.base << "\n";
  context.out << absl::StrFormat("  %-12s %-22s %7s %10s  %s\n", "what",
                                 "intent", "tasks", "starts in", "detail");
  for (const PlanStep& step : plan.steps) {
    context.out << absl::StrFormat(
        "  %-12s %-22s %7d %9.1fs  %s\n", step.what, step.intent, step.tasks,
        static_cast<double>(step.start_in_ms) / 1000, step.detail);
  }
  for (const std::string& line : plan.risks)
    context.out << "  at risk: " << line << "\n";
  for (const std::string& line : plan.weighed)
    context.out << "  weighed: " << line << "\n";
  for (const std::string& line : plan.quotas)
    context.out << "  share:   " << line << "\n";
  context.out << "Nothing has changed yet.\n";
}

Result<Plan> AskForPlan(const Context& context,
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

int MakeAndShowPlan(const Context& context,
                    const std::vector<std::string>& files) {
  if (files.size() != 1) return UsageFault(context, "plan FILE [--out=PLAN]");
  Result<std::string> text = ReadFile(files[0]);
  if (!text) return Fail(context, text.error());
  Result<std::vector<Intent>> intents = ParseIntents(text.value(), files[0]);
  if (!intents) return Fail(context, intents.error());
  Result<Plan> plan = AskForPlan(context, intents.value());
  if (!plan) return Fail(context, plan.error());
  return ShowPlan(context, plan.value());
}

int ConfirmPlan(const Context& context, const Json::Value& plan) {
  Json::Value params;
  params["plan"] = plan;
  Result<Json::Value> answer = CallScheduler(context, "confirm", params);
  if (!answer) return Fail(context, answer.error());
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

int Confirm(const Context& context, const std::vector<std::string>& files) {
  if (files.size() != 1)
    return UsageFault(context, "confirm PLAN, a file that `plan --out` wrote");
  Result<std::string> text = ReadFile(files[0]);
  if (!text) return Fail(context, text.error());
  const JsonDocument document = JsonDocument::Parse(text.value(), files[0]);
  if (!document.faults().empty()) return Fail(context, document.FaultError());
  if (!document.root().isMember("base"))
    return UsageFault(context, files[0] + " holds no plan");
  return ConfirmPlan(context, document.root());
}

int Drain(const Context& context, const std::vector<std::string>& words) {
  if (words.size() != 2 || (words[0] != "host" && words[0] != "target")) {
    return UsageFault(context, "drain host|target NAME --zone=ZONE [--yes]");
  }
  Intent intent;
  intent.id = "drain-" + words[1];
  intent.kind =
      words[0] == "host" ? IntentKind::kDrainHost : IntentKind::kDrainTarget;
  intent.zone = context.options.zone;
  intent.subject = words[1];
  Result<Plan> plan = AskForPlan(context, {intent});
  if (!plan) return Fail(context, plan.error());
  ShowPlan(context, plan.value());
  return context.options.yes ? ConfirmPlan(context, ToJson(plan.value()))
                             : kExitOk;
}

// explain, watch, status, top

// One job's way, from log files or standard input.
int ExplainJob(const Context& context, JobId job,
               const std::vector<std::string>& files) {
  JobStory story(job);
  const auto add_all = [&story](std::istream& in) {
    std::string line;
    while (std::getline(in, line)) story.AddLine(line);
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
  if (!story.found()) {
    context.err << "no line names job " << JobIdText(job)
                << "; give the logs of all nodes\n";
    return kExitBadInput;
  }
  context.out << story.Text();
  return kExitOk;
}

int Explain(const Context& context, const std::vector<std::string>& words) {
  JobId job = 0;
  if (!words.empty() && ParseJobId(words[0], &job))
    return ExplainJob(context, job,
                      std::vector<std::string>(words.begin() + 1, words.end()));
  if (words.size() != 1)
    return UsageFault(context,
                      "explain INTENT/NUMBER, or explain JOB [LOG...]");
  Json::Value params;
  params["task"] = words[0];
  Result<Json::Value> answer = CallScheduler(context, "explain", params);
  if (!answer) return Fail(context, answer.error());
  if (context.options.json) {
    PrintJson(context, answer.value());
  } else {
    context.out << words[0] << ": " << answer.value()["text"].asString()
                << "\n";
  }
  return kExitOk;
}

int Watch(const Context& context, const std::vector<std::string>& words) {
  if (!words.empty()) return UsageFault(context, "watch [--follow]");
  Json::Value params;
  params["after"] = 0;
  do {
    Result<Json::Value> answer = CallScheduler(context, "watch", params);
    if (!answer) return Fail(context, answer.error());
    for (const Json::Value& line : answer.value()["lines"])
      context.out << line.asString() << "\n";
    context.out.flush();
    params["after"] = answer.value()["next"];
    if (context.options.follow) absl::SleepFor(absl::Milliseconds(500));
  } while (context.options.follow);
  return kExitOk;
}

int Status(const Context& context, const std::vector<std::string>& words) {
  std::vector<std::string> addresses =
      words.empty() ? context.options.schedulers : words;
  if (words.empty() && !context.options.gateway.empty())
    addresses.push_back(context.options.gateway);
  if (addresses.empty())
    return UsageFault(context,
                      "status [ADDRESS...], or with --scheduler or --gateway");
  int exit_code = kExitOk;
  for (const std::string& address : addresses) {
    Result<Json::Value> status =
        CallOne(address, "status", Json::objectValue, context.options.timeout);
    if (!status) {
      exit_code = Fail(context, status.error());
      continue;
    }
    if (context.options.json) {
      PrintJson(context, status.value());
      continue;
    }
    const Json::Value& s = status.value();
    context.out << absl::StrFormat(
        "%-14s %-8s %-9s configuration %d, log %s\n", s["name"].asString(),
        s["zone"].asString(), s["role"].asString(),
        s["configuration_version"].asInt64(),
        s["log_answers"].asBool() ? "answers" : "is away");
    if (!s.isMember("epoch")) continue;
    context.out << absl::StrFormat(
        "  epoch %d, %d tasks running, %d waiting, %d starts, %d of them "
        "again\n",
        s["epoch"].asInt64(), s["tasks_running"].asInt64(),
        s["tasks_waiting"].asInt64(), s["starts"].asInt64(),
        s["restarts"].asInt64());
    for (const Json::Value& row : s["work"]) {
      context.out << absl::StrFormat(
          "  %-22s %-8s %-12s %-12s %d tasks, %d ended, %d unknown\n",
          row["intent"].asString(), row["kind"].asString(),
          row["class"].asString(), row["team"].asString(),
          row["tasks"].asInt64(), row["ended"].asInt64(),
          row["unknown"].asInt64());
    }
  }
  return exit_code;
}

int Top(const Context& context, const std::vector<std::string>& words) {
  if (!words.empty()) return UsageFault(context, "top");
  Result<Json::Value> answer = CallScheduler(context, "top", Json::objectValue);
  if (!answer) return Fail(context, answer.error());
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

// request

Result<std::string> NewTicket(HttpClient& gateway, absl::Duration timeout) {
  const HttpOutcome outcome = gateway.Send(
      {"POST", "/keelbridge/ticket", {}, "", "application/json"}, timeout);
  if (!outcome.response || outcome.response->status != 201) {
    return MakeError(ErrorCode::kUnavailable,
                     "the gateway gave no ticket; nothing was sent");
  }
  return JsonDocument::Parse(outcome.response->body, "ticket")
      .root()["ticket"]
      .asString();
}

int Request(const Context& context, const std::vector<std::string>& words) {
  if (words.size() != 1 || words[0][0] != '/')
    return UsageFault(context, "request /SERVICE/PATH --gateway=IP:PORT");
  Result<Address> address = ParseAddress(context.options.gateway);
  if (!address) return Fail(context, address.error());
  HttpClient gateway(address.value(), HttpClient::Options());
  const Span span("cli.request", TraceContext());
  HttpRequest request{
      context.options.method, words[0], {}, context.options.body, "text/plain"};
  request.headers.emplace_back("traceparent", span.context().ToHeader());
  if (!context.options.key.empty())
    request.headers.emplace_back(kIdempotencyKeyHeader, context.options.key);
  std::string ticket = context.options.ticket;
  if (ticket == "new") {
    Result<std::string> fresh = NewTicket(gateway, context.options.timeout);
    if (!fresh) return Fail(context, fresh.error());
    ticket = fresh.value();
  }
  if (!ticket.empty()) request.headers.emplace_back(kTicketHeader, ticket);
  const HttpOutcome outcome = gateway.Send(request, context.options.timeout);
  if (!outcome.response) {
    const Verdict verdict = VerdictOfFailure(outcome.failure);
    context.out << "no answer: " << VerdictName(verdict) << " ("
                << outcome.message << ")\n";
    return verdict == Verdict::kDidNotRun ? kExitUnavailable : kExitMayHaveRun;
  }
  const std::string verdict =
      FindHeader(outcome.response->headers, kVerdictHeader);
  if (context.options.json) {
    Json::Value line;
    line["status"] = outcome.response->status;
    line["verdict"] = verdict;
    line["body"] = outcome.response->body;
    if (!ticket.empty()) line["ticket"] = ticket;
    PrintJson(context, line);
  } else {
    context.out << outcome.response->status << " " << verdict << ": "
                << outcome.response->body;
    if (outcome.response->body.empty() || outcome.response->body.back() != '\n')
      context.out << "\n";
    const std::string retry =
        FindHeader(outcome.response->headers, "Retry-After");
    if (!retry.empty()) context.out << "come back in " << retry << " s\n";
  }
  if (verdict == VerdictName(Verdict::kRan)) return kExitOk;
  return verdict == VerdictName(Verdict::kMayHaveRun) ? kExitMayHaveRun
                                                      : kExitUnavailable;
}

}  // namespace

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

int RunCommand(const std::vector<std::string>& words, const Options& options,
               std::ostream& out, std::ostream& err) {
  using Command =
      std::function<int(const Context&, const std::vector<std::string>&)>;
  static const auto* commands = new std::map<std::string, Command>{
      {"check", Check},     {"publish", Publish}, {"plan", MakeAndShowPlan},
      {"confirm", Confirm}, {"drain", Drain},     {"explain", Explain},
      {"watch", Watch},     {"status", Status},   {"top", Top},
      {"request", Request},
  };
  const Context context{options, out, err};
  if (words.empty()) return UsageFault(context, "no command given");
  if (words[0] == "version") {
    out << "keelbridge " << KEELBRIDGE_VERSION << "\n";
    return kExitOk;
  }
  if (words[0] == "help") {
    out << Usage() << "\n";
    return kExitOk;
  }
  const auto command = commands->find(words[0]);
  if (command == commands->end())
    return UsageFault(context,
                      absl::StrCat("there is no command \"", words[0], "\""));
  return command->second(
      context, std::vector<std::string>(words.begin() + 1, words.end()));
}

}  // namespace keelbridge::cli
