#include "testing/fakes/platform_server.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/protocol/verdict.h"
#include "keelbridge/transport/trace.h"

namespace keelbridge::testing {
namespace {

// Time after which a part that is down closes the connection of a caller.
constexpr absl::Duration kDownDelay = absl::Milliseconds(300);
constexpr size_t kMaxReadRecords = 1000;
constexpr size_t kTruncatedBytes = 64;

ServerResponse JsonResponse(const Json::Value& value, int status = 200) {
  return {status, {}, ToJsonText(value)};
}

// Returns a response that is truncated in transit, so that the caller cannot
// know whether the request took effect.
ServerResponse TruncatedResponse() {
  ServerResponse response{200, {}, "", "application/json"};
  response.body = "{";
  response.truncated_bytes = kTruncatedBytes;
  return response;
}

Json::Value ParseBody(const std::string& body) {
  return JsonDocument::Parse(body, "request").root();
}

int64_t ParseIntOrZero(const std::string& text) {
  int64_t out = 0;
  return absl::SimpleAtoi(text, &out) ? out : 0;
}

}  // namespace

PlatformServer::PlatformServer(Options options)
    : options_(std::move(options)),
      log_(options_.log_retention),
      next_append_(absl::InfinitePast()) {}

PlatformServer::~PlatformServer() { Stop(); }

void PlatformServer::Serve(const Configuration& configuration) {
  absl::MutexLock lock(&mutex_);
  for (const WorkerConfig& worker : configuration.workers) {
    if (workers_.count(worker.name) > 0) continue;
    FakeWorker::Options options;
    options.name = worker.name;
    options.total = worker.resources;
    const auto journal =
        [this](const RunEvent& run_event) ABSL_NO_THREAD_SAFETY_ANALYSIS {
          Json::Value line;
          line["kind"] = "run";
          line["at_ms"] = static_cast<Json::Int64>(ToMillis(run_event.at));
          line["begins"] = run_event.begins;
          line["worker"] = run_event.worker;
          line["task"] = run_event.task;
          line["attempt"] = static_cast<Json::Int64>(run_event.attempt);
          line["how"] = run_event.how;
          AddToJournal(line);
        };
    workers_[worker.name] = std::make_unique<FakeWorker>(
        options, RandomId() >> 1, SystemNow().mono, journal);
  }
  for (const TargetConfig& target : configuration.targets)
    runners_[target.name].slots = target.slots;
}

Result<int> PlatformServer::Start() {
  HttpServer::Options options;
  options.ip = options_.ip;
  options.port = options_.port;
  options.max_threads = options_.max_threads;
  options.keep_alive = absl::Seconds(5);
  server_ = std::make_unique<HttpServer>(
      options,
      [this](const ServerRequest& request) { return Handle(request); });
  return server_->Start();
}

void PlatformServer::Stop() {
  if (server_) server_->Stop();
}

void PlatformServer::SetFaults(const std::string& part, const Faults& faults) {
  absl::MutexLock lock(&mutex_);
  faults_[part] = faults;
}

void PlatformServer::SetLeaving(const std::string& host, bool leaving) {
  absl::MutexLock lock(&mutex_);
  if (leaving) {
    leaving_.emplace(host, SystemNow().mono);
  } else {
    leaving_.erase(host);
  }
}

std::vector<std::string> PlatformServer::Journal() const {
  absl::MutexLock lock(&mutex_);
  return journal_;
}

int64_t PlatformServer::LogAppends() const {
  absl::MutexLock lock(&mutex_);
  return log_.appends();
}

Faults PlatformServer::FaultsFor(const std::string& part) const {
  absl::MutexLock lock(&mutex_);
  const auto it = faults_.find(part);
  return it == faults_.end() ? Faults() : it->second;
}

void PlatformServer::AddToJournal(const Json::Value& line) {
  journal_.push_back(ToJsonText(line));
}

ServerResponse PlatformServer::Handle(const ServerRequest& request) {
  const std::vector<std::string> path =
      absl::StrSplit(request.path.substr(1), absl::MaxSplits('/', 2));
  const std::string part =
      path[0] == "worker" || path[0] == "runner"
          ? absl::StrCat(path[0], "/", path.size() > 1 ? path[1] : "")
          : path[0];
  const Faults faults = FaultsFor(part);
  if (faults.delay_ms > 0) absl::SleepFor(absl::Milliseconds(faults.delay_ms));
  if (faults.down) {
    absl::SleepFor(kDownDelay);
    return TruncatedResponse();
  }
  ServerResponse response{404, {}, "no such stand-in\n", "text/plain"};
  if (path[0] == "log") {
    response = HandleLog(request);
  } else if (path[0] == "hosts") {
    response = HandleHosts();
  } else if (path[0] == "control") {
    return HandleControl(request);
  } else if (path[0] == "journal") {
    std::string body;
    for (const std::string& line : Journal())
      absl::StrAppend(&body, line, "\n");
    return {200, {}, body, "application/x-ndjson"};
  } else if (path[0] == "worker" && path.size() == 3) {
    response = HandleWorker(path[1], path[2], request);
  } else if (path[0] == "runner" && path.size() == 3) {
    response = HandleRunner(path[1], path[2], request);
  }
  return faults.lose_answers ? TruncatedResponse() : response;
}

ServerResponse PlatformServer::HandleLog(const ServerRequest& request) {
  absl::Time wait_until = absl::InfinitePast();
  Json::Value out;
  {
    absl::MutexLock lock(&mutex_);
    const absl::Time now = SystemNow().mono;
    if (request.path == "/log/append") {
      next_append_ = std::max(next_append_, now) +
                     absl::Seconds(1 / options_.max_appends_per_second);
      wait_until = next_append_;
      out["offset"] = static_cast<Json::Int64>(
          log_.Append(request.Query("stream"), request.body, now));
    } else {
      out = ToJson(log_.Read(request.Query("stream"),
                             ParseIntOrZero(request.Query("from")),
                             kMaxReadRecords, now));
    }
  }
  const absl::Duration wait = wait_until - SystemNow().mono;
  if (wait > absl::ZeroDuration()) absl::SleepFor(wait);
  return JsonResponse(out);
}

ServerResponse PlatformServer::HandleHosts() {
  absl::MutexLock lock(&mutex_);
  Json::Value out;
  out["leaving"] = Json::Value(Json::arrayValue);
  for (const auto& [host, since] : leaving_) {
    if (SystemNow().mono - since >= options_.host_list_lag)
      out["leaving"].append(host);
  }
  return JsonResponse(out);
}

ServerResponse PlatformServer::HandleWorker(const std::string& name,
                                            const std::string& verb,
                                            const ServerRequest& request) {
  const Json::Value in = ParseBody(request.body);
  absl::MutexLock lock(&mutex_);
  const auto it = workers_.find(name);
  if (it == workers_.end()) return {404, {}, "no such worker\n", "text/plain"};
  FakeWorker& worker = *it->second;
  const Now now = SystemNow();
  if (verb == "hold")
    return JsonResponse(ToJson(worker.Hold(HoldRequestFromJson(in), now)));
  if (verb == "start")
    return JsonResponse(ToJson(worker.Start(StartRequestFromJson(in), now)));
  if (verb == "stop")
    return JsonResponse(ToJson(worker.Stop(StopRequestFromJson(in), now)));
  return {404, {}, "hold, start or stop\n", "text/plain"};
}

ServerResponse PlatformServer::HandleRunner(const std::string& name,
                                            const std::string& path,
                                            const ServerRequest& request) {
  const std::string id = FindHeader(request.headers, kRequestIdHeader);
  const std::string attempt = FindHeader(request.headers, kAttemptHeader);
  const Faults faults = FaultsFor("runner/" + name);
  {
    absl::MutexLock lock(&mutex_);
    Runner& runner = runners_[name];
    if (faults.refuse || runner.busy >= runner.slots) {
      Json::Value line;
      line["kind"] = "refused";
      line["id"] = id;
      line["attempt"] = attempt;
      line["runner"] = name;
      AddToJournal(line);
      ServerResponse refusal{
          503,
          {{kVerdictHeader, VerdictName(Verdict::kDidNotRun)}},
          "no slot is free\n",
          "text/plain"};
      return refusal;
    }
    runner.max_busy = std::max(runner.max_busy, ++runner.busy);
    Json::Value line;
    line["kind"] = "request";
    line["id"] = id;
    line["key"] = FindHeader(request.headers, kIdempotencyKeyHeader);
    line["attempt"] = attempt;
    line["runner"] = name;
    line["path"] = path;
    line["busy"] = static_cast<Json::Int64>(runner.busy);
    line["at_ms"] = static_cast<Json::Int64>(ToMillis(SystemNow().mono));
    AddToJournal(line);
  }
  absl::SleepFor(absl::Milliseconds(options_.runner_work_ms));
  {
    absl::MutexLock lock(&mutex_);
    --runners_[name].busy;
  }
  ServerResponse response{200,
                          {{kRequestIdHeader, id}, {kAttemptHeader, attempt}},
                          "",
                          "text/plain"};
  response.body = absl::StrCat("answer of ", name, " to ", path, " for ", id,
                               "\n", request.body);
  if (faults.cut_off) response.truncated_bytes = kTruncatedBytes;
  return response;
}

ServerResponse PlatformServer::HandleControl(const ServerRequest& request) {
  const Json::Value in = ParseBody(request.body);
  if (in.isMember("leaving")) {
    SetLeaving(in["leaving"].asString(), in.get("is", true).asBool());
    return JsonResponse(Json::Value("ok"));
  }
  Faults faults;
  faults.down = in["down"].asBool();
  faults.lose_answers = in["lose_answers"].asBool();
  faults.cut_off = in["cut_off"].asBool();
  faults.refuse = in["refuse"].asBool();
  faults.delay_ms = in["delay_ms"].asInt64();
  SetFaults(in["part"].asString(), faults);
  return JsonResponse(Json::Value("ok"));
}

}  // namespace keelbridge::testing
