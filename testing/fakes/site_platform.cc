#include "testing/fakes/site_platform.h"

#include <json/json.h>

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/protocol/worker_incarnation.h"
#include "testing/fakes/foreign_entries.h"

namespace keelbridge::testing {
namespace {

constexpr absl::Duration kAdvanceInterval = absl::Milliseconds(10);
constexpr int kHeartbeatTicks = 50;  // Advances between two records.
constexpr char kStartPath[] = "/run-start";
constexpr char kInstanceHeader[] = "X-Keelbridge-Expected-Instance";
// A task that crashes its worker does so this long after its start, and the
// worker's next incarnation starts after the downtime.
constexpr absl::Duration kCrashDelay = absl::Milliseconds(10);
constexpr absl::Duration kCrashDownTime = absl::Seconds(3);
// The machine of a worker that left gets no other worker for this long.
constexpr absl::Duration kDepartureTime = absl::Minutes(10);
// A task may crash kExcusedCrashes workers. If it is then started
// kEndlessRepeatStarts more times, it counts as restarted without bound.
constexpr int kExcusedCrashes = 3;
constexpr int kEndlessRepeatStarts = 3;
// Time after which a reduced capacity is enforced, so that nodes can learn of
// it first.
constexpr absl::Duration kCapacityGrace = absl::Milliseconds(3500);
// Delay of an order that is executed late: at least the minimum, plus a random
// part of the range.
constexpr absl::Duration kMinLateDelay = absl::Seconds(1);
constexpr absl::Duration kLateDelayRange = absl::Seconds(3);
// How many times as long a slow worker takes for a start.
constexpr int kSlowWorker = 10;
constexpr absl::Duration kGangTimeout = absl::Seconds(3);

Json::Value Parse(const std::string& text) {
  return JsonDocument::Parse(text, "body").root();
}

ServerResponse JsonResponse(int status, const Json::Value& body) {
  return {status, {}, ToJsonText(body), "application/json"};
}

// Returns the plan that the payload defines for the step of a task.
SiteRunPlan MakeRunPlan(const StartOrder& order, double draw) {
  SiteRunPlan plan;
  const Json::Value steps = Parse("{\"steps\":" + order.payload + "}")["steps"];
  const Json::Value& step =
      steps[static_cast<Json::ArrayIndex>(order.task.step)];
  plan.need = {step["cpu"].asInt(), step["memory"].asInt(), 0};
  plan.work = absl::Milliseconds(step["work_ms"].asInt64());
  plan.fails = draw < step["fails"].asDouble();
  plan.gang = step["gang"].asInt();
  return plan;
}

bool CrashesWorker(const StartOrder& order) {
  const Json::Value steps = Parse("{\"steps\":" + order.payload + "}")["steps"];
  const auto step = static_cast<Json::ArrayIndex>(order.task.step);
  return steps[step]["crashes"].asBool();
}

const char* RefusalReason(OrderResult result) {
  switch (result) {
    case OrderResult::kFenced:
      return "fence";
    case OrderResult::kOldRun:
      return "old";
    case OrderResult::kLate:
      return "late";
    default:
      return "room";
  }
}

ServerResponse OrderAnswer(const OrderReply& reply) {
  Json::Value body(Json::objectValue);
  body["clockMs"] = Json::Int64(reply.clock_ms);
  if (reply.result == OrderResult::kDone) return JsonResponse(200, body);
  body["reason"] = RefusalReason(reply.result);
  return JsonResponse(409, body);
}

}  // namespace

SitePlatform::SitePlatform(boost::asio::io_context& loop,
                           const Options& options)
    : loop_(loop),
      options_(options),
      accounts_(options.accounts),
      random_(options.seed),
      store_(loop, options.seed),
      slots_(static_cast<size_t>(options.workers)),
      timer_(loop) {
  store_address_ = Serve(&store_server_, [this](const ServerRequest& request,
                                                EventHttpServer::Reply reply) {
    store_.Handle(request, std::move(reply));
  });
  advice_address_ =
      Serve(&advice_server_,
            [this](const ServerRequest& request, EventHttpServer::Reply reply) {
              HandleAdvice(request, std::move(reply));
            });
  for (int i = 0; i < options_.workers; ++i) {
    Slot& slot = slots_[static_cast<size_t>(i)];
    slot.address = Serve(&slot.server, [this, i](const ServerRequest& request,
                                                 EventHttpServer::Reply reply) {
      HandleWorker(i, request, std::move(reply));
    });
    StartIncarnation(i, /*keep_id=*/false);
  }
  ScheduleAdvance();
}

Address SitePlatform::Serve(std::unique_ptr<EventHttpServer>* server,
                            EventHttpServer::Handler handler) {
  EventHttpServer::Options options;
  options.listen = Address{"127.0.0.1", 0, ""};
  options.idle_timeout = absl::Seconds(60);
  options.max_body_bytes = 4 << 20;
  *server =
      std::make_unique<EventHttpServer>(loop_, options, std::move(handler));
  auto port = (*server)->Start();
  return Address{"127.0.0.1", port ? port.value() : 0, ""};
}

void SitePlatform::StartIncarnation(int index, bool keep_id) {
  Slot& slot = slots_[static_cast<size_t>(index)];
  if (!keep_id) slot.name = absl::StrCat("i-", index, "-", slot.name_count++);
  if (keep_id) slot.proxy->SetMode(FaultProxy::Mode::kForward);
  slot.start_time_ms =
      std::max(slot.start_time_ms + 1, ToMillis(SystemNow().wall));
  SiteWorker::Options options;
  options.record.id = WorkerIncarnationId({slot.name, slot.start_time_ms});
  options.record.machine = absl::StrCat("m-", index);
  options.record.zone = absl::StrCat("zone-", index % 3);
  options.record.capacity = options_.capacity;
  slot.capacity_limit = options_.capacity;
  options.max_lease = options_.max_lease;
  slot.incarnation = std::make_unique<SiteWorker>(
      options,
      [this](const StartOrder& order) {
        const SiteRunPlan plan =
            MakeRunPlan(order, std::uniform_real_distribution<>(0, 1)(random_));
        TaskId step = order.task;
        step.index = 0;
        gang_size_[step] = plan.gang;
        if (CrashesWorker(order)) crash_counts_[order.task];
        return plan;
      },
      [this](const SiteRun& run, bool begins) { RecordRun(run, begins); },
      SystemNow().mono);
  for (const Json::Value& start : std::exchange(slot.delayed_starts, {}))
    ExecuteOrder(*slot.incarnation, kStartPath, start);
}

std::string VersionPrefix(int64_t version) {
  return absl::StrCat("/version-", version, "/");
}

void SitePlatform::PublishConfiguration(int64_t version) {
  Json::Value route(Json::objectValue);
  route["name"] = "r-restore";
  route["host"] = kSiteHost;
  route["pathPrefix"] = kSitePrefix;
  route["service"] = "desk";
  route["priority"] = 0;
  route["maxAttempts"] = options_.max_attempts;
  route["stretch"] = 2.0;
  route["targetLatencyMs"] = 500;
  if (options_.advice) {
    route["advice"]["decisionMs"] = 5.0;
    route["advice"]["periodMs"] = 0.1;
    route["advice"]["validityMs"] = 1500;
  }
  Json::Value service(Json::objectValue);
  service["name"] = "desk";
  service["admissionCheck"] = false;
  Json::Value out(Json::objectValue);
  out["version"] = Json::Int64(version);
  out["routes"].append(route);
  route["name"] = absl::StrCat("r-version-", version);
  route["pathPrefix"] = VersionPrefix(version);
  out["routes"].append(route);
  out["services"].append(service);
  for (const ClientAccount& account : accounts_) {
    Json::Value entry(Json::objectValue);
    entry["name"] = account.name;
    entry["apiKeys"] = Json::Value(Json::arrayValue);
    for (const std::string& key : account.keys) entry["apiKeys"].append(key);
    entry["weight"] = account.weight;
    entry["maximum"]["cpu"] = account.maximum.cpu_milli;
    entry["maximum"]["memoryRequestMb"] = account.maximum.memory_mib;
    entry["maximum"]["gpu"] = account.maximum.accelerators;
    out["tenants"].append(entry);
  }
  store_.Put("keyed.op", "config", ToJsonText(out));
}

void SitePlatform::RecordRun(const SiteRun& run, bool begins) {
  const std::string name =
      absl::StrCat(TaskIdText(run.task), " run ", run.run, " on ", run.worker);
  if (!begins) {
    if (run.end == RunEnd::kDone) completed_on_[run.task] = run.worker;
    for (SiteRun& known : runs_) {
      if (known.task == run.task && known.run == run.run &&
          known.worker == run.worker)
        known = run;
    }
    return;
  }
  Resources used;
  for (const Slot& slot : slots_) {
    for (const auto& [key, other] : slot.incarnation->running()) {
      if (other.worker == run.worker) used += other.need;
      const bool same_task = key.first == run.task;
      if (same_task && (other.worker != run.worker || key.second != run.run))
        violations_.push_back(
            absl::StrCat("TWICE: ", name, " beside ", other.worker));
    }
  }
  if (!used.FitsIn(FindSlot(run.worker)->capacity_limit))
    violations_.push_back(absl::StrCat("LIMIT: ", name));
  if (completed_on_.count(run.task) > 0)
    violations_.push_back(absl::StrCat(
        "TWICE: ", name, " after it was done on ", completed_on_[run.task]));
  runs_.push_back(run);
  if (crash_counts_.count(run.task) > 0) ScheduleCrash(run);
}

SitePlatform::Slot* SitePlatform::FindSlot(const std::string& worker) {
  const auto found =
      std::find_if(slots_.begin(), slots_.end(), [&](const Slot& slot) {
        return slot.incarnation->record().id == worker;
      });
  return found == slots_.end() ? nullptr : &*found;
}

void SitePlatform::ScheduleCrash(const SiteRun& run) {
  CrashCount& crashes = crash_counts_[run.task];
  if (crashes.workers >= kExcusedCrashes &&
      ++crashes.starts_after_excused >= kEndlessRepeatStarts)
    violations_.push_back(absl::StrCat("BUDGET: ", TaskIdText(run.task),
                                       " run ", run.run, " after ",
                                       crashes.workers, " crashes"));
  RunAfter(kCrashDelay, [this, run] {
    Slot* slot = FindSlot(run.worker);
    if (slot == nullptr || !slot->incarnation->alive() ||
        slot->incarnation->running().count({run.task, run.run}) == 0)
      return;
    ++crash_counts_[run.task].workers;
    EndIncarnation(static_cast<int>(slot - slots_.data()), kCrashDownTime,
                   options_.keep_id_after_crash);
  });
}

void SitePlatform::HandleWorker(int index, const ServerRequest& request,
                                EventHttpServer::Reply reply) {
  Slot& slot = slots_[static_cast<size_t>(index)];
  SiteWorker& incarnation = *slot.incarnation;
  if (!incarnation.alive()) {
    unanswered_.push_back(std::move(reply));
    return;
  }
  const std::string expected = FindHeader(request.headers, kInstanceHeader);
  if (!expected.empty() && expected != slot.name)
    return reply(JsonResponse(421, Json::Value(Json::objectValue)));
  const bool lost = RandomFraction() < lost_order_replies_;
  const bool late = late_orders_ > 0 && RandomFraction() < late_orders_;
  const Json::Value body = Parse(request.body);
  if (request.path == "/hold") {
    const absl::Time now = SystemNow().mono;
    PendingObservation observation{
        index,
        {},
        now + absl::Milliseconds(body["waitMs"].asInt64()),
        std::move(reply),
        incarnation.record().id};
    observation.order.fence = body["fencingToken"].asInt64();
    observation.order.ends_acknowledged = body["lastSeen"].asInt64();
    observation.order.lease_until_ms = body["deadlineMs"].asInt64();
    // The order takes effect on arrival; only the response may wait.
    incarnation.Observe(observation.order, now);
    pending_observations_.push_back(std::move(observation));
    return;
  }
  if (request.path == kStartPath && std::exchange(delays_next_start_, false)) {
    slot.delayed_starts.push_back(body);
    unanswered_.push_back(std::move(reply));
    return;
  }
  if (late) {
    unanswered_.push_back(std::move(reply));
    RunAfter(kMinLateDelay + kLateDelayRange * RandomFraction(),
             [this, index, path = request.path, body, expected] {
               Slot& current_slot = slots_[static_cast<size_t>(index)];
               const bool is_addressee =
                   expected.empty() || expected == current_slot.name;
               if (is_addressee && current_slot.incarnation->alive())
                 ExecuteOrder(*current_slot.incarnation, path, body);
             });
    return;
  }
  if (request.path == kStartPath &&
      options_.start_duration > absl::ZeroDuration())
    return QueueStart(index, body, std::move(reply));
  const std::optional<OrderReply> done =
      ExecuteOrder(incarnation, request.path, body);
  if (lost)
    unanswered_.push_back(std::move(reply));
  else
    reply(done ? OrderAnswer(*done)
               : JsonResponse(404, Json::Value(Json::objectValue)));
}

void SitePlatform::QueueStart(int index, const Json::Value& body,
                              EventHttpServer::Reply reply) {
  const absl::Time now = SystemNow().mono;
  const bool slow =
      index == 0 && now - began_ > options_.first_worker_slow_after;
  Slot& slot = slots_[static_cast<size_t>(index)];
  slot.starts_taken_at = std::max(now, slot.starts_taken_at) +
                         options_.start_duration * (slow ? kSlowWorker : 1);
  RunAfter(slot.starts_taken_at - now, [this, index, body,
                                        reply = std::move(reply)]() mutable {
    SiteWorker& incarnation = *slots_[static_cast<size_t>(index)].incarnation;
    if (!incarnation.alive()) {
      unanswered_.push_back(std::move(reply));
      return;
    }
    const auto done = ExecuteOrder(incarnation, kStartPath, body);
    if (done) reply(OrderAnswer(*done));
  });
}

std::optional<OrderReply> SitePlatform::ExecuteOrder(SiteWorker& incarnation,
                                                     const std::string& path,
                                                     const Json::Value& body) {
  const absl::Time now = SystemNow().mono;
  TaskId task;
  ParseTaskId(body["task"].asString(), &task);
  const int32_t run = body["run"].asInt();
  const int64_t fence = body["fencingToken"].asInt64();
  if (path == "/run-stop") return incarnation.Stop({task, run, fence}, now);
  if (path != kStartPath) return std::nullopt;
  StartOrder order;
  order.task = task;
  order.run = run;
  order.payload = body["taskSpec"].asString();
  order.lease_until_ms = body["deadlineMs"].asInt64();
  order.fence = fence;
  return incarnation.Start(order, now);
}

void SitePlatform::AnswerObservation(const PendingObservation& observation) {
  SiteWorker& incarnation =
      *slots_[static_cast<size_t>(observation.slot)].incarnation;
  ObserveOrder order = observation.order;
  order.lease_until_ms = 0;
  const ObserveReply observed = incarnation.Observe(order, SystemNow().mono);
  if (observed.order.result != OrderResult::kDone)
    return observation.reply(OrderAnswer(observed.order));
  Json::Value body(Json::objectValue);
  if (options_.reports_start_times)
    body["born"] = Json::Int64(
        slots_[static_cast<size_t>(observation.slot)].start_time_ms);
  body["clockMs"] = Json::Int64(observed.order.clock_ms);
  body["running"] = Json::Value(Json::arrayValue);
  body["ended"] = Json::Value(Json::arrayValue);
  for (const RunningTask& running : observed.running) {
    Json::Value row(Json::arrayValue);
    row.append(TaskIdText(running.task));
    row.append(running.run);
    row.append(running.checkpoint);
    row.append(running.percent);
    body["running"].append(row);
  }
  for (const EndedTask& ended : observed.ended) {
    Json::Value row(Json::arrayValue);
    row.append(Json::Int64(ended.number));
    row.append(TaskIdText(ended.task));
    row.append(ended.run);
    row.append(RunEndName(ended.end));
    row.append(ended.checkpoint);
    body["ended"].append(row);
  }
  observation.reply(JsonResponse(200, body));
}

void SitePlatform::HandleAdvice(const ServerRequest& request,
                                EventHttpServer::Reply reply) {
  const Json::Value body = Parse(request.body);
  Json::Value out(Json::objectValue);
  out["healthy"] = Json::Value(Json::arrayValue);
  for (const Json::Value& worker : body["workers"]) {
    const size_t draw = std::hash<std::string>()(
        absl::StrCat(worker.asString(), body["step"].asString()));
    // The first worker is healthy for every step, so that each step has a
    // worker.
    const bool first = absl::StartsWith(worker.asString(), "i-0-");
    if (draw % 3 == 0 && !first) continue;
    Json::Value row(Json::arrayValue);
    row.append(worker.asString());
    row.append("ticket");
    out["healthy"].append(row);
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(
      loop_, std::chrono::milliseconds(5));
  timer->async_wait(
      [timer, reply = std::move(reply), out](boost::system::error_code error) {
        if (!error) reply(JsonResponse(200, out));
      });
}

void SitePlatform::AdvanceGangs(absl::Time now) {
  struct Gang {
    int32_t present = 0;
    absl::Time first = absl::InfiniteFuture();
    absl::Duration work;
  };
  std::map<std::pair<TaskId, int32_t>, Gang> gangs;
  for (const Slot& slot : slots_) {
    for (const auto& [key, run] : slot.incarnation->running()) {
      TaskId step = key.first;
      step.index = 0;
      if (gang_size_[step] == 0) continue;
      Gang& gang = gangs[{step, key.second}];
      ++gang.present;
      gang.first = std::min(gang.first, run.began);
    }
  }
  for (const auto& [key, gang] : gangs) {
    const bool complete = gang.present == gang_size_[key.first];
    const bool was_complete = gang_done_at_.count(key) > 0;
    if (complete && !was_complete)
      gang_done_at_[key] = now + absl::Milliseconds(400);
    const bool broken =
        !complete && (was_complete || now - gang.first > kGangTimeout);
    const bool done = complete && was_complete && now >= gang_done_at_[key];
    for (Slot& slot : slots_) {
      if (broken) slot.incarnation->BreakGang(key.first, key.second, now);
      if (done) slot.incarnation->CompleteGang(key.first, key.second, now);
    }
  }
}

void SitePlatform::Advance() {
  const absl::Time now = SystemNow().mono;
  for (Slot& slot : slots_) slot.incarnation->Advance(now);
  AdvanceGangs(now);
  std::vector<PendingObservation> still_pending;
  for (PendingObservation& observation : pending_observations_) {
    SiteWorker& incarnation =
        *slots_[static_cast<size_t>(observation.slot)].incarnation;
    if (!incarnation.alive() ||
        incarnation.record().id != observation.incarnation) {
      unanswered_.push_back(std::move(observation.reply));
      continue;
    }
    const bool due = now >= observation.deadline ||
                     !incarnation.unacknowledged_ends().empty();
    if (due)
      AnswerObservation(observation);
    else
      still_pending.push_back(std::move(observation));
  }
  pending_observations_ = std::move(still_pending);
  if (ticks_++ % kHeartbeatTicks != 0) return;
  for (Slot& slot : slots_) {
    if (!slot.incarnation->alive()) continue;
    const WorkerRecord& record = slot.incarnation->record();
    Json::Value out(Json::objectValue);
    out["service"] = "desk";
    out["machine"] = record.machine;
    if (options_.reports_start_times)
      out["born"] = Json::Int64(slot.start_time_ms);
    out["address"] = slot.address.ToString();
    out["zone"] = record.zone;
    out["state"] = record.draining ? "draining" : "ready";
    out["capacity"]["cpu"] = record.capacity.cpu_milli;
    out["capacity"]["memoryRequestMb"] = record.capacity.memory_mib;
    out["capacity"]["gpu"] = record.capacity.accelerators;
    out["labels"].append("a");
    out["labels"].append("r1");
    store_.Put("keyed.servers", slot.name, ToJsonText(out));
  }
}

void SitePlatform::WriteForeignEntries() {
  const Address address =
      Serve(&foreign_server_,
            [this](const ServerRequest&, const EventHttpServer::Reply& reply) {
              ++foreign_entry_calls_;
              reply(JsonResponse(503, Json::Value(Json::objectValue)));
            });
  for (const ForeignEntry& entry : ForeignEntries("desk", address.ToString()))
    store_.Put("keyed.servers", entry.id, entry.document);
}

void SitePlatform::ScheduleAdvance() {
  timer_.expires_after(absl::ToChronoNanoseconds(kAdvanceInterval));
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    Advance();
    ScheduleAdvance();
  });
}

