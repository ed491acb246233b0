// Decides which adviser to ask, when, and about which workers, to learn where a
// step may run.

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// Minimum remaining validity of a ticket when the order is sent.
constexpr absl::Duration kTicketMargin = absl::Milliseconds(150);
// Subtracted from the stated validity of a ticket for the time the answer was
// in transit.
constexpr absl::Duration kTicketTransitTime = absl::Milliseconds(20);
constexpr absl::Duration kAdviceRetry = absl::Milliseconds(150);
// Delay before a step that received an answer but still lacks workers asks
// again. It doubles with each call, at most `kMaxDoublings` times.
constexpr absl::Duration kAskAgainDelay = absl::Milliseconds(60);
constexpr int32_t kMaxDoublings = 3;
// Interval between two candidate searches for a step that has no reason to ask.
// It grows with the number of waiting steps, so that blocked steps leave
// searches to the steps ordered after them.
constexpr absl::Duration kMinSearchInterval = absl::Milliseconds(20);
constexpr absl::Duration kSearchIntervalPerStep = absl::Microseconds(500);
constexpr absl::Duration kMaxSearchInterval = absl::Milliseconds(200);
constexpr absl::Duration kAdviserAvoidance = absl::Seconds(1);
// Calls expected to take less than this are short: they never queue behind long
// calls.
constexpr double kShortAdviceMs = 100;
// Maximum time for which a new call, short or long, may have to wait for
// earlier calls of the same adviser.
constexpr absl::Duration kShortBacklog = absl::Milliseconds(300);
constexpr absl::Duration kLongBacklog = absl::Milliseconds(200);
// Assumed share of workers that may run a step, until it is learned.
constexpr double kInitialEligibleShare = 0.5;
// Weight of a new answer in the learned share.
constexpr double kEligibleShareWeight = 0.2;
constexpr double kMinEligibleShare = 0.1;
// Advice is requested for this multiple of the capacity that is needed, because
// the share of eligible workers varies between answers, and because other steps
// use capacity while an answer is in transit.
constexpr double kAdviceMargin = 1.4;
constexpr double kGangMargin = 2.0;
// Limit of the advice service for one call.
constexpr size_t kMaxNamedWorkers = 100;
// Maximum number of concurrent calls for one gang; only gangs that may reserve
// capacity or whose pool is idle make more than one. Four calls name 400
// workers, of which 100 may run the gang if a quarter of all workers may.
constexpr size_t kMaxConcurrentCalls = 4;
// Share of the advisers that gangs may use, so that the rest is left to other
// steps. It covers the first call of each gang and further concurrent calls. At
// least `kMinExtraGangCalls` further calls are always allowed, enough for the
// four gangs that reserve capacity.
constexpr double kGangAdviserShare = 0.5;
constexpr size_t kMinExtraGangCalls = 16;
constexpr size_t kMinNamedWorkers = 4;
// A search of a large site ends once it has found this many times the workers
// that the call is expected to name, so that the emptiest of them are named.
constexpr double kCandidatesPerName = 4;
constexpr size_t kMinCandidates = 64;
// A call names more workers than it needs while naming them costs at most this
// share of the fixed cost of the call. A call that names too few workers has to
// be repeated at its full cost.
constexpr double kNamingCostShare = 0.5;
// Short calls name more workers than they need only while at most this many
// steps wait, because there are many such calls and each takes processor time
// of the leader in proportion to the workers that it names.
constexpr size_t kMaxStepsForExtraNames = 20;

// Returns the processors, in thousandths, that `tasks` tasks of the step are
// expected to use on one worker. Counts at most the waiting tasks.
int32_t ExpectedMilli(const ReadyStep& ready, double tasks) {
  if (ready.spec->best_effort) return 0;
  const double limit = std::min(tasks, static_cast<double>(ready.waiting));
  return static_cast<int32_t>(limit * CapacityNeeded(*ready.spec).cpu_milli);
}

}  // namespace

