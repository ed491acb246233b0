#include "keelbridge/daemon/site_node.h"

#include <algorithm>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/transport/event_timer.h"
#include "keelbridge/transport/trace.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kElectionInterval = absl::Milliseconds(100);
constexpr absl::Duration kSpeedProbeInterval = absl::Milliseconds(300);
// How often to check whether the configuration must be confirmed; see
// `Freshness`.
constexpr absl::Duration kConfigurationCheckInterval = absl::Milliseconds(100);
// How often to check whether a heartbeat is due.
constexpr absl::Duration kHeartbeatCheckInterval = absl::Milliseconds(50);
// Time from the stop signal until no new requests arrive: the balancer checks
// readiness every second and removes a node after two failed checks.
constexpr absl::Duration kDrainNotice = absl::Milliseconds(2300);
// The process ends this long before the grace period does, so that it exits by
// itself.
constexpr absl::Duration kGraceMargin = absl::Milliseconds(500);
// All pending calls are answered this long before the process ends: a request
// that was read from a client must not go without an answer.
constexpr absl::Duration kFinalRepliesMargin = absl::Milliseconds(500);
constexpr int kNotFoundStatus = 404;
constexpr int kUnavailableStatus = 503;

EventHttpServer::Options ServerOptions(const Address& listen,
                                       size_t max_connections) {
  EventHttpServer::Options options;
  options.listen = listen;
  options.max_connections = max_connections;
  return options;
}

OrderRelayClient::Options OrderOptions(const NodeSettings& settings) {
  OrderRelayClient::Options options;
  options.routing.direct_workers_per_processor =
      settings.direct_workers_per_processor;
  options.own_address = settings.PeerAddress();
  return options;
}

SiteMembership::Options MembershipOptions(const NodeSettings& settings) {
  SiteMembership::Options options;
  options.tree = settings.heartbeat_tree;
  return options;
}

SiteElection::Options ElectionOptions(const NodeSettings& settings) {
  SiteElection::Options options;
  options.capacity = settings.Capacity();
  return options;
}

}  // namespace

SiteNode::SiteNode(boost::asio::io_context& loop, NodeSettings settings,
                   NodePorts ports, StoreFailover& store_failover,
                   EventRpcClient& rpc)
    : loop_(loop),
      settings_(std::move(settings)),
      ports_(ports),
      store_failover_(store_failover),
      rpc_(rpc),
      incarnation_(RandomId()),
      metrics_("node"),
      peer_server_(loop, settings_.peer_listen),
      order_relay_client_(loop, *ports.workers, rpc, OrderOptions(settings_)),
      order_relay_server_(loop, *ports.workers, rpc),
      election_(settings_.name, incarnation_, settings_.PeerAddress(),
                ElectionOptions(settings_)),
      membership_(DescribeSelf(), incarnation_, MembershipOptions(settings_)) {}

void SiteNode::RunPeriodically(absl::Duration period,
                               std::function<void()> step) {
  auto timer = std::make_shared<EventTimer>(loop_);
  auto run = std::make_shared<std::function<void()>>();
  *run = [timer, period, step = std::move(step), run] {
    // Schedules the next call also if this one throws.
    const auto schedule_next = absl::MakeCleanup([&timer, &period, &run] {
      timer->expires_after(absl::ToChronoNanoseconds(period));
      timer->async_wait([run](boost::system::error_code error) {
        if (!error) (*run)();
      });
    });
    step();
  };
  (*run)();
}

Result<void> SiteNode::Start() {
  const auto max_connections = static_cast<size_t>(settings_.max_connections);
  client_server_ = std::make_unique<EventHttpServer>(
      loop_, ServerOptions(settings_.client_listen, max_connections),
      [this](const ServerRequest& request, EventHttpServer::Reply reply) {
        ServeClient(request, std::move(reply));
      });
  ready_server_ = std::make_unique<EventHttpServer>(
      loop_, ServerOptions(settings_.ready_listen, 16),
      [this](const ServerRequest& request,
             const EventHttpServer::Reply& reply) {
        ServeReady(request, reply);
      });
  AddPeerMethods();
  AddOrderMethods();
  for (auto start : {client_server_->Start(), ready_server_->Start(),
                     peer_server_.Start()}) {
    if (!start) return start.error();
  }
  if (settings_.metrics_listen.port != 0) {
    metrics_server_ = std::make_unique<EventHttpServer>(
        loop_, ServerOptions(settings_.metrics_listen, 16),
        [this](const ServerRequest& request,
               const EventHttpServer::Reply& reply) {
          ServeMetrics(request, reply);
        });
    if (auto start = metrics_server_->Start(); !start) return start.error();
  }
  LogEvent(Severity::kInfo, "node_started",
           {{"zone", settings_.zone},
            {"clients", settings_.client_listen.ToString()},
            {"peers", settings_.peer_listen.ToString()}});
  RunPeriodically(kElectionInterval, [this] { StepElection(); });
  RunPeriodically(kSpeedProbeInterval, [this] { ProbeSpeed(); });
  ReadConfiguration();
  RunPeriodically(kConfigurationCheckInterval,
                  [this] { CheckConfiguration(); });
  RunPeriodically(kHeartbeatCheckInterval, [this] {
    UpdateMembership();
    if (HeartbeatDue(SystemNow().mono)) Heartbeat();
  });
  return Success();
}

