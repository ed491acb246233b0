#include "keelbridge/daemon/scheduler.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"
#include "keelbridge/base/bounded_queue.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/coordination/zone_scheduler.h"
#include "keelbridge/daemon/configuration_follower.h"
#include "keelbridge/daemon/metrics.h"
#include "keelbridge/daemon/periodic_task.h"
#include "keelbridge/daemon/worker_pool.h"
#include "keelbridge/transport/http_server.h"
#include "keelbridge/transport/rpc_client.h"

namespace keelbridge {
namespace {

constexpr size_t kMaxQueuedEvents = 20000;
constexpr size_t kMaxEventsPerStep = 2000;
constexpr size_t kMaxHttpThreads = 16;
constexpr absl::Duration kConfirmTimeout = absl::Seconds(4);
constexpr absl::Duration kCoreCallTimeout = absl::Seconds(5);
constexpr absl::Duration kConfigurationRenewalInterval = absl::Minutes(10);

// A function to run on the thread that owns the `ZoneScheduler`.
using Event = std::function<void(ZoneScheduler&, Now)>;

ZoneScheduler::Options MakeOptions(const Settings& settings,
                                   uint64_t incarnation) {
  ZoneScheduler::Options options;
  options.name = settings.name;
  options.zone = settings.zone;
  options.incarnation = incarnation;
  options.seed = incarnation;
  options.leadership.holder =
      absl::StrFormat("%s/%x", settings.name, incarnation);
  options.leadership.hold_ttl = settings.hold_ttl;
  options.leadership.renew_interval = settings.hold_ttl / 3;
  options.leadership.poll_interval = settings.hold_ttl / 4;
  options.leases.lease_ttl = settings.lease_ttl;
  options.leases.command_validity = settings.command_validity;
  options.leases.clock_error = settings.clock_error;
  // The log counts as down only after more than one or two failed polls.
  options.log_down_after =
      std::max(options.log_down_after, 3 * settings.poll_interval);
  options.log.incarnation = incarnation;
  options.log.seed = incarnation;
  options.log.append_interval = settings.append_interval;
  return options;
}

JsonRpcReply Reply(Json::Value result) {
  JsonRpcReply reply;
  reply.result = std::move(result);
  return reply;
}

}  // namespace

class Scheduler::Impl {
 public:
  Impl(const Settings& settings, Address log, Address hosts)
      : settings_(settings),
        incarnation_(RandomId() >> 1),
        stream_(ZoneStream(settings.zone)),
        log_(std::move(log)),
        host_list_(std::move(hosts)),
        configuration_(log_, settings.log_timeout),
        metrics_("scheduler"),
        core_(MakeOptions(settings, incarnation_)),
        workers_(static_cast<size_t>(settings.worker_threads),
                 settings.command_validity,
                 [this](WorkerCall call, WorkerAnswer answer) {
                   OnWorkerAnswer(std::move(call), std::move(answer));
                 }) {}

  ~Impl() { Stop(); }

  Result<void> Start() {
    Result<Address> listen = ParseAddress(settings_.listen);
    if (!listen) return listen.error();
    HttpServer::Options options;
    options.ip = listen.value().ip;
    options.port = listen.value().port;
    options.max_threads = kMaxHttpThreads;
    options.max_body_bytes = static_cast<size_t>(settings_.max_body_bytes);
    AddRpcMethods();
    server_ = std::make_unique<HttpServer>(
        options,
        [this](const ServerRequest& request) { return Handle(request); });
    Result<int> port = server_->Start();
    if (!port) return port.error();
    port_ = port.value();
    decider_task_ = tasks_.Start("decider", settings_.tick, [this] { Step(); });
    tasks_.Start("configuration", settings_.poll_interval,
                 [this] { FollowConfiguration(); });
    log_reader_task_ =
        tasks_.Start("log_reader", absl::Seconds(1), [this] { ReadLog(); });
    log_writer_task_ =
        tasks_.Start("log_writer", absl::Seconds(1), [this] { WriteLog(); });
    tasks_.Start("hosts", settings_.poll_interval, [this] { FollowHosts(); });
    if (!settings_.ready_file.empty())
      std::ofstream(settings_.ready_file) << port_ << "\n";
    LogEvent(Severity::kInfo, "scheduler_serves",
             {{"zone", settings_.zone}, {"port", absl::StrCat(port_)}});
    return Success();
  }

  int port() const { return port_; }

