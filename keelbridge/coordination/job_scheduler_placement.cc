// Which waiting task starts on which worker, and whom to ask for advice.

#include <algorithm>
#include <cmath>
#include <limits>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// A ticket must hold for at least this long when the order leaves.
constexpr absl::Duration kTicketMargin = absl::Milliseconds(150);
constexpr absl::Duration kAdviceRetry = absl::Milliseconds(150);
// Calls that take less are short: they never stand behind long ones.
constexpr double kShortAdviceMs = 100;
// At most this much advice may wait at one node, beside what is under way.
constexpr absl::Duration kShortBacklog = absl::Milliseconds(300);
constexpr absl::Duration kLongBacklog = absl::Milliseconds(200);
constexpr double kInitialGoodShare = 0.5;
constexpr double kGoodShareWeight = 0.2;  // Of a new answer.
constexpr double kLeastGoodShare = 0.1;
// How much more room to ask for than is needed, since answers scatter.
constexpr double kAdviceMargin = 1.4;
constexpr double kGangSpare = 2.0;
constexpr size_t kMostNamed = 100;
constexpr size_t kLeastNamed = 4;
// Gangs that may hold workers free at a time.
constexpr int kMostReservations = 4;
// Missing members of a gang are tried again for this part of the time that the
// others wait for them.
constexpr double kGangRetryShare = 0.6;
constexpr int kLateFactor =
    3;  // Up to this many objectives a job earns a little.
constexpr absl::Duration kTicketGrace = absl::Milliseconds(20);

}  // namespace

void JobScheduler::SetAdvisers(const std::vector<std::string>& nodes,
                               const std::string& self) {
  std::vector<Adviser> next;
  for (const std::string& node : nodes) {
    Adviser adviser;
    adviser.node = node;
    for (const Adviser& old : advisers_) {
      if (old.node == node) adviser = old;
    }
    next.push_back(adviser);
  }
  // With enough nodes two are kept free of long calls.
  std::sort(next.begin(), next.end(), [&](const Adviser& a, const Adviser& b) {
    return std::make_pair(a.node != self, a.node) <
           std::make_pair(b.node != self, b.node);
  });
  const size_t short_only = next.size() >= 5 ? 2 : next.size() >= 3 ? 1 : 0;
  for (size_t i = 0; i < next.size(); ++i) next[i].short_only = i < short_only;
  advisers_ = std::move(next);
}

JobScheduler::Adviser* JobScheduler::FreeAdviser(double cost_ms, Now now) {
  const bool is_short = cost_ms < kShortAdviceMs;
  Adviser* best = nullptr;
  for (Adviser& adviser : advisers_) {
    if (adviser.avoid_until > now.mono) continue;
    if (!is_short && adviser.short_only) continue;
    if (best == nullptr || adviser.busy_until < best->busy_until)
      best = &adviser;
  }
  if (best == nullptr) return nullptr;
  const absl::Duration backlog = is_short ? kShortBacklog : kLongBacklog;
  return best->busy_until > now.mono + backlog ? nullptr : best;
}

absl::Duration JobScheduler::Objective(const Job& job,
                                       const Queue& queue) const {
  std::vector<int64_t> chain(job.spec.steps.size(), 0);
  int64_t longest = 0;
  for (size_t s = 0; s < chain.size(); ++s) {
    int64_t before = 0;
    for (const int32_t earlier : job.spec.steps[s].after)
      before = std::max(before, chain[static_cast<size_t>(earlier)]);
    const double advice =
        queue.advice.needed
            ? queue.advice.base_ms + 30 * queue.advice.per_worker_ms
            : 0;
    chain[s] =
        before + job.spec.steps[s].estimated_ms + static_cast<int64_t>(advice);
    longest = std::max(longest, chain[s]);
  }
  return absl::Milliseconds(queue.stretch * static_cast<double>(longest)) +
         absl::Milliseconds(queue.target_latency_ms);
}

