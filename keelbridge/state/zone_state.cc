#include "keelbridge/state/zone_state.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

// A repeated confirmation of a plan is recognized for this many later plans.
constexpr size_t kMaxPlanOutcomes = 256;

Json::Int64 Int(int64_t v) { return static_cast<Json::Int64>(v); }

Json::Value SetToJson(const std::set<std::string>& names) {
  Json::Value out(Json::arrayValue);
  for (const std::string& name : names) out.append(name);
  return out;
}

}  // namespace

void IndexRanges::Insert(int64_t index) {
  if (Contains(index)) return;
  int64_t first = index;
  int64_t last = index;
  auto next = ranges_.upper_bound(index);
  if (next != ranges_.end() && next->first == index + 1) {
    last = next->second;
    next = ranges_.erase(next);
  }
  if (next != ranges_.begin() && std::prev(next)->second == index - 1) {
    first = std::prev(next)->first;
  }
  ranges_[first] = last;
}

bool IndexRanges::Contains(int64_t index) const {
  const auto next = ranges_.upper_bound(index);
  return next != ranges_.begin() && std::prev(next)->second >= index;
}

int64_t IndexRanges::Count() const {
  int64_t count = 0;
  for (const auto& [first, last] : ranges_) count += last - first + 1;
  return count;
}

std::string IndexRanges::ToText() const {
  std::string out;
  for (const auto& [first, last] : ranges_) {
    if (!out.empty()) out += ',';
    absl::StrAppend(&out, first);
    if (last != first) absl::StrAppend(&out, "-", last);
  }
  return out;
}

IndexRanges IndexRanges::FromText(const std::string& text) {
  IndexRanges out;
  for (const auto part : absl::StrSplit(text, ',', absl::SkipEmpty())) {
    const std::vector<std::string> ends = absl::StrSplit(part, '-');
    int64_t first = 0;
    int64_t last = 0;
    if (!absl::SimpleAtoi(ends.front(), &first) ||
        !absl::SimpleAtoi(ends.back(), &last))
      continue;
    out.ranges_[first] = last;
  }
  return out;
}

std::string TaskName(const std::string& intent, int64_t index) {
  return absl::StrCat(intent, "/", index);
}

bool SplitTaskName(const std::string& task, std::string* intent,
                   int64_t* index) {
  const size_t slash = task.rfind('/');
  if (slash == std::string::npos) return false;
  *intent = task.substr(0, slash);
  return absl::SimpleAtoi(task.substr(slash + 1), index) && *index >= 0;
}

bool ZoneState::Apply(int64_t offset, const Envelope& envelope) {
  next_offset_ = offset + 1;
  if (!writers_.Accept(envelope.id, offset)) return false;
  for (const LogEntry& entry : envelope.entries) ApplyEntry(offset, entry);
  return true;
}

void ZoneState::ApplyEntry(int64_t offset, const LogEntry& entry) {
  if (const auto* leader = std::get_if<LeaderEntry>(&entry)) {
    if (leader->epoch <= epoch_) return;
    epoch_ = leader->epoch;
    leader_ = leader->scheduler;
  } else if (const auto* plan = std::get_if<PlanEntry>(&entry)) {
    ApplyPlan(offset, *plan);
  } else if (const auto* ended = std::get_if<TaskEndedEntry>(&entry)) {
    // The end of a task is valid whichever leader reports it, so entries of
    // earlier epochs count too.
    ApplyEnded(*ended);
  } else if (const auto* start = std::get_if<StartClaimEntry>(&entry)) {
    if (start->epoch >= epoch_)
      claimed_attempts_.emplace(start->task, start->attempt);
  } else if (const auto* release = std::get_if<StartReleaseEntry>(&entry)) {
    const auto it = claimed_attempts_.find(release->task);
    if (it != claimed_attempts_.end() && it->second == release->attempt)
      claimed_attempts_.erase(it);
  }
}

void ZoneState::ApplyPlan(int64_t offset, const PlanEntry& entry) {
  if (GetPlanOutcome(entry.plan) == PlanOutcome::kConfirmed) return;
  if (entry.base != last_plan_)
    return RecordPlanOutcome(entry.plan, PlanOutcome::kStale);
  last_plan_ = offset;
  RecordPlanOutcome(entry.plan, PlanOutcome::kConfirmed);
  for (const Intent& intent : entry.intents) ApplyIntent(offset, intent);
}

void ZoneState::ApplyIntent(int64_t offset, const Intent& intent) {
  const auto subject = work_.find(intent.subject);
  switch (intent.kind) {
    case IntentKind::kService:
    case IntentKind::kBatch:
      // An id that is in use keeps its first intent. Plans that use such an id
      // again are refused before they are confirmed.
      work_.emplace(intent.id, WorkRecord{intent, offset, {}, {}});
      break;
    case IntentKind::kDrainHost:
      drained_hosts_.insert(intent.subject);
      break;
    case IntentKind::kDrainTarget:
      drained_targets_.insert(intent.subject);
      break;
    case IntentKind::kCancel:
      if (subject != work_.end()) work_.erase(subject);
      drained_hosts_.erase(intent.subject);
      drained_targets_.erase(intent.subject);
      break;
    case IntentKind::kResize:
      if (subject != work_.end()) subject->second.intent.tasks = intent.tasks;
      break;
    case IntentKind::kPriority:
      if (subject != work_.end())
        subject->second.intent.work_class = intent.work_class;
      break;
  }
}