void JobScheduler::SetAdvisers(const std::vector<AdviserNode>& nodes,
                               const std::string& self) {
  absl::flat_hash_map<std::string, Adviser> known;
  for (const Adviser& adviser : advisers_) known[adviser.node] = adviser;
  std::vector<Adviser> next;
  for (const AdviserNode& node : nodes) {
    Adviser& adviser = known[node.name];
    adviser.node = node.name;
    adviser.zone = node.zone;
    next.push_back(adviser);
  }
  // With enough nodes, one or two of them take only short calls.
  std::sort(next.begin(), next.end(), [&](const Adviser& a, const Adviser& b) {
    return std::make_pair(a.node != self, a.node) <
           std::make_pair(b.node != self, b.node);
  });
  const size_t short_only = next.size() >= 5 ? 2 : next.size() >= 3 ? 1 : 0;
  for (size_t i = 0; i < next.size(); ++i) next[i].short_only = i < short_only;
  advisers_ = std::move(next);
}

Adviser* JobScheduler::FindFreeAdviser(double cost_ms, Now now) {
  const bool is_short = cost_ms < kShortAdviceMs;
  Adviser* best = nullptr;
  for (Adviser& adviser : advisers_) {
    if (adviser.avoid_until > now.mono ||
        adviser_silence_.IsSilent(adviser.zone, now.mono))
      continue;
    if (!is_short && adviser.short_only) continue;
    if (best == nullptr || adviser.busy_until < best->busy_until)
      best = &adviser;
  }
  if (best == nullptr) return nullptr;
  const absl::Duration backlog = is_short ? kShortBacklog : kLongBacklog;
  return best->busy_until > now.mono + backlog ? nullptr : best;
}

size_t JobScheduler::ExtraGangCallsLeft(
    const std::vector<ReadyStep>& ready) const {
  size_t gangs = 0;
  size_t extra_calls = 0;
  for (const ReadyStep& step : ready) {
    if (!step.spec->gang) continue;
    ++gangs;
    extra_calls += static_cast<size_t>(
        std::max(0, step.state->advice.calls_in_flight - 1));
  }
  const auto share = static_cast<size_t>(kGangAdviserShare *
                                         static_cast<double>(advisers_.size()));
  const size_t limit =
      std::max(kMinExtraGangCalls, share - std::min(share, gangs));
  return limit - std::min(limit, extra_calls);
}

absl::Duration JobScheduler::AdviceSearchInterval() const {
  return std::clamp(kSearchIntervalPerStep * static_cast<double>(ready_steps_),
                    kMinSearchInterval, kMaxSearchInterval);
}

// On a site with a backlog most steps find no free adviser, so the advisers are
// checked before all workers are searched for candidates.
bool JobScheduler::TryTakeAdviceSearch(const ReadyStep& ready, Now now) {
  const StepAdvice& advice = ready.state->advice;
  if (advice.calls_in_flight > 0 || advice.next_ask_at > now.mono ||
      advice_searches_left_ <= 0)
    return false;
  if (ready.spec->gang && gang_searches_left_ <= 0) return false;
  const AdviceTerms& terms = ready.queue->advice;
  const double min_cost_ms =
      terms.base_ms +
      terms.per_worker_ms * static_cast<double>(kMinNamedWorkers);
  bool& busy =
      min_cost_ms < kShortAdviceMs ? short_advisers_busy_ : long_advisers_busy_;
  busy = busy || FindFreeAdviser(min_cost_ms, now) == nullptr;
  if (busy) return false;
  --advice_searches_left_;
  if (ready.spec->gang) --gang_searches_left_;
  return true;
}

double JobScheduler::EligibleShare(const Queue& queue) const {
  const auto learned = eligible_share_.find(queue.name);
  return learned == eligible_share_.end() ? kInitialEligibleShare
                                          : learned->second;
}

