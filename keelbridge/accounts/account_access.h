// Decides whether a call may use a queue, and on behalf of which client
// account.
//
// A call carries a key that belongs to one account. Sites without accounts and
// queues that allow anonymous calls serve calls without a key too. The same
// decision is made where a call arrives and again by the leader, whose
// configuration may be newer.
//
//   const AccessDecision access = CheckAccess(configuration, queue, key);
//   if (!access.allowed()) return Deny(access.reason());
//   Submit(job, access.account);
//
//   if (!MayAccessJob(access, job.account)) return kNoSuchJob;

#ifndef KEELBRIDGE_ACCOUNTS_ACCOUNT_ACCESS_H_
#define KEELBRIDGE_ACCOUNTS_ACCOUNT_ACCESS_H_

#include <string>

#include "absl/strings/string_view.h"
#include "keelbridge/protocol/site_configuration.h"

namespace keelbridge {

struct AccessDecision {
  enum class Verdict {
    kAnonymous,   // Allowed without an account.
    kAccount,     // Allowed on behalf of `account`.
    kMissingKey,  // The queue needs a key and the call has none.
    kUnknownKey,  // No account of the configuration has the key.
  };
  Verdict verdict = Verdict::kMissingKey;
  // The account that the key belongs to. Null for any other verdict than
  // `kAccount`. Owned by the configuration.
  const ClientAccount* account = nullptr;

  bool allowed() const {
    return verdict == Verdict::kAnonymous || verdict == Verdict::kAccount;
  }
  // Returns why the call is denied, for its caller and for logs. Does not
  // contain the key.
  const char* reason() const;
};

// `key` is empty if the call has none.
AccessDecision CheckAccess(const SiteConfiguration& configuration,
                           const Queue& queue, absl::string_view key);

// Returns whether a caller of `account` may see and cancel a job that
// `job_account` submitted. Either is empty if there is no account. Jobs without
// an account are accessible to every caller of their queue, and a queue that
// allows anonymous calls does not distinguish between callers.
bool MayAccessJob(const std::string& account, bool queue_allows_anonymous,
                  const std::string& job_account);

}  // namespace keelbridge

#endif  // KEELBRIDGE_ACCOUNTS_ACCOUNT_ACCESS_H_
