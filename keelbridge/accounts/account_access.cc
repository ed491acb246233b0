#include "keelbridge/accounts/account_access.h"

namespace keelbridge {

const char* AccessDecision::reason() const {
  switch (verdict) {
    case Verdict::kAnonymous:
    case Verdict::kAccount:
      return "";
    case Verdict::kMissingKey:
      return "this queue needs the key of a client account";
    case Verdict::kUnknownKey:
      return "no client account has this key";
  }
  return "";
}

AccessDecision CheckAccess(const SiteConfiguration& configuration,
                           const Queue& queue, absl::string_view key) {
  using Verdict = AccessDecision::Verdict;
  if (!configuration.has_accounts) return {Verdict::kAnonymous, nullptr};
  if (!key.empty()) {
    const ClientAccount* account = configuration.FindAccountByKey(key);
    if (account != nullptr) return {Verdict::kAccount, account};
  }
  if (queue.allows_anonymous) return {Verdict::kAnonymous, nullptr};
  return {key.empty() ? Verdict::kMissingKey : Verdict::kUnknownKey, nullptr};
}

bool MayAccessJob(const std::string& account, bool queue_allows_anonymous,
                  const std::string& job_account) {
  return queue_allows_anonymous || job_account.empty() ||
         account == job_account;
}

}  // namespace keelbridge