bool JobScheduler::FollowsWhatEndedHere(const Job& job, const Round& round,
                                        size_t step) {
  const std::vector<int32_t>& after = job.spec.steps[step].after;
  return std::any_of(after.begin(), after.end(), [&](int32_t before) {
    return round.steps[static_cast<size_t>(before)].ended_here;
  });
}

bool JobScheduler::MayTry(const ReadyStep& ready, const TaskState& task,
                          Now now) {
  return task.phase == TaskPhase::kWaiting && task.retry_at <= now.mono &&
         (task.seen || !ready.only_seen);
}

std::vector<JobScheduler::ReadyStep> JobScheduler::CollectReady(Now now) {
  std::vector<ReadyStep> out;
  figures_.ready_tasks = 0;
  const bool accounted = AllAccountedFor(now);
  const int64_t wall_ms = ToMillis(now.wall);
  for (auto& [id, job] : active_) {
    if (job->durable_at_batch > durable_batch_) continue;
    const Queue* queue = configuration_->FindQueueByName(job->queue);
    if (queue == nullptr) continue;
    for (Round& round : job->rounds) {
      for (size_t s = 0; s < round.steps.size(); ++s) {
        StepState& step = round.steps[s];
        const StepSpec& spec = job->spec.steps[s];
        if (step.done == spec.count || !job->StepReady(round, s)) continue;
        step.ready_since = std::min(step.ready_since, now.mono);
        ReadyStep ready{};
        ready.only_seen = job->recovered && !accounted &&
                          !FollowsWhatEndedHere(*job, round, s);
        for (const TaskState& task : step.tasks)
          ready.waiting += MayTry(ready, task, now) ? 1 : 0;
        const int32_t waiting = ready.waiting;
        if (waiting == 0) continue;
        figures_.ready_tasks += waiting;
        const absl::Duration objective = Objective(*job, *queue);
        const int64_t due_ms =
            job->spec.rounds > 0
                ? job->spec.first_round_ms +
                      round.number * job->spec.round_interval_ms
                : job->accepted_ms;
        const absl::Duration age = absl::Milliseconds(wall_ms - due_ms);
        const absl::Duration left =
            objective - age - absl::Milliseconds(spec.estimated_ms);
        const int tier =
            left > absl::ZeroDuration()                                   ? 0
            : left + objective * (kLateFactor - 1) > absl::ZeroDuration() ? 1
                                                                          : 2;
        ready.job = job;
        ready.round = &round;
        ready.state = &step;
        ready.spec = &spec;
        ready.queue = queue;
        ready.number = static_cast<int32_t>(s);
        ready.tier = tier;
        ready.deadline = now.mono + objective - age;
        out.push_back(ready);
      }
    }
  }
  std::sort(out.begin(), out.end(), [](const ReadyStep& a, const ReadyStep& b) {
    return std::make_tuple(a.tier, a.queue->priority, a.deadline, a.job->id) <
           std::make_tuple(b.tier, b.queue->priority, b.deadline, b.job->id);
  });
  return out;
}

void JobScheduler::PlaceAll(Now now) {
  if (configuration_ == nullptr || suspended_) return;
  std::vector<ReadyStep> ready = CollectReady(now);
  for (auto& [id, worker] : workers_) worker->reserved_by = nullptr;
  int reservations = 0;
  for (ReadyStep& step : ready) {
    if (!step.spec->gang) {
      if (step.queue->advice.needed) EnsureSinglesAdvice(step, now);
      PlaceSingles(step, now);
      continue;
    }
    if (FinishGang(step, now)) continue;
    PlaceGang(step, now);
    if (step.waiting == 0) continue;
    if (step.queue->advice.needed) EnsureGangAdvice(step, now);
    if (reservations < kMostReservations) {
      ReserveForGang(step, now);
      ++reservations;
    }
  }
}

