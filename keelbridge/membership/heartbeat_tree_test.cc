#include "keelbridge/membership/heartbeat_tree.h"

#include <map>

#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace keelbridge {
namespace {

constexpr int kZones = 5;

std::map<std::string, SiteMember> Members(int count) {
  std::map<std::string, SiteMember> members;
  for (int i = 0; i < count; ++i) {
    const std::string name = absl::StrCat("node-", i);
    members[name] = {name, absl::StrCat("host:", i),
                     absl::StrCat("zone-", i % kZones), true,
                     i < 10 * kZones ? 1.0 : 0.12};
  }
  return members;
}

TEST_CASE("heartbeat tree: a small site is flat") {
  const HeartbeatTree tree(Members(51), "node-0", HeartbeatTree::Options());
  CHECK(tree.ParentOf("node-30") == nullptr);
  CHECK(tree.DepthOf("node-30") == 1);
}

TEST_CASE("heartbeat tree: children are limited, zones keep to themselves") {
  const HeartbeatTree::Options options;
  for (const int count : {52, 150, 600, 1200}) {
    CAPTURE(count);
    const auto members = Members(count);
    const HeartbeatTree tree(members, "node-3", options);
    std::map<std::string, size_t> children;
    size_t from_other_zones = 0;
    for (const auto& [name, member] : members) {
      if (name == "node-3") continue;
      const SiteMember* parent = tree.ParentOf(name);
      ++children[parent == nullptr ? "node-3" : parent->name];
      if (parent != nullptr) {
        CHECK(parent->zone == member.zone);
        CHECK(parent->capacity == 1);
      } else if (member.zone != members.at("node-3").zone) {
        ++from_other_zones;
      }
      CHECK(tree.DepthOf(name) <= 3);
    }
    CHECK(from_other_zones == kZones - 1);
    for (const auto& [name, n] : children)
      CHECK(n <= options.max_children + kZones - 1);
  }
}

TEST_CASE("heartbeat tree: no leader, unknown nodes, a zone of one node") {
  auto members = Members(100);
  members["alone"] = {"alone", "host:a", "elsewhere", true, 1};
  const HeartbeatTree tree(members, "", HeartbeatTree::Options());
  CHECK(tree.ParentOf("alone") == nullptr);
  CHECK(tree.ParentOf("stranger") == nullptr);
  CHECK_FALSE(tree.Contains("stranger"));
  CHECK(tree.DepthOf("stranger") == 1);
}

}  // namespace
}  // namespace keelbridge
