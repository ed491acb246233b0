#include "keelbridge/protocol/platform_clients.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

constexpr int kOk = 200;

HttpClient::Options ConnectionOptions() {
  HttpClient::Options options;
  options.max_idle = 2;
  // Longer than the interval between two polls, so that they share a
  // connection, and shorter than the platform's servers keep an idle
  // connection.
  options.idle_expiry = absl::Seconds(4);
  return options;
}

// Returns the JSON object of a complete, successful answer.
std::optional<Json::Value> ParseObject(const HttpOutcome& outcome) {
  if (!outcome.response || outcome.response->status != kOk) return std::nullopt;
  const JsonDocument document =
      JsonDocument::Parse(outcome.response->body, "answer");
  if (!document.faults().empty()) return std::nullopt;
  return document.root();
}

Error ErrorWithoutAnswer(const HttpOutcome& outcome) {
  if (NothingWasSent(outcome.failure))
    return MakeError(ErrorCode::kUnavailable, outcome.message);
  const std::string what =
      outcome.response ? absl::StrCat("status ", outcome.response->status,
                                      " or a malformed answer")
                       : outcome.message;
  return MakeError(ErrorCode::kUnknown, what);
}

}  // namespace

LogClient::LogClient(Address address)
    : http_(std::move(address), ConnectionOptions()) {}

Result<int64_t> LogClient::Append(const std::string& stream,
                                  const std::string& text,
                                  absl::Duration timeout) {
  const HttpOutcome outcome =
      http_.Send({"POST",
                  absl::StrCat("/append?stream=", stream),
                  {},
                  text,
                  "application/json"},
                 timeout);
  const std::optional<Json::Value> answer = ParseObject(outcome);
  if (!answer || !(*answer)["offset"].isInt64())
    return ErrorWithoutAnswer(outcome);
  return (*answer)["offset"].asInt64();
}

Result<LogBatch> LogClient::Read(const std::string& stream, int64_t from,
                                 absl::Duration timeout) {
  const HttpOutcome outcome =
      http_.Send({"GET",
                  absl::StrCat("/read?stream=", stream, "&from=", from),
                  {},
                  "",
                  ""},
                 timeout);
  const std::optional<Json::Value> answer = ParseObject(outcome);
  if (!answer) return ErrorWithoutAnswer(outcome);
  try {
    return LogBatchFromJson(*answer);
  } catch (const Json::Exception& e) {
    return MakeError(ErrorCode::kUnknown, e.what());
  }
}

HostListClient::HostListClient(Address address)
    : http_(std::move(address), ConnectionOptions()) {}

Result<std::set<std::string>> HostListClient::Leaving(absl::Duration timeout) {
  const HttpOutcome outcome = http_.Send({"GET", "", {}, "", ""}, timeout);
  const std::optional<Json::Value> answer = ParseObject(outcome);
  if (!answer) return ErrorWithoutAnswer(outcome);
  std::set<std::string> names;
  for (const Json::Value& name : (*answer)["leaving"]) {
    if (name.isString()) names.insert(name.asString());
  }
  return names;
}

WorkerClient::WorkerClient(Address address)
    : http_(std::move(address), ConnectionOptions()) {}

std::optional<Json::Value> WorkerClient::Call(const std::string& verb,
                                              const Json::Value& body,
                                              const std::string& traceparent,
                                              absl::Duration timeout) {
  HttpRequest request{"POST", verb, {}, ToJsonText(body), "application/json"};
  if (!traceparent.empty())
    request.headers.emplace_back("traceparent", traceparent);
  return ParseObject(http_.Send(request, timeout));
}

std::optional<HoldReply> WorkerClient::Hold(const HoldRequest& request,
                                            absl::Duration timeout) {
  const std::optional<Json::Value> answer =
      Call("/hold", ToJson(request), "", timeout);
  if (!answer) return std::nullopt;
  try {
    return HoldReplyFromJson(*answer);
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
}

std::optional<CommandReply> WorkerClient::Start(const StartRequest& request,
                                                absl::Duration timeout) {
  const std::optional<Json::Value> answer =
      Call("/start", ToJson(request), request.traceparent, timeout);
  if (!answer) return std::nullopt;
  try {
    return CommandReplyFromJson(*answer);
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
}

std::optional<CommandReply> WorkerClient::Stop(const StopRequest& request,
                                               absl::Duration timeout) {
  const std::optional<Json::Value> answer =
      Call("/stop", ToJson(request), "", timeout);
  if (!answer) return std::nullopt;
  try {
    return CommandReplyFromJson(*answer);
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
}

}  // namespace keelbridge
