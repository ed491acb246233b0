#include "testing/fakes/site_store.h"

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"

namespace keelbridge::testing {
namespace {

constexpr char kTopic[] = "keyed.test";
constexpr int kNoAnswer = 0;
constexpr int kConnectionClosed =
    -1;  // The connection closed without a response.

// The result of one call.
struct Outcome {
  int status = kNoAnswer;
};

struct StoreFixture {
  boost::asio::io_context loop;
  SiteStore store{loop, 1};

  std::shared_ptr<Outcome> Send(const ServerRequest& request) {
    auto outcome = std::make_shared<Outcome>();
    // Destroyed with the last copy of the reply, like a real connection.
    const std::shared_ptr<void> connection(nullptr, [outcome](void*) {
      if (outcome->status == kNoAnswer) outcome->status = kConnectionClosed;
    });
    store.Handle(request, [outcome, connection](const ServerResponse& answer) {
      outcome->status = answer.status;
    });
    return outcome;
  }
  std::shared_ptr<Outcome> Poll(int64_t from, int wait_ms) {
    ServerRequest request;
    request.path = "/log-read";
    request.query = {{"topic", kTopic},
                     {"from", absl::StrCat(from)},
                     {"waitMs", absl::StrCat(wait_ms)}};
    return Send(request);
  }
  std::shared_ptr<Outcome> Append(int64_t at) {
    ServerRequest request;
    request.path = "/log-append";
    request.query = {{"topic", kTopic}, {"at", absl::StrCat(at)}};
    request.body = std::string("\0\0\0\3\1kv", 7);
    return Send(request);
  }
  std::shared_ptr<Outcome> Newest() {
    ServerRequest request;
    request.path = "/log-newest";
    request.query = {{"topic", kTopic}};
    return Send(request);
  }
  void Run(int ms) {
    loop.restart();
    loop.run_for(std::chrono::milliseconds(ms));
  }
};

TEST_CASE("site store: dropped polls get no response while other calls do") {
  StoreFixture fixture;
  const auto early = fixture.Poll(0, 10000);
  fixture.Run(20);
  SiteStore::Faults faults;
  faults.drop_poll_responses = true;
  fixture.store.SetFaults(faults);
  fixture.store.Put(kTopic, "k", "v");
  const auto late = fixture.Poll(0, 10000);
  const auto read = fixture.Poll(0, 0);
  const auto newest = fixture.Newest();
  fixture.Run(50);
  CHECK(early->status == kNoAnswer);
  CHECK(late->status == kNoAnswer);
  CHECK(read->status == 200);
  CHECK(newest->status == 200);
  // They get none after the fault is cleared and another record changes.
  fixture.store.SetFaults({});
  fixture.store.Put(kTopic, "k", "w");
  fixture.Run(50);
  CHECK(early->status == kNoAnswer);
  CHECK(late->status == kNoAnswer);
}

TEST_CASE("site store: a dropped poll gets no response at its deadline") {
  StoreFixture fixture;
  SiteStore::Faults faults;
  faults.drop_poll_responses = true;
  const auto poll = fixture.Poll(0, 60);
  fixture.Run(20);
  fixture.store.SetFaults(faults);
  fixture.Run(200);
  CHECK(poll->status == kNoAnswer);
}

TEST_CASE("site store: closed polls end without a response") {
  StoreFixture fixture;
  const auto waiting_poll = fixture.Poll(0, 10000);
  fixture.Run(20);
  SiteStore::Faults faults;
  faults.drop_poll_responses = true;
  fixture.store.SetFaults(faults);
  const auto dropped_poll = fixture.Poll(0, 10000);
  fixture.Run(20);
  fixture.store.CloseLongPolls();
  CHECK(waiting_poll->status == kConnectionClosed);
  CHECK(dropped_poll->status == kConnectionClosed);
}

TEST_CASE("site store: a late append takes effect, but is never answered") {
  StoreFixture fixture;
  SiteStore::Faults faults;
  faults.late_appends = 1;
  faults.late_append_delay = absl::Milliseconds(200);
  fixture.store.SetFaults(faults);
  const auto append = fixture.Append(0);
  fixture.Run(50);
  CHECK(fixture.store.appends() == 0);
  fixture.store.SetFaults({});
  fixture.Run(300);
  CHECK(fixture.store.appends() == 1);
  CHECK(append->status == kNoAnswer);
  // The late append has moved the end of the topic, so the condition of the
  // next one fails.
  const auto next = fixture.Append(0);
  fixture.Run(50);
  CHECK(next->status == 412);
}

TEST_CASE("site store: dropped history is gone, the newest records stay") {
  StoreFixture fixture;
  fixture.store.Put(kTopic, "k", "v");
  fixture.store.DropAllHistory();
  const auto read = fixture.Poll(0, 0);
  const auto after = fixture.Poll(1, 0);
  const auto newest = fixture.Newest();
  fixture.Run(50);
  CHECK(read->status == 410);
  CHECK(after->status == 200);
  CHECK(newest->status == 200);
}

}  // namespace
}  // namespace keelbridge::testing