void SitePlatform::UseWorkerProxies() {
  for (Slot& slot : slots_) {
    slot.proxy = std::make_unique<FaultProxy>(loop_, slot.address);
    slot.address = slot.proxy->address();
  }
}

void SitePlatform::SetWorkerProxy(int index, FaultProxy::Mode mode) {
  slots_[static_cast<size_t>(index)].proxy->SetMode(mode);
}

void SitePlatform::BlackholeOpenWorkerConnections() {
  for (Slot& slot : slots_) slot.proxy->BlackholeOpenConnections();
}

void SitePlatform::CrashWorker(int index, absl::Duration down) {
  EndIncarnation(index, down, /*keep_id=*/false);
}

void SitePlatform::DrainWorker(int index, absl::Duration drain) {
  Slot& slot = slots_[static_cast<size_t>(index)];
  slot.incarnation->record().draining = true;
  RunAfter(drain, [this, index] {
    EndIncarnation(index, kDepartureTime, /*keep_id=*/false);
  });
}

void SitePlatform::RestartWorker(int index, absl::Duration down) {
  EndIncarnation(index, down, /*keep_id=*/true);
}

void SitePlatform::EndIncarnation(int index, absl::Duration down,
                                  bool keep_id) {
  Slot& slot = slots_[static_cast<size_t>(index)];
  if (!slot.incarnation->alive()) return;
  if (keep_id)
    slot.proxy->SetMode(RandomFraction() < 0.5 ? FaultProxy::Mode::kReset
                                               : FaultProxy::Mode::kDropAll);
  for (const EndedTask& end : slot.incarnation->unacknowledged_ends()) {
    if (end.end == RunEnd::kDone) completed_on_.erase(end.task);
  }
  slot.incarnation->Crash(SystemNow().mono);
  RunAfter(down, [this, index, keep_id] { StartIncarnation(index, keep_id); });
}