  void Drain() {
    LogEvent(Severity::kInfo, "scheduler_drains", {});
    draining_ = true;
    server_->Drain();
    // Sends the releases of leadership, and gives the queued entries time to
    // reach the log.
    CallCore([this](ZoneScheduler& core, Now now) {
      for (Action& action : core.HandOver(now))
        ExecuteAction(std::move(action), now.mono);
      return 0;
    });
    const absl::Time deadline = SystemNow().mono + settings_.drain_notice;
    while (SystemNow().mono < deadline) {
      const auto idle = CallCore(
          [](ZoneScheduler& core, Now) { return core.writer().idle(); });
      if (idle && *idle) break;
      absl::SleepFor(absl::Milliseconds(20));
    }
    Stop();
    LogEvent(Severity::kInfo, "scheduler_stopped", {});
  }

 private:
  void Stop() {
    if (server_) server_->Stop();
    // The worker pool's threads wake the decider, so they must end first.
    workers_.Stop();
    tasks_.Stop();
  }

  // Functions of the thread that owns the core.

  void Step() {
    for (Event& event : events_.Drain(kMaxEventsPerStep))
      event(core_, SystemNow());
    const Now now = SystemNow();
    for (Action& action : core_.Tick(now))
      ExecuteAction(std::move(action), now.mono);
    PublishMetrics(now);
  }

  void ExecuteAction(Action action, absl::Time sent_at) {
    if (auto* append = std::get_if<SendAppend>(&action)) {
      if (!appends_.Push(std::move(append->envelope)))
        core_.OnAppendAnswer(std::nullopt, SystemNow());
      log_writer_task_->Wake();
      return;
    }
    WorkerCall call;
    call.sent_at = sent_at;
    if (auto* hold = std::get_if<SendHold>(&action))
      call.command = std::move(*hold);
    if (auto* start = std::get_if<SendStart>(&action))
      call.command = std::move(*start);
    if (auto* stop = std::get_if<SendStop>(&action))
      call.command = std::move(*stop);
    if (!workers_.Send(call))
      DeliverReply(core_, call, std::monostate(), SystemNow());
  }

  static void DeliverReply(ZoneScheduler& core, const WorkerCall& call,
                           const WorkerAnswer& answer, Now now) {
    std::optional<HoldReply> hold_reply;
    std::optional<CommandReply> command_reply;
    if (const auto* reply = std::get_if<HoldReply>(&answer))
      hold_reply = *reply;
    if (const auto* reply = std::get_if<CommandReply>(&answer))
      command_reply = *reply;
    if (const auto* hold = std::get_if<SendHold>(&call.command))
      core.OnHoldReply(*hold, call.sent_at, hold_reply, now);
    if (const auto* start = std::get_if<SendStart>(&call.command))
      core.OnStartReply(*start, command_reply, now);
    if (const auto* stop = std::get_if<SendStop>(&call.command))
      core.OnStopReply(*stop, command_reply, now);
  }

  void OnWorkerAnswer(WorkerCall call, WorkerAnswer answer) {
    PushEvent([call = std::move(call), answer = std::move(answer)](
                  ZoneScheduler& core, Now now) {
      DeliverReply(core, call, answer, now);
    });
  }

  // Queues an event. If the queue is full, the event is dropped, which the core
  // handles like a message lost on the network.
  void PushEvent(Event event) {
    if (!events_.Push(std::move(event)))
      metrics_.Count("events_dropped_total", {});
    if (decider_task_ != nullptr) decider_task_->Wake();
  }

  // Runs `f` on the core's thread and waits for its result. Returns nullopt
  // after kCoreCallTimeout.
  template <typename F>
  auto CallCore(F f)
      -> std::optional<decltype(f(std::declval<ZoneScheduler&>(), Now()))> {
    using R = decltype(f(std::declval<ZoneScheduler&>(), Now()));
    auto promise = std::make_shared<std::promise<R>>();
    std::future<R> future = promise->get_future();
    PushEvent([promise, f = std::move(f)](ZoneScheduler& core, Now now) {
      promise->set_value(f(core, now));
    });
    if (future.wait_for(absl::ToChronoNanoseconds(kCoreCallTimeout)) !=
        std::future_status::ready)
      return std::nullopt;
    return future.get();
  }

