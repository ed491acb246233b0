// Benchmarks for docs/CAPACITY.md: how the state, the messages and the
// processor time of each role grow with the size of a deployment.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/coordination/idempotency.h"
#include "keelbridge/protocol/configuration.h"
#include "keelbridge/protocol/log_messages.h"
#include "keelbridge/protocol/worker_messages.h"
#include "keelbridge/state/configuration_state.h"
#include "keelbridge/state/zone_replica.h"
#include "testing/fakes/fake_log.h"
#include "testing/support/zone_harness.h"

namespace keelbridge {
namespace {

size_t HeapBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::string ConfigurationText(int workers) {
  std::string out =
      "{\"deployment\": \"d\", \"policy\": \"waiting-first\", \"zones\": "
      "[{\"name\": \"z\"}], \"services\": [], "
      "\"teams\": [], \"entry_hosts\": [], \"targets\": [], \"workers\": [";
  for (int i = 0; i < workers; ++i) {
    absl::StrAppend(&out, i > 0 ? ", " : "", "{\"name\": \"worker-", i,
                    "\", \"zone\": \"z\", \"rack\": \"rack-", i / 8,
                    "\", \"address\": \"10.0.0.1:8080\", \"cpu_cores\": 64, "
                    "\"memory_gib\": 128, \"accelerators\": 2}");
  }
  return out + "]}";
}

// Time to parse and validate a configuration, and the heap that it takes. Every
// host pays this for every configuration change.
void BM_Configuration(benchmark::State& state) {
  const std::string text = ConfigurationText(static_cast<int>(state.range(0)));
  for (auto _ : state) benchmark::DoNotOptimize(ParseConfiguration(text, "c"));
  const size_t before = HeapBytes();
  const Result<Configuration> retained = ParseConfiguration(text, "c");
  state.counters["text_KB"] = static_cast<double>(text.size()) / 1e3;
  state.counters["state_KB"] = static_cast<double>(HeapBytes() - before) / 1e3;
}
BENCHMARK(BM_Configuration)
    ->Arg(100)
    ->Arg(300)
    ->Arg(1100)
    ->Unit(benchmark::kMicrosecond);

// Size and encoding time of a lease renewal and its reply. Without rows, the
// digests of both sides agree; otherwise the reply carries that many lease
// rows.
void BM_HoldMessages(benchmark::State& state) {
  HoldRequest request;
  request.mode = HoldMode::kAcquire;
  request.holder = "entry-1/1234567890abcdef";
  request.epoch = 1796205229;
  request.not_after_ms = 1796205229000;
  request.known_digest = UINT64_MAX;
  HoldReply reply;
  reply.granted = true;
  reply.holder = request.holder;
  reply.incarnation = UINT64_MAX;
  reply.digest = UINT64_MAX;
  for (int i = 0; i < state.range(0); ++i) {
    reply.has_rows = true;
    LeaseRow row;
    row.task = "festival-restoration/1234";
    row.attempt = int64_t{1} << 61;
    row.decision = std::string(200, 'd');
    reply.rows.push_back(row);
  }
  size_t bytes = 0;
  for (auto _ : state) {
    const std::string out = ToJsonText(ToJson(request));
    const std::string reply_text = ToJsonText(ToJson(reply));
    bytes = out.size() + reply_text.size();
    benchmark::DoNotOptimize(
        HoldReplyFromJson(JsonDocument::Parse(reply_text, "r").root()));
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BM_HoldMessages)->Arg(0)->Arg(16)->Unit(benchmark::kMicrosecond);

// Log bytes per ended task, by the number of ends in one envelope.
void BM_EndRecords(benchmark::State& state) {
  Envelope envelope{{UINT64_MAX >> 1, 12345}, {}};
  for (int i = 0; i < state.range(0); ++i) {
    envelope.entries.push_back(TaskEndedEntry{
        1796205229, absl::StrCat("festival-restoration/", i), "finished"});
  }
  std::string text;
  for (auto _ : state) {
    text = EnvelopeToText(envelope);
    benchmark::DoNotOptimize(EnvelopeFromText(text));
  }
  state.counters["bytes_an_end"] =
      static_cast<double>(text.size()) / static_cast<double>(state.range(0));
}
BENCHMARK(BM_EndRecords)
    ->Arg(1)
    ->Arg(66)
    ->Arg(330)
    ->Unit(benchmark::kMicrosecond);

// Time to restore a zone's state from its snapshot, and the heap that it takes,
// by the number of tasks. Each live intent has 10 tasks.
void BM_Rebuild(benchmark::State& state) {
  ZoneState zone;
  int64_t offset = 0;
  for (int64_t i = 0; i < state.range(0) / 10; ++i) {
    Intent intent = testing::ZoneHarness::Batch(absl::StrCat("intent-", i), 10,
                                                absl::Seconds(60));
    zone.Apply(offset,
               {{1, offset + 1},
                {PlanEntry{absl::StrCat("p", i), zone.last_plan(), {intent}}}});
    ++offset;
    zone.Apply(offset,
               {{1, offset + 1},
                {TaskEndedEntry{0, TaskName(intent.id, 3), "finished"}}});
    ++offset;
  }
  const std::string text = zone.Snapshot();
  const size_t before = HeapBytes();
  const Result<ZoneState> retained = ZoneState::Restore(text);
  state.counters["state_KB"] = static_cast<double>(HeapBytes() - before) / 1e3;
  for (auto _ : state) benchmark::DoNotOptimize(ZoneState::Restore(text));
  state.counters["snapshot_KB"] = static_cast<double>(text.size()) / 1e3;
}
BENCHMARK(BM_Rebuild)
    ->Arg(1000)
    ->Arg(4500)
    ->Arg(18000)
    ->Unit(benchmark::kMillisecond);

// Memory per idempotency key in the claim table.
void BM_Claims(benchmark::State& state) {
  testing::FakeLog log;
  for (int64_t i = 0; i < state.range(0) / 50; ++i) {
    Envelope envelope{{7, i + 1}, {}};
    for (int k = 0; k < 50; ++k)
      envelope.entries.push_back(
          KeyClaimEntry{absl::StrCat("thumbnail|key-", i, "-", k), 7});
    log.Append(kClaimsStream, EnvelopeToText(envelope), absl::UnixEpoch());
  }
  for (auto _ : state) {
    const size_t before = HeapBytes();
    ClaimTable table(1);
    while (!table.caught_up())
      table.OnBatch(
          log.Read(kClaimsStream, table.next(), 100, absl::UnixEpoch()));
    state.counters["bytes_a_key"] = static_cast<double>(HeapBytes() - before) /
                                    static_cast<double>(table.size());
  }
}
BENCHMARK(BM_Claims)->Arg(10000)->Arg(100000)->Iterations(3)->Unit(
    benchmark::kMillisecond);

// Processor time per virtual second of a leading scheduler in steady state, by
// the number of workers. Each worker runs 16 tasks.
void BM_Leader(benchmark::State& state) {
  testing::ZoneHarness::Options options;
  options.schedulers = 1;
  options.workers = static_cast<int>(state.range(0));
  options.worker_size = {64000, 131072, 0};
  testing::ZoneHarness zone(options);
  zone.AwaitLeader();
  const size_t before = HeapBytes();
  zone.Confirm({testing::ZoneHarness::Service("s", 16 * state.range(0))});
  zone.RunFor(absl::Seconds(5));
  state.counters["heap_MB"] = static_cast<double>(HeapBytes() - before) / 1e6;
  const int64_t holds = zone.scheduler(0).counts().holds;
  int64_t seconds = 0;
  for (auto _ : state) {
    zone.RunFor(absl::Seconds(1));
    ++seconds;
  }
  state.counters["holds_a_s"] =
      static_cast<double>(zone.scheduler(0).counts().holds - holds) /
      static_cast<double>(seconds);
  state.counters["running"] = static_cast<double>(zone.Running());
}
BENCHMARK(BM_Leader)
    ->Arg(25)
    ->Arg(50)
    ->Arg(100)
    ->Arg(200)
    ->Iterations(10)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace keelbridge
