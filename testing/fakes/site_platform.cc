#include "testing/fakes/site_platform.h"

#include <json/json.h>

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/protocol/worker_incarnation.h"
#include "testing/fakes/foreign_entries.h"

namespace keelbridge::testing {
namespace {

constexpr absl::Duration kAdvanceEvery = absl::Milliseconds(10);
constexpr int kBeatEvery = 50;  // Advances between two records of a worker.
constexpr char kLifeHeader[] = "X-Keelbridge-Expected-Instance";
// Of a task that crashes its worker: how long after its start, and when the
// next life comes.
constexpr absl::Duration kCrashAfter = absl::Milliseconds(10);
constexpr absl::Duration kCrashedFor = absl::Seconds(3);
// After so many crashes so many starts are taken for an endless repeat.
constexpr int kCrashesCounted = 3;
constexpr int kStartsTooMany = 3;
// A capacity that has shrunk counts after this.
constexpr absl::Duration kCapacityCounts = absl::Milliseconds(3500);
// Of an order that is carried out late.
constexpr absl::Duration kLateAtLeast = absl::Seconds(1);
constexpr absl::Duration kLateSpread = absl::Seconds(3);
constexpr absl::Duration kGangPatience = absl::Seconds(3);

Json::Value Parse(const std::string& text) {
  return JsonDocument::Parse(text, "body").root();
}

ServerResponse Answer(int status, const Json::Value& body) {
  return {status, {}, ToJsonText(body), "application/json"};
}

// What the payload says of a task's step.
SiteRunPlan PlanOf(const StartOrder& order, double draw) {
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

bool CrashesItsWorker(const StartOrder& order) {
  const Json::Value steps = Parse("{\"steps\":" + order.payload + "}")["steps"];
  const auto step = static_cast<Json::ArrayIndex>(order.task.step);
  return steps[step]["crashes"].asBool();
}

const char* ReasonOf(OrderResult result) {
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
  if (reply.result == OrderResult::kDone) return Answer(200, body);
  body["reason"] = ReasonOf(reply.result);
  return Answer(409, body);
}

}  // namespace

SitePlatform::SitePlatform(boost::asio::io_context& loop, Options options)
    : loop_(loop),
      options_(options),
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
    StartLife(i, /*again=*/false);
  }
  Arm();
}

Address SitePlatform::Serve(std::unique_ptr<EventHttpServer>* server,
                            EventHttpServer::Handler handler) {
  EventHttpServer::Options options;
  options.listen = Address{"127.0.0.1", 0, ""};
  options.idle_timeout = absl::Seconds(60);
  options.most_body_bytes = 4 << 20;
  *server =
      std::make_unique<EventHttpServer>(loop_, options, std::move(handler));
  auto port = (*server)->Start();
  return Address{"127.0.0.1", port ? port.value() : 0, ""};
}

void SitePlatform::StartLife(int index, bool again) {
  Slot& slot = slots_[static_cast<size_t>(index)];
  if (!again) slot.name = absl::StrCat("i-", index, "-", slot.names++);
  if (again) slot.proxy->SetMode(FaultProxy::Mode::kPass);
  slot.born_ms = std::max(slot.born_ms + 1, ToMillis(SystemNow().wall));
  SiteWorker::Options options;
  options.record.id = WorkerLifeId({slot.name, slot.born_ms});
  options.record.machine = absl::StrCat("m-", index);
  options.record.zone = absl::StrCat("zone-", index % 3);
  options.record.capacity = options_.capacity;
  slot.counted = options_.capacity;
  options.longest_lease = options_.longest_lease;
  slot.life = std::make_unique<SiteWorker>(
      options,
      [this](const StartOrder& order) {
        const SiteRunPlan plan =
            PlanOf(order, std::uniform_real_distribution<>(0, 1)(random_));
        TaskId step = order.task;
        step.index = 0;
        gang_size_[step] = plan.gang;
        if (CrashesItsWorker(order)) crashing_[order.task];
        return plan;
      },
      [this](const SiteRun& run, bool begins) { Journal(run, begins); },
      SystemNow().mono);
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
  route["maxAttempts"] = options_.most_attempts;
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
  store_.Put("keyed.op", "config", ToJsonText(out));
}

