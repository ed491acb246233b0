#include "keelbridge/coordination/capacity_search.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <optional>

namespace keelbridge {
namespace {

// One more task at a candidate, and what that costs.
struct Offer {
  std::vector<size_t> yielding;  // In addition.
  double cost = 0;
};

// A candidate as the search goes on.
struct Site {
  Resources room;
  int32_t tasks = 0;
  std::vector<size_t> yielding;
  std::vector<size_t> by_cost;  // Runs that do not yield yet.
  std::optional<Offer> next;    // None: nothing more fits.
};

// Takes back what is not needed for `tasks` tasks, the dearest first.
void Prune(const Resources& need, int32_t tasks, const RoomCandidate& worker,
           Resources room, std::vector<size_t>* yielding) {
  for (auto it = yielding->end(); it != yielding->begin();) {
    --it;
    const Resources without = room - worker.runs[*it].need;
    if (TimesFits(need, without, tasks) < tasks) continue;
    room = without;
    it = yielding->erase(it);
  }
}

std::optional<Offer> NextOffer(const Resources& need,
                               const RoomCandidate& worker, const Site& site) {
  const int32_t tasks = site.tasks + 1;
  if (tasks > worker.most) return std::nullopt;
  Resources room = site.room;
  Offer offer;
  for (const size_t run : site.by_cost) {
    if (TimesFits(need, room, tasks) >= tasks) break;
    room += worker.runs[run].need;
    offer.yielding.push_back(run);
  }
  if (TimesFits(need, room, tasks) < tasks) return std::nullopt;
  Prune(need, tasks, worker, room, &offer.yielding);
  for (const size_t run : offer.yielding) offer.cost += worker.runs[run].cost;
  return offer;
}

void Take(const RoomCandidate& worker, const Offer& offer, Site* site) {
  ++site->tasks;
  for (const size_t run : offer.yielding) {
    site->room += worker.runs[run].need;
    site->yielding.push_back(run);
    site->by_cost.erase(
        std::find(site->by_cost.begin(), site->by_cost.end(), run));
  }
}

Site BeginSite(const RoomCandidate& worker) {
  Site site;
  site.room = worker.room;
  site.by_cost.resize(worker.runs.size());
  std::iota(site.by_cost.begin(), site.by_cost.end(), size_t{0});
  std::stable_sort(site.by_cost.begin(), site.by_cost.end(),
                   [&](size_t a, size_t b) {
                     return worker.runs[a].cost < worker.runs[b].cost;
                   });
  return site;
}

}  // namespace

int32_t TimesFits(const Resources& need, const Resources& room, int32_t most) {
  int32_t fits = most;
  if (need.cpu_milli > 0)
    fits = std::min(fits, std::max(0, room.cpu_milli) / need.cpu_milli);
  if (need.memory_mib > 0)
    fits = std::min(fits, std::max(0, room.memory_mib) / need.memory_mib);
  if (need.accelerators > 0)
    fits = std::min(fits, std::max(0, room.accelerators) / need.accelerators);
  return std::max(0, fits);
}

std::vector<RoomChoice> ChooseRoom(const Resources& need, int32_t count,
                                   double most_cost,
                                   const std::vector<RoomCandidate>& workers) {
  std::vector<Site> sites;
  sites.reserve(workers.size());
  for (const RoomCandidate& worker : workers) {
    sites.push_back(BeginSite(worker));
    sites.back().next = NextOffer(need, worker, sites.back());
  }
  for (int32_t taken = 0; taken < count; ++taken) {
    size_t best = sites.size();
    double least = std::numeric_limits<double>::infinity();
    for (size_t i = 0; i < sites.size(); ++i) {
      if (!sites[i].next || sites[i].next->cost >= least ||
          sites[i].next->cost > most_cost)
        continue;
      best = i;
      least = sites[i].next->cost;
    }
    if (best == sites.size()) break;
    Take(workers[best], *sites[best].next, &sites[best]);
    sites[best].next = NextOffer(need, workers[best], sites[best]);
  }
  std::vector<RoomChoice> choices;
  for (size_t i = 0; i < sites.size(); ++i) {
    if (sites[i].tasks > 0)
      choices.push_back({i, sites[i].tasks, std::move(sites[i].yielding)});
  }
  return choices;
}

}  // namespace keelbridge