  void PublishMetrics(Now now) {
    const bool leads = core_.Leads(now.mono);
    if (leads != leads_) {
      LogEvent(
          Severity::kInfo, leads ? "leadership_won" : "leadership_lost",
          {{"zone", settings_.zone}, {"epoch", absl::StrCat(core_.epoch())}});
    }
    leads_ = leads;
    if (now.mono < next_publish_) return;
    next_publish_ = now.mono + absl::Seconds(1);
    metrics_.Set("leads", {}, leads ? 1 : 0);
    metrics_.Set("tasks_waiting", {},
                 static_cast<double>(core_.decider().waiting()));
    metrics_.Set("leases", {},
                 static_cast<double>(core_.leases().leases().size()));
    metrics_.Set("starts", {}, static_cast<double>(core_.counts().starts));
    metrics_.Set("restarts", {}, static_cast<double>(core_.counts().restarts));
    metrics_.Set("holds", {}, static_cast<double>(core_.counts().holds));
    metrics_.Set("log_appends", {},
                 static_cast<double>(core_.writer().appends()));
    metrics_.Set("log_down", {}, core_.LogDown(now.mono) ? 1 : 0);
  }

  // The other periodic tasks.

  void FollowConfiguration() {
    bool changed = configuration_.PollLog();
    if (!configuration_.log_answers()) {
      for (const std::string& peer : settings_.peers)
        changed = configuration_.PollPeer(peer) || changed;
    }
    if (changed) {
      const Configuration next = configuration_.current();
      std::map<std::string, std::string> addresses;
      for (const WorkerConfig& worker : next.workers) {
        if (worker.zone == settings_.zone)
          addresses[worker.name] = worker.address;
      }
      workers_.SetAddresses(addresses);
      PushEvent(
          [next](ZoneScheduler& core, Now) { core.OnConfiguration(next); });
      LogEvent(Severity::kInfo, "configuration_in_force",
               {{"version", absl::StrCat(next.version)}});
    }
    if (!leads_) return;
    const std::optional<ConfigurationEntry> renewal = configuration_.RenewalDue(
        SystemNow().mono, kConfigurationRenewalInterval);
    if (!renewal) return;
    const Envelope envelope{{RandomId() >> 1, 1}, {*renewal}};
    // A lost renewal is repeated at the next poll.
    (void)log_.Append(kConfigurationStream, EnvelopeToText(envelope),
                      settings_.log_timeout);
  }

  void ReadLog() {
    while (true) {
      const auto from = CallCore(
          [](ZoneScheduler& core, Now) { return core.replica().next(); });
      if (!from) return;
      Result<LogBatch> batch = log_.Read(stream_, *from, settings_.log_timeout);
      if (!batch) return;
      const bool more = !batch.value().records.empty();
      PushEvent(
          [batch = std::move(batch.value())](ZoneScheduler& core, Now now) {
            core.OnLogBatch(batch, now);
          });
      if (!more) return;
    }
  }

  void WriteLog() {
    for (const Envelope& envelope : appends_.Drain(1)) {
      Result<int64_t> offset =
          log_.Append(stream_, EnvelopeToText(envelope), settings_.log_timeout);
      const std::optional<int64_t> answer =
          offset ? std::optional<int64_t>(offset.value()) : std::nullopt;
      PushEvent([answer](ZoneScheduler& core, Now now) {
        core.OnAppendAnswer(answer, now);
      });
      // An entry takes effect only once it has been read back from the log.
      log_reader_task_->Wake();
    }
  }

  void FollowHosts() {
    Result<std::set<std::string>> leaving =
        host_list_.Leaving(settings_.log_timeout);
    if (!leaving) return;
    PushEvent([names = std::move(leaving.value())](ZoneScheduler& core, Now) {
      core.OnLeaving(names);
    });
  }

  // Requests of operators and peers.

  ServerResponse Handle(const ServerRequest& request) {
    if (request.path == "/healthz") return {200, {}, "ok\n", "text/plain"};
    if (request.path == "/readyz") {
      if (draining_) return {503, {}, "draining\n", "text/plain"};
      if (configuration_.version() < 0)
        return {503,
                {},
                "no configuration yet, from the log or a peer\n",
                "text/plain"};
      return {200, {}, "ready\n", "text/plain"};
    }
    if (request.path == "/metrics")
      return {200, {}, metrics_.Text(), "text/plain; version=0.0.4"};
    if (request.path == kRpcPath)
      return {200, {}, rpc_.Dispatch(request.body), "application/json"};
    return {404,
            {},
            "a scheduler serves /rpc, /healthz, /readyz and /metrics\n",
            "text/plain"};
  }

  static JsonRpcReply BusyReply() {
    return ToRpcReply(MakeError(ErrorCode::kOverloaded,
                                "the scheduler is busy; nothing was done",
                                absl::Seconds(1)));
  }