void SitePlatform::Journal(const SiteRun& run, bool begins) {
  const std::string name =
      absl::StrCat(TaskIdText(run.task), " run ", run.run, " on ", run.worker);
  if (!begins) {
    if (run.end == RunEnd::kDone) done_by_[run.task] = run.worker;
    for (SiteRun& known : runs_) {
      if (known.task == run.task && known.run == run.run &&
          known.worker == run.worker)
        known = run;
    }
    return;
  }
  Resources used;
  for (const Slot& slot : slots_) {
    for (const auto& [key, other] : slot.life->running()) {
      if (other.worker == run.worker) used += other.need;
      const bool same = key.first == run.task;
      if (same && (other.worker != run.worker || key.second != run.run))
        faults_.push_back(
            absl::StrCat("TWICE: ", name, " beside ", other.worker));
    }
  }
  if (!used.FitsIn(SlotOf(run.worker)->counted))
    faults_.push_back(absl::StrCat("LIMIT: ", name));
  if (done_by_.count(run.task) > 0)
    faults_.push_back(absl::StrCat("TWICE: ", name, " after it was done on ",
                                   done_by_[run.task]));
  runs_.push_back(run);
  if (crashing_.count(run.task) > 0) CrashUnder(run);
}

SitePlatform::Slot* SitePlatform::SlotOf(const std::string& worker) {
  const auto found = std::find_if(
      slots_.begin(), slots_.end(),
      [&](const Slot& slot) { return slot.life->record().id == worker; });
  return found == slots_.end() ? nullptr : &*found;
}

void SitePlatform::CrashUnder(const SiteRun& run) {
  Crashes& crashes = crashing_[run.task];
  if (crashes.workers >= kCrashesCounted &&
      ++crashes.starts_after >= kStartsTooMany)
    faults_.push_back(absl::StrCat("BUDGET: ", TaskIdText(run.task), " run ",
                                   run.run, " after ", crashes.workers,
                                   " crashes"));
  After(kCrashAfter, [this, run] {
    Slot* slot = SlotOf(run.worker);
    if (slot == nullptr || !slot->life->alive() ||
        slot->life->running().count({run.task, run.run}) == 0)
      return;
    ++crashing_[run.task].workers;
    EndLife(static_cast<int>(slot - slots_.data()), kCrashedFor,
            options_.crashed_keep_id);
  });
}

void SitePlatform::HandleWorker(int index, const ServerRequest& request,
                                EventHttpServer::Reply reply) {
  Slot& slot = slots_[static_cast<size_t>(index)];
  SiteWorker& life = *slot.life;
  if (!life.alive()) {
    unanswered_.push_back(std::move(reply));
    return;
  }
  const std::string expected = FindHeader(request.headers, kLifeHeader);
  if (!expected.empty() && expected != slot.name)
    return reply(Answer(421, Json::Value(Json::objectValue)));
  const bool lost = Draw() < lost_orders_;
  const bool late = late_orders_ > 0 && Draw() < late_orders_;
  const Json::Value body = Parse(request.body);
  if (request.path == "/hold") {
    const absl::Time now = SystemNow().mono;
    Look look{index,
              {},
              now + absl::Milliseconds(body["waitMs"].asInt64()),
              std::move(reply),
              life.record().id};
    look.order.fence = body["fencingToken"].asInt64();
    look.order.ends_noted = body["lastSeen"].asInt64();
    look.order.lease_until_ms = body["deadlineMs"].asInt64();
    // The order counts from its arrival; the answer may wait.
    life.Observe(look.order, now);
    looks_.push_back(std::move(look));
    return;
  }
  if (late) {
    unanswered_.push_back(std::move(reply));
    After(kLateAtLeast + kLateSpread * Draw(),
          [this, index, path = request.path, body, expected] {
            Slot& there = slots_[static_cast<size_t>(index)];
            const bool meant = expected.empty() || expected == there.name;
            if (meant && there.life->alive()) CarryOut(*there.life, path, body);
          });
    return;
  }
  const std::optional<OrderReply> done = CarryOut(life, request.path, body);
  if (lost)
    unanswered_.push_back(std::move(reply));
  else
    reply(done ? OrderAnswer(*done)
               : Answer(404, Json::Value(Json::objectValue)));
}

