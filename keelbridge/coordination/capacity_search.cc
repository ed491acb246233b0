#include "keelbridge/coordination/capacity_search.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>

namespace keelbridge {
namespace {

// The cost of placing one more task on a candidate.
struct Offer {
  std::vector<size_t> preempted;  // Further runs to preempt.
  double cost = 0;
};

// The state of a candidate during the search.
struct WorkerState {
  Resources free_capacity;
  int32_t tasks = 0;
  std::vector<size_t> preempted;
  std::vector<size_t> by_cost;  // Runs not preempted yet, cheapest first.
  std::optional<Offer> next;    // Empty if no further task fits.
};

// Removes the preemptions that are not needed to fit `tasks` tasks, the most
// expensive first.
void RemoveUnneeded(const Resources& need, int32_t tasks,
                    const CapacityCandidate& worker, Resources free_capacity,
                    std::vector<size_t>* preempted) {
  for (auto it = preempted->end(); it != preempted->begin();) {
    --it;
    const Resources without = free_capacity - worker.runs[*it].need;
    if (CountFits(need, without, tasks) < tasks) continue;
    free_capacity = without;
    it = preempted->erase(it);
  }
}

std::optional<Offer> FindNextOffer(const Resources& need,
                                   const CapacityCandidate& worker,
                                   const WorkerState& state) {
  const int32_t tasks = state.tasks + 1;
  if (tasks > worker.max_tasks) return std::nullopt;
  Resources free_capacity = state.free_capacity;
  Offer offer;
  for (const size_t run : state.by_cost) {
    if (CountFits(need, free_capacity, tasks) >= tasks) break;
    free_capacity += worker.runs[run].need;
    offer.preempted.push_back(run);
  }
  if (CountFits(need, free_capacity, tasks) < tasks) return std::nullopt;
  RemoveUnneeded(need, tasks, worker, free_capacity, &offer.preempted);
  for (const size_t run : offer.preempted) offer.cost += worker.runs[run].cost;
  return offer;
}

void Accept(const CapacityCandidate& worker, const Offer& offer,
            WorkerState* state) {
  ++state->tasks;
  for (const size_t run : offer.preempted) {
    state->free_capacity += worker.runs[run].need;
    state->preempted.push_back(run);
    state->by_cost.erase(
        std::find(state->by_cost.begin(), state->by_cost.end(), run));
  }
}

WorkerState InitialState(const CapacityCandidate& worker) {
  WorkerState state;
  state.free_capacity = worker.free_capacity;
  state.by_cost.resize(worker.runs.size());
  std::iota(state.by_cost.begin(), state.by_cost.end(), size_t{0});
  std::stable_sort(state.by_cost.begin(), state.by_cost.end(),
                   [&](size_t a, size_t b) {
                     return worker.runs[a].cost < worker.runs[b].cost;
                   });
  return state;
}

}  // namespace

int32_t CountFits(const Resources& need, const Resources& free_capacity,
                  int32_t max_tasks) {
  int32_t fits = max_tasks;
  if (need.cpu_milli > 0)
    fits =
        std::min(fits, std::max(0, free_capacity.cpu_milli) / need.cpu_milli);
  if (need.memory_mib > 0)
    fits =
        std::min(fits, std::max(0, free_capacity.memory_mib) / need.memory_mib);
  if (need.accelerators > 0)
    fits = std::min(
        fits, std::max(0, free_capacity.accelerators) / need.accelerators);
  return std::max(0, fits);
}

std::vector<CapacityChoice> ChooseCapacity(
    const Resources& need, int32_t count, double max_cost,
    const std::vector<CapacityCandidate>& workers) {
  std::vector<WorkerState> states;
  states.reserve(workers.size());
  for (const CapacityCandidate& worker : workers) {
    states.push_back(InitialState(worker));
    states.back().next = FindNextOffer(need, worker, states.back());
  }
  for (int32_t accepted = 0; accepted < count; ++accepted) {
    size_t best = states.size();
    double min_cost = std::numeric_limits<double>::infinity();
    for (size_t i = 0; i < states.size(); ++i) {
      if (!states[i].next || states[i].next->cost >= min_cost ||
          states[i].next->cost > max_cost)
        continue;
      best = i;
      min_cost = states[i].next->cost;
    }
    if (best == states.size()) break;
    Accept(workers[best], *states[best].next, &states[best]);
    states[best].next = FindNextOffer(need, workers[best], states[best]);
  }
  std::vector<CapacityChoice> choices;
  for (size_t i = 0; i < states.size(); ++i) {
    if (states[i].tasks > 0)
      choices.push_back({i, states[i].tasks, std::move(states[i].preempted)});
  }
  return choices;
}

}  // namespace keelbridge