  // Only the leader knows the decisions. An error makes the caller try the next
  // scheduler.
  static JsonRpcReply LeaderReply(const Json::Value& value) {
    if (value["leads"].asBool()) return Reply(value);
    return ToRpcReply(MakeError(ErrorCode::kUnavailable,
                                "this scheduler does not lead its zone",
                                absl::Seconds(1)));
  }

  void AddRpcMethods() {
    rpc_.Add("plan",
             [this](const Json::Value& params) { return OnPlan(params); });
    rpc_.Add("confirm",
             [this](const Json::Value& params) { return OnConfirm(params); });
    rpc_.Add("explain", [this](const Json::Value& params) {
      const std::string task = params["task"].asString();
      auto text = CallCore(
          [task](ZoneScheduler& core, Now) { return core.Explain(task); });
      if (!text) return BusyReply();
      if (!*text) return ToRpcReply(text->error());
      Json::Value out;
      out["text"] = text->value();
      return Reply(out);
    });
    rpc_.Add("watch", [this](const Json::Value& params) {
      const int64_t after = params["after"].asInt64();
      const auto out = CallCore([after](ZoneScheduler& core, Now now) {
        Json::Value value;
        value["leads"] = core.Leads(now.mono);
        int64_t next = 0;
        value["lines"] = Json::Value(Json::arrayValue);
        for (const std::string& line : core.Watch(after, &next))
          value["lines"].append(line);
        value["next"] = static_cast<Json::Int64>(next);
        return value;
      });
      return out ? LeaderReply(*out) : BusyReply();
    });
    rpc_.Add("drained_targets", [this](const Json::Value&) {
      const auto out = CallCore([](ZoneScheduler& core, Now) {
        Json::Value value;
        value["targets"] = Json::Value(Json::arrayValue);
        for (const std::string& name : core.replica().state().drained_targets())
          value["targets"].append(name);
        return value;
      });
      return out ? Reply(*out) : BusyReply();
    });
    rpc_.Add("configuration", [this](const Json::Value& params) {
      return Reply(configuration_.MakePeerReply(params["have"].asInt64()));
    });
    rpc_.Add("status", [this](const Json::Value&) {
      const auto out = CallCore(
          [this](ZoneScheduler& core, Now now) { return Status(core, now); });
      return out ? Reply(*out) : BusyReply();
    });
    rpc_.Add("top", [this](const Json::Value&) {
      const auto out =
          CallCore([](ZoneScheduler& core, Now) { return Top(core); });
      return out ? Reply(*out) : BusyReply();
    });
  }

  JsonRpcReply OnPlan(const Json::Value& params) {
    std::vector<Intent> intents;
    for (const Json::Value& intent : params["intents"])
      intents.push_back(IntentFromJson(intent));
    auto plan = CallCore([intents](ZoneScheduler& core, Now now) {
      return core.Propose(intents, now);
    });
    if (!plan) return BusyReply();
    if (!*plan) return ToRpcReply(plan->error());
    return Reply(ToJson(plan->value()));
  }

  JsonRpcReply OnConfirm(const Json::Value& params) {
    const Plan plan = PlanFromJson(params["plan"]);
    const auto sent =
        CallCore([plan](ZoneScheduler& core, Now now) -> Result<void> {
          return core.Confirm(plan, now);
        });
    if (!sent) return BusyReply();
    if (!*sent)
      return sent->error().code == ErrorCode::kStale
                 ? StaleReply(plan, sent->error())
                 : ToRpcReply(sent->error());
    const absl::Time deadline = SystemNow().mono + kConfirmTimeout;
    while (SystemNow().mono < deadline) {
      const auto outcome = CallCore([id = plan.id](ZoneScheduler& core, Now) {
        return core.GetPlanOutcome(id);
      });
      if (outcome && *outcome == ZoneState::PlanOutcome::kConfirmed) {
        Json::Value out;
        out["confirmed"] = plan.id;
        return Reply(out);
      }
      if (outcome && *outcome == ZoneState::PlanOutcome::kStale) {
        return StaleReply(
            plan,
            MakeError(
                ErrorCode::kStale,
                "another plan was confirmed first; look at the fresh plan"));
      }
      absl::SleepFor(absl::Milliseconds(20));
    }
    return ToRpcReply(MakeError(ErrorCode::kUnknown,
                                "the log has not answered in time, so the plan "
                                "may or may not be confirmed; confirm the "
                                "same plan again, which is harmless"));
  }

