#include "keelbridge/daemon/membership_messages.h"

#include "doctest/doctest.h"

namespace keelbridge {
namespace {

const SiteMember kMember{"node-a", "10.0.0.1:7580", "zone-1", true, 0.5};

HeartbeatReport Report() {
  HeartbeatReport report;
  report.sender = kMember;
  report.known_members = {3, 17, UINT64_MAX};
  report.subtree.whole_list = true;
  report.subtree.state = {9, 1, 5};
  report.subtree.changed = {kMember};
  report.subtree.removed = {"node-b"};
  return report;
}

TEST_CASE("membership messages: a report and its answer survive the wire") {
  const auto report = HeartbeatReportFromJson(ToJson(Report()));
  REQUIRE(report);
  CHECK(report.value().sender == kMember);
  CHECK(report.value().known_members == Report().known_members);
  CHECK(report.value().subtree.changed == Report().subtree.changed);
  CHECK(report.value().subtree.removed == Report().subtree.removed);
  CHECK(report.value().subtree.state == Report().subtree.state);

  HeartbeatReportAnswer answer;
  answer.known_subtree = {9, 1, 5};
  answer.members = Report().subtree;
  answer.parent = kMember;
  const auto read = HeartbeatReportAnswerFromJson(ToJson(answer));
  REQUIRE(read);
  CHECK(read.value().known_subtree == answer.known_subtree);
  CHECK(read.value().members->changed == answer.members->changed);
  CHECK(*read.value().parent == kMember);
}

TEST_CASE("membership messages: an unchanged subtree is not sent") {
  HeartbeatReport report;
  report.sender = kMember;
  CHECK_FALSE(ToJson(report).isMember("subtree"));
  CHECK(HeartbeatReportFromJson(ToJson(report)));
}

TEST_CASE("membership messages: the heartbeat of an earlier version is read") {
  Json::Value in(Json::objectValue);
  in["node"] = kMember.name;
  in["address"] = kMember.address;
  in["zone"] = kMember.zone;
  in["store_ok"] = kMember.store_ok;
  in["capacity"] = kMember.capacity;
  in["peers_version"] = 7;
  const auto report = EarlierHeartbeatFromJson(in);
  REQUIRE(report);
  CHECK(report.value().sender == kMember);
  CHECK(report.value().subtree.empty());
  in["store_ok"] = "yes";
  CHECK_FALSE(EarlierHeartbeatFromJson(in));
  CHECK_FALSE(EarlierHeartbeatFromJson(Json::Value()));
}

TEST_CASE("membership messages: what is no report is refused") {
  CHECK_FALSE(HeartbeatReportFromJson(Json::Value()));
  CHECK_FALSE(HeartbeatReportFromJson(Json::Value(Json::objectValue)));
  Json::Value in = ToJson(Report());
  SUBCASE("a sender without a name") { in["sender"][0] = ""; }
  SUBCASE("a capacity that is text") { in["sender"][4] = "much"; }
  SUBCASE("a state of two numbers") { in["known_members"].resize(2); }
  SUBCASE("an update without members") {
    in["subtree"].removeMember("changed");
  }
  SUBCASE("a removed member that is a number") {
    in["subtree"]["removed"][0] = 1;
  }
  SUBCASE("a list without an owner") { in["subtree"]["state"][0] = 0; }
  SUBCASE("more members than a list may have") {
    in["subtree"]["changed"].resize(MemberList::kMaxMembers + 1);
  }
  CHECK_FALSE(HeartbeatReportFromJson(in));
}

}  // namespace
}  // namespace keelbridge
