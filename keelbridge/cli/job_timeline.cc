#include "keelbridge/cli/job_timeline.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "keelbridge/base/json_reader.h"

namespace keelbridge::cli {
namespace {

// Shorter waits of a task are not listed among the causes.
constexpr absl::Duration kMinExplainedWait = absl::Milliseconds(500);

// Events that concern every job of the site.
const std::set<std::string>& SiteEvents() {
  static const auto* events =
      new std::set<std::string>{"term_begins",
                                "term_active",
                                "term_ended",
                                "store_lost",
                                "store_back",
                                "stood_still",
                                "leader_silent",
                                "claiming",
                                "node_started",
                                "node_draining",
                                "configuration_in_force",
                                "recovered_work_waits",
                                "recovered_work_free",
                                "handover_received"};
  return *events;
}

// Events that concern only jobs with runs on the worker named in the line.
const std::set<std::string>& WorkerEvents() {
  static const auto* events = new std::set<std::string>{
      "worker_capacity", "worker_silent",    "worker_back",
      "runs_lost",       "worker_suspected", "worker_record_removed",
      "worker_draining"};
  return *events;
}

// Returns the text of a field, or an empty string.
std::string Field(const Json::Value& fields, const char* name) {
  return fields[name].isString() ? fields[name].asString() : "";
}

// Formats the fields other than those that every line has.
std::string FormatOtherFields(const Json::Value& fields) {
  static const auto* common =
      new std::set<std::string>{"time", "severity", "process", "event", "job"};
  std::string out;
  for (const std::string& name : fields.getMemberNames()) {
    if (common->count(name) > 0) continue;
    absl::StrAppend(&out, out.empty() ? "" : ", ", name, " ",
                    Field(fields, name.c_str()));
  }
  return out;
}

// Returns a description of the line's event, or its name if it has none.
std::string DescribeEvent(const Json::Value& fields) {
  const std::string event = Field(fields, "event");
  static const auto* descriptions = new std::map<std::string, std::string>{
      {"job_taken", "handed in"},
      {"job_refused", "refused"},
      {"call_given_up", "a call was given up"},
      {"call_denied_by_leader", "the leader denied a call"},
      {"call_answered", "a call was answered"},
      {"advice_asked", "advice requested"},
      {"advice_answered", "advice received"},
      {"step_blocked", "a step could not start"},
      {"start_kept", "start recorded durably"},
      {"start_sent", "start order sent"},
      {"start_withdrawn", "start withdrawn"},
      {"start_not_done", "start not carried out"},
      {"run_adopted", "found running by a new leader"},
      {"run_ended", "run ended"},
      {"run_missing", "run is no longer on its worker"},
      {"run_lost", "run lost with its worker"},
      {"crash_held_against_task", "a crash is attributed to the task"},
      {"start_on_probation",
       "the start is on probation: nothing else starts on that worker"},
      {"run_unwanted", "an unwanted run is stopped"},
      {"run_moves", "a run is stopped because its worker leaves"},
      {"stop_sent", "stop order sent"},
      {"job_ended", "the job ended"},
      {"job_forgotten", "the ended job is no longer kept"},
      {"job_unknown", "the leader does not know the job"},
      {"store_lost", "the leader lost the store"},
      {"store_back", "the store is back"},
      {"term_begins", "a leader begins its term"},
      {"term_active", "the new leader serves"},
      {"term_ended", "a leader's term ended"},
      {"stood_still", "the leader's process stalled"},
      {"recovered_work_waits",
       "recovered work waits for an unresponsive worker"},
      {"recovered_work_free", "recovered work no longer waits for a worker"},
      {"handover_received", "an earlier leader handed over what it knew"},
      {"runs_lost", "all runs of a worker were given up"},
      {"worker_silent", "a worker is unresponsive"},
      {"worker_back", "the worker responds again"},
      {"worker_capacity", "a worker reports a different capacity"},
      {"worker_suspected",
       "a suspect worker is temporarily assigned no tasks"}};
  const auto found = descriptions->find(event);
  return found == descriptions->end() ? event : found->second;
}

// Returns the integer in `text`, or 0 if it is malformed.
int64_t ParseNumberOrZero(const std::string& text) {
  int64_t value = 0;
  return absl::SimpleAtoi(text, &value) ? value : 0;
}

// Returns the time in a log line; InfinitePast if it is malformed.
absl::Time ParseLogTime(const std::string& text) {
  absl::Time time;
  std::string error;
  return absl::ParseTime(absl::RFC3339_full, text, &time, &error)
             ? time
             : absl::InfinitePast();
}

// The latest period in which recovered work waited for a worker.
class RecoveryWait {
 public:
  void AddLine(const std::string& time, const Json::Value& fields) {
    const std::string event = Field(fields, "event");
    if (event == "recovered_work_waits") {
      worker_ = Field(fields, "last_worker");
      if (end_ < absl::InfiniteFuture()) begin_ = ParseLogTime(time);
      end_ = absl::InfiniteFuture();
    } else if (event == "recovered_work_free") {
      end_ = ParseLogTime(time);
    }
  }
  const std::string& worker() const { return worker_; }
  // Returns whether the period makes up most of a wait of length `waited` that
  // ended at `start`.
  bool Explains(const std::string& start, absl::Duration waited) const {
    const absl::Time until = ParseLogTime(start);
    const absl::Duration overlap =
        std::min(end_, until) - std::max(begin_, until - waited);
    return overlap > waited / 2;
  }

