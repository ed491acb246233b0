// Tests that a new leader loads the jobs of all pages.

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "keelbridge/daemon/leader_session.h"

namespace keelbridge {
namespace {

// A store that discards records and returns the pages that the test sets.
class PagedStore : public RecordStore {
 public:
  explicit PagedStore(boost::asio::io_context& loop) : loop_(loop) {}

  void Append(const AppendOrder& order, absl::Duration,
              std::function<void(AppendReply)> done) override {
    AppendReply reply;
    reply.result = StoreResult::kDone;
    end_ += static_cast<int64_t>(order.records.size());
    reply.end = end_;
    boost::asio::post(loop_, [done = std::move(done), reply] { done(reply); });
  }
  void Read(Stream, int64_t, absl::Duration, ReadTimeout,
            std::function<void(ReadReply)> done) override {
    ReadReply reply;
    reply.result = StoreResult::kDone;
    boost::asio::post(loop_, [done = std::move(done), reply] { done(reply); });
  }
  void Newest(Stream stream, const std::string&, ReadTimeout,
              std::function<void(NewestReply)> done) override {
    NewestReply reply;
    reply.result = StoreResult::kDone;
    if (stream == Stream::kJobs && !pages.empty()) {
      reply = pages.front();
      pages.erase(pages.begin());
    }
    boost::asio::post(loop_, [done = std::move(done), reply] { done(reply); });
  }

  // Pages of jobs to return; empty pages follow.
  std::vector<NewestReply> pages;

 private:
  boost::asio::io_context& loop_;
  int64_t end_ = 0;
};

Record MakeJobRecord(JobId id) {
  JobSpec spec;
  spec.steps.resize(1);
  spec.steps[0].count = 1;
  return DescriptionRecord(Job(id, "queue", spec, 1));
}

NewestReply MakePage(std::vector<Record> records, bool more) {
  NewestReply reply;
  reply.result = StoreResult::kDone;
  reply.records = std::move(records);
  reply.more = more;
  return reply;
}

class Term {
 public:
  Term() {
    NodePorts ports;
    ports.store = &store;
    LeaderSession::Options options;
    options.node = "node-1";
    options.on_ended = [](const std::string&) {};
    session = std::make_shared<LeaderSession>(loop, ports, std::move(options),
                                              7, metrics_);
  }
  void Run(absl::Duration time) {
    loop.run_for(absl::ToChronoMilliseconds(time));
    loop.restart();
  }
  void Begin() {
    session->Start();
    Run(absl::Milliseconds(300));
    REQUIRE(session->active());
  }
  // Returns the answer to a status call for `job`, or nullopt if there is none
  // within a second.
  std::optional<ClientAnswer> QueryStatus(JobId job) {
    std::optional<ClientAnswer> answer;
    ClientCall call;
    call.kind = ClientCallKind::kStatus;
    call.job = job;
    session->Handle(
        call, [&answer](const ClientReply& reply) { answer = reply.answer; });
    Run(absl::Seconds(1));
    return answer;
  }

  boost::asio::io_context loop;
  PagedStore store{loop};
  std::shared_ptr<LeaderSession> session;

 private:
  Metrics metrics_{"test"};
};

TEST_CASE("leader session: jobs of all pages are known, others do not exist") {
  Term term;
  term.store.pages = {MakePage({MakeJobRecord(1)}, true),
                      MakePage({MakeJobRecord(2)}, false)};
  term.Begin();
  CHECK(term.QueryStatus(1) == ClientAnswer::kState);
  CHECK(term.QueryStatus(2) == ClientAnswer::kState);
  CHECK(term.QueryStatus(3) == ClientAnswer::kNoSuchJob);
  term.session->End("the test ends");
}

TEST_CASE("leader session: a page without records is not the end of the jobs") {
  Term term;
  term.store.pages = {MakePage({MakeJobRecord(1)}, true), MakePage({}, true),
                      MakePage({MakeJobRecord(2)}, false)};
  term.Begin();
  CHECK(term.QueryStatus(2) == ClientAnswer::kState);
  term.session->End("the test ends");
}

}  // namespace
}  // namespace keelbridge