void JobScheduler::Block(ReadyStep& ready, const char* why) {
  if (ready.state->blocked == why) return;
  ready.state->blocked = why;
  Explain("step_blocked", {{"job", JobIdText(ready.job->id)},
                           {"step", absl::StrCat(ready.number)},
                           {"waiting", absl::StrCat(ready.waiting)},
                           {"why", why}});
}

bool JobScheduler::MayRun(const Worker& worker, const ReadyStep& ready,
                          Now now) const {
  const StepSpec& spec = *ready.spec;
  if (worker.record.pool != ready.queue->pool) return false;
  if (!worker.listed || worker.record.draining || worker.record_removed ||
      worker.known_at_batch > durable_batch_)
    return false;
  if (worker.unknown_sizes > 0) return false;
  if (worker.suspect_until > now.mono || !Reachable(worker, now)) return false;
  if (worker.reserved_by != nullptr && worker.reserved_by != ready.state)
    return false;
  const auto& labels = worker.record.labels;
  return spec.label.empty() ||
         std::find(labels.begin(), labels.end(), spec.label) != labels.end();
}

bool JobScheduler::HasTicket(const Worker& worker, const ReadyStep& ready,
                             Now now) const {
  if (!ready.queue->advice.needed) return true;
  const auto& tickets = ready.state->advice.tickets;
  const auto it = tickets.find(worker.record.id);
  return it != tickets.end() && it->second.expires > now.mono + kTicketMargin;
}

int32_t JobScheduler::PlacedOf(const Worker& worker,
                               const ReadyStep& ready) const {
  const auto begin = worker.occupants.lower_bound(
      {TaskId{ready.job->id, ready.round->number, ready.number, 0},
       std::numeric_limits<int32_t>::min()});
  int32_t placed = 0;
  for (auto it = begin; it != worker.occupants.end(); ++it) {
    const TaskId& task = it->first.first;
    if (task.job != ready.job->id || task.round != ready.round->number ||
        task.step != ready.number)
      break;
    ++placed;
  }
  return placed;
}

int32_t JobScheduler::Fits(const Worker& worker, const ReadyStep& ready,
                           const Resources& room) const {
  const Resources& need = ready.spec->need;
  int32_t fits = ready.spec->count;
  // What fills takes no processors from a worker's room.
  if (need.cpu_milli > 0 && !ready.spec->fills)
    fits = std::min(fits, std::max(0, room.cpu_milli) / need.cpu_milli);
  if (need.memory_mib > 0)
    fits = std::min(fits, std::max(0, room.memory_mib) / need.memory_mib);
  if (need.accelerators > 0)
    fits = std::min(fits, std::max(0, room.accelerators) / need.accelerators);
  if (ready.spec->most_per_worker > 0)
    fits = std::min(fits, std::max(0, ready.spec->most_per_worker -
                                          PlacedOf(worker, ready)));
  return fits;
}

void JobScheduler::StartTask(ReadyStep& ready, int32_t index, int32_t run,
                             Worker& worker, Now now) {
  TaskState& task = ready.state->tasks[static_cast<size_t>(index)];
  const TaskId id{ready.job->id, ready.round->number, ready.number, index};
  Resources need = ready.spec->need;
  if (ready.spec->fills) need.cpu_milli = 0;
  Occupy(worker, id, run, need, now);
  task.phase = TaskPhase::kStarting;
  task.run = run;
  task.seen = true;
  task.worker = worker.record.id;
  StartAction action;
  action.worker = worker.record;
  action.order.task = id;
  action.order.run = run;
  action.order.payload = ready.job->spec.payload;
  action.order.checkpoint = task.checkpoint;
  action.order.fence = epoch_;
  action.order.lease_until_ms = LeaseUntil(worker, now.mono);
  const auto ticket = ready.state->advice.tickets.find(worker.record.id);
  if (ready.queue->advice.needed && ticket != ready.state->advice.tickets.end())
    action.order.ticket = ticket->second.ticket;
  ++figures_.starts;
  Explain("start_sent",
          {{"task", TaskIdText(id)},
           {"run", absl::StrCat(run)},
           {"worker", worker.record.id},
           {"waited_ms", absl::StrCat(absl::ToInt64Milliseconds(
                             now.mono - ready.state->ready_since))},
           {"free_cpu_milli", absl::StrCat(worker.free.cpu_milli)}});
  ready.state->blocked.clear();
  --ready.waiting;
  --figures_.ready_tasks;
  actions_.push_back(std::move(action));
}