bool JobScheduler::IsTicketValid(const StepAdvice::Ticket& ticket, Now now) {
  return ticket.expires > now.mono + kTicketMargin;
}

bool JobScheduler::HasTicket(const Worker& worker, const ReadyStep& ready,
                             Now now) const {
  if (!ready.queue->advice.needed) return true;
  const auto& tickets = ready.state->advice.tickets;
  const auto it = tickets.find(worker.record.id);
  return it != tickets.end() && IsTicketValid(it->second, now);
}

bool JobScheduler::HasTicketBeyondNextCall(const Worker& worker,
                                           const ReadyStep& ready,
                                           Now now) const {
  const AdviceTerms& terms = ready.queue->advice;
  if (!terms.needed) return true;
  const auto& tickets = ready.state->advice.tickets;
  const auto it = tickets.find(worker.record.id);
  const absl::Duration call = absl::Milliseconds(
      terms.base_ms +
      terms.per_worker_ms * static_cast<double>(kMinNamedWorkers));
  return it != tickets.end() &&
         it->second.expires > now.mono + kTicketMargin + call;
}

bool JobScheduler::ReservedTicketExpires(const ReadyStep& ready,
                                         Now now) const {
  const auto& reserved = ready.state->reserved;
  return std::any_of(reserved.begin(), reserved.end(), [&](const auto& one) {
    const auto worker = workers_.find(one.first);
    return worker != workers_.end() &&
           !HasTicketBeyondNextCall(*worker->second, ready, now);
  });
}

size_t JobScheduler::CheapNameCount(const Queue& queue) const {
  const AdviceTerms& terms = queue.advice;
  if (terms.base_ms < kShortAdviceMs && ready_steps_ > kMaxStepsForExtraNames)
    return 0;
  if (terms.per_worker_ms <= 0) return kMaxNamedWorkers;
  const double limit = kNamingCostShare * terms.base_ms / terms.per_worker_ms;
  return std::clamp(static_cast<size_t>(limit), kMinNamedWorkers,
                    kMaxNamedWorkers);
}

Resources JobScheduler::UnclaimedCapacity(const Worker& worker) {
  Resources available = UnreservedCapacity(worker);
  available.cpu_milli -= worker.advice_calls.claimed();
  return available;
}

void JobScheduler::ReleaseExpectedUse(const AskAdviceAction& action) {
  for (const std::string& id : action.request.workers) {
    const auto worker = workers_.find(id);
    if (worker != workers_.end())
      worker->second->advice_calls.Close(action.call);
  }
}

bool JobScheduler::AskAdvice(ReadyStep& ready, const NamedWorker* named,
                             size_t count, Now now) {
  const AdviceTerms& terms = ready.queue->advice;
  const double cost_ms =
      terms.base_ms + terms.per_worker_ms * static_cast<double>(count);
  Adviser* adviser = FindFreeAdviser(cost_ms, now);
  if (adviser == nullptr) return false;
  adviser->busy_until =
      std::max(adviser->busy_until, now.mono) + absl::Milliseconds(cost_ms);
  ++ready.state->advice.calls_in_flight;
  ++figures_.advice_calls;
  AskAdviceAction action;
  action.call = ++last_call_;
  action.adviser = adviser->node;
  action.request.step = ready.IdAt(0);
  for (size_t i = 0; i < count; ++i) {
    Worker& worker = *named[i].worker;
    action.request.workers.push_back(worker.record.id);
    action.expected_cpu_milli.push_back(named[i].expected_cpu_milli);
    worker.advice_calls.Open(action.call, named[i].expected_cpu_milli);
  }
  action.timeout =
      (adviser->busy_until - now.mono) * 1.5 + absl::Milliseconds(500);
  LogDecision("advice_asked",
              {{"job", JobIdText(ready.job->id)},
               {"step", absl::StrCat(ready.number)},
               {"adviser", adviser->node},
               {"workers", absl::StrCat(action.request.workers.size())},
               {"expected_ms", absl::StrCat(static_cast<int64_t>(cost_ms))}});
  actions_.push_back(std::move(action));
  return true;
}