  // The reply that rejects a stale plan contains a new plan for the same
  // intents.
  JsonRpcReply StaleReply(const Plan& plan, const Error& error) {
    auto new_plan =
        CallCore([intents = plan.intents](ZoneScheduler& core, Now now) {
          return core.Propose(intents, now);
        });
    Json::Value out;
    out["stale"] = error.message;
    if (new_plan && *new_plan) out["fresh"] = ToJson(new_plan->value());
    return Reply(out);
  }

  Json::Value Status(const ZoneScheduler& core, Now now) const {
    Json::Value out;
    out["name"] = settings_.name;
    out["zone"] = settings_.zone;
    out["role"] = core.Leads(now.mono) ? "leader" : "standby";
    out["leader"] = core.replica().state().leader();
    out["epoch"] = static_cast<Json::Int64>(core.epoch());
    out["configuration_version"] =
        static_cast<Json::Int64>(configuration_.version());
    out["log_answers"] = !core.LogDown(now.mono);
    out["offset"] = static_cast<Json::Int64>(core.replica().next());
    out["tasks_running"] =
        static_cast<Json::Int64>(core.leases().leases().size());
    out["tasks_waiting"] = static_cast<Json::Int64>(core.decider().waiting());
    out["starts"] = static_cast<Json::Int64>(core.counts().starts);
    out["restarts"] = static_cast<Json::Int64>(core.counts().restarts);
    for (const auto& [id, record] : core.replica().state().work()) {
      Json::Value row;
      row["intent"] = id;
      row["kind"] = IntentKindName(record.intent.kind);
      row["class"] = WorkClassName(record.intent.work_class);
      row["team"] = record.intent.team;
      row["tasks"] = static_cast<Json::Int64>(record.intent.tasks);
      row["ended"] = static_cast<Json::Int64>(record.ended.Count());
      row["unknown"] = static_cast<Json::Int64>(record.unknown.Count());
      out["work"].append(row);
    }
    return out;
  }

  static Json::Value Top(const ZoneScheduler& core) {
    Json::Value out;
    const Cell& cell = core.decider().cell();
    out["workers"] = Json::Value(Json::arrayValue);
    for (WorkerId id = 0; id < static_cast<WorkerId>(cell.size()); ++id) {
      Json::Value row;
      row["worker"] = cell.Name(id);
      row["rack"] = cell.RackName(cell.Rack(id));
      row["schedulable"] = cell.Schedulable(id);
      row["tasks"] =
          static_cast<Json::Int64>(core.decider().TasksOn(id).size());
      row["used"] = ToJson(cell.Used(id));
      row["total"] = ToJson(cell.Total(id));
      out["workers"].append(row);
    }
    out["teams"] = Json::Value(Json::arrayValue);
    const auto teams = static_cast<int16_t>(core.decider().Teams());
    for (int16_t team = 0; team < teams; ++team) {
      Json::Value row;
      row["team"] = core.decider().TeamName(team);
      row["share"] = core.decider().ShareOf(team);
      row["quota"] = core.decider().QuotaOf(team);
      out["teams"].append(row);
    }
    return out;
  }

  const Settings settings_;
  const uint64_t incarnation_;
  const std::string stream_;
  LogClient log_;
  HostListClient host_list_;
  ConfigurationFollower configuration_;
  Metrics metrics_;
  JsonRpcServer rpc_;
  BoundedQueue<Event> events_{kMaxQueuedEvents};
  BoundedQueue<Envelope> appends_{4};
  std::atomic<bool> draining_{false};
  std::atomic<bool> leads_{false};
  int port_ = 0;
  ZoneScheduler core_;  // Used only by the decider task.
  absl::Time next_publish_ = absl::InfinitePast();
  WorkerPool workers_;
  PeriodicTask* decider_task_ = nullptr;
  PeriodicTask* log_reader_task_ = nullptr;
  PeriodicTask* log_writer_task_ = nullptr;
  std::unique_ptr<HttpServer> server_;
  PeriodicTaskRunner tasks_;
};

Scheduler::Scheduler(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Scheduler::~Scheduler() = default;

Result<std::unique_ptr<Scheduler>> Scheduler::Start(const Settings& settings) {
  Result<Address> log = ParseAddress(settings.log);
  Result<Address> hosts = ParseAddress(settings.host_list);
  if (!log) return log.error();
  if (!hosts) return hosts.error();
  auto impl = std::make_unique<Impl>(settings, log.value(), hosts.value());
  if (Result<void> started = impl->Start(); !started) return started.error();
  return std::unique_ptr<Scheduler>(new Scheduler(std::move(impl)));
}

int Scheduler::port() const { return impl_->port(); }
void Scheduler::Drain() { impl_->Drain(); }

}  // namespace keelbridge