void JobScheduler::PlaceSingles(ReadyStep& ready, Now now) {
  for (int32_t index = 0; index < ready.spec->count && ready.waiting > 0;
       ++index) {
    TaskState& task = ready.state->tasks[static_cast<size_t>(index)];
    if (!MayTry(ready, task, now)) continue;
    Worker* best = nullptr;
    double best_score = 0;
    for (auto& [id, worker] : workers_) {
      if (!MayRun(*worker, ready, now) || !HasTicket(*worker, ready, now))
        continue;
      if (Fits(*worker, ready, worker->free) < 1) continue;
      const Resources left = worker->free - ready.spec->need;
      // The fullest worker that fits, to keep room whole for wide tasks.
      double score = DominantShare(left, worker->record.capacity);
      if (!ready.spec->rack.empty() && worker->record.rack != ready.spec->rack)
        score += 10;
      if (id == task.failed_on) score += 20;
      if (!task.failed_runs.empty() && worker->failures_in_row > 0) score += 5;
      if (best == nullptr || score < best_score) {
        best = worker.get();
        best_score = score;
      }
    }
    if (best == nullptr) {
      Block(ready, ready.state->advice.asked ? "waits for advice"
                                             : "no worker that may run it has "
                                               "room");
      return;
    }
    StartTask(ready, index, std::max(task.run + 1, FirstRunOfEpoch(epoch_)),
              *best, now);
  }
}

bool JobScheduler::FinishGang(ReadyStep& ready, Now now) {
  std::vector<int32_t> missing;
  int32_t run = 0;
  bool stopping = false;
  bool any_placed = false;
  for (int32_t i = 0; i < ready.spec->count; ++i) {
    const TaskState& task = ready.state->tasks[static_cast<size_t>(i)];
    if (task.phase == TaskPhase::kWaiting) {
      // It may be at work on a worker that was not reached yet.
      if (ready.only_seen && !task.seen) return true;
      missing.push_back(i);
      continue;
    }
    any_placed = true;
    stopping = stopping || task.phase == TaskPhase::kStopping;
    run = std::max(run, task.run);
  }
  if (!any_placed) return false;
  const absl::Duration patience = options_.gang_wait * kGangRetryShare;
  const bool give_up =
      stopping || now.mono - ready.state->gang_started > patience;
  if (!give_up) {
    for (const int32_t index : missing) {
      TaskState& task = ready.state->tasks[static_cast<size_t>(index)];
      // A member whose run ended cannot join that run again.
      if (task.run >= run || task.retry_at > now.mono) continue;
      for (auto& [id, worker] : workers_) {
        if (!MayRun(*worker, ready, now) || !HasTicket(*worker, ready, now) ||
            Fits(*worker, ready, worker->free) < 1)
          continue;
        StartTask(ready, index, run, *worker, now);
        break;
      }
    }
    return true;
  }
  for (int32_t i = 0; i < ready.spec->count; ++i) {
    TaskState& task = ready.state->tasks[static_cast<size_t>(i)];
    if (task.worker.empty()) continue;
    const auto worker = workers_.find(task.worker);
    if (worker == workers_.end()) continue;
    WantStop(*worker->second,
             {TaskId{ready.job->id, ready.round->number, ready.number, i},
              task.run});
  }
  return true;
}

