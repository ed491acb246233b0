// Chooses the target in the zone for each request and decides whether a failed
// request is retried.
//
// Each gateway uses a share of the slots of every target. The shares of all
// live gateways add up to the target's limit, so no target is overloaded and
// the gateways need not communicate. Targets that fail repeatedly are ejected
// for a while, draining targets receive no new requests, and retries are
// limited to a fraction of first tries.
//
//   Result<Router::Pick> pick = router.Choose("licence-check", tried, now);
//   // Forward the request to pick.value().address, then:
//   router.Done(pick.value().target, result, now);

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

// The result of one attempt at a target.
enum class AttemptResult {
  kAnswered,   // A complete answer from the target.
  kRefused,    // The target reports that it did not run the request.
  kUnreached,  // No byte was sent.
  kNoAnswer,   // The request may have run.
};

// Limits retries to a fraction of first tries, so that retries cannot amplify
// an overload. Performs no I/O and reads no clock.
class RetryBudget {
 public:
  struct Options {
    double tokens_per_first_try = 0.2;  // Tokens added for each first try.
    double max_tokens = 20;
  };
  explicit RetryBudget(Options options)
      : options_(options), tokens_(options.max_tokens) {}

  void OnFirstTry() {
    tokens_ =
        std::min(options_.max_tokens, tokens_ + options_.tokens_per_first_try);
  }
  // Spends one token on a retry and returns true, or returns false if no retry
  // is allowed.
  bool TrySpend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  const Options options_;
  double tokens_;
};

// Performs no I/O and reads no clock. Not thread-safe.
class Router {
 public:
  struct Options {
    int eject_after = 5;  // Consecutive failures before an ejection.
    absl::Duration initial_ejection = absl::Seconds(2);
    absl::Duration max_ejection = absl::Seconds(30);
    // Sent to callers whose request finds no free slot or no usable target.
    absl::Duration retry_after = absl::Seconds(1);
    uint64_t seed = 1;
  };

  // The target that a request is sent to.
  struct Pick {
    std::string target;
    std::string address;
  };

  explicit Router(Options options) : options_(options), random_(options.seed) {}

  // Sets the targets and services of `zone`.
  void SetConfiguration(const Configuration& configuration,
                        const std::string& zone);
  // Sets which share of each target's limit belongs to this gateway: it is
  // number `index` of the `count` live gateways in the zone.
  void SetShare(int index, int count);
  // Sets the targets that receive no new requests: the platform's list or an
  // operator drains them, or they reported so themselves.
  void SetDrainingTargets(const std::set<std::string>& names) {
    draining_targets_ = names;
  }

  const ServiceConfig* FindService(const std::string& name) const;

  // Acquires a slot of the less loaded of two random targets with free slots.
  // Returns `kOverloaded` if all targets are busy, `kUnavailable` if none may
  // be used, and `kNotFound` if the service is unknown.
  Result<Pick> Choose(const std::string& service,
                      const std::set<std::string>& tried, absl::Time now);
  // Releases the slot and records the result.
  void Done(const std::string& target, AttemptResult result, absl::Time now);

  // Returns true if a request with this result may be retried at another
  // target.
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
  std::set<std::string> draining_targets_;
  int index_ = 0;
  int count_ = 1;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_ROUTER_H_
