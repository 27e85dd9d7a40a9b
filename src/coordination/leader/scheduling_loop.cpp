#include "coordination/leader/scheduling_loop.hpp"

#include <algorithm>

#include "log.hpp"

namespace larkroad::coordination {
namespace {

// Delay before a cycle in which further requests are batched, as a fraction of the heartbeat
// interval.
constexpr double kCycleDelayRatio = 1.0 / 300;
// The leader's periodic tasks run at an interval of `kPeriodicRatio` heartbeat intervals. A cycle
// may take `kCycleBudgetRatio` of that, which leaves time for the other work of the process.
constexpr double kPeriodicRatio = 1.0 / 10;
constexpr double kCycleBudgetRatio = 1.0 / 20;
// The pause after a cycle, as a multiple of the duration of the cycle.
constexpr double kPauseRatio = 3;
// Lag, as a fraction of the heartbeat interval, above which the leader defers low-priority work
// until it has caught up. Each started task costs the leader calls, heartbeats and writes, and
// workers whose heartbeats are not answered in time stop all their tasks.
constexpr double kOverloadRatio = 1.0 / 8;

}  // namespace

SchedulingLoop::SchedulingLoop(transport::Clock& clock, const Leadership& leadership,
                               const Settings& settings, ClusterState& cluster,
                               GangReservations& reservations, const LagMeter& lag,
                               LeaderActivity& activity, Callbacks callbacks)
    : clock_(clock),
      leadership_(leadership),
      settings_(settings),
      cluster_(cluster),
      reservations_(reservations),
      lag_(lag),
      activity_(activity),
      callbacks_(std::move(callbacks)),
      term_scope_(clock) {}

void SchedulingLoop::begin_term() {
  term_scope_.restart();
  started_ = false;
  cycle_scheduled_ = false;
  resume_index_ = 0;
}

void SchedulingLoop::end_term() {
  term_scope_.restart();
  started_ = false;
}

void SchedulingLoop::request_cycle() {
  if (cycle_scheduled_ || !started_) return;
  cycle_scheduled_ = true;
  const Seconds delay =
      std::max(settings_.heartbeat_interval_s * kCycleDelayRatio, next_cycle_at_ - clock_.now());
  term_scope_.after(delay, [this] {
    cycle_scheduled_ = false;
    run_cycle();
  });
}

CycleLimits SchedulingLoop::limits(Seconds started_at) const {
  CycleLimits limits;
  limits.reservation_limit_s = settings_.operators.reservation_limit_s;
  limits.start_bound_s = settings_.operators.start_bound_s;
  limits.start_index = resume_index_;
  limits.defer_low_priority = lag_.lag() > settings_.heartbeat_interval_s * kOverloadRatio;
  limits.out_of_time = [this, started_at] {
    return clock_.now() - started_at >
           settings_.heartbeat_interval_s * kPeriodicRatio * kCycleBudgetRatio;
  };
  return limits;
}

void SchedulingLoop::run_cycle() {
  if (!started_ || !leadership_.is_leader()) return;
  const Seconds started_at = clock_.now();
  const CycleLimits cycle_limits = limits(started_at);
  const Plan result = plan(cluster_, reservations_, started_at, cycle_limits);
  resume_index_ = result.resume_index;
  for (const auto& assignment : result.assignments) {
    apply(assignment, cycle_limits.start_bound_s);
  }
  for (const auto& preemption : result.preemptions) apply(preemption);
  for (const auto& migration : result.migrations) apply(migration);
  const Seconds duration = clock_.now() - started_at;
  ++activity_.scheduling_cycles;
  activity_.scheduling_time += duration;
  next_cycle_at_ = clock_.now() + duration * kPauseRatio;
  if (is_unfinished()) request_cycle();
}

void SchedulingLoop::apply(const Assignment& assignment, Seconds start_bound) {
  Job* job = cluster_.job(assignment.job);
  if (job == nullptr) return;
  if (job->spec.is_gang() && job->placements.empty()) {
    for (const auto& [number, shard] : job->shards) {
      job->gang_attempt = std::max(job->gang_attempt, shard.attempt);
    }
    ++job->gang_attempt;
  }
  if (aging_of(cluster_, *job, clock_.now(), start_bound) == Aging::urgent) job->aged = true;
  for (const auto& [task, machine] : assignment.tasks) place(*job, task, machine);
  spdlog::debug("tasks placed: job={} count={} first_machine={}", job->id(),
                assignment.tasks.size(), assignment.tasks.front().second);
  callbacks_.persist(*job);
}

void SchedulingLoop::place(Job& job, std::uint32_t task, const std::string& machine) {
  const Seconds now = clock_.now();
  const std::uint32_t number = job.shard_of(task);
  const std::uint64_t attempt =
      job.spec.is_gang() ? job.gang_attempt : job.shards[number].attempt + 1;
  cluster_.place(job, task, cluster_.machine(machine), attempt, now);
  // The scheduler estimates record sizes from typical lengths of names and numbers. A task that
  // turns out not to fit is not placed, as an oversized record could not be written at all.
  if (cluster_.has_oversized_shards(job) && cluster_.record_bytes_left(job, number) == 0) {
    cluster_.unplace(job, task, now);
    return;
  }
  job.shards[number].schedule_write(now);
}

void SchedulingLoop::apply(const Preemption& preemption) {
  Job* job = cluster_.job(preemption.job);
  if (job == nullptr) return;
  const auto it = job->placements.find(preemption.task);
  if (it == job->placements.end() || it->second.stage != Placement::Stage::acknowledged) return;
  spdlog::info("task preempted: job={} task={} for_job={}", preemption.job, preemption.task,
               preemption.for_job);
  callbacks_.stop(*job, it->second, preemption.save ? StopMode::graceful : StopMode::immediate);
}

void SchedulingLoop::apply(const ReplicaMigration& migration) {
  Job* job = cluster_.job(migration.job);
  if (job == nullptr) return;
  const auto it = job->placements.find(migration.task);
  if (it == job->placements.end()) return;
  spdlog::info("replica migration started: job={} task={} machine={}", migration.job,
               migration.task, migration.from);
  const bool saves = job->spec.checkpoint_s > 0;
  callbacks_.stop(*job, it->second, saves ? StopMode::graceful : StopMode::immediate);
}

}  // namespace larkroad::coordination