void JobScheduler::PlaceGang(ReadyStep& ready, Now now) {
  if (ready.waiting < ready.spec->count) return;  // Some may not be tried yet.
  struct Room {
    Worker* worker;
    int32_t fits;
  };
  std::vector<Room> rooms;
  int32_t total = 0;
  for (auto& [id, worker] : workers_) {
    if (!MayRun(*worker, ready, now) || !HasTicket(*worker, ready, now))
      continue;
    const int32_t fits = Fits(*worker, ready, worker->free);
    if (fits < 1) continue;
    rooms.push_back({worker.get(), fits});
    total += fits;
  }
  if (total < ready.spec->count) {
    Block(ready, ready.state->advice.asked
                     ? "waits for advice"
                     : "no room for the whole gang on workers that may run it");
    return;
  }
  // Workers of one rack first where that matters, else the fullest first.
  std::map<std::string, int32_t> in_rack;
  for (const Room& room : rooms) in_rack[room.worker->record.rack] += room.fits;
  const auto rank = [&](const Room& room) {
    const std::string& rack = room.worker->record.rack;
    const bool near = !ready.spec->rack.empty() && rack == ready.spec->rack;
    const int32_t whole =
        ready.spec->same_rack ? std::min(in_rack[rack], ready.spec->count) : 0;
    return std::make_tuple(!near, -whole, ready.spec->same_rack ? rack : "",
                           room.worker->free.cpu_milli, room.worker->record.id);
  };
  std::sort(rooms.begin(), rooms.end(),
            [&](const Room& a, const Room& b) { return rank(a) < rank(b); });
  int32_t run = FirstRunOfEpoch(epoch_);
  std::string checkpoint;
  for (const TaskState& task : ready.state->tasks) {
    run = std::max(run, task.run + 1);
    // The saved text of any member is good for all, and all bring the same.
    if (task.checkpoint > checkpoint) checkpoint = task.checkpoint;
  }
  ready.state->gang_started = now.mono;
  ready.state->reserved.clear();
  int32_t index = 0;
  for (const Room& room : rooms) {
    for (int32_t i = 0; i < room.fits && index < ready.spec->count; ++i) {
      ready.state->tasks[static_cast<size_t>(index)].checkpoint = checkpoint;
      StartTask(ready, index, run, *room.worker, now);
      ++index;
    }
  }
}

void JobScheduler::ReserveForGang(ReadyStep& ready, Now now) {
  const StepAdvice& advice = ready.state->advice;
  struct Candidate {
    Worker* worker;
    int32_t whole;  // Tasks that fit when nothing else runs there.
    bool held;      // Held free by this gang at the last look.
  };
  std::vector<Candidate> candidates;
  for (auto& [id, worker] : workers_) {
    if (!MayRun(*worker, ready, now)) continue;
    if (ready.queue->advice.needed) {
      const auto known = advice.known.find(id);
      if (known == advice.known.end() || !known->second) continue;
    }
    const int32_t whole = Fits(*worker, ready, worker->record.capacity);
    if (whole < 1) continue;
    const auto& reserved = ready.state->reserved;
    const bool held =
        std::find(reserved.begin(), reserved.end(), id) != reserved.end();
    candidates.push_back({worker.get(), whole, held});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::make_tuple(!a.held, -a.worker->free.cpu_milli,
                                     a.worker->record.id) <
                     std::make_tuple(!b.held, -b.worker->free.cpu_milli,
                                     b.worker->record.id);
            });
  int32_t covered = 0;
  size_t taken = 0;
  while (taken < candidates.size() && covered < ready.spec->count)
    covered += candidates[taken++].whole;
  ready.state->reserved.clear();
  // Workers are not held for a gang that they could not carry.
  if (covered < ready.spec->count) return;
  for (size_t i = 0; i < taken; ++i) {
    candidates[i].worker->reserved_by = ready.state;
    ready.state->reserved.push_back(candidates[i].worker->record.id);
  }
}

