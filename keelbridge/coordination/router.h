// Which target of the zone gets a request, and whether a failed one is tried
// again.
//
// Each gateway uses its own part of every target's slots; the parts of all live
// gateways add up to the target's limit, so no target is given more than it
// takes without the gateways having to talk. Targets that fail again and again
// are left out for a while, leaving ones get nothing new, and retries are a
// fraction of first tries.
//
//   Result<Pick> pick = router.Choose("licence-check", tried, now);
//   ... forward ...
//   router.Done(pick.value().target, outcome, now);

#ifndef KEELBRIDGE_COORDINATION_ROUTER_H_
#define KEELBRIDGE_COORDINATION_ROUTER_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/base/result.h"
#include "keelbridge/protocol/configuration.h"
#include "keelbridge/protocol/verdict.h"

namespace keelbridge {

// How one attempt at a target went.
enum class AttemptResult {
  kAnswered,   // A whole answer that is the target's word on the request.
  kRefused,    // The target says that it did not run it.
  kUnreached,  // No byte was sent.
  kNoAnswer,   // It may have run.
};

// Retries are paid for by first tries, so that they cannot multiply an
// overload. Pure.
class RetryBudget {
 public:
  struct Options {
    double tokens_per_first_try = 0.2;  // For each first try.
    double max_tokens = 20;
  };
  explicit RetryBudget(Options options)
      : options_(options), tokens_(options.max_tokens) {}

  void OnFirstTry() {
    tokens_ =
        std::min(options_.max_tokens, tokens_ + options_.tokens_per_first_try);
  }
  // True when a retry is allowed, and then pays for it.
  bool TrySpend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  const Options options_;
  double tokens_;
};

// Pure. Not thread-safe.
class Router {
 public:
  struct Options {
    int eject_after = 5;  // Failures in a row.
    absl::Duration initial_ejection = absl::Seconds(2);
    absl::Duration max_ejection = absl::Seconds(30);
    absl::Duration retry_after =
        absl::Seconds(1);  // Told to callers who find no room.
    uint64_t seed = 1;
  };

  // What a request is sent with.
  struct Pick {
    std::string target;
    std::string address;
  };

  explicit Router(Options options) : options_(options), random_(options.seed) {}

  // Targets and services of this zone.
  void SetConfiguration(const Configuration& configuration,
                        const std::string& zone);
  // Which part of each target's limits is ours: gateway `index` of `count` live
  // ones in the zone.
  void SetShare(int index, int count);
  // Targets that get nothing new: by the platform's list, an operator's drain,
  // or their own word.
  void SetLeaving(const std::set<std::string>& names) { leaving_ = names; }

  const ServiceConfig* FindService(const std::string& name) const;

  // Takes a slot of the least loaded of two random targets that have one.
  // `kOverloaded` when all are busy, `kUnavailable` when none may be used,
  // `kNotFound` when the service is unknown.
  Result<Pick> Choose(const std::string& service,
                      const std::set<std::string>& tried, absl::Time now);
  // Gives the slot back.
  void Done(const std::string& target, AttemptResult result, absl::Time now);

  // Whether a request that failed so may be tried again at another target.
  static bool MayRetry(AttemptResult result, bool repeatable);

  int64_t InFlight(const std::string& target) const;
  int64_t ShareOf(const std::string& target) const;
  bool Ejected(const std::string& target, absl::Time now) const;

 private:
  struct Target {
    TargetConfig config;
    int64_t share = 0;
    int64_t in_flight = 0;
    int failures = 0;
    int ejections = 0;
    absl::Time ejected_until = absl::InfinitePast();
  };

  void UpdateShare(Target& target) const;

  const Options options_;
  std::mt19937_64 random_;
  std::map<std::string, Target> targets_;
  std::map<std::string, std::vector<std::string>> by_service_;
  std::map<std::string, ServiceConfig> services_;
  std::set<std::string> leaving_;
  int index_ = 0;
  int count_ = 1;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_ROUTER_H_
