// What a leader knows at the end of its term and has not made durable: ends of
// runs that only it has heard of, how long work takes, which clients it told to
// return, and what client accounts lately asked for and received.
//
// A leader that is cut off from the store goes on to hear from the workers that
// it still reaches. A worker that leaves before the next leader reaches it
// reports to nobody else, so the next leader asks the earlier one for a
// handover. Without it, that leader would wait for the worker's lease and then
// repeat tasks that are done.
//
//   LeaderHandover handover = earlier_scheduler.Handover(now);
//   Json::Value message = ToJson(handover);  // daemon/node_messages.h
//   scheduler.OnHandover(handover, now);

#ifndef KEELBRIDGE_PROTOCOL_LEADER_HANDOVER_H_
#define KEELBRIDGE_PROTOCOL_LEADER_HANDOVER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/queue_durations.h"
#include "keelbridge/protocol/site_worker.h"

namespace keelbridge {

struct WorkerHandover {
  std::string worker;  // The id of the incarnation.
  // Ends of runs that the leader has heard and not acknowledged to the worker,
  // in the order of their numbers.
  std::vector<EndedTask> ends;
  // How long after the handover was created the last lease of this leader and
  // of earlier ones ends, so that nothing of theirs runs on the worker any
  // more. Nullopt if it is not known.
  std::optional<absl::Duration> lease_left;
  // `remaining` names every task that may still run on the worker by an order
  // of this leader or an earlier one.
  bool remaining_known = false;
  std::vector<TaskId> remaining;
};

// A client whose job was refused, and that was told to return. Times are those
// of the wall clock, in milliseconds since the Unix epoch.
struct ReturnHandover {
  JobId job = 0;
  int64_t first_try_ms = 0;
  int64_t due_ms = 0;    // When the client was told to return.
  int64_t work = 0;      // In thousandths of a processor times seconds.
  int32_t priority = 0;  // Of its queue.
  bool promised = false;
};

// The most returns that a handover holds, so that it arrives in time over slow
// links. Without its entry a client is a newcomer again.
constexpr size_t kMaxReturnsHandedOver = 2000;

// What a leader lately saw of one client account.
struct AccountHandover {
  std::string account;
  // Decayed sums (see accounts/account_history.h): work asked for and received,
  // in seconds of the whole site, and jobs.
  double asked = 0;
  double received = 0;
  double jobs = 0;
  // What is left of the account's entitlement (see
  // accounts/account_entitlement.h).
  double job_tokens = 0;
  double work_tokens = 0;
};

// The recent past of the client accounts. Empty if the leader does not keep it.
struct AccountsHandover {
  // What the site did for all accounts, per second.
  double served_jobs = 0;
  double served_work = 0;
  // The accounts that asked for most, at most `kMaxAccountsHandedOver`.
  std::vector<AccountHandover> accounts;
};
// So that a handover arrives in time over slow links.
constexpr size_t kMaxAccountsHandedOver = 256;

// A leader creates it once it sends no more orders.
struct LeaderHandover {
  int64_t epoch = 0;   // Of the leader; 0: the node has not led.
  absl::Duration age;  // The time from its creation until it was sent.
  // Those that may report nothing to the next leader: they leave, are off the
  // platform's list or do not answer.
  std::vector<WorkerHandover> workers;
  // What the leader has learned of the durations of recently active queues.
  std::vector<QueueDurations> durations;
  std::vector<ReturnHandover> returns;
  AccountsHandover accounts;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_LEADER_HANDOVER_H_
