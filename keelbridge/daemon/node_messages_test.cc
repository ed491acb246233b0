#include "keelbridge/daemon/node_messages.h"

#include <doctest/doctest.h>

#include <string>

#include "absl/strings/str_cat.h"
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
  call.caller = {"key-1", "agency-a", 7, true};
  const auto read = ClientCallFromJson(ToJson(call));
  REQUIRE(read);
  CHECK(ToJson(read.value()) == ToJson(call));
  CHECK(read.value().caller.key == "key-1");
  CHECK(read.value().caller.account == "agency-a");
  CHECK(read.value().caller.configuration_version == 7);
  CHECK(read.value().caller.queue_allows_anonymous);
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
        R"({"kind":1,"queue":{},)" + job + "}",
        R"({"kind":1,"caller":{"key":[]},)" + job + "}",
        R"({"kind":1,"caller":{"account":{}},)" + job + "}",
        R"({"kind":0,)" + job + "}",
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

TEST_CASE("node messages: a handover survives encoding and decoding") {
  LeaderHandover handover;
  handover.epoch = 3;
  WorkerHandover worker;
  worker.worker = "i-1";
  worker.ends = {{4, {7, 0, 1, 2}, 2001, RunEnd::kStopped, "saved"}};
  handover.workers.push_back(worker);
  worker.worker = "i-2";
  worker.remaining_known = true;
  worker.remaining = {{7, 0, 1, 3}};
  worker.lease_left = absl::Microseconds(1'200'100);
  handover.workers.push_back(worker);
  handover.age = absl::Microseconds(340'900);
  const auto read = LeaderHandoverFromJson(ToJson(handover));
  REQUIRE(read.has_value());
  CHECK_FALSE(read->workers[0].lease_left.has_value());
  // Rounded so that the lease does not seem to end earlier.
  CHECK(read->workers[1].lease_left == absl::Milliseconds(1201));
  CHECK(read->age == absl::Milliseconds(340));
  CHECK(ToJson(*read) == ToJson(handover));
  REQUIRE(read->workers.size() == 2);
  CHECK(read->workers[0].ends[0].checkpoint == "saved");
  CHECK_FALSE(read->workers[0].remaining_known);
  CHECK(read->workers[1].remaining_known);
  CHECK(read->workers[1].remaining == worker.remaining);
}

QueueDurations LearnedQueue(const std::string& queue) {
  QueueDurations learned;
  learned.queue = queue;
  learned.run = {2, 14, 15, 100, 106, 113};
  learned.step = {1, 7.25, 8, 52.5625, 58, 64};
  return learned;
}

TEST_CASE("node messages: learned durations are handed over") {
  LeaderHandover handover;
  handover.epoch = 3;
  handover.durations = {LearnedQueue("restore"), LearnedQueue("thumb")};
  handover.durations[1].step = DurationSums();
  const auto read = LeaderHandoverFromJson(ToJson(handover));
  REQUIRE(read.has_value());
  REQUIRE(read->durations.size() == 2);
  CHECK(ToJson(*read) == ToJson(handover));
  CHECK(read->durations[0].queue == "restore");
  CHECK(read->durations[0].run.xy == 106);
  CHECK(read->durations[0].step.x == 7.25);
  CHECK(read->durations[1].step.n == 0);
  handover.durations.clear();
  CHECK_FALSE(ToJson(handover).isMember("durations"));
}

// Durations that cannot be read must not cost the ends of the handover.
TEST_CASE("node messages: unreadable durations are ignored one by one") {
  LeaderHandover handover;
  handover.epoch = 3;
  WorkerHandover worker;
  worker.worker = "i-1";
  worker.ends = {{4, {7, 0, 1, 2}, 2001, RunEnd::kStopped, "saved"}};
  handover.workers.push_back(worker);
  handover.durations = {LearnedQueue("a"), LearnedQueue("b")};
  const Json::Value good = ToJson(handover);
  const auto read = [](const Json::Value& message) {
    auto out = LeaderHandoverFromJson(message);
    REQUIRE(out.has_value());
    CHECK(out->workers.size() == 1);
    return out->durations;
  };
  for (const char* text : {"7", "{}", R"("x")", "true"}) {
    CAPTURE(text);
    Json::Value message = good;
    message["durations"] = Message(text);
    CHECK(read(message).empty());
  }
  for (const char* text :
       {"7", "[]", "null", R"({"run":[1,2,3,4,5,6]})", R"({"queue":7})",
        R"({"queue":"a"})", R"({"queue":"a","run":7})"}) {
    CAPTURE(text);
    Json::Value message = good;
    message["durations"][0] = Message(text);
    REQUIRE(read(message).size() == 1);
    CHECK(read(message)[0].queue == "b");
  }
  for (const char* text : {"7", "[]", "{}", "[1,2,3,4,5]", "[1,2,3,4,5,6,7]",
                           R"([1,"x",3,4,5,6])", "[-2,14,15,100,106,113]",
                           "[2,1e300,15,100,106,113]", "[2,14,15,1,106,113]"}) {
    CAPTURE(text);
    Json::Value message = good;
    message["durations"][0]["run"] = Message(text);
    REQUIRE(read(message).size() == 2);
    CHECK(read(message)[0].run.n == 0);
    CHECK(read(message)[0].step.n == 1);
  }
  Json::Value many = good;
  for (int i = 0; i < 500; ++i) many["durations"].append(good["durations"][0]);
  CHECK(read(many).size() == kMaxHandedOverQueues);
}

TEST_CASE("node messages: a handover names the clients that will return") {
  LeaderHandover handover;
  handover.epoch = 3;
  handover.returns = {{7, 1000, 2000, 500, 1, true},
                      {8, 1001, 5000, 600, 2, false}};
  const auto read = LeaderHandoverFromJson(ToJson(handover));
  REQUIRE(read.has_value());
  CHECK(ToJson(*read) == ToJson(handover));
  REQUIRE(read->returns.size() == 2);
  CHECK(read->returns[0].job == 7);
  CHECK(read->returns[0].first_try_ms == 1000);
  CHECK(read->returns[0].due_ms == 2000);
  CHECK(read->returns[0].work == 500);
  CHECK(read->returns[0].priority == 1);
  CHECK(read->returns[0].promised);
  CHECK_FALSE(read->returns[1].promised);
}

TEST_CASE("node messages: returns that cannot be read do not cost the ends") {
  for (const char* text :
       {R"({"epoch":3,"workers":[],"returns":7})",
        R"({"epoch":3,"workers":[],"returns":[7,"x",{}]})",
        R"({"epoch":3,"workers":[],"returns":[["x",1,1,1,1,true]]})",
        R"({"epoch":3,"workers":[],)"
        R"("returns":[["0000000000000007",{},1,1,1,true]]})"}) {
    CAPTURE(text);
    const auto read = LeaderHandoverFromJson(Message(text));
    REQUIRE(read.has_value());
    CHECK(read->returns.empty());
  }
  // More than a handover holds.
  Json::Value many =
      ToJson(LeaderHandover{3, {}, {}, {}, {{7, 1, 1, 1, 1, true}}});
  const Json::Value row = many["returns"][0];
  for (size_t i = 0; i < kMaxReturnsHandedOver; ++i)
    many["returns"].append(row);
  CHECK(LeaderHandoverFromJson(many)->returns.size() == kMaxReturnsHandedOver);
}

TEST_CASE("node messages: a handover carries the history of the accounts") {
  LeaderHandover handover;
  handover.epoch = 3;
  handover.accounts.served_jobs = 20.5;
  handover.accounts.served_work = 0.75;
  handover.accounts.accounts = {{"a", 1.5, 0.25, 7, 3, -1.25}};
  const auto read = LeaderHandoverFromJson(ToJson(handover));
  REQUIRE(read.has_value());
  CHECK(ToJson(*read) == ToJson(handover));
  REQUIRE(read->accounts.accounts.size() == 1);
  CHECK(read->accounts.served_jobs == 20.5);
  CHECK(read->accounts.accounts[0].account == "a");
  CHECK(read->accounts.accounts[0].work_tokens == -1.25);
}

// The rest of the handover is of use without the accounts.
TEST_CASE("node messages: an invalid history of accounts is not used") {
  for (
      const char* accounts :
      {"7", "[]", "{}", R"({"served_jobs":1,"served_work":1,"accounts":{}})",
       R"({"served_jobs":-1,"served_work":1,"accounts":[]})",
       R"({"served_jobs":1e99,"served_work":1,"accounts":[]})",
       R"({"served_jobs":1,"served_work":1,"accounts":[7]})",
       R"({"served_jobs":1,"served_work":1,"accounts":[["a",1,1,1,1]]})",
       R"({"served_jobs":1,"served_work":1,"accounts":[["",1,1,1,1,1]]})",
       R"({"served_jobs":1,"served_work":1,"accounts":[[{},1,1,1,1,1]]})",
       R"({"served_jobs":1,"served_work":1,"accounts":[["a",-1,1,1,1,1]]})",
       R"({"served_jobs":1,"served_work":1,"accounts":[["a","x",1,1,1,1]]})"}) {
    CAPTURE(accounts);
    const auto read = LeaderHandoverFromJson(Message(
        absl::StrCat(R"({"epoch":3,"workers":[],"accounts":)", accounts, "}")));
    REQUIRE(read.has_value());
    CHECK(read->accounts.accounts.empty());
    CHECK(read->accounts.served_jobs == 0);
  }
}

TEST_CASE("node messages: a history of too many accounts is not used") {
  LeaderHandover handover;
  handover.epoch = 3;
  handover.accounts.accounts.resize(kMaxAccountsHandedOver + 1, {"a"});
  const auto read = LeaderHandoverFromJson(ToJson(handover));
  REQUIRE(read.has_value());
  CHECK(read->accounts.accounts.empty());
}

// Otherwise a worker whose remaining tasks cannot be read would count as empty,
// and its tasks would run twice.
TEST_CASE("node messages: an invalid handover is not used") {
  for (const char* text :
       {"{}", R"({"epoch":0,"workers":[]})", R"({"epoch":3,"workers":{}})",
        R"({"epoch":3,"workers":[{"worker":"","ends":[]}]})",
        R"({"epoch":3,"workers":[{"worker":"i-1"}]})",
        R"({"epoch":3,"workers":[{"worker":"i-1","ends":[[1,"x",1,0,""]]}]})",
        R"({"epoch":3,"workers":[{"worker":"i-1","ends":[],"remaining":7}]})",
        R"({"epoch":3,"workers":[{"worker":"i-1","ends":[],)"
        R"("remaining":["x"]}]})",
        R"({"epoch":3,"workers":[{"worker":"i-1","ends":[],)"
        R"("remaining":[{}]}]})",
        R"({"epoch":3,"age_ms":-1,"workers":[]})",
        R"({"epoch":3,"age_ms":"x","workers":[]})",
        R"({"epoch":3,"workers":[{"worker":"i-1","ends":[],)"
        R"("lease_left_ms":-1}]})",
        R"({"epoch":3,"workers":[{"worker":"i-1","ends":[],)"
        R"("lease_left_ms":"x"}]})"}) {
    CAPTURE(text);
    CHECK_FALSE(LeaderHandoverFromJson(Message(text)).has_value());
  }
}

}  // namespace
}  // namespace keelbridge
