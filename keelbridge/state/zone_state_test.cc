#include "keelbridge/state/zone_state.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

namespace keelbridge {
namespace {

Intent BatchIntent(const std::string& id, int64_t tasks) {
  Intent intent;
  intent.id = id;
  intent.kind = IntentKind::kBatch;
  intent.tasks = tasks;
  return intent;
}

TEST_CASE("index ranges match a set, also when read back from text") {
  const bool ok = rc::check([](const std::vector<uint8_t>& indices) {
    IndexRanges ranges;
    std::set<int64_t> set;
    for (const uint8_t index : indices) {
      ranges.Insert(index % 40);
      set.insert(index % 40);
    }
    const IndexRanges restored = IndexRanges::FromText(ranges.ToText());
    RC_ASSERT(restored.ToText() == ranges.ToText());
    RC_ASSERT(ranges.Count() == static_cast<int64_t>(set.size()));
    for (int64_t i = -1; i <= 41; ++i) {
      RC_ASSERT(ranges.Contains(i) == (set.count(i) > 0));
      RC_ASSERT(restored.Contains(i) == (set.count(i) > 0));
    }
  });
  CHECK(ok);
}

TEST_CASE("a restored snapshot has the same state, to the byte") {
  const bool ok = rc::check([](const std::vector<uint16_t>& steps) {
    ZoneState state;
    int64_t offset = 0;
    for (const uint16_t step : steps) {
      Envelope envelope{{1 + step % 3U, offset / 2}, {}};
      const std::string task =
          TaskName("b" + std::to_string(step % 4), step % 7);
      switch (step % 5) {
        case 0:
          envelope.entries.push_back(
              PlanEntry{"p" + std::to_string(step),
                        state.last_plan(),
                        {BatchIntent("b" + std::to_string(step % 4), 5)}});
          break;
        case 1:
          envelope.entries.push_back(
              TaskEndedEntry{0, task, step % 2 == 0 ? "unknown" : "finished"});
          break;
        case 2:
          envelope.entries.push_back(
              StartClaimEntry{state.epoch(), task, step});
          break;
        case 3:
          envelope.entries.push_back(LeaderEntry{step, "s"});
          break;
        default:
          envelope.entries.push_back(StartReleaseEntry{0, task, step - 1});
      }
      state.Apply(offset++, envelope);
    }
    Result<ZoneState> restored = ZoneState::Restore(state.Snapshot());
    RC_ASSERT(restored.has_value());
    RC_ASSERT(restored.value().Snapshot() == state.Snapshot());
  });
  CHECK(ok);
}

TEST_CASE("an envelope that is received twice is applied once") {
  ZoneState state;
  const Envelope plan{{7, 1}, {PlanEntry{"p", -1, {BatchIntent("b", 3)}}}};
  CHECK(state.Apply(0, plan));
  CHECK_FALSE(state.Apply(1, plan));
  CHECK(state.last_plan() == 0);
}

TEST_CASE("an earlier epoch cannot claim the start of a task") {
  ZoneState state;
  state.Apply(0, {{1, 1}, {LeaderEntry{5, "a"}}});
  state.Apply(1, {{2, 1}, {LeaderEntry{6, "b"}}});
  state.Apply(2, {{1, 2}, {StartClaimEntry{5, "b/0", 1}}});
  CHECK(state.ClaimedAttempt("b/0") == 0);
  state.Apply(3, {{2, 2}, {StartClaimEntry{6, "b/0", 2}}});
  state.Apply(4, {{2, 3}, {StartClaimEntry{6, "b/0", 3}}});
  CHECK(state.ClaimedAttempt("b/0") == 2);
}

TEST_CASE("the state grows with running work and not with ended work") {
  const auto bytes = [](int ended_batches) {
    ZoneState state;
    int64_t offset = 0;
    for (int b = 0; b < ended_batches; ++b) {
      const std::string id = "b" + std::to_string(b);
      state.Apply(
          offset,
          {{1, offset + 1},
           {PlanEntry{"p" + id, state.last_plan(), {BatchIntent(id, 10)}}}});
      ++offset;
      Envelope ends{{1, offset + 1}, {}};
      for (int i = 0; i < 10; ++i) {
        ends.entries.push_back(TaskEndedEntry{0, TaskName(id, i), "finished"});
      }
      state.Apply(offset++, ends);
    }
    return state.Snapshot().size();
  };
  CHECK(bytes(5000) < 2 * bytes(500));
}

}  // namespace
}  // namespace keelbridge
