// Serves callers' requests and answers each with a verdict.
//
// Finds the service, prevents requests that must not run twice from doing so,
// chooses targets, retries within the deadline and the retry budget, and
// classifies the targets' answers. Does not access configuration files, logs or
// peers itself; the gateway passes their contents in.
//
//   RequestServer requests(settings, incarnation, log, metrics);
//   requests.ApplyConfiguration(configuration);
//   ServerResponse response = requests.Serve(request, span);

#ifndef KEELBRIDGE_DAEMON_REQUEST_SERVER_H_
#define KEELBRIDGE_DAEMON_REQUEST_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "keelbridge/coordination/idempotency.h"
#include "keelbridge/coordination/router.h"
#include "keelbridge/daemon/claim_service.h"
#include "keelbridge/daemon/metrics.h"
#include "keelbridge/daemon/settings.h"
#include "keelbridge/protocol/platform_clients.h"
#include "keelbridge/protocol/verdict.h"
#include "keelbridge/transport/http_server.h"
#include "keelbridge/transport/trace.h"

namespace keelbridge {

// Path at which callers obtain tickets.
constexpr char kTicketPath[] = "/keelbridge/ticket";

// Thread-safe.
class RequestServer {
 public:
  RequestServer(const Settings& settings, uint64_t incarnation, LogClient& log,
                Metrics& metrics);

  void ApplyConfiguration(const Configuration& configuration);
  // Sets the targets that get no new requests.
  void SetDrainingTargets(const std::set<std::string>& names);
  // Sets the position of this gateway, `index`, among the `count` live gateways
  // of the zone.
  void SetShare(int index, int count);

  // Answers a caller's request. Every answer carries a verdict.
  ServerResponse Serve(const ServerRequest& request, Span& span);
  ServerResponse IssueTicket(const ServerRequest& request);

  // The owner must call its Step() from a periodic task.
  ClaimService& claims() { return claims_; }

 private:
  // Identification and limits of a request.
  struct RequestContext {
    std::string service;
    std::string request_id;
    std::string team;
    absl::Time deadline;  // On the monotonic clock.
    bool repeatable = false;
  };

  ServerResponse ServeNonRepeatable(const ServerRequest& request,
                                    const RequestContext& context, Span& span);
  static bool HasVerdict(const ServerResponse& response, Verdict verdict);
  ServerResponse ServeWithTicket(const std::string& text,
                                 const ServerRequest& request,
                                 const RequestContext& context, Span& span);
  ServerResponse ForwardToIssuer(const Ticket& ticket,
                                 const ServerRequest& request,
                                 const RequestContext& context, Span& span);
  HttpRequest MakeForwardedRequest(const ServerRequest& request,
                                   const RequestContext& context,
                                   const Span& span, int attempt) const;
  static bool IsReplacedHeader(const std::string& name);
  static std::string UrlEncode(const std::string& text);
  ServerResponse Forward(const ServerRequest& request,
                         const RequestContext& context, Span& parent);
  static const char* AttemptName(AttemptResult result);
  AttemptResult ClassifyAttempt(HttpOutcome& outcome,
                                const RequestContext& context, int attempt);
  static ServerResponse ResponseFromTarget(const HttpResponse& in,
                                           const std::string& verdict);
  RetryBudget& RetryBudgetFor(const std::string& team)

      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  static constexpr size_t kMaxBudgets = 256;

  const std::string name_;
  const std::string zone_;
  Metrics& metrics_;
  ClaimService claims_;
  absl::Mutex mutex_;
  bool configured_ ABSL_GUARDED_BY(mutex_) = false;
  Router router_ ABSL_GUARDED_BY(mutex_);
  TicketTable tickets_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::shared_ptr<HttpClient>> clients_
      ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::string> addresses_ ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::string> entry_hosts_ ABSL_GUARDED_BY(mutex_);
  // Clients of the gateways that issued tickets, by address.
  std::map<std::string, std::shared_ptr<HttpClient>> ticket_issuers_
      ABSL_GUARDED_BY(mutex_);
  std::map<std::string, RetryBudget> budgets_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_REQUEST_SERVER_H_