void JobScheduler::AskAdvice(ReadyStep& ready,
                             const std::vector<NamedWorker>& named,
                             size_t max_calls, Now now) {
  if (named.empty()) return;
  const size_t count = std::min(named.size(), max_calls * kMaxNamedWorkers);
  const size_t calls = (count + kMaxNamedWorkers - 1) / kMaxNamedWorkers;
  // All calls name about equally many workers, so that their answers arrive
  // together and their tickets are valid at the same time.
  for (size_t call = 0; call < calls; ++call) {
    const size_t begin = count * call / calls;
    const size_t end = count * (call + 1) / calls;
    if (!AskAdvice(ready, named.data() + begin, end - begin, now)) break;
  }
  if (ready.state->advice.calls_in_flight > 0) {
    ++ready.state->advice.ask_count;
    const auto extra_calls =
        static_cast<size_t>(ready.state->advice.calls_in_flight) - 1;
    concurrent_calls_left_ -= std::min(concurrent_calls_left_, extra_calls);
  }
}

struct JobScheduler::AdviceCandidate {
  Worker* worker;
  int32_t fits;  // Number of tasks that fit now.
  // Number of tasks that fit when nothing else runs there.
  int32_t fits_when_empty;
  bool eligible;          // Known to be allowed to run the step.
  size_t number;          // Rank in the order of worker ids.
  bool reserved = false;  // Capacity is reserved there for the step.
};

// Most steps have a few tasks, and searches use most of the leader's time when
// many steps wait.
size_t JobScheduler::EnoughCandidates(const ReadyStep& ready, double margin,
                                      size_t cheap_count) const {
  if (workers_.size() <= kMaxFullSearch) return workers_.size();
  const double names = margin * ready.waiting / EligibleShare(*ready.queue);
  const size_t most =
      static_cast<size_t>(kCandidatesPerName) * kMaxNamedWorkers;
  return std::clamp(
      static_cast<size_t>(kCandidatesPerName *
                          std::max(names, static_cast<double>(cheap_count))),
      kMinCandidates, most);
}