 private:
  std::string worker_;
  absl::Time begin_ = absl::InfinitePast();
  absl::Time end_ = absl::InfinitePast();
};

}  // namespace

JobTimeline::JobTimeline(JobId job) : job_(JobIdText(job)) {}

void JobTimeline::AddLine(const std::string& line) {
  const size_t begin = line.find('{');
  if (begin == std::string::npos) return;
  const bool names_job = absl::StrContains(line, job_);
  const bool may_be_event = names_job || absl::StrContains(line, "\"event\"");
  if (!may_be_event) return;
  const JsonDocument document =
      JsonDocument::Parse(line.substr(begin), "log line");
  if (!document.faults().empty()) return;
  const Json::Value& fields = document.root();
  Line out{Field(fields, "time"), Field(fields, "process"), fields};
  const std::string event = Field(fields, "event");
  if (Field(fields, "job") == job_ ||
      absl::StartsWith(Field(fields, "task"), job_)) {
    if (fields.isMember("worker")) workers_.insert(Field(fields, "worker"));
    job_lines_.push_back(std::move(out));
  } else if (SiteEvents().count(event) + WorkerEvents().count(event) > 0) {
    site_lines_.push_back(std::move(out));
  }
}

std::vector<JobTimeline::Line> JobTimeline::RelevantLines() const {
  std::vector<Line> out = job_lines_;
  const auto by_time = [](const Line& a, const Line& b) {
    return a.time < b.time;
  };
  std::stable_sort(out.begin(), out.end(), by_time);
  if (out.empty()) return out;
  const std::string from = out.front().time;
  const std::string to = out.back().time;
  for (const Line& line : site_lines_) {
    if (line.time < from || line.time > to) continue;
    const bool concerns_worker =
        WorkerEvents().count(Field(line.fields, "event")) > 0;
    if (concerns_worker && workers_.count(Field(line.fields, "worker")) == 0)
      continue;
    out.push_back(line);
  }
  std::stable_sort(out.begin(), out.end(), by_time);
  return out;
}

std::vector<std::string> JobTimeline::Causes() const {
  std::vector<std::string> out;
  const auto add = [&out](std::string cause) {
    if (std::find(out.begin(), out.end(), cause) == out.end())
      out.push_back(std::move(cause));
  };
  std::string blocked;
  RecoveryWait recovery;
  for (const Line& line : RelevantLines()) {
    const Json::Value& f = line.fields;
    const std::string event = Field(f, "event");
    if (event == "job_ended" && Field(f, "end") == "failed")
      add("it failed: " + Field(f, "why"));
    if (event == "job_ended" && Field(f, "end") == "cancelled")
      add("its client cancelled it");
    if (event == "job_refused") add("it was refused: " + Field(f, "why"));
    if (event == "call_given_up")
      add(absl::StrCat("a call was given up as ", Field(f, "answer"),
                       " under leader ", Field(f, "leader")));
    if (event == "term_active")
      add(absl::StrCat("the leader changed; ", line.process, " served from ",
                       line.time));
    if (event == "store_lost") add("the store was lost: " + Field(f, "detail"));
    if (event == "runs_lost")
      add(absl::StrCat("runs were lost with worker ", Field(f, "worker"), ": ",
                       Field(f, "why")));
    if (event == "crash_held_against_task")
      add(absl::StrCat(
          "worker ", Field(f, "worker"), " crashed ", Field(f, "ran_ms"),
          " ms after run ", Field(f, "run"), " of task ", Field(f, "task"),
          " began: ", Field(f, "evidence"), ": ", Field(f, "verdict")));
    if (event == "run_moves")
      add(absl::StrCat("run ", Field(f, "run"), " of task ", Field(f, "task"),
                       " was stopped on worker ", Field(f, "worker"), ": ",
                       Field(f, "why")));
    if (event == "run_ended" && Field(f, "how") != "done")
      add(absl::StrCat("a run on ", Field(f, "worker"), " ended ",
                       Field(f, "how")));
    if (event == "step_blocked") blocked = Field(f, "why");
    recovery.AddLine(line.time, f);
    const bool start = event == "start_sent" || event == "start_kept";
    const absl::Duration waited =
        absl::Milliseconds(ParseNumberOrZero(Field(f, "waited_ms")));
    if (!start || waited < kMinExplainedWait) continue;
    std::string why = blocked.empty() ? "no cause was logged" : blocked;
    if (recovery.Explains(line.time, waited))
      why = absl::StrCat("worker ", recovery.worker(),
                         " might still run it for an earlier leader");
    add(absl::StrCat("a task waited ", Field(f, "waited_ms"), " ms: ", why));
  }
  return out;
}

std::string JobTimeline::Text() const {
  std::string out;
  for (const Line& line : RelevantLines())
    absl::StrAppend(&out, line.time, "  ", line.process, "  ",
                    DescribeEvent(line.fields), "  (",
                    FormatOtherFields(line.fields), ")\n");
  const std::vector<std::string> causes = Causes();
  absl::StrAppend(&out, causes.empty()
                            ? "The logs report no failure or delay.\n"
                            : "Causes reported in the logs:\n");
  for (const std::string& cause : causes)
    absl::StrAppend(&out, "  - ", cause, "\n");
  return out;
}

}  // namespace keelbridge::cli
