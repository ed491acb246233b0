#include "keelbridge/daemon/node_messages.h"

#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/order_messages.h"
#include "keelbridge/estimation/run_durations.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kMaxReportedAge = absl::Hours(1);

Json::Value ToJson(const Caller& caller) {
  Json::Value out(Json::objectValue);
  if (!caller.key.empty()) out["key"] = caller.key;
  if (!caller.account.empty()) out["account"] = caller.account;
  out["version"] = Json::Int64(caller.configuration_version);
  if (caller.queue_allows_anonymous) out["anonymous"] = true;
  return out;
}

// Throws `Json::Exception` where a field has the wrong type.
void ReadCaller(const Json::Value& in, Caller* out) {
  out->key = in["key"].asString();
  out->account = in["account"].asString();
  out->configuration_version = in["version"].asInt64();
  out->queue_allows_anonymous = in["anonymous"].asBool();
}

// Throws `Json::Exception` where a field has the wrong type.
Result<ClientCall> ReadClientCall(const Json::Value& in) {
  const int kind = in["kind"].isInt() ? in["kind"].asInt() : -1;
  if (kind < 0 || kind > static_cast<int>(ClientCallKind::kWaiting))
    return MakeError(ErrorCode::kInvalid, "no such kind of call");
  ClientCall call;
  call.kind = static_cast<ClientCallKind>(kind);
  call.queue = in["queue"].asString();
  if (!ParseJobId(in["job"].asString(), &call.job))
    return MakeError(ErrorCode::kInvalid, "the call names no job");
  ReadCaller(in["caller"], &call.caller);
  if (call.kind != ClientCallKind::kSubmit) return call;
  call.spec = JobSpecFromJson(in["spec"]);
  if (auto checked = CheckJobSpec(call.spec); !checked) return checked.error();
  return call;
}

// Throws `Json::Exception` where a field has the wrong type.
ClientReply ReadClientReply(const Json::Value& in) {
  ClientReply reply;
  // A missing answer must not be read as the enumerator 0, "accepted".
  const int answer = in["answer"].isInt() ? in["answer"].asInt() : -1;
  if (answer < 0 || answer > static_cast<int>(ClientAnswer::kConflict))
    return reply;
  reply.state = in["state"].asString();
  reply.waiting = in["waiting"].asInt64();
  reply.message = in["message"].asString();
  reply.retry_after = absl::Milliseconds(in["retry_after_ms"].asInt64());
  reply.answer = static_cast<ClientAnswer>(answer);
  return reply;
}

// Throws `Json::Exception` where a field has the wrong type.
AdviceReply ReadAdviceReply(const Json::Value& in) {
  AdviceReply reply;
  reply.answered = in["answered"].asBool();
  reply.overloaded = in["overloaded"].asBool();
  for (const Json::Value& row : in["good"])
    reply.eligible.push_back({row[0].asString(), row[1].asString()});
  return reply;
}

Json::Value ToJson(const WorkerHandover& worker) {
  Json::Value out(Json::objectValue);
  out["worker"] = worker.worker;
  out["ends"] = Json::Value(Json::arrayValue);
  for (const EndedTask& end : worker.ends) out["ends"].append(ToRow(end));
  if (worker.lease_left) out["lease_left_ms"] = AgeToJson(*worker.lease_left);
  if (!worker.remaining_known) return out;
  out["remaining"] = Json::Value(Json::arrayValue);
  for (const TaskId& task : worker.remaining)
    out["remaining"].append(TaskIdText(task));
  return out;
}

// Throws `Json::Exception` where a field has the wrong type.
std::optional<WorkerHandover> ReadWorkerHandover(const Json::Value& in) {
  WorkerHandover worker;
  worker.worker = in["worker"].asString();
  if (worker.worker.empty() || !in["ends"].isArray()) return std::nullopt;
  for (const Json::Value& row : in["ends"]) {
    std::optional<EndedTask> end = EndFromRow(row);
    if (!end) return std::nullopt;
    worker.ends.push_back(*std::move(end));
  }
  if (in.isMember("lease_left_ms")) {
    const int64_t left_ms = in["lease_left_ms"].asInt64();
    if (left_ms < 0) return std::nullopt;
    worker.lease_left = absl::Milliseconds(left_ms);
  }
  if (!in.isMember("remaining")) return worker;
  // A worker whose remaining tasks cannot be read must not be mistaken for one
  // on which nothing runs.
  if (!in["remaining"].isArray()) return std::nullopt;
  worker.remaining_known = true;
  for (const Json::Value& text : in["remaining"]) {
    TaskId task;
    if (!ParseTaskId(text.asString(), &task)) return std::nullopt;
    worker.remaining.push_back(task);
  }
  return worker;
}