void JobScheduler::EnsureSingleTaskAdvice(ReadyStep& ready, Now now) {
  if (!TryTakeAdviceSearch(ready, now)) return;
  StepAdvice& advice = ready.state->advice;
  const bool names_extra =
      options_.policy.name_extra_workers && CheapNameCount(*ready.queue) > 0;
  std::vector<AdviceCandidate> candidates;
  int32_t usable = 0;
  bool any_fits = false;
  bool any_unknown = false;
  const Resources need = CapacityNeeded(*ready.spec);
  const size_t enough_candidates = EnoughCandidates(
      ready, kAdviceMargin, names_extra ? CheapNameCount(*ready.queue) : 0);
  size_t fitting = 0;
  VisitAdviceCandidates(advice, [&](Worker& worker) {
    // Most workers of a busy site have no free capacity, so the cheapest test
    // comes first.
    if (!names_extra && !need.FitsIn(worker.free)) return true;
    if (!MayRun(worker, ready, now)) return true;
    if (!advice.tickets.empty() && HasTicket(worker, ready, now)) {
      usable += CountFittingTasks(worker, ready, UnreservedCapacity(worker));
      if (HasTicketBeyondNextCall(worker, ready, now)) return true;
    }
    const int32_t fits =
        CountFittingTasks(worker, ready, UnclaimedCapacity(worker));
    if (fits < 1 && !names_extra) return true;
    const auto known = advice.known.find(worker.record.id);
    if (known != advice.known.end() && !known->second) return true;
    const int32_t fits_when_empty =
        CountFittingTasks(worker, ready, worker.record.capacity);
    if (fits_when_empty < 1) return true;
    const bool eligible = known != advice.known.end();
    any_fits = any_fits || fits > 0;
    any_unknown = any_unknown || !eligible;
    candidates.push_back(
        {&worker, fits, fits_when_empty, eligible, candidates.size()});
    if (fits > 0) ++fitting;
    return fitting < enough_candidates;
  });
  // A blocked step learns which workers may run it before there is capacity,
  // and renews the tickets of workers on which capacity is reserved for it.
  const bool asks_ahead = names_extra &&
                          options_.policy.reserve_for_single_tasks &&
                          ready.may_reserve &&
                          ((any_unknown && ready.state->reserved.empty()) ||
                           ReservedTicketExpires(ready, now));
  const bool lacks = usable < ready.waiting && any_fits;
  if (candidates.empty() || !(lacks || asks_ahead)) {
    advice.next_ask_at = now.mono + AdviceSearchInterval();
    return;
  }
  const size_t cheap_count = names_extra ? CheapNameCount(*ready.queue) : 0;
  const size_t ordered = std::min(candidates.size(), kMaxNamedWorkers);
  std::partial_sort(candidates.begin(), candidates.begin() + ordered,
                    candidates.end(),
                    [](const AdviceCandidate& a, const AdviceCandidate& b) {
                      return std::make_tuple(!a.eligible, -a.fits,
                                             -a.fits_when_empty, a.number) <
                             std::make_tuple(!b.eligible, -b.fits,
                                             -b.fits_when_empty, b.number);
                    });
  candidates.resize(ordered);
  const double share = EligibleShare(*ready.queue);
  double expected = usable;
  std::vector<NamedWorker> named;
  for (const AdviceCandidate& candidate : candidates) {
    const bool enough = expected >= kAdviceMargin * ready.waiting &&
                        named.size() >= kMinNamedWorkers;
    if (enough && named.size() >= cheap_count) break;
    const double expected_gain =
        candidate.fits * (candidate.eligible ? 1.0 : share);
    expected += expected_gain;
    named.push_back(
        {candidate.worker, enough ? 0 : ExpectedMilli(ready, expected_gain)});
  }
  AskAdvice(ready, named, 1, now);
}

// The workers that advice calls for a gang name, in this order.
struct JobScheduler::GangAdviceWorkers {
  std::vector<NamedWorker> named;
  double expected = 0;    // Tasks expected to fit on the named workers.
  double first_call = 0;  // The part of `expected` that one call covers.

  void Add(const AdviceCandidate& candidate, double tasks,
           int32_t expected_gain) {
    expected += tasks;
    if (named.size() < kMaxNamedWorkers) first_call = expected;
    named.push_back({candidate.worker, expected_gain});
  }
};

