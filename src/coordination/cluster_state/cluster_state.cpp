#include "coordination/cluster_state/cluster_state.hpp"

#include <algorithm>
#include <cmath>

namespace larkroad::coordination {
namespace {

// A replica of a service runs until its user cancels the job: for longer than anything is planned.
constexpr Seconds kServiceRun = 1e7;
// Amounts are decimals: sums of them are compared with this much leeway.
constexpr double kRounding = 1e-6;
// How much of a class's statistics the latest task makes up.
constexpr double kLearning = 0.1;
// Arrivals are counted over this many times what a cancellation may take: long against the tasks
// of today's deployments, short against the day.
constexpr double kMemoryRatio = 4;
// How long completed tasks are gathered for one record, as a part of the report interval.
constexpr double kGatherRatio = 1.0 / 4;

}  // namespace

Resources& Resources::operator+=(const Resources& o) {
  cpus += o.cpus;
  gpus += o.gpus;
  memory_gb += o.memory_gb;
  return *this;
}

Resources& Resources::operator-=(const Resources& o) {
  cpus -= o.cpus;
  gpus -= o.gpus;
  memory_gb -= o.memory_gb;
  return *this;
}

bool Resources::fits(const Resources& need) const {
  return need.cpus <= cpus + kRounding && need.gpus <= gpus + kRounding &&
         need.memory_gb <= memory_gb + kRounding;
}

std::uint32_t Resources::times(const Resources& need) const {
  double most = protocol::kMaxTasksPerJob;
  const auto part = [&most](double have, double each) {
    if (each > 0) most = std::min(most, std::floor((have + kRounding) / each));
  };
  part(cpus, need.cpus);
  part(gpus, need.gpus);
  part(memory_gb, need.memory_gb);
  return most <= 0 ? 0 : static_cast<std::uint32_t>(most);
}

Resources least_of(const Resources& a, const Resources& b) {
  return {std::min(a.cpus, b.cpus), std::min(a.gpus, b.gpus), std::min(a.memory_gb, b.memory_gb)};
}

Resources needs_of(const JobSpec& spec) { return {spec.cpus, spec.gpus, spec.memory_gb}; }
Resources capacity_of(const MachineType& type) { return {type.cpus, type.gpus, type.memory_gb}; }

std::uint32_t Job::waiting() const {
  if (cancelled || gang_aborting) return 0;
  return spec.tasks - next_never_placed + static_cast<std::uint32_t>(requeued.size());
}

bool Job::succeeds_elsewhere_than(const std::string& machine) const {
  if (!spec.is_service()) return done_count > 0;
  return std::any_of(placements.begin(), placements.end(), [&](const auto& entry) {
    return entry.second.proven && entry.second.machine != machine;
  });
}

bool Job::started_elsewhere_than(const std::string& machine) const {
  return started_machines.size() > started_machines.count(machine);
}

void Job::note_start(const std::string& machine) {
  // Two tell for any machine whether there is another one.
  if (started_machines.size() < 2) started_machines.insert(machine);
}

bool Job::is_finished() const {
  return done_count == spec.tasks || (cancelled && placements.empty());
}

std::uint32_t Job::running() const {
  std::uint32_t count = 0;
  for (const auto& [task, placement] : placements) {
    count += placement.stage == Placement::Stage::acknowledged &&
             (placement.state == TaskState::running || placement.state == TaskState::saving);
  }
  return count;
}

Resources Machine::room() const {
  Resources out = capacity;
  out -= used;
  return out;
}

bool Machine::usable(Seconds now, Seconds patience) const {
  return now - last_worker_heartbeat_at <= patience && has_reported && identity_confirmed &&
         unreachable_since < 0 && !lease_expired && !being_released && !quarantined &&
         !reclaimed_at && now >= refused_until && !address.empty();
}

void Machine::touch_image(const std::string& image, double gb, double cache_gb, Seconds now) {
  images_changed = !images.contains(image) || images_changed;
  images[image] = {gb, now};
  double total = 0;
  for (const auto& [name, entry] : images) total += entry.first;
  while (total > cache_gb && images.size() > 1) {
    const auto oldest = std::min_element(
        images.begin(), images.end(),
        [](const auto& a, const auto& b) { return a.second.second < b.second.second; });
    if (oldest->first == image) break;
    total -= oldest->second.first;
    images.erase(oldest);
  }
}

void ClusterState::clear() {
  jobs_.clear();
  machines_.clear();
  used_.clear();
}

Job& ClusterState::add_job(const std::string& id, const storage::JobRecord& record,
                           std::uint64_t revision) {
  auto job = std::make_unique<Job>();
  job->spec = record.spec;
  job->revision = revision;
  job->submitted_at = record.submitted_at;
  job->submitted = record.submitted_at - day_offset_;
  job->tasks_per_shard = record.tasks_per_shard;
  job->cancelled = record.cancelled;
  job->done.assign(record.spec.tasks, false);
  if (has_oversized_shards(*job)) {
    // Tasks of several shards are placed in turn, so not in the order of their numbers.
    for (std::uint32_t task = 0; task < job->spec.tasks; ++task) {
      job->requeued.insert(job->requeued.end(), task);
    }
    job->next_never_placed = job->spec.tasks;
  }
  auto& slot = jobs_[id];
  slot = std::move(job);
  return *slot;
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

void ClusterState::load_done(Job& job, const std::vector<storage::TaskRange>& ranges,
                             std::uint32_t end) {
  for (const auto& [from, to] : ranges) {
    for (std::uint32_t task = from; task <= to && task < end; ++task) {
      if (!job.done[task]) {
        job.done[task] = true;
        ++job.done_count;
      }
    }
  }
}

void ClusterState::restore_placements(Job& job, std::uint32_t shard,
                                      const storage::PlacementRecord& record,
                                      std::uint64_t revision, std::uint64_t uncertain_fencing_token,
                                      Seconds now) {
  job.shards[shard] = {revision, record.attempt, false, 0};
  const std::uint32_t first = shard * job.tasks_per_shard;
  const std::uint32_t end = std::min(first + job.tasks_per_shard, job.spec.tasks);
  // A replica of a service is never done, whatever a controller that took it for an array's task
  // has recorded.
  if (!job.spec.is_service()) load_done(job, record.done, end);
  for (const auto& placed : record.placed) {
    if (placed.task >= end || job.done[placed.task]) continue;
    Machine& m = machine(placed.machine);
    m.incarnation = std::max(m.incarnation, placed.incarnation);
    m.unresolved_launches[{{job.id(), placed.task}, placed.attempt}] = {uncertain_fencing_token,
                                                                        false};
    Placement& p = place(job, placed.task, m, placed.attempt, now);
    p.incarnation = placed.incarnation;
    p.stage = Placement::Stage::persisted;
    p.recovered = true;
    if (job.spec.is_gang()) job.gang_attempt = std::max(job.gang_attempt, placed.attempt);
  }
  // Chunks are written as they are needed, so every task up to this one may have been placed.
  for (std::uint32_t task = job.next_never_placed; task < first; ++task) {
    if (!job.done[task] && !job.placements.contains(task)) job.requeued.insert(task);
  }
  for (std::uint32_t task = first; task < end; ++task) {
    if (!job.done[task] && !job.placements.contains(task)) {
      job.requeued.insert(task);
    } else {
      job.requeued.erase(task);
    }
  }
  job.next_never_placed = std::max(job.next_never_placed, end);
}

bool ClusterState::has_oversized_shards(const Job& job) const {
  const auto together = std::min(job.tasks_per_shard, job.spec.tasks);
  return together > storage::max_tasks_per_shard(settings_.lasting_store_limits().value_kb);
}

size_t ClusterState::record_bytes_left(const Job& job, std::uint32_t shard) const {
  const auto limit = static_cast<size_t>(settings_.lasting_store_limits().value_bytes());
  const size_t used = storage::encoded_size(storage::encode(placement_record(job, shard)));
  return limit - std::min(limit, used);
}

storage::PlacementRecord ClusterState::placement_record(const Job& job, std::uint32_t shard) const {
  storage::PlacementRecord record;
  const auto it = job.shards.find(shard);
  if (it != job.shards.end()) record.attempt = it->second.attempt;
  const std::uint32_t first = shard * job.tasks_per_shard;
  const std::uint32_t end = std::min(first + job.tasks_per_shard, job.spec.tasks);
  for (std::uint32_t task = first; task < end; ++task) {
    if (!job.done[task]) continue;
    if (!record.done.empty() && record.done.back().last + 1 == task) {
      record.done.back().last = task;
    } else {
      record.done.push_back({task, task});
    }
  }
  for (auto p = job.placements.lower_bound(first); p != job.placements.end() && p->first < end;
       ++p) {
    record.placed.push_back(
        {p->first, p->second.attempt, p->second.machine, p->second.incarnation});
  }
  return record;
}

Machine& ClusterState::machine(const std::string& name) {
  auto [it, made] = machines_.try_emplace(name);
  if (made) it->second.name = name;
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

void ClusterState::set_type(Machine& machine, const std::string& name) {
  machine.type = name;
  if (const MachineType* known = type(name)) machine.capacity = capacity_of(*known);
}

Placement& ClusterState::place(Job& job, std::uint32_t task, Machine& machine,
                               std::uint64_t attempt, Seconds now) {
  Placement p;
  p.task = task;
  p.attempt = attempt;
  p.machine = machine.name;
  p.incarnation = machine.incarnation;
  p.placed_at = now;
  job.last_placed_at = now;
  if (job.requeued.erase(task) == 0 && task == job.next_never_placed) ++job.next_never_placed;
  PlacementShard& shard = job.shards[job.shard_of(task)];
  shard.attempt = std::max(shard.attempt, attempt);
  machine.used += needs_of(job.spec);
  machine.used_by_priority[static_cast<size_t>(job.spec.priority)] += needs_of(job.spec);
  machine.tasks.insert({job.id(), task});
  used_[job.spec.team] += needs_of(job.spec);
  return job.placements[task] = std::move(p);
}

void ClusterState::release(Job& job, std::uint32_t task, Seconds now) {
  const auto it = job.placements.find(task);
  if (it == job.placements.end()) return;
  if (Machine* m = find_machine(it->second.machine)) {
    m->used -= needs_of(job.spec);
    m->used_by_priority[static_cast<size_t>(job.spec.priority)] -= needs_of(job.spec);
    m->tasks.erase({job.id(), task});
    if (m->tasks.empty()) {
      m->used = {};
      m->used_by_priority = {};
      m->idle_since = now;
    }
  }
  used_[job.spec.team] -= needs_of(job.spec);
  job.placements.erase(it);
  // The attempt is over with its last task, however that ended: some may be done, and the rest
  // lost with their machines.
  if (job.spec.is_gang() && job.placements.empty()) {
    job.gang_aborting = false;
    job.gang_started = false;
  }
}

void ClusterState::unplace(Job& job, std::uint32_t task, Seconds now) {
  release(job, task, now);
  job.requeued.insert(task);
  if (job.spec.is_service()) job.replica_lost_at = now;
}

void ClusterState::finish(Job& job, std::uint32_t task, Seconds now) {
  release(job, task, now);
  job.requeued.erase(task);
  if (job.done[task]) return;
  job.done[task] = true;
  ++job.done_count;
  job.unpersisted_done.insert(task);
  // Completions of a job that goes on are gathered: one write then tells of several. A state may
  // lag by 3 s; the job's last completion is not held up by this.
  job.shards[job.shard_of(task)].write(now + settings_.heartbeat_interval_s * kGatherRatio);
  job.failures = 0;
  job.failed_machines.clear();
}

Resources ClusterState::used_by(const std::string& team) const {
  const auto it = used_.find(team);
  return it == used_.end() ? Resources{} : it->second;
}

Seconds ClusterState::expected_run(const JobSpec& spec) const {
  if (spec.is_service()) return kServiceRun;
  const auto it = classes_.find(spec.job_class);
  return spec.estimate_s * (it == classes_.end() ? 1 : it->second.run_ratio);
}

void ClusterState::learn_run(const JobSpec& spec, Seconds took) {
  ClassStatistics& statistics = classes_[spec.job_class];
  statistics.mean_run = statistics.mean_run == 0
                            ? took
                            : statistics.mean_run + (took - statistics.mean_run) * kLearning;
  if (spec.estimate_s <= 0) return;
  // A task that went on from a checkpoint, or a wild estimate, must not turn the class.
  const double ratio = std::clamp(took / spec.estimate_s, 0.25, 4.0);
  statistics.run_ratio += (ratio - statistics.run_ratio) * kLearning;
}

Seconds ClusterState::memory_s() const { return settings_.cancellation_limit_s * kMemoryRatio; }

void ClusterState::learn_arrival(const Job& job) {
  ClassStatistics& statistics = classes_[job.spec.job_class];
  // Jobs come in any order when they are read back; an older one counts by its age.
  const Seconds to = std::max(statistics.counted_at, job.submitted);
  const double fade = std::exp(-(to - statistics.counted_at) / memory_s());
  const double weight = std::exp(-(to - job.submitted) / memory_s());
  const double size = job.spec.tasks;
  statistics.tasks = statistics.tasks * fade + size * weight;
  statistics.squares = statistics.squares * fade + size * size * weight;
  for (auto& [team, tasks] : statistics.by_team) tasks *= fade;
  statistics.by_team[job.spec.team] += size * weight;
  if (job.submitted >= statistics.counted_at) statistics.latest = job.spec;
  statistics.counted_at = to;
}

double ClusterState::arrival_rate(const ClassStatistics& statistics, Seconds now) const {
  const Seconds age = std::max(0.0, now - statistics.counted_at);
  return statistics.tasks * std::exp(-age / memory_s()) / memory_s();
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

Seconds fetch_time(const JobSpec& spec, const MachineType& type) {
  return type.fetch_gb_per_s > 0 ? spec.image_gb / type.fetch_gb_per_s : 0;
}

Seconds soonest_start(const ClusterState& cluster, const JobSpec& spec, bool boots) {
  Seconds soonest = -1;
  for (const auto& type : cluster.types()) {
    if (type.zones.empty() || !allows(spec, type, spec.zone.value_or(type.zones.front()), false)) {
      continue;
    }
    const Seconds start = (boots ? type.boot_s : 0) + fetch_time(spec, type);
    if (soonest < 0 || start < soonest) soonest = start;
  }
  return soonest;
}

bool allows(const JobSpec& spec, const MachineType& type, const std::string& zone, bool spot) {
  if (spot && !spec.spot) return false;
  if (spec.zone && *spec.zone != zone) return false;
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end()) {
    return false;
  }
  return capacity_of(type).fits(needs_of(spec));
}

}  // namespace larkroad::coordination