void ZoneState::ApplyEnded(const TaskEndedEntry& entry) {
  std::string intent;
  int64_t index = 0;
  if (!SplitTaskName(entry.task, &intent, &index)) return;
  claimed_attempts_.erase(entry.task);
  ended_.push_back(entry.task);
  const auto it = work_.find(intent);
  if (it == work_.end() || it->second.intent.kind == IntentKind::kService)
    return;
  it->second.ended.Insert(index);
  if (entry.outcome == "unknown") it->second.unknown.Insert(index);
  // A batch whose tasks have all ended is forgotten, unless an operator must
  // check the tasks of unknown outcome.
  if (it->second.ended.Count() >= it->second.intent.tasks &&
      it->second.unknown.Count() == 0)
    work_.erase(it);
}

int64_t ZoneState::ClaimedAttempt(const std::string& task) const {
  const auto it = claimed_attempts_.find(task);
  return it == claimed_attempts_.end() ? 0 : it->second;
}

ZoneState::PlanOutcome ZoneState::GetPlanOutcome(
    const std::string& plan) const {
  for (const auto& [id, plan_outcome] : plan_outcomes_) {
    if (id == plan) return plan_outcome;
  }
  return PlanOutcome::kUnknown;
}

void ZoneState::RecordPlanOutcome(const std::string& plan,
                                  PlanOutcome plan_outcome) {
  plan_outcomes_.emplace_back(plan, plan_outcome);
  if (plan_outcomes_.size() > kMaxPlanOutcomes) plan_outcomes_.pop_front();
}

std::string ZoneState::Snapshot() const {
  Json::Value out;
  out["next_offset"] = Int(next_offset_);
  out["last_plan"] = Int(last_plan_);
  out["epoch"] = Int(epoch_);
  out["leader"] = leader_;
  out["drained_hosts"] = SetToJson(drained_hosts_);
  out["drained_targets"] = SetToJson(drained_targets_);
  for (const auto& [id, record] : work_) {
    Json::Value row;
    row["intent"] = ToJson(record.intent);
    row["confirmed_at"] = Int(record.confirmed_at);
    row["ended"] = record.ended.ToText();
    row["unknown"] = record.unknown.ToText();
    out["work"].append(row);
  }
  for (const auto& [task, attempt] : claimed_attempts_)
    out["once"][task] = Int(attempt);
  for (const auto& [plan, plan_outcome] : plan_outcomes_) {
    Json::Value row;
    row["plan"] = plan;
    row["fate"] = static_cast<int>(plan_outcome);
    out["plan_fates"].append(row);
  }
  for (const auto& [incarnation, writer] : writers_.writers()) {
    Json::Value row;
    row["incarnation"] = static_cast<Json::UInt64>(incarnation);
    row["sequence"] = Int(writer.sequence);
    row["offset"] = Int(writer.offset);
    out["writers"].append(row);
  }
  return ToJsonText(out);
}

Result<ZoneState> ZoneState::Restore(const std::string& text) {
  const JsonDocument document = JsonDocument::Parse(text, "snapshot");
  if (!document.faults().empty()) return document.FaultError();
  const Json::Value& in = document.root();
  ZoneState out;
  try {
    out.next_offset_ = in["next_offset"].asInt64();
    out.last_plan_ = in["last_plan"].asInt64();
    out.epoch_ = in["epoch"].asInt64();
    out.leader_ = in["leader"].asString();
    for (const Json::Value& name : in["drained_hosts"])
      out.drained_hosts_.insert(name.asString());
    for (const Json::Value& name : in["drained_targets"])
      out.drained_targets_.insert(name.asString());
    for (const Json::Value& row : in["work"]) {
      Intent intent = IntentFromJson(row["intent"]);
      const std::string id = intent.id;
      out.work_.emplace(
          id, WorkRecord{std::move(intent), row["confirmed_at"].asInt64(),
                         IndexRanges::FromText(row["ended"].asString()),
                         IndexRanges::FromText(row["unknown"].asString())});
    }
    for (const std::string& task : in["once"].getMemberNames())
      out.claimed_attempts_[task] = in["once"][task].asInt64();
    for (const Json::Value& row : in["plan_fates"]) {
      const auto plan_outcome =
          static_cast<PlanOutcome>(std::clamp(row["fate"].asInt(), 0, 2));
      out.plan_outcomes_.emplace_back(row["plan"].asString(), plan_outcome);
    }
    for (const Json::Value& row : in["writers"]) {
      out.writers_.Restore(
          row["incarnation"].asUInt64(),
          {row["sequence"].asInt64(), row["offset"].asInt64()});
    }
  } catch (const Json::Exception& e) {
    return MakeError(ErrorCode::kInvalid, absl::StrCat("snapshot: ", e.what()));
  }
  return out;
}

}  // namespace keelbridge
