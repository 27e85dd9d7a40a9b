#include "coordination/leader/leader.hpp"

#include <algorithm>

#include "log.hpp"

namespace larkroad::coordination {
namespace {

// Steady clocks drift apart by 0.05%; twice that is allowed for.
constexpr double kDrift = 0.001;
// The room of a planning round for what else the process does: a part of a tick.
constexpr double kPlanBudgetRatio = 1.0 / 20;
// Reports and decisions are gathered for this part of the report interval before planning.
constexpr double kPlanDelayRatio = 1.0 / 300;
// A round of planning is followed by a pause of this many times what it took: the process has
// reports and users to answer, too.
constexpr double kPlanPause = 3;
// A leader that is this part of the report interval behind with its work starts no more work of low
// priority until it has caught up: each task costs it calls, reports and writes, and workers whose
// reports are not answered in time end all that they run.
constexpr double kOverloadRatio = 1.0 / 8;

}  // namespace

Leader::Leader(transport::Clock& clock, transport::Client& client, storage::KeyValueClient& store,
               Election& election, MachineCatalog& catalog, const Settings& settings)
    : clock_(clock),
      client_(client),
      store_(store),
      election_(election),
      catalog_(catalog),
      settings_(settings),
      scope_(clock),
      transaction_changes_(settings.lasting_store_limits().max_transaction_changes),
      cluster_(settings),
      relay_assignment_(settings) {}

void Leader::begin(bool spread) {
  scope_.restart();
  relay_assignment_.clear(spread);
  ready_ = false;
  loading_ = true;
  begun_at_ = clock_.now();
  first_fencing_token_ = election_.fencing_token();
  cluster_.clear();
  cluster_.set_day_offset(clock_.unix_time() - clock_.now());
  gang_reservations_.clear();
  capacity_backoff_.clear();
  loaded_placements_.clear();
  loaded_images_.clear();
  recording_images_ = false;
  garbage_.clear();
  finished_.clear();
  removed_machines_.clear();
  pending_rentals_.clear();
  rentals_ = 0;
  listing_ = false;
  listed_once_ = false;
  plan_armed_ = false;
  plan_from_ = 0;
  dropping_ = false;
  queued_commands_.clear();
  sending_armed_ = false;
  lag_.reset();
  next_periodic_run_ = kNoLimit;
  fence_wanted_ = false;
  fenced_at_ = begun_at_;
  watched_to_ = 0;
  cluster_.set_types(catalog_.types());
  load_jobs("");
}

void Leader::end() {
  scope_.restart();
  ready_ = false;
  loading_ = false;
  cluster_.clear();
  gang_reservations_.clear();
}

void Leader::types_changed() {
  if (ready_) cluster_.set_types(catalog_.types());
}

void Leader::run_periodic_tasks() {
  const Seconds now = clock_.now();
  lag_.fired(next_periodic_run_, now);
  next_periodic_run_ = now + settings_.heartbeat_interval_s * kRetryRatio;
  scope_.after(settings_.heartbeat_interval_s * kRetryRatio, [this] { run_periodic_tasks(); });
  if (!election_.is_leader()) return;
  std::vector<std::string> silent;
  for (auto& [name, machine] : cluster_.machines()) {
    if (machine.lease_expired || machine.lease_renewed_at < 0) continue;
    // Its worker ends every task by then, and begins a new session when it can be heard again.
    if (now > machine.lease_renewed_at + settings_.lease_s * (1 + kDrift) +
                  settings_.heartbeat_interval_s / 10) {
      silent.push_back(name);
    }
  }
  for (const auto& name : silent) {
    Machine& machine = *cluster_.find_machine(name);
    machine.lease_expired = true;
    machine.lease_expired_at = now;
    spdlog::info("machine {} is silent: its lease is over", name);
    end_sessions(machine, machine.incarnation + 1);
  }
  check_unreachable_machines();
  relay_assignment_.count(listed_once_ ? std::optional(cluster_.machines().size()) : std::nullopt,
                          now);
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->write_in_flight) continue;
    persist(*job);
    if (!job->write_in_flight) shrink_shards(*job);
  }
  if (fence_wanted_ && now - fenced_at_ > settings_.lease_s / 4) {
    fence_wanted_ = false;
    fenced_at_ = now;
    election_.raise_fencing_token();
  }
  if (!gang_reservations_.all().empty() || plan_from_ != 0) request_plan();
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->waiting() > 0) {
      request_plan();
      break;
    }
  }
}