void JobScheduler::AskAdvice(ReadyStep& ready, std::vector<std::string> workers,
                             Now now) {
  if (workers.empty()) return;
  if (workers.size() > kMostNamed) workers.resize(kMostNamed);
  const AdviceTerms& terms = ready.queue->advice;
  const double cost_ms =
      terms.base_ms + terms.per_worker_ms * static_cast<double>(workers.size());
  Adviser* adviser = FreeAdviser(cost_ms, now);
  if (adviser == nullptr) return;
  adviser->busy_until =
      std::max(adviser->busy_until, now.mono) + absl::Milliseconds(cost_ms);
  ready.state->advice.asked = true;
  ++figures_.advice_calls;
  AskAdviceAction action;
  action.adviser = adviser->node;
  action.request.step =
      TaskId{ready.job->id, ready.round->number, ready.number, 0};
  action.request.workers = std::move(workers);
  action.timeout =
      (adviser->busy_until - now.mono) * 1.5 + absl::Milliseconds(500);
  Explain("advice_asked",
          {{"job", JobIdText(ready.job->id)},
           {"step", absl::StrCat(ready.number)},
           {"adviser", adviser->node},
           {"workers", absl::StrCat(action.request.workers.size())},
           {"expected_ms", absl::StrCat(static_cast<int64_t>(cost_ms))}});
  actions_.push_back(std::move(action));
}

void JobScheduler::EnsureSinglesAdvice(ReadyStep& ready, Now now) {
  StepAdvice& advice = ready.state->advice;
  if (advice.asked || advice.next_ask > now.mono) return;
  struct Candidate {
    const Worker* worker;
    int32_t fits;
    bool good;
  };
  std::vector<Candidate> candidates;
  int32_t usable = 0;
  for (auto& [id, worker] : workers_) {
    if (!MayRun(*worker, ready, now)) continue;
    const int32_t fits = Fits(*worker, ready, worker->free);
    if (fits < 1) continue;
    if (HasTicket(*worker, ready, now)) {
      usable += fits;
      continue;
    }
    const auto known = advice.known.find(id);
    if (known != advice.known.end() && !known->second) continue;
    candidates.push_back({worker.get(), fits, known != advice.known.end()});
  }
  if (usable >= ready.waiting || candidates.empty()) return;
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::make_tuple(!a.good, -a.fits, a.worker->record.id) <
                     std::make_tuple(!b.good, -b.fits, b.worker->record.id);
            });
  const auto learnt = good_share_.find(ready.queue->name);
  const double share =
      learnt == good_share_.end() ? kInitialGoodShare : learnt->second;
  double expected = usable;
  std::vector<std::string> named;
  for (const Candidate& candidate : candidates) {
    const bool enough = expected >= kAdviceMargin * ready.waiting &&
                        named.size() >= kLeastNamed;
    if (enough) break;
    expected += candidate.fits * (candidate.good ? 1.0 : share);
    named.push_back(candidate.worker->record.id);
  }
  AskAdvice(ready, std::move(named), now);
}