std::optional<OrderReply> SitePlatform::CarryOut(SiteWorker& life,
                                                 const std::string& path,
                                                 const Json::Value& body) {
  const absl::Time now = SystemNow().mono;
  TaskId task;
  ParseTaskId(body["task"].asString(), &task);
  const int32_t run = body["run"].asInt();
  const int64_t fence = body["fencingToken"].asInt64();
  if (path == "/run-stop") return life.Stop({task, run, fence}, now);
  if (path != "/run-start") return std::nullopt;
  StartOrder order;
  order.task = task;
  order.run = run;
  order.payload = body["taskSpec"].asString();
  order.lease_until_ms = body["deadlineMs"].asInt64();
  order.fence = fence;
  return life.Start(order, now);
}

void SitePlatform::AnswerLook(const Look& look) {
  SiteWorker& life = *slots_[static_cast<size_t>(look.slot)].life;
  ObserveOrder order = look.order;
  order.lease_until_ms = 0;
  const ObserveReply seen = life.Observe(order, SystemNow().mono);
  if (seen.order.result != OrderResult::kDone)
    return look.reply(OrderAnswer(seen.order));
  Json::Value body(Json::objectValue);
  body["born"] = Json::Int64(slots_[static_cast<size_t>(look.slot)].born_ms);
  body["clockMs"] = Json::Int64(seen.order.clock_ms);
  body["running"] = Json::Value(Json::arrayValue);
  body["ended"] = Json::Value(Json::arrayValue);
  for (const RunningTask& running : seen.running) {
    Json::Value row(Json::arrayValue);
    row.append(TaskIdText(running.task));
    row.append(running.run);
    row.append(running.checkpoint);
    row.append(running.percent);
    body["running"].append(row);
  }
  for (const EndedTask& ended : seen.ended) {
    Json::Value row(Json::arrayValue);
    row.append(Json::Int64(ended.number));
    row.append(TaskIdText(ended.task));
    row.append(ended.run);
    row.append(RunEndName(ended.end));
    row.append(ended.checkpoint);
    body["ended"].append(row);
  }
  look.reply(Answer(200, body));
}

void SitePlatform::HandleAdvice(const ServerRequest& request,
                                EventHttpServer::Reply reply) {
  const Json::Value body = Parse(request.body);
  Json::Value out(Json::objectValue);
  out["healthy"] = Json::Value(Json::arrayValue);
  for (const Json::Value& worker : body["workers"]) {
    const size_t draw = std::hash<std::string>()(
        absl::StrCat(worker.asString(), body["step"].asString()));
    // The first worker may run every step, so that each has one.
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
        if (!error) reply(Answer(200, out));
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
    for (const auto& [key, run] : slot.life->running()) {
      TaskId step = key.first;
      step.index = 0;
      if (gang_size_[step] == 0) continue;
      Gang& gang = gangs[{step, key.second}];
      ++gang.present;
      gang.first = std::min(gang.first, run.began);
    }
  }
  for (const auto& [key, gang] : gangs) {
    const bool whole = gang.present == gang_size_[key.first];
    const bool was_whole = gang_done_at_.count(key) > 0;
    if (whole && !was_whole) gang_done_at_[key] = now + absl::Milliseconds(400);
    const bool broken =
        !whole && (was_whole || now - gang.first > kGangPatience);
    const bool done = whole && was_whole && now >= gang_done_at_[key];
    for (Slot& slot : slots_) {
      if (broken) slot.life->BreakGang(key.first, key.second, now);
      if (done) slot.life->CompleteGang(key.first, key.second, now);
    }
  }
}