Json::Value ToJson(const DurationSums& sums) {
  Json::Value out(Json::arrayValue);
  for (const double sum : {sums.n, sums.x, sums.y, sums.xx, sums.xy, sums.yy})
    out.append(sum);
  return out;
}

Json::Value ToJson(const QueueDurations& durations) {
  Json::Value out(Json::objectValue);
  out["queue"] = durations.queue;
  if (durations.run.n > 0) out["run"] = ToJson(durations.run);
  if (durations.step.n > 0) out["step"] = ToJson(durations.step);
  return out;
}

// Leaves `out` unchanged and returns false if `in` is malformed.
bool ReadDurationSums(const Json::Value& in, DurationSums* out) {
  DurationSums sums;
  Json::ArrayIndex at = 0;
  if (!in.isArray() || in.size() != 6) return false;
  for (double* sum :
       {&sums.n, &sums.x, &sums.y, &sums.xx, &sums.xy, &sums.yy}) {
    if (!in[at].isNumeric()) return false;
    *sum = in[at++].asDouble();
  }
  if (!DurationModel::AreValid(sums)) return false;
  *out = sums;
  return true;
}

// What was learned costs nobody a task, so malformed fields are ignored one by
// one, while the rest of the handover is used.
std::vector<QueueDurations> ReadDurations(const Json::Value& in) {
  std::vector<QueueDurations> out;
  const auto ignore = [](const std::string& field) {
    LogEvent(Severity::kWarning, "handover_field_ignored", {{"field", field}});
  };
  if (in.isNull()) return out;
  if (!in.isArray()) {
    ignore("durations");
    return out;
  }
  for (Json::ArrayIndex i = 0; i < in.size(); ++i) {
    const std::string name = absl::StrCat("durations[", i, "]");
    if (i >= kMaxHandedOverQueues) {
      ignore(absl::StrCat(name, " and later"));
      break;
    }
    const Json::Value& item = in[i];
    if (!item.isObject() || !item["queue"].isString()) {
      ignore(name);
      continue;
    }
    QueueDurations one;
    one.queue = item["queue"].asString();
    if (item.isMember("run") && !ReadDurationSums(item["run"], &one.run))
      ignore(absl::StrCat(name, ".run"));
    if (item.isMember("step") && !ReadDurationSums(item["step"], &one.step))
      ignore(absl::StrCat(name, ".step"));
    if (one.run.n > 0 || one.step.n > 0) out.push_back(std::move(one));
  }
  return out;
}

// Larger figures of accounts (jobs, tokens, or seconds of the whole site) are
// not plausible. Not below the tokens of an idle account, which has a full
// bucket (accounts/account_entitlement.cc).
constexpr double kMaxAccountFigure = 1e6;

Json::Value ToJson(const AccountsHandover& accounts) {
  Json::Value out(Json::objectValue);
  out["served_jobs"] = accounts.served_jobs;
  out["served_work"] = accounts.served_work;
  out["accounts"] = Json::Value(Json::arrayValue);
  for (const AccountHandover& account : accounts.accounts) {
    Json::Value row(Json::arrayValue);
    row.append(account.account);
    for (const double figure : {account.asked, account.received, account.jobs,
                                account.job_tokens, account.work_tokens})
      row.append(figure);
    out["accounts"].append(row);
  }
  return out;
}

// A row, because a handover may hold thousands of them.
Json::Value ToRow(const ReturnHandover& one) {
  Json::Value row(Json::arrayValue);
  row.append(JobIdText(one.job));
  row.append(Json::Int64(one.first_try_ms));
  row.append(Json::Int64(one.due_ms));
  row.append(Json::Int64(one.work));
  row.append(one.priority);
  row.append(one.promised);
  return row;
}

// Throws `Json::Exception` where a field has the wrong type.
std::optional<ReturnHandover> ReturnFromRow(const Json::Value& row) {
  if (!row.isArray() || row.size() != 6) return std::nullopt;
  ReturnHandover one;
  if (!ParseJobId(row[0].asString(), &one.job)) return std::nullopt;
  one.first_try_ms = row[1].asInt64();
  one.due_ms = row[2].asInt64();
  one.work = row[3].asInt64();
  one.priority = row[4].asInt();
  one.promised = row[5].asBool();
  return one;
}

