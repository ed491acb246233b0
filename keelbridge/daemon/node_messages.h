// What nodes of a site tell each other, as JSON.

#ifndef KEELBRIDGE_DAEMON_NODE_MESSAGES_H_
#define KEELBRIDGE_DAEMON_NODE_MESSAGES_H_

#include <json/json.h>

#include "keelbridge/base/result.h"
#include "keelbridge/coordination/site_election.h"
#include "keelbridge/protocol/client_call.h"
#include "keelbridge/protocol/site_worker.h"

namespace keelbridge {

Json::Value ToJson(const ClientCall& call);
// Why `in` is no call that a leader can answer; a job is within all limits.
Result<ClientCall> ClientCallFromJson(const Json::Value& in);
Json::Value ToJson(const ClientReply& reply);
// `kUnknown` when `in` cannot be read.
ClientReply ClientReplyFromJson(const Json::Value& in);
Json::Value ToJson(const AdviceRequest& request);
// Throws `Json::Exception` when `in` cannot be read.
AdviceRequest AdviceRequestFromJson(const Json::Value& in);
Json::Value ToJson(const AdviceReply& reply);
// Not answered when `in` cannot be read.
AdviceReply AdviceReplyFromJson(const Json::Value& in);
Json::Value ToJson(const LeaderRecord& leader);
// Epoch 0 when `in` names none.
LeaderRecord LeaderFromJson(const Json::Value& in);

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_NODE_MESSAGES_H_
