#include "keelbridge/coordination/worker_list.h"

#include <doctest/doctest.h>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

WorkerRecord MakeRecord(const std::string& id, const std::string& service) {
  WorkerRecord record;
  record.id = id;
  record.pool = service;
  return record;
}

Result<WorkerRecord> MalformedEntry(const std::string& reason) {
  return MakeError(ErrorCode::kInvalid, reason);
}

SiteConfiguration ConfigurationWithPool(const std::string& service) {
  SiteConfiguration configuration;
  configuration.pools.push_back({service, false, false});
  return configuration;
}

// Returns whether the last change of `id` says that the worker is used, or
// nullopt if there is no change.
std::optional<bool> LastChangeUses(WorkerList& list, const std::string& id) {
  std::optional<bool> used;
  for (const auto& change : list.TakeChanges()) {
    if (change.id == id) used = change.record.has_value();
  }
  return used;
}

TEST_CASE(
    "worker list: an entry is used once a configuration names its service") {
  WorkerList list;
  list.OnEntry("a", MakeRecord("a", "desk"));
  CHECK(LastChangeUses(list, "a") == false);
  CHECK(list.TakeUnused().empty());  // No configuration is in force yet.
  list.SetConfiguration(ConfigurationWithPool("other"));
  CHECK(LastChangeUses(list, "a") == false);
  CHECK(list.TakeUnused().size() == 1);
  list.OnEntry("a", MakeRecord("a", "desk"));
  CHECK(list.TakeUnused().empty());
  CHECK(list.figures().unknown_service == 1);
  list.SetConfiguration(ConfigurationWithPool("desk"));
  CHECK(LastChangeUses(list, "a") == true);
  CHECK(list.figures().used == 1);
  CHECK(list.figures().unknown_service == 0);
  // Another configuration that names the service changes nothing.
  list.SetConfiguration(ConfigurationWithPool("desk"));
  CHECK_FALSE(LastChangeUses(list, "a").has_value());
  list.SetConfiguration(ConfigurationWithPool("other"));
  CHECK(LastChangeUses(list, "a") == false);
  CHECK(list.figures().used == 0);
}

TEST_CASE("worker list: a service named only by a queue counts as named") {
  SiteConfiguration configuration;
  configuration.queues.emplace_back();
  configuration.queues[0].pool = "desk";
  WorkerList list;
  list.SetConfiguration(configuration);
  list.OnEntry("a", MakeRecord("a", "desk"));
  CHECK(LastChangeUses(list, "a") == true);
}

TEST_CASE(
    "worker list: an unreadable entry is reported once until the reason "
    "changes") {
  WorkerList list;
  list.SetConfiguration(ConfigurationWithPool("desk"));
  list.OnEntry("a", MakeRecord("a", "desk"));
  CHECK(LastChangeUses(list, "a") == true);
  for (int i = 0; i < 3; ++i) {
    list.OnEntry("a", MalformedEntry("address"));
    CHECK(LastChangeUses(list, "a") == false);
  }
  CHECK(list.TakeUnused().size() == 1);
  CHECK(list.figures().refused == 1);
  CHECK(list.figures().used == 0);
  list.OnEntry("a", MalformedEntry("state"));
  CHECK(list.TakeUnused().size() == 1);
  list.OnEntry("a", MakeRecord("a", "desk"));
  CHECK(LastChangeUses(list, "a") == true);
  list.OnEntry("a", MalformedEntry("state"));
  const auto unused = list.TakeUnused();
  REQUIRE(unused.size() == 1);
  CHECK(unused[0].id == "a");
  CHECK(unused[0].reason == "state");
  // A configuration does not make a malformed entry valid.
  list.SetConfiguration(ConfigurationWithPool("desk"));
  CHECK(LastChangeUses(list, "a") == false);
  list.OnEntryGone("a");
  CHECK(LastChangeUses(list, "a") == false);
  CHECK(list.figures().refused == 0);
  CHECK(list.figures().used == 0);
}

TEST_CASE("worker list: an entry missing from a full read is removed") {
  WorkerList list;
  list.SetConfiguration(ConfigurationWithPool("desk"));
  for (const char* id : {"a", "b", "c"})
    list.OnEntry(id, MakeRecord(id, "desk"));
  list.BeginFullRead();
  list.OnEntry("b", MakeRecord("b", "desk"));
  list.OnEntry("c", MalformedEntry("state"));
  list.TakeChanges();
  list.EndFullRead();
  CHECK(LastChangeUses(list, "a") == false);
  CHECK(list.figures().used == 1);
  CHECK(list.figures().refused == 1);
  list.EndFullRead();
  CHECK(list.TakeChanges().empty());
}

TEST_CASE("worker list: a reason is truncated to 300 bytes") {
  WorkerList list;
  list.OnEntry("a", MalformedEntry(std::string(100000, 'x')));
  const auto unused = list.TakeUnused();
  REQUIRE(unused.size() == 1);
  CHECK(unused[0].reason.size() == 300);
}

}  // namespace
}  // namespace keelbridge
