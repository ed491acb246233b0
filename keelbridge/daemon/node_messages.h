// JSON encoding of messages between the nodes of a site.

#ifndef KEELBRIDGE_DAEMON_NODE_MESSAGES_H_
#define KEELBRIDGE_DAEMON_NODE_MESSAGES_H_

#include <json/json.h>

#include <optional>

#include "keelbridge/base/result.h"
#include "keelbridge/coordination/site_election.h"
#include "keelbridge/protocol/client_call.h"
#include "keelbridge/protocol/leader_handover.h"
#include "keelbridge/protocol/site_worker.h"

namespace keelbridge {

// Returns an age in whole milliseconds, rounded up, of at most an hour.
Json::Value AgeToJson(absl::Duration age);
Json::Value ToJson(const ClientCall& call);
// Returns an error if `in` is not a call that a leader can answer. A submitted
// job has passed `CheckJobSpec`.
Result<ClientCall> ClientCallFromJson(const Json::Value& in);
Json::Value ToJson(const ClientReply& reply);
// Returns a reply of `kUnknown` if `in` cannot be parsed.
ClientReply ClientReplyFromJson(const Json::Value& in);
Json::Value ToJson(const AdviceRequest& request);
// Throws `Json::Exception` if `in` cannot be parsed.
AdviceRequest AdviceRequestFromJson(const Json::Value& in);
Json::Value ToJson(const AdviceReply& reply);
// Returns a reply without `answered` if `in` cannot be parsed.
AdviceReply AdviceReplyFromJson(const Json::Value& in);
Json::Value ToJson(const LeaderRecord& leader);
// Returns a record of epoch 0 if `in` contains no leader.
LeaderRecord LeaderFromJson(const Json::Value& in);
Json::Value ToJson(const LeaderHandover& handover);
// Returns nullopt if `in` contains no handover or cannot be parsed.
std::optional<LeaderHandover> LeaderHandoverFromJson(const Json::Value& in);

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_NODE_MESSAGES_H_
