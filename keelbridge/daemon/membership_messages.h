// JSON encoding of what heartbeats and their answers state about members.
//
//   Json::Value params = ToJson(membership.MakeReport(parent));
//   Result<HeartbeatReport> report = HeartbeatReportFromJson(params);

#ifndef KEELBRIDGE_DAEMON_MEMBERSHIP_MESSAGES_H_
#define KEELBRIDGE_DAEMON_MEMBERSHIP_MESSAGES_H_

#include <json/json.h>

#include "keelbridge/base/result.h"
#include "keelbridge/membership/site_membership.h"

namespace keelbridge {

Json::Value ToJson(const HeartbeatReport& report);
// Returns an error if `in` is no report. A list of more than
// MemberList::kMaxMembers members is refused unread.
Result<HeartbeatReport> HeartbeatReportFromJson(const Json::Value& in);
// Reads the heartbeat of a node of an earlier version, which describes only its
// sender: a direct child without a subtree that keeps no list.
Result<HeartbeatReport> EarlierHeartbeatFromJson(const Json::Value& in);
Json::Value ToJson(const HeartbeatReportAnswer& answer);
Result<HeartbeatReportAnswer> HeartbeatReportAnswerFromJson(
    const Json::Value& in);

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_MEMBERSHIP_MESSAGES_H_