// Leaves out rows that cannot be read: their clients become newcomers, and the
// ends of runs in the same message matter more.
std::vector<ReturnHandover> ReadReturns(const Json::Value& in) {
  std::vector<ReturnHandover> returns;
  if (in.isNull()) return returns;
  int64_t unreadable = in.isArray() ? 0 : 1;
  const Json::ArrayIndex rows = in.isArray() ? in.size() : 0;
  for (Json::ArrayIndex i = 0; i < rows; ++i) {
    if (returns.size() == kMaxReturnsHandedOver) break;
    std::optional<ReturnHandover> one;
    try {
      one = ReturnFromRow(in[i]);
    } catch (const Json::Exception&) {
      // Counted below, like every other fault.
    }
    if (one)
      returns.push_back(*one);
    else
      ++unreadable;
  }
  if (unreadable > 0)
    LogEvent(Severity::kWarning, "handover_returns_unreadable",
             {{"rows", absl::StrCat(unreadable)}});
  return returns;
}

// Returns false unless `in` is a number from `minimum` to `kMaxAccountFigure`.
bool ReadFigure(const Json::Value& in, double minimum, double* out) {
  if (!in.isNumeric()) return false;
  *out = in.asDouble();
  return std::isfinite(*out) && *out >= minimum && *out <= kMaxAccountFigure;
}

// Throws `Json::Exception` where a field has the wrong type.
std::optional<AccountHandover> ReadAccountHandover(const Json::Value& in) {
  AccountHandover account;
  if (!in.isArray() || in.size() != 6) return std::nullopt;
  account.account = in[0].asString();
  const bool read = !account.account.empty() &&
                    ReadFigure(in[1], 0, &account.asked) &&
                    ReadFigure(in[2], 0, &account.received) &&
                    ReadFigure(in[3], 0, &account.jobs) &&
                    ReadFigure(in[4], 0, &account.job_tokens) &&
                    ReadFigure(in[5], -kMaxAccountFigure, &account.work_tokens);
  if (!read) return std::nullopt;
  return account;
}

// Throws `Json::Exception` where a field has the wrong type.
std::optional<AccountsHandover> ReadAccountsHandover(const Json::Value& in) {
  AccountsHandover accounts;
  const bool read = ReadFigure(in["served_jobs"], 0, &accounts.served_jobs) &&
                    ReadFigure(in["served_work"], 0, &accounts.served_work) &&
                    in["accounts"].isArray() &&
                    in["accounts"].size() <= kMaxAccountsHandedOver;
  if (!read) return std::nullopt;
  for (const Json::Value& row : in["accounts"]) {
    std::optional<AccountHandover> account = ReadAccountHandover(row);
    if (!account) return std::nullopt;
    accounts.accounts.push_back(*std::move(account));
  }
  return accounts;
}

// The history of the accounts only saves time. The rest of a handover counts
// without it.
AccountsHandover ReadAccountsOrNone(const Json::Value& in) {
  try {
    std::optional<AccountsHandover> accounts = ReadAccountsHandover(in);
    if (accounts) return *std::move(accounts);
  } catch (const Json::Exception&) {
    // Reported below, like every other fault.
  }
  LogEvent(Severity::kWarning, "handover_accounts_unreadable", {});
  return AccountsHandover();
}

// Throws `Json::Exception` where a field has the wrong type.
std::optional<LeaderHandover> ReadLeaderHandover(const Json::Value& in) {
  LeaderHandover handover;
  handover.epoch = in["epoch"].asInt64();
  if (handover.epoch <= 0 || !in["workers"].isArray()) return std::nullopt;
  const int64_t age_ms = in["age_ms"].asInt64();
  if (age_ms < 0) return std::nullopt;
  handover.age = absl::Milliseconds(age_ms);
  for (const Json::Value& item : in["workers"]) {
    std::optional<WorkerHandover> worker = ReadWorkerHandover(item);
    if (!worker) return std::nullopt;
    handover.workers.push_back(*std::move(worker));
  }
  handover.durations = ReadDurations(in["durations"]);
  handover.returns = ReadReturns(in["returns"]);
  if (in.isMember("accounts"))
    handover.accounts = ReadAccountsOrNone(in["accounts"]);
  return handover;
}

}  // namespace