void SitePlatform::ShrinkWorker(int index, double share, absl::Duration time) {
  Slot& slot = slots_[static_cast<size_t>(index)];
  if (!slot.incarnation->alive()) return;
  Resources reduced = options_.capacity;
  reduced.cpu_milli = static_cast<int32_t>(reduced.cpu_milli * share);
  reduced.memory_mib = static_cast<int32_t>(reduced.memory_mib * share);
  slot.incarnation->record().capacity = reduced;
  const std::string id = slot.incarnation->record().id;
  RunAfter(kCapacityGrace, [this, id, reduced] {
    Slot* shrunk = FindSlot(id);
    if (shrunk != nullptr && shrunk->incarnation->record().capacity == reduced)
      shrunk->capacity_limit = reduced;
  });
  RunAfter(time, [this, id] {
    Slot* shrunk = FindSlot(id);
    if (shrunk == nullptr) return;
    shrunk->capacity_limit = options_.capacity;
    shrunk->incarnation->record().capacity = options_.capacity;
  });
}

void SitePlatform::RunAfter(absl::Duration delay, std::function<void()> step) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      loop_, absl::ToChronoNanoseconds(delay));
  timer->async_wait(
      [timer, step = std::move(step)](boost::system::error_code error) {
        if (!error) step();
      });
}

}  // namespace keelbridge::testing