JobScheduler::GangCandidates JobScheduler::FindGangCandidates(
    const ReadyStep& ready, Now now) {
  GangCandidates out;
  const StepAdvice& advice = ready.state->advice;
  const Resources need = CapacityNeeded(*ready.spec);
  absl::flat_hash_map<std::string, int32_t> own_reserved;
  for (const auto& [id, tasks] : ready.state->reserved)
    own_reserved[id] += tasks;
  const double wanted_unknown = kGangMargin * kGangMargin * ready.spec->count /
                                EligibleShare(*ready.queue);
  const size_t enough_candidates = EnoughCandidates(
      ready, kGangMargin * kAdviceMargin, CheapNameCount(*ready.queue));
  double unknown_fits = 0;
  VisitAdviceCandidates(advice, [&](Worker& worker) {
    if (!MayRun(worker, ready, now)) return true;
    const auto known = advice.known.find(worker.record.id);
    const bool is_known = known != advice.known.end();
    if (is_known && !known->second) return true;
    // Capacity that is reserved for this step is available to it.
    Resources available = UnreservedCapacity(worker);
    const auto own = own_reserved.find(worker.record.id);
    const bool reserved = own != own_reserved.end();
    for (int32_t i = 0; reserved && i < own->second; ++i) available += need;
    const AdviceCandidate candidate{
        &worker,
        CountFittingTasks(worker, ready, available),
        CountFittingTasks(worker, ready, worker.record.capacity),
        is_known,
        out.eligible.size() + out.unknown.size(),
        reserved};
    if (candidate.fits_when_empty < 1) return true;
    if (is_known) {
      out.eligible.push_back(candidate);
      out.eligible_fits += candidate.fits;
      out.eligible_fits_when_empty += candidate.fits_when_empty;
      return true;
    }
    out.unknown.push_back(candidate);
    unknown_fits += candidate.fits;
    return unknown_fits < wanted_unknown ||
           out.unknown.size() < enough_candidates;
  });
  // Reserved workers come first: other steps may use unreserved capacity while
  // the answer is in transit.
  const auto by_capacity = [](const AdviceCandidate& a,
                              const AdviceCandidate& b) {
    const auto rank = [](const AdviceCandidate& one) {
      return std::make_tuple(
          one.fits < 1, !one.reserved, -one.fits,
          one.worker->advice_calls.claimed() - one.worker->free.cpu_milli,
          one.number);
    };
    return rank(a) < rank(b);
  };
  std::sort(out.eligible.begin(), out.eligible.end(), by_capacity);
  std::sort(out.unknown.begin(), out.unknown.end(), by_capacity);
  return out;
}

void JobScheduler::EnsureGangAdvice(ReadyStep& ready, Now now) {
  if (!TryTakeAdviceSearch(ready, now)) return;
  StepAdvice& advice = ready.state->advice;
  const bool names_extra =
      options_.policy.name_extra_workers && CheapNameCount(*ready.queue) > 0;
  const GangCandidates candidates = FindGangCandidates(ready, now);
  const double share = EligibleShare(*ready.queue);
  const double count = ready.spec->count;
  double expected_now = candidates.eligible_fits;
  for (const AdviceCandidate& candidate : candidates.unknown)
    expected_now += candidate.fits * share;
  const bool fits_now = candidates.eligible_fits >= ready.spec->count;
  // Asks about workers of unknown eligibility when the eligible ones have no
  // capacity now but the unknown ones may have, or when too few workers are
  // known to be eligible.
  const bool ask_unknown =
      !fits_now && !candidates.unknown.empty() &&
      (expected_now >= count ||
       candidates.eligible_fits_when_empty < count * kAdviceMargin);
  const bool asks_ahead =
      names_extra && ready.may_reserve && ReservedTicketExpires(ready, now);
  if (!fits_now && !ask_unknown && !asks_ahead) {
    advice.next_ask_at = now.mono + AdviceSearchInterval();
    return;
  }
  const size_t cheap_count = names_extra ? CheapNameCount(*ready.queue) : 0;
  // Renews the tickets of eligible workers with free capacity, with a margin:
  // other steps use capacity while the answer is in transit.
  GangAdviceWorkers names;
  for (const AdviceCandidate& candidate : candidates.eligible) {
    const bool enough =
        candidate.fits < 1 || names.expected >= kGangMargin * count;
    if (enough && names.named.size() >= cheap_count) break;
    names.Add(candidate, candidate.fits,
              enough ? 0 : ExpectedMilli(ready, candidate.fits));
  }
  const auto add_unknown = [&](GangAdviceWorkers& to) {
    for (const AdviceCandidate& candidate : candidates.unknown) {
      const bool enough = to.expected >= kGangMargin * kAdviceMargin * count &&
                          to.named.size() >= kMinNamedWorkers;
      if (enough && to.named.size() >= cheap_count) break;
      to.Add(candidate,
             share * (candidate.fits > 0 ? candidate.fits
                                         : candidate.fits_when_empty),
             enough ? 0 : ExpectedMilli(ready, share * candidate.fits));
    }
  };
  if (ask_unknown) add_unknown(names);
  size_t calls = 1;
  if (names.named.size() > kMaxNamedWorkers &&
      names.first_call < kAdviceMargin * count) {
    // One call may not yield enough tickets, and the tickets of consecutive
    // calls are not valid at the same time: a gang of 91 tasks, each on half a
    // worker, asked 24 times in 57 s and did not start, with half of the site
    // free.
    if ((ready.may_reserve && expected_now >= count) ||
        ready.pool_mostly_idle) {
      calls = std::min(kMaxConcurrentCalls, 1 + concurrent_calls_left_);
    } else if (names.first_call < count) {
      names = GangAdviceWorkers();
      if (ask_unknown) add_unknown(names);
    }
  }
  if (names.named.empty())
    advice.next_ask_at = now.mono + AdviceSearchInterval();
  AskAdvice(ready, names.named, calls, now);
}