Json::Value AgeToJson(absl::Duration age) {
  const absl::Duration reported =
      absl::Ceil(std::min(age, kMaxReportedAge), absl::Milliseconds(1));
  return Json::Int64(absl::ToInt64Milliseconds(reported));
}

Json::Value ToJson(const ClientCall& call) {
  Json::Value out(Json::objectValue);
  out["kind"] = static_cast<int>(call.kind);
  out["queue"] = call.queue;
  out["job"] = JobIdText(call.job);
  out["caller"] = ToJson(call.caller);
  if (call.kind == ClientCallKind::kSubmit) out["spec"] = ToJson(call.spec);
  return out;
}

Result<ClientCall> ClientCallFromJson(const Json::Value& in) {
  try {
    return ReadClientCall(in);
  } catch (const Json::Exception& e) {
    return MakeError(ErrorCode::kInvalid, e.what());
  }
}

Json::Value ToJson(const ClientReply& reply) {
  Json::Value out(Json::objectValue);
  out["answer"] = static_cast<int>(reply.answer);
  if (!reply.state.empty()) out["state"] = reply.state;
  if (reply.waiting != 0) out["waiting"] = Json::Int64(reply.waiting);
  if (!reply.message.empty()) out["message"] = reply.message;
  out["retry_after_ms"] =
      Json::Int64(absl::ToInt64Milliseconds(reply.retry_after));
  return out;
}

ClientReply ClientReplyFromJson(const Json::Value& in) {
  try {
    return ReadClientReply(in);
  } catch (const Json::Exception&) {
    return ClientReply();
  }
}

Json::Value ToJson(const AdviceRequest& request) {
  Json::Value out(Json::objectValue);
  out["step"] = TaskIdText(request.step);
  out["workers"] = Json::Value(Json::arrayValue);
  for (const std::string& worker : request.workers)
    out["workers"].append(worker);
  return out;
}

AdviceRequest AdviceRequestFromJson(const Json::Value& in) {
  AdviceRequest request;
  ParseTaskId(in["step"].asString(), &request.step);
  for (const Json::Value& worker : in["workers"])
    request.workers.push_back(worker.asString());
  return request;
}

Json::Value ToJson(const AdviceReply& reply) {
  Json::Value out(Json::objectValue);
  out["answered"] = reply.answered;
  out["overloaded"] = reply.overloaded;
  out["good"] = Json::Value(Json::arrayValue);
  for (const AdviceTicket& ticket : reply.eligible) {
    Json::Value row(Json::arrayValue);
    row.append(ticket.worker);
    row.append(ticket.ticket);
    out["good"].append(row);
  }
  return out;
}

AdviceReply AdviceReplyFromJson(const Json::Value& in) {
  try {
    return ReadAdviceReply(in);
  } catch (const Json::Exception&) {
    return AdviceReply();
  }
}

Json::Value ToJson(const LeaderRecord& leader) {
  return JsonDocument::Parse(*ToRecord(leader).value, "leader").root();
}

LeaderRecord LeaderFromJson(const Json::Value& in) {
  const auto leader = LeaderFromRecord(Record{kLeaderKey, ToJsonText(in)});
  return leader ? *leader : LeaderRecord();
}

Json::Value ToJson(const LeaderHandover& handover) {
  Json::Value out(Json::objectValue);
  out["epoch"] = Json::Int64(handover.epoch);
  out["age_ms"] = Json::Int64(
      absl::ToInt64Milliseconds(std::min(handover.age, kMaxReportedAge)));
  out["workers"] = Json::Value(Json::arrayValue);
  for (const WorkerHandover& worker : handover.workers)
    out["workers"].append(ToJson(worker));
  if (!handover.accounts.accounts.empty())
    out["accounts"] = ToJson(handover.accounts);
  for (const QueueDurations& durations : handover.durations)
    out["durations"].append(ToJson(durations));
  if (handover.returns.empty()) return out;
  out["returns"] = Json::Value(Json::arrayValue);
  for (const ReturnHandover& one : handover.returns)
    out["returns"].append(ToRow(one));
  return out;
}

std::optional<LeaderHandover> LeaderHandoverFromJson(const Json::Value& in) {
  try {
    return ReadLeaderHandover(in);
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
}

}  // namespace keelbridge
