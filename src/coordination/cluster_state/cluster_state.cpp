#include "coordination/cluster_state/cluster_state.hpp"

#include <algorithm>

namespace larkroad::coordination {
namespace {

// How long completions are collected for one write, as a fraction of the heartbeat interval.
constexpr double kCompletionBatchRatio = 1.0 / 4;

}  // namespace

void ClusterState::clear() {
  jobs_.clear();
  machines_.clear();
  used_by_team_.clear();
}

Job& ClusterState::add_job(const std::string& id, const storage::JobRecord& record,
                           std::uint64_t revision) {
  auto job = std::make_unique<Job>();
  job->spec = record.spec;
  job->revision = revision;
  job->submitted_at = record.submitted_at;
  job->submitted = record.submitted_at - wall_clock_offset_;
  job->tasks_per_shard = record.tasks_per_shard;
  job->cancelled = record.cancelled;
  job->done.assign(record.spec.tasks, false);
  if (has_oversized_shards(*job)) {
    // Tasks are placed from several shards in turn and hence not in numerical order, so all of them
    // are queued individually.
    for (std::uint32_t task = 0; task < job->spec.tasks; ++task) {
      job->requeued.insert(job->requeued.end(), task);
    }
    job->next_never_placed = job->spec.tasks;
  }
  std::unique_ptr<Job>& added = jobs_[id];
  added = std::move(job);
  return *added;
}

Job* ClusterState::job(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

const Job* ClusterState::job(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

void ClusterState::remove_job(const std::string& id) { jobs_.erase(id); }

ClusterState::ShardBounds ClusterState::tasks_of_shard(const Job& job, std::uint32_t shard) {
  const std::uint32_t first = shard * job.tasks_per_shard;
  return {first, std::min(first + job.tasks_per_shard, job.spec.tasks)};
}

void ClusterState::restore_placements(Job& job, std::uint32_t shard,
                                      const storage::PlacementRecord& record,
                                      std::uint64_t revision, std::uint64_t uncertain_fencing_token,
                                      Seconds now) {
  job.shards[shard] = {revision, record.attempt, false, 0};
  const ShardBounds range = tasks_of_shard(job, shard);
  // A replica of a service is never done. A first-version controller, which treats it as a task of
  // an array job, may nevertheless have recorded it as done.
  if (!job.spec.is_service()) restore_done(job, record.done, range.end);
  for (const storage::PlacedTask& placed : record.placed) {
    if (placed.task >= range.end || job.done[placed.task]) continue;
    restore_placement(job, placed, uncertain_fencing_token, now);
  }
  requeue_waiting(job, range);
}

void ClusterState::restore_done(Job& job, const std::vector<storage::TaskRange>& ranges,
                                std::uint32_t end) {
  for (const auto& [from, to] : ranges) {
    for (std::uint32_t task = from; task <= to && task < end; ++task) {
      if (job.done[task]) continue;
      job.done[task] = true;
      ++job.done_count;
    }
  }
}

void ClusterState::restore_placement(Job& job, const storage::PlacedTask& placed,
                                     std::uint64_t uncertain_fencing_token, Seconds now) {
  Machine& on = machine(placed.machine);
  on.incarnation = std::max(on.incarnation, placed.incarnation);
  on.launches.add_inherited({{job.id(), placed.task}, placed.attempt}, uncertain_fencing_token);
  Placement& placement = place(job, placed.task, on, placed.attempt, now);
  placement.incarnation = placed.incarnation;
  placement.stage = Placement::Stage::persisted;
  placement.recovered = true;
  if (job.spec.is_gang()) job.gang_attempt = std::max(job.gang_attempt, placed.attempt);
}

// Updates `requeued` and `next_never_placed` for a shard that has just been restored.
void ClusterState::requeue_waiting(Job& job, const ShardBounds& shard) {
  const auto waits = [&job](std::uint32_t task) {
    return !job.done[task] && !job.placements.contains(task);
  };
  // A shard's record is written when its first task is placed, so any task before this shard may
  // have been placed.
  for (std::uint32_t task = job.next_never_placed; task < shard.first; ++task) {
    if (waits(task)) job.requeued.insert(task);
  }
  for (std::uint32_t task = shard.first; task < shard.end; ++task) {
    if (waits(task)) {
      job.requeued.insert(task);
    } else {
      job.requeued.erase(task);
    }
  }
  job.next_never_placed = std::max(job.next_never_placed, shard.end);
}

bool ClusterState::has_oversized_shards(const Job& job) const {
  const auto tasks_in_record = std::min(job.tasks_per_shard, job.spec.tasks);
  return tasks_in_record >
         storage::max_tasks_per_shard(settings_.strictest_store_limits().value_kb);
}

size_t ClusterState::record_bytes_left(const Job& job, std::uint32_t shard) const {
  const auto limit = static_cast<size_t>(settings_.strictest_store_limits().value_bytes());
  const size_t used = storage::encoded_size(storage::encode(placement_record(job, shard)));
  return limit - std::min(limit, used);
}

storage::PlacementRecord ClusterState::placement_record(const Job& job, std::uint32_t shard) {
  storage::PlacementRecord record;
  const auto it = job.shards.find(shard);
  if (it != job.shards.end()) record.attempt = it->second.attempt;
  const auto [first, end] = tasks_of_shard(job, shard);
  for (std::uint32_t task = first; task < end; ++task) {
    if (!job.done[task]) continue;
    if (!record.done.empty() && record.done.back().last + 1 == task) {
      record.done.back().last = task;
    } else {
      record.done.push_back({task, task});
    }
  }
  for (auto placed = job.placements.lower_bound(first); placed != job.placements.end(); ++placed) {
    const auto& [task, placement] = *placed;
    if (task >= end) break;
    record.placed.push_back({task, placement.attempt, placement.machine, placement.incarnation});
  }
  return record;
}

Machine& ClusterState::machine(const std::string& name) {
  auto [it, added] = machines_.try_emplace(name);
  if (added) it->second.name = name;
  return it->second;
}

Machine* ClusterState::find_machine(const std::string& name) {
  const auto it = machines_.find(name);
  return it == machines_.end() ? nullptr : &it->second;
}

const Machine* ClusterState::find_machine(const std::string& name) const {
  const auto it = machines_.find(name);
  return it == machines_.end() ? nullptr : &it->second;
}

void ClusterState::remove_machine(const std::string& name) { machines_.erase(name); }

void ClusterState::set_type(Machine& machine, const std::string& type) const {
  machine.type = type;
  if (const MachineType* known = this->type(type)) machine.capacity = capacity_of(*known);
}

Placement& ClusterState::place(Job& job, std::uint32_t task, Machine& machine,
                               std::uint64_t attempt, Seconds now) {
  Placement placement;
  placement.task = task;
  placement.attempt = attempt;
  placement.machine = machine.name;
  placement.incarnation = machine.incarnation;
  placement.placed_at = now;
  job.last_placed_at = now;
  if (job.requeued.erase(task) == 0 && task == job.next_never_placed) ++job.next_never_placed;
  PlacementShard& shard = job.shards[job.shard_of(task)];
  shard.attempt = std::max(shard.attempt, attempt);
  const Resources need = needs_of(job.spec);
  machine.used += need;
  machine.used_by_priority[static_cast<size_t>(job.spec.priority)] += need;
  machine.tasks.insert({job.id(), task});
  used_by_team_[job.spec.team] += need;
  return job.placements[task] = std::move(placement);
}

void ClusterState::remove_placement(Job& job, std::uint32_t task, Seconds now) {
  const auto it = job.placements.find(task);
  if (it == job.placements.end()) return;
  const Resources need = needs_of(job.spec);
  if (Machine* machine = find_machine(it->second.machine)) {
    machine->used -= need;
    machine->used_by_priority[static_cast<size_t>(job.spec.priority)] -= need;
    machine->tasks.erase({job.id(), task});
    if (machine->tasks.empty()) {
      // Discards accumulated rounding errors.
      machine->used = {};
      machine->used_by_priority = {};
      machine->idle_since = now;
    }
  }
  used_by_team_[job.spec.team] -= need;
  job.placements.erase(it);
  // The attempt ends with its last task, whatever the outcome: some tasks may have completed and
  // the others been lost with their machines.
  if (job.spec.is_gang() && job.placements.empty()) {
    job.gang_aborting = false;
    job.gang_started = false;
  }
}

void ClusterState::unplace(Job& job, std::uint32_t task, Seconds now) {
  remove_placement(job, task, now);
  job.requeued.insert(task);
  if (job.spec.is_service()) job.replica_lost_at = now;
}

void ClusterState::finish(Job& job, std::uint32_t task, Seconds now) {
  remove_placement(job, task, now);
  job.requeued.erase(task);
  if (job.done[task]) return;
  job.done[task] = true;
  ++job.done_count;
  job.unpersisted_done.insert(task);
  // Completions of an unfinished job are batched so that one write records several. The state shown
  // to users may lag by up to 3 s; the last completion of a job is not delayed.
  job.shards[job.shard_of(task)].schedule_write(now + settings_.heartbeat_interval_s *
                                                          kCompletionBatchRatio);
  job.failures = 0;
  job.failed_machines.clear();
}

Resources ClusterState::used_by(const std::string& team) const {
  const auto it = used_by_team_.find(team);
  return it == used_by_team_.end() ? Resources{} : it->second;
}

void ClusterState::set_types(std::vector<MachineType> types) {
  types_ = std::move(types);
  for (auto& [name, machine] : machines_) {
    if (!machine.type.empty()) set_type(machine, machine.type);
  }
}

const MachineType* ClusterState::type(const std::string& name) const {
  for (const auto& type : types_) {
    if (type.name == name) return &type;
  }
  return nullptr;
}

}  // namespace larkroad::coordination