void Leader::request_plan() {
  if (plan_armed_ || !ready_) return;
  plan_armed_ = true;
  const Seconds pause =
      std::max(settings_.heartbeat_interval_s * kPlanDelayRatio, plan_next_ - clock_.now());
  scope_.after(pause, [this] {
    plan_armed_ = false;
    make_plan();
  });
}

void Leader::make_plan() {
  if (!ready_ || !election_.is_leader()) return;
  const Seconds begun = clock_.now();
  CycleLimits limits;
  limits.reservation_limit_s = settings_.operators.reservation_limit_s;
  limits.start_bound_s = settings_.operators.start_bound_s;
  limits.start_at = plan_from_;
  limits.defers_low = lag_.lag() > settings_.heartbeat_interval_s * kOverloadRatio;
  limits.out_of_time = [this, begun] {
    return clock_.now() - begun > settings_.heartbeat_interval_s * kRetryRatio * kPlanBudgetRatio;
  };
  const Plan decided = plan(cluster_, gang_reservations_, begun, limits);
  plan_from_ = decided.stopped_at;
  for (const auto& assignment : decided.assignments) carry_out(assignment, limits.start_bound_s);
  for (const auto& victim : decided.preemptions) {
    Job* job = cluster_.job(victim.job);
    if (job == nullptr) continue;
    const auto it = job->placements.find(victim.task);
    if (it == job->placements.end() || it->second.stage != Placement::Stage::acknowledged) continue;
    spdlog::info("task {}/{} gives way to {}", victim.job, victim.task, victim.for_job);
    stop(*job, it->second, victim.save ? grace(*job) : 0);
  }
  for (const auto& move : decided.moves) {
    Job* job = cluster_.job(move.job);
    if (job == nullptr || !job->placements.contains(move.task)) continue;
    spdlog::info("replica {}/{} leaves machine {}", move.job, move.task, move.from);
    stop(*job, job->placements.at(move.task), job->spec.checkpoint_s > 0 ? grace(*job) : 0);
  }
  ++activity_.planning_rounds;
  activity_.planning_time += clock_.now() - begun;
  plan_next_ = clock_.now() + (clock_.now() - begun) * kPlanPause;
  if (plan_from_ != 0) request_plan();
}

void Leader::carry_out(const Assignment& assignment, Seconds start_bound) {
  Job* job = cluster_.job(assignment.job);
  if (job == nullptr) return;
  if (job->spec.is_gang() && job->placements.empty()) {
    for (const auto& [number, shard] : job->shards) {
      job->gang_attempt = std::max(job->gang_attempt, shard.attempt);
    }
    ++job->gang_attempt;
  }
  if (aging_of(cluster_, *job, clock_.now(), start_bound) == Aging::urgent) job->aged = true;
  for (const auto& [task, machine] : assignment.tasks) place_assigned(*job, task, machine);
  spdlog::debug("job {}: {} tasks placed, first on {}", job->id(), assignment.tasks.size(),
                assignment.tasks.front().second);
  persist(*job);
}

void Leader::place_assigned(Job& job, std::uint32_t task, const std::string& name) {
  const Seconds now = clock_.now();
  const std::uint32_t number = job.shard_of(task);
  const std::uint64_t attempt =
      job.spec.is_gang() ? job.gang_attempt : job.shards[number].attempt + 1;
  cluster_.place(job, task, cluster_.machine(name), attempt, now);
  // The planner reckons with common lengths of names and numbers; what does not fit after all would
  // keep the whole record from being written.
  if (cluster_.has_oversized_shards(job) && cluster_.record_bytes_left(job, number) == 0) {
    cluster_.unplace(job, task, now);
    return;
  }
  job.shards[number].write(now);
}

}  // namespace larkroad::coordination