void JobScheduler::EnsureGangAdvice(ReadyStep& ready, Now now) {
  StepAdvice& advice = ready.state->advice;
  if (advice.asked || advice.next_ask > now.mono) return;
  struct Candidate {
    const Worker* worker;
    int32_t fits;   // Now.
    int32_t whole;  // When nothing else runs there.
  };
  std::vector<Candidate> good;
  std::vector<Candidate> unknown;
  int32_t good_now = 0;
  int32_t good_whole = 0;
  for (auto& [id, worker] : workers_) {
    if (!MayRun(*worker, ready, now)) continue;
    const Candidate candidate{worker.get(), Fits(*worker, ready, worker->free),
                              Fits(*worker, ready, worker->record.capacity)};
    if (candidate.whole < 1) continue;
    const auto known = advice.known.find(id);
    if (known == advice.known.end()) {
      unknown.push_back(candidate);
    } else if (known->second) {
      good.push_back(candidate);
      good_now += candidate.fits;
      good_whole += candidate.whole;
    }
  }
  const auto by_room = [](const Candidate& a, const Candidate& b) {
    return std::make_tuple(-a.fits, -a.worker->free.cpu_milli,
                           a.worker->record.id) <
           std::make_tuple(-b.fits, -b.worker->free.cpu_milli,
                           b.worker->record.id);
  };
  std::sort(good.begin(), good.end(), by_room);
  std::sort(unknown.begin(), unknown.end(), by_room);
  const auto learnt = good_share_.find(ready.queue->name);
  const double share =
      learnt == good_share_.end() ? kInitialGoodShare : learnt->second;
  const double count = ready.spec->count;
  double hoped_now = good_now;
  for (const Candidate& candidate : unknown)
    hoped_now += candidate.fits * share;
  const bool room_now = good_now >= ready.spec->count;
  // Others are asked about when those known to be good have no room now and
  // the others may, or when too few are known to be good at all.
  const bool ask_unknown =
      !room_now && !unknown.empty() &&
      (hoped_now >= count || good_whole < count * kAdviceMargin);
  if (!room_now && !ask_unknown) return;
  // Fresh tickets for the good ones that have room, with some to spare: others
  // take room while the answer is on its way.
  std::vector<std::string> named;
  double expected = 0;
  for (const Candidate& candidate : good) {
    if (candidate.fits < 1 || expected >= kGangSpare * count) break;
    expected += candidate.fits;
    named.push_back(candidate.worker->record.id);
  }
  for (const Candidate& candidate : unknown) {
    if (!ask_unknown) break;
    if (expected >= kGangSpare * kAdviceMargin * count &&
        named.size() >= kLeastNamed)
      break;
    expected += share * (candidate.fits > 0 ? candidate.fits : candidate.whole);
    named.push_back(candidate.worker->record.id);
  }
  AskAdvice(ready, std::move(named), now);
}

void JobScheduler::OnAdvice(const AskAdviceAction& action,
                            const AdviceReply& reply, Now now) {
  const auto found = jobs_.find(action.request.step.job);
  for (Adviser& adviser : advisers_) {
    if (adviser.node != action.adviser) continue;
    if (!reply.answered && !reply.overloaded)
      adviser.avoid_until = now.mono + absl::Seconds(1);
  }
  if (found == jobs_.end()) return;
  StepState* step = found->second->FindStep(action.request.step);
  if (step == nullptr) return;
  StepAdvice& advice = step->advice;
  advice.asked = false;
  placement_wanted_ = true;
  Explain("advice_answered",
          {{"job", JobIdText(action.request.step.job)},
           {"step", absl::StrCat(action.request.step.step)},
           {"adviser", action.adviser},
           {"answered", reply.answered ? "yes" : "no"},
           {"named", absl::StrCat(action.request.workers.size())},
           {"good", absl::StrCat(reply.good.size())}});
  if (!reply.answered) {
    advice.next_ask = now.mono + kAdviceRetry;
    return;
  }
  const Queue* queue = configuration_->FindQueueByName(found->second->queue);
  if (queue == nullptr) return;
  int64_t fresh = 0;
  int64_t fresh_good = 0;
  for (const std::string& worker : action.request.workers) {
    if (advice.known.try_emplace(worker, false).second) ++fresh;
  }
  const absl::Time expires =
      now.mono + absl::Milliseconds(queue->advice.validity_ms) - kTicketGrace;
  for (const AdviceTicket& ticket : reply.good) {
    bool& good = advice.known[ticket.worker];
    if (!good) ++fresh_good;
    good = true;
    advice.tickets[ticket.worker] = {ticket.ticket, expires};
  }
  if (fresh > 0) {
    double& share =
        good_share_.try_emplace(queue->name, kInitialGoodShare).first->second;
    const double seen =
        static_cast<double>(fresh_good) / static_cast<double>(fresh);
    share += kGoodShareWeight * (seen - share);
    share = std::max(share, kLeastGoodShare);
  }
}

}  // namespace keelbridge