void JobScheduler::OnAdvice(const AskAdviceAction& action,
                            const AdviceReply& reply, Now now) {
  ReleaseExpectedUse(action);
  for (Adviser& adviser : advisers_) {
    if (adviser.node != action.adviser) continue;
    if (reply.answered || reply.overloaded) {
      adviser_silence_.OnAnswered(adviser.zone);
      continue;
    }
    adviser.avoid_until = now.mono + kAdviserAvoidance;
    adviser_silence_.OnUnanswered(adviser.zone, adviser.node, now.mono);
  }
  VisitOpenTask(action.request.step, [&](const FoundTask& found) {
    OnAdviceFor(found, action, reply, now);
  });
}

void JobScheduler::OnAdviceFor(const FoundTask& found,
                               const AskAdviceAction& action,
                               const AdviceReply& reply, Now now) {
  StepAdvice& advice = found.step.advice;
  advice.calls_in_flight = std::max(0, advice.calls_in_flight - 1);
  advice.next_ask_at =
      now.mono + kAskAgainDelay *
                     (1 << std::clamp(advice.ask_count - 1, 0, kMaxDoublings));
  placement_wanted_ = true;
  LogDecision("advice_answered",
              {{"job", JobIdText(action.request.step.job)},
               {"step", absl::StrCat(action.request.step.step)},
               {"adviser", action.adviser},
               {"answered", reply.answered ? "yes" : "no"},
               {"named", absl::StrCat(action.request.workers.size())},
               {"good", absl::StrCat(reply.eligible.size())}});
  if (!reply.answered) {
    advice.next_ask_at = now.mono + kAdviceRetry;
    return;
  }
  const Queue* queue = configuration_->FindQueueByName(found.job.queue);
  if (queue == nullptr) return;
  int64_t newly_known = 0;
  int64_t newly_eligible = 0;
  for (const std::string& worker : action.request.workers) {
    if (advice.known.try_emplace(worker, false).second) ++newly_known;
  }
  absl::erase_if(advice.tickets, [&](const auto& one) {
    return !IsTicketValid(one.second, now);
  });
  const absl::Time expires = now.mono +
                             absl::Milliseconds(queue->advice.validity_ms) -
                             kTicketTransitTime;
  for (const AdviceTicket& ticket : reply.eligible) {
    bool& eligible = advice.known[ticket.worker];
    if (!eligible) ++newly_eligible;
    eligible = true;
    advice.tickets[ticket.worker] = {ticket.ticket, expires};
  }
  if (newly_known > 0) {
    double& share =
        eligible_share_.try_emplace(queue->name, kInitialEligibleShare)
            .first->second;
    const double sample_share =
        static_cast<double>(newly_eligible) / static_cast<double>(newly_known);
    share += kEligibleShareWeight * (sample_share - share);
    share = std::max(share, kMinEligibleShare);
  }
}

}  // namespace keelbridge