void SitePlatform::Advance() {
  const absl::Time now = SystemNow().mono;
  for (Slot& slot : slots_) slot.life->Advance(now);
  AdvanceGangs(now);
  std::vector<Look> kept;
  for (Look& look : looks_) {
    SiteWorker& life = *slots_[static_cast<size_t>(look.slot)].life;
    if (!life.alive() || life.record().id != look.life) {
      unanswered_.push_back(std::move(look.reply));
      continue;
    }
    const bool due = now >= look.deadline || !life.unnoted().empty();
    if (due)
      AnswerLook(look);
    else
      kept.push_back(std::move(look));
  }
  looks_ = std::move(kept);
  if (ticks_++ % kBeatEvery != 0) return;
  for (Slot& slot : slots_) {
    if (!slot.life->alive()) continue;
    const WorkerRecord& record = slot.life->record();
    Json::Value out(Json::objectValue);
    out["service"] = "desk";
    out["machine"] = record.machine;
    out["born"] = Json::Int64(slot.born_ms);
    out["address"] = slot.address.ToString();
    out["zone"] = record.zone;
    out["state"] = "ready";
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
              ++foreign_calls_;
              reply(Answer(503, Json::Value(Json::objectValue)));
            });
  for (const ForeignEntry& entry : ForeignEntries("desk", address.ToString()))
    store_.Put("keyed.servers", entry.id, entry.document);
}

void SitePlatform::Arm() {
  timer_.expires_after(absl::ToChronoNanoseconds(kAdvanceEvery));
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    Advance();
    Arm();
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

void SitePlatform::SilenceOpenToWorkers() {
  for (Slot& slot : slots_) slot.proxy->SilenceOpen();
}

void SitePlatform::CrashWorker(int index, absl::Duration down) {
  EndLife(index, down, /*again=*/false);
}

void SitePlatform::RestartWorker(int index, absl::Duration down) {
  EndLife(index, down, /*again=*/true);
}

void SitePlatform::EndLife(int index, absl::Duration down, bool again) {
  Slot& slot = slots_[static_cast<size_t>(index)];
  if (!slot.life->alive()) return;
  if (again)
    slot.proxy->SetMode(Draw() < 0.5 ? FaultProxy::Mode::kReset
                                     : FaultProxy::Mode::kSilent);
  for (const EndedTask& end : slot.life->unnoted()) {
    if (end.end == RunEnd::kDone) done_by_.erase(end.task);
  }
  slot.life->Crash(SystemNow().mono);
  After(down, [this, index, again] { StartLife(index, again); });
}

void SitePlatform::ShrinkWorker(int index, double share, absl::Duration time) {
  Slot& slot = slots_[static_cast<size_t>(index)];
  if (!slot.life->alive()) return;
  Resources small = options_.capacity;
  small.cpu_milli = static_cast<int32_t>(small.cpu_milli * share);
  small.memory_mib = static_cast<int32_t>(small.memory_mib * share);
  slot.life->record().capacity = small;
  const std::string id = slot.life->record().id;
  After(kCapacityCounts, [this, id, small] {
    Slot* shrunk = SlotOf(id);
    if (shrunk != nullptr && shrunk->life->record().capacity == small)
      shrunk->counted = small;
  });
  After(time, [this, id] {
    Slot* shrunk = SlotOf(id);
    if (shrunk == nullptr) return;
    shrunk->counted = options_.capacity;
    shrunk->life->record().capacity = options_.capacity;
  });
}

void SitePlatform::After(absl::Duration delay, std::function<void()> step) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      loop_, absl::ToChronoNanoseconds(delay));
  timer->async_wait(
      [timer, step = std::move(step)](boost::system::error_code error) {
        if (!error) step();
      });
}

}  // namespace keelbridge::testing
