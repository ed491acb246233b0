// Fuzzes the parsing of a client's request. The first line of the input is
// "METHOD PATH", the second is the client's remaining wait time, and the rest
// is the job. An accepted job is within all limits and survives a round trip
// through its internal JSON encoding.

#include <algorithm>

#include "absl/strings/str_join.h"
#include "keelbridge/base/json_reader.h"
#include "platform/dialect.h"
#include "testing/fuzz/fuzz_check.h"

namespace {

using keelbridge::ClientCallKind;

constexpr char kConfiguration[] =
    R"({"version":1,"routes":[)"
    R"({"name":"a","host":"a.example","pathPrefix":"/x/","service":"s"},)"
    R"({"name":"b","host":"a.example","pathPrefix":"/x/y/","service":"s"}],)"
    R"("services":[{"name":"s","admissionCheck":true,"spare":false}]})";

keelbridge::ServerRequest BuildRequest(const std::vector<std::string>& lines) {
  keelbridge::ServerRequest request;
  const std::vector<std::string> first =
      absl::StrSplit(lines[0], absl::MaxSplits(' ', 1));
  request.method = first[0];
  request.path = first.size() > 1 ? first[1] : "";
  request.headers = {{"Host", "a.example:80"}};
  if (lines.size() > 1)
    request.headers.emplace_back("X-Keelbridge-Remaining-Ms", lines[1]);
  const auto body = lines.begin() + std::min<ptrdiff_t>(2, lines.size());
  request.body = absl::StrJoin(body, lines.end(), "\n");
  return request;
}

void CheckAcceptedJob(const keelbridge::JobSpec& spec) {
  fuzz::Require(static_cast<bool>(keelbridge::CheckJobSpec(spec)),
                "an accepted job is within the limits");
  const Json::Value encoded = ToJson(spec);
  const Json::Value decoded =
      keelbridge::JsonDocument::Parse(keelbridge::ToJsonText(encoded), "job")
          .root();
  fuzz::Require(ToJson(keelbridge::JobSpecFromJson(decoded)) == encoded,
                "a job survives a round trip through its internal encoding");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const platform::Dialect dialect;
  static const keelbridge::SiteConfiguration configuration =
      dialect.ParseConfiguration(kConfiguration).value();
  const auto call = dialect.ParseClientCall(
      BuildRequest(fuzz::InputLines(data, size)), configuration);
  if (!call) {
    fuzz::Require(!call.error().message.empty(), "a refusal gives a reason");
    return 0;
  }
  fuzz::Require(call.value().remaining > absl::ZeroDuration() &&
                    call.value().remaining <= absl::Seconds(60),
                "the wait time of a client is positive and bounded");
  if (call.value().kind == ClientCallKind::kSubmit)
    CheckAcceptedJob(call.value().spec);
  return 0;
}