bool SiteNode::Ready() const {
  if (draining_ || configuration_ == nullptr) return false;
  if (session_ != nullptr && session_->active()) return session_->CanAccept();
  return leader_contact_.accepts && InContactWithLeader();
}

bool SiteNode::LeaderOutOfReach() const { return !InContactWithLeader(); }

void SiteNode::ServeReady(const ServerRequest& request,
                          const EventHttpServer::Reply& reply) {
  (void)request;
  const bool ready = Ready();
  reply({ready ? 200 : kUnavailableStatus,
         {},
         ready ? "ready\n" : "not ready\n",
         "text/plain"});
}

void SiteNode::ServeMetrics(const ServerRequest& request,
                            const EventHttpServer::Reply& reply) {
  if (request.path != "/metrics")
    return reply({kNotFoundStatus, {}, "see /metrics\n", "text/plain"});
  metrics_.Set("log_lines_dropped", {}, static_cast<double>(DroppedLogLines()));
  metrics_.Set("store_calls", {}, static_cast<double>(store_failover_.calls()));
  metrics_.Set("store_calls_through_peers", {},
               static_cast<double>(store_failover_.relayed()));
  const auto count = [](int64_t value) { return static_cast<double>(value); };
  metrics_.Set("orders_relayed", {}, count(order_relay_client_.relayed()));
  metrics_.Set("orders_relayed_unanswered", {},
               count(order_relay_client_.unanswered()));
  metrics_.Set("orders_carried", {}, count(order_relay_server_.forwarded()));
  metrics_.Set("ready", {}, Ready() ? 1 : 0);
  metrics_.Set("leads", {}, session_ != nullptr && session_->active() ? 1 : 0);
  metrics_.Set("members", {},
               count(static_cast<int64_t>(membership_.members().size())));
  metrics_.Set("heartbeat_depth", {},
               count(membership_.DepthOf(settings_.name)));
  metrics_.Set("configuration_version", {},
               static_cast<double>(configuration_version()));
  metrics_.Set("configuration_unconfirmed_seconds", {},
               absl::ToDoubleSeconds(ConfigurationAge()));
  reply({200, {}, metrics_.Text(), "text/plain"});
}

void SiteNode::Drain(std::function<void()> done) {
  if (draining_) return;
  draining_ = true;
  on_drained_ = std::move(done);
  drain_started_ = SystemNow().mono;
  election_.Retire();
  client_server_->Drain();
  LogEvent(Severity::kInfo, "node_draining", {});
  RunPeriodically(absl::Milliseconds(100), [this] {
    const absl::Duration since = SystemNow().mono - drain_started_;
    const bool leads = session_ != nullptr && !session_->ended();
    if (leads) {
      const auto successor = election_.Successor();
      const SiteMember* member =
          successor ? membership_.members().Find(*successor) : nullptr;
      if (member != nullptr) RequestTakeover(*member);
    }
    const bool idle =
        since > kDrainNotice && client_server_->InFlight() == 0 && !leads;
    const absl::Duration max_drain_duration =
        settings_.stop_grace - kGraceMargin;
    const bool out_of_time = since > max_drain_duration;
    if (since > max_drain_duration - kFinalRepliesMargin &&
        !final_replies_sent_) {
      final_replies_sent_ = true;
      GiveUpAll();
    }
    if (!idle && !out_of_time) return;
    if (!on_drained_) return;
    LogEvent(Severity::kInfo, "node_stopped",
             {{"in_flight", absl::StrCat(client_server_->InFlight())},
              {"leads", leads ? "yes" : "no"}});
    std::exchange(on_drained_, nullptr)();
  });
}

}  // namespace keelbridge
