// The command `request`, which sends a request to a gateway as a client would.

#include <string>
#include <vector>

#include "keelbridge/base/json_reader.h"
#include "keelbridge/cli/command_list.h"
#include "keelbridge/protocol/verdict.h"
#include "keelbridge/transport/http_client.h"
#include "keelbridge/transport/trace.h"

namespace keelbridge::cli {
namespace {

Result<std::string> RequestTicket(HttpClient& gateway, absl::Duration timeout) {
  const HttpOutcome outcome = gateway.Send(
      {"POST", "/keelbridge/ticket", {}, "", "application/json"}, timeout);
  if (!outcome.response || outcome.response->status != 201) {
    return MakeError(ErrorCode::kUnavailable,
                     "the gateway issued no ticket; nothing was sent");
  }
  return JsonDocument::Parse(outcome.response->body, "ticket")
      .root()["ticket"]
      .asString();
}

}  // namespace

int Request(const Context& context, const Arguments& arguments) {
  if (arguments.size() != 1 || arguments[0][0] != '/')
    return ReportUsageError(context, "request /SERVICE/PATH --gateway=IP:PORT");
  Result<Address> address = ParseAddress(context.options.gateway);
  if (!address) return ReportError(context, address.error());
  HttpClient gateway(address.value(), HttpClient::Options());
  const Span span("cli.request", TraceContext());
  HttpRequest request{context.options.method,
                      arguments[0],
                      {},
                      context.options.body,
                      "text/plain"};
  request.headers.emplace_back("traceparent", span.context().ToHeader());
  if (!context.options.key.empty())
    request.headers.emplace_back(kIdempotencyKeyHeader, context.options.key);
  std::string ticket = context.options.ticket;
  if (ticket == "new") {
    Result<std::string> new_ticket =
        RequestTicket(gateway, context.options.timeout);
    if (!new_ticket) return ReportError(context, new_ticket.error());
    ticket = new_ticket.value();
  }
  if (!ticket.empty()) request.headers.emplace_back(kTicketHeader, ticket);
  const HttpOutcome outcome = gateway.Send(request, context.options.timeout);
  if (!outcome.response) {
    const Verdict verdict = VerdictFromFailure(outcome.failure);
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
    if (!retry.empty()) context.out << "retry after " << retry << " s\n";
  }
  if (verdict == VerdictName(Verdict::kRan)) return kExitOk;
  return verdict == VerdictName(Verdict::kMayHaveRun) ? kExitMayHaveRun
                                                      : kExitUnavailable;
}

}  // namespace keelbridge::cli
