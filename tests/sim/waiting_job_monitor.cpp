#include "sim/waiting_job_monitor.hpp"

#include <algorithm>

#include "sim/world.hpp"

namespace larkroad::sim {
namespace {

constexpr double kTolerance = 1e-6;

}  // namespace

void WaitingJobMonitor::observe() {
  for (const auto& [id, spec] : world_.users.submitted()) {
    // Jobs that fail on every machine are retried only occasionally; a separate test checks the
    // times.
    if (world_.tasks.faulty_jobs.contains(id) || !world_.users.is_acknowledged(id)) continue;
    world_.invariants.placement_possible(world_.events.now(), id, could_be_placed(spec));
  }
}

bool WaitingJobMonitor::could_be_placed(const JobSpec& spec) const {
  Usage usage = usage_of(spec);
  const auto completed = static_cast<std::uint32_t>(world_.tasks.completed_tasks(spec.id));
  if (completed + usage.placed >= spec.tasks) return false;
  if (spec.is_gang() && usage.placed > 0) return false;
  const std::uint32_t wanted = spec.is_gang() ? spec.tasks - completed : 1;
  if (!is_within_limit(spec, usage, wanted)) return false;
  const std::uint32_t half = (spec.tasks + 1) / 2;
  std::uint32_t total = 0;
  for (const auto& [zone, slots] : free_slots(spec)) {
    const bool in_other_zone = !usage.zones.empty() && !usage.zones.contains(zone);
    if (spec.one_zone && !in_other_zone && slots >= wanted) return true;
    // A job with `spread` may have at most half of its tasks in one zone.
    total += spec.spread ? std::min(slots, half - std::min(half, usage.zones[zone])) : slots;
  }
  return !spec.one_zone && total >= wanted;
}

WaitingJobMonitor::Usage WaitingJobMonitor::usage_of(const JobSpec& spec) const {
  Usage usage;
  for (const auto& worker : world_.workers) {
    if (worker->terminated) continue;
    for (const auto& [key, task] : worker->tasks()) {
      const JobSpec* other = world_.users.spec(key.first.job);
      if (task.stage == FakeWorker::Stage::exited || other == nullptr) continue;
      if (other->team == spec.team) usage.team += coordination::needs_of(*other);
      if (key.first.job != spec.id) continue;
      ++usage.zones[worker->zone];
      ++usage.placed;
    }
  }
  return usage;
}

bool WaitingJobMonitor::is_within_limit(const JobSpec& spec, const Usage& usage,
                                        std::uint32_t tasks) const {
  const auto need = coordination::needs_of(spec);
  const TeamSettings& limit = *world_.settings.team(spec.team);
  return usage.team.cpus + tasks * need.cpus <= limit.cpus_max + kTolerance &&
         usage.team.gpus + tasks * need.gpus <= limit.gpus_max + kTolerance;
}

std::map<std::string, std::uint32_t> WaitingJobMonitor::free_slots(const JobSpec& spec) const {
  const auto need = coordination::needs_of(spec);
  const auto types = testing::types();
  std::map<std::string, std::uint32_t> slots;
  for (const auto& worker : world_.workers) {
    if (worker->terminated || worker->is_unusable()) continue;
    for (const auto& type : types) {
      if (type.name != worker->type) continue;
      if (!coordination::allows(spec, type, worker->zone, worker->spot)) continue;
      slots[worker->zone] += free_capacity(*worker, type).max_fitting(need);
    }
  }
  return slots;
}

coordination::Resources WaitingJobMonitor::free_capacity(const FakeWorker& worker,
                                                         const protocol::MachineType& type) const {
  auto available = coordination::capacity_of(type);
  for (const auto& [key, task] : worker.tasks()) {
    const JobSpec* spec = world_.users.spec(key.first.job);
    if (task.stage != FakeWorker::Stage::exited && spec != nullptr) {
      available -= coordination::needs_of(*spec);
    }
  }
  return available;
}

}  // namespace larkroad::sim
