#include "keelbridge/coordination/worker_list.h"

#include <doctest/doctest.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

WorkerRecord Of(const std::string& id, const std::string& service) {
  WorkerRecord record;
  record.id = id;
  record.pool = service;
  return record;
}

Result<WorkerRecord> Refused(const std::string& what) {
  return MakeError(ErrorCode::kInvalid, what);
}

SiteConfiguration Naming(const std::string& service) {
  SiteConfiguration configuration;
  configuration.pools.push_back({service, false, false});
  return configuration;
}

// Whether the last change of `id` uses it; none: there is none.
std::optional<bool> LastOf(WorkerList& list, const std::string& id) {
  std::optional<bool> used;
  for (const auto& change : list.TakeChanges()) {
    if (change.id == id) used = change.record.has_value();
  }
  return used;
}

TEST_CASE("worker list: an entry is used once a configuration names it") {
  WorkerList list;
  list.OnEntry("a", Of("a", "desk"));
  CHECK(LastOf(list, "a") == false);
  CHECK(list.TakeUnused().empty());  // No configuration is in force yet.
  list.SetConfiguration(Naming("other"));
  CHECK(LastOf(list, "a") == false);
  CHECK(list.TakeUnused().size() == 1);
  list.OnEntry("a", Of("a", "desk"));
  CHECK(list.TakeUnused().empty());
  CHECK(list.figures().unnamed == 1);
  list.SetConfiguration(Naming("desk"));
  CHECK(LastOf(list, "a") == true);
  CHECK(list.figures().used == 1);
  CHECK(list.figures().unnamed == 0);
  // Nothing changes with another configuration that names it.
  list.SetConfiguration(Naming("desk"));
  CHECK_FALSE(LastOf(list, "a").has_value());
  list.SetConfiguration(Naming("other"));
  CHECK(LastOf(list, "a") == false);
  CHECK(list.figures().used == 0);
}

TEST_CASE("worker list: a service that only a queue names is named") {
  SiteConfiguration configuration;
  configuration.queues.emplace_back();
  configuration.queues[0].pool = "desk";
  WorkerList list;
  list.SetConfiguration(configuration);
  list.OnEntry("a", Of("a", "desk"));
  CHECK(LastOf(list, "a") == true);
}

TEST_CASE("worker list: a bad entry is told once until it changes") {
  WorkerList list;
  list.SetConfiguration(Naming("desk"));
  list.OnEntry("a", Of("a", "desk"));
  CHECK(LastOf(list, "a") == true);
  for (int i = 0; i < 3; ++i) {
    list.OnEntry("a", Refused("address"));
    CHECK(LastOf(list, "a") == false);
  }
  CHECK(list.TakeUnused().size() == 1);
  CHECK(list.figures().refused == 1);
  CHECK(list.figures().used == 0);
  list.OnEntry("a", Refused("state"));
  CHECK(list.TakeUnused().size() == 1);
  list.OnEntry("a", Of("a", "desk"));
  CHECK(LastOf(list, "a") == true);
  list.OnEntry("a", Refused("state"));
  const auto unused = list.TakeUnused();
  REQUIRE(unused.size() == 1);
  CHECK(unused[0].id == "a");
  CHECK(unused[0].what == "state");
  // A configuration makes no good entry of a bad one.
  list.SetConfiguration(Naming("desk"));
  CHECK(LastOf(list, "a") == false);
  list.OnEntryGone("a");
  CHECK(LastOf(list, "a") == false);
  CHECK(list.figures().refused == 0);
  CHECK(list.figures().used == 0);
}

TEST_CASE("worker list: what a whole listing does not show is gone") {
  WorkerList list;
  list.SetConfiguration(Naming("desk"));
  for (const char* id : {"a", "b", "c"}) list.OnEntry(id, Of(id, "desk"));
  list.BeginListing();
  list.OnEntry("b", Of("b", "desk"));
  list.OnEntry("c", Refused("state"));
  list.TakeChanges();
  list.EndListing();
  CHECK(LastOf(list, "a") == false);
  CHECK(list.figures().used == 1);
  CHECK(list.figures().refused == 1);
  list.EndListing();
  CHECK(list.TakeChanges().empty());
}

TEST_CASE("worker list: a reason is no longer than a line") {
  WorkerList list;
  list.OnEntry("a", Refused(std::string(100000, 'x')));
  const auto unused = list.TakeUnused();
  REQUIRE(unused.size() == 1);
  CHECK(unused[0].what.size() == 300);
}

}  // namespace
}  // namespace keelbridge
