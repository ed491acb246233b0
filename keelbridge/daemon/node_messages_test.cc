#include "keelbridge/daemon/node_messages.h"

#include <doctest/doctest.h>

#include <string>

#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

Json::Value Message(const std::string& text) {
  return JsonDocument::Parse(text, "message").root();
}

TEST_CASE("node messages: a client call survives encoding and decoding") {
  ClientCall call;
  call.kind = ClientCallKind::kSubmit;
  call.queue = "q";
  call.job = 0x5c0e7a21d94b36f8;
  call.spec.steps.emplace_back();
  const auto read = ClientCallFromJson(ToJson(call));
  REQUIRE(read);
  CHECK(ToJson(read.value()) == ToJson(call));
  call.kind = ClientCallKind::kWaiting;
  call.job = 0;
  CHECK(ClientCallFromJson(ToJson(call)));
}

// Otherwise a leader would answer a different call or allocate memory for two
// billion tasks.
TEST_CASE("node messages: an invalid client call is rejected") {
  const std::string job = R"("job":"5c0e7a21d94b36f8")";
  for (const std::string& text :
       {"{" + job + "}", R"({"kind":4,)" + job + "}",
        R"({"kind":-1,)" + job + "}", std::string(R"({"kind":1,"job":"5c0e"})"),
        R"({"kind":1,"queue":{},)" + job + "}", R"({"kind":0,)" + job + "}",
        R"({"kind":0,"spec":{"steps":[1]},)" + job + "}",
        R"({"kind":0,"spec":{"steps":[{"count":-1}]},)" + job + "}",
        R"({"kind":0,"spec":{"steps":[{"count":2000000000}]},)" + job + "}",
        R"({"kind":0,"spec":{"steps":[{"count":1,"after":[7]}]},)" + job +
            "}"}) {
    CAPTURE(text);
    const auto read = ClientCallFromJson(Message(text));
    REQUIRE_FALSE(read);
    CHECK_FALSE(read.error().message.empty());
  }
}

// An exception would leave the client without a reply.
TEST_CASE("node messages: an unreadable reply has an unknown outcome") {
  for (const std::string text :
       {"{}", R"({"answer":null})", R"({"answer":"x"})", R"({"answer":44})",
        R"({"answer":-1})", R"({"answer":1,"state":{}})",
        R"({"answer":2,"waiting":[]})"}) {
    CAPTURE(text);
    ClientReply reply;
    reply.answer = ClientAnswer::kAccepted;
    CHECK_NOTHROW(reply = ClientReplyFromJson(Message(text)));
    CHECK(reply.answer == ClientAnswer::kUnknown);
  }
}

// An exception would leave the step waiting for advice.
TEST_CASE("node messages: unreadable advice counts as unanswered") {
  for (const std::string text :
       {R"({"answered":true,"good":[["w","t"],1]})",
        R"({"answered":true,"good":[["w",{}]]})", R"({"answered":[]})"}) {
    CAPTURE(text);
    AdviceReply reply;
    reply.answered = true;
    CHECK_NOTHROW(reply = AdviceReplyFromJson(Message(text)));
    CHECK_FALSE(reply.answered);
    CHECK(reply.eligible.empty());
  }
}

}  // namespace
}  // namespace keelbridge
