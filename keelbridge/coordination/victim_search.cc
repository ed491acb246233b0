#include "keelbridge/coordination/victim_search.h"

#include <algorithm>
#include <limits>

namespace keelbridge {
namespace {

constexpr int kMaxSteps = 4000;
constexpr Resources kNothing{};

// Depth-first search that includes or excludes each candidate, in the given
// order.
class Search {
 public:
  Search(const std::vector<VictimCandidate>& candidates,
         const Resources& shortfall)
      : candidates_(candidates), suffix_totals_(candidates.size() + 1) {
    for (size_t i = candidates.size(); i-- > 0;)
      suffix_totals_[i] = suffix_totals_[i + 1] + candidates[i].freed_resources;
    Branch(0, shortfall, 0);
  }

  bool found() const {
    return best_cost_ < std::numeric_limits<double>::infinity();
  }
  double cost() const { return best_cost_; }
  const std::vector<size_t>& best() const { return best_; }

 private:
  void Branch(size_t at, const Resources& remaining, double cost) {
    if (cost >= best_cost_) return;
    if (remaining == kNothing) {
      best_cost_ = cost;
      best_ = chosen_;
      return;
    }
    if (at == candidates_.size() || ++steps_ > kMaxSteps ||
        !remaining.FitsIn(suffix_totals_[at]))
      return;
    const VictimCandidate& candidate = candidates_[at];
    const Resources after = Shortfall(remaining, candidate.freed_resources);
    if (after != remaining) {
      chosen_.push_back(at);
      Branch(at + 1, after, cost + candidate.cost);
      chosen_.pop_back();
    }
    Branch(at + 1, remaining, cost);
  }

  const std::vector<VictimCandidate>& candidates_;
  // Element i: what all candidates from i on would free together.
  std::vector<Resources> suffix_totals_;
  std::vector<size_t> chosen_;
  std::vector<size_t> best_;
  double best_cost_ = std::numeric_limits<double>::infinity();
  int steps_ = 0;
};

}  // namespace

VictimSet FindVictims(std::vector<VictimCandidate> candidates,
                      const Resources& shortfall) {
  const auto efficiency = [&shortfall](const VictimCandidate& c) {
    const Resources useful =
        shortfall - Shortfall(shortfall, c.freed_resources);
    return DominantShare(useful, shortfall) / c.cost;
  };
  std::sort(candidates.begin(), candidates.end(),
            [&efficiency](const VictimCandidate& a, const VictimCandidate& b) {
              return efficiency(a) > efficiency(b);
            });
  const Search search(candidates, shortfall);
  VictimSet out;
  out.found = search.found();
  if (!out.found) return out;
  out.cost = search.cost();
  for (const size_t at : search.best())
    out.tasks.push_back(candidates[at].task);
  return out;
}

}  // namespace keelbridge
