#include "coordination/scaling/fleet_usage.hpp"

#include <map>
#include <string>

#include "log.hpp"

namespace larkroad::coordination {
namespace {

struct TypeUsage {
  int up = 0;
  int booting = 0;
  int idle = 0;
  Resources capacity;
  Resources placed;
  Resources running;
};

struct QueueDepth {
  int jobs = 0;
  std::uint32_t tasks = 0;
};

void add_machine(const ClusterState& cluster, const Machine& machine, TypeUsage& usage) {
  if (!machine.has_reported) {
    ++usage.booting;
    return;
  }
  ++usage.up;
  if (machine.tasks.empty()) ++usage.idle;
  usage.capacity += machine.capacity;
  usage.placed += machine.used;
  for (const auto& id : machine.tasks) {
    const Job* job = cluster.job(id.job);
    if (job != nullptr && job->placements.at(id.task).running_since >= 0) {
      usage.running += needs_of(job->spec);
    }
  }
}

std::map<std::string, TypeUsage> usage_by_type(const ClusterState& cluster) {
  std::map<std::string, TypeUsage> by_type;
  for (const auto& [name, machine] : cluster.machines()) {
    add_machine(cluster, machine, by_type[machine.type + (machine.spot ? "/spot" : "")]);
  }
  return by_type;
}

std::map<std::string, QueueDepth> queue_depth_by_class(const ClusterState& cluster) {
  std::map<std::string, QueueDepth> by_class;
  for (const auto& [id, job] : cluster.jobs()) {
    if (job->waiting() == 0) continue;
    QueueDepth& depth = by_class[job->spec.job_class];
    ++depth.jobs;
    depth.tasks += job->waiting();
  }
  return by_class;
}

}  // namespace

void log_fleet_usage(const ClusterState& cluster, LeaderActivity& activity) {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  for (const auto& [type, usage] : usage_by_type(cluster)) {
    spdlog::debug(
        "fleet usage: type={} up={} booting={} idle={} gpus_running={:.0f} gpus_placed={:.0f} "
        "gpus={:.0f} cpus_running={:.0f} cpus_placed={:.0f} cpus={:.0f}",
        type, usage.up, usage.booting, usage.idle, usage.running.gpus, usage.placed.gpus,
        usage.capacity.gpus, usage.running.cpus, usage.placed.cpus, usage.capacity.cpus);
  }
  for (const auto& [job_class, depth] : queue_depth_by_class(cluster)) {
    spdlog::debug("queue depth: class={} jobs={} tasks={}", job_class, depth.jobs, depth.tasks);
  }
  spdlog::debug(
      "leader activity: scheduling_cycles={} scheduling_ms={:.1f} scaling_ms={:.1f} "
      "heartbeats={} reported_tasks={} command_calls={}",
      activity.scheduling_cycles, activity.scheduling_time * 1e3, activity.scaling_time * 1e3,
      activity.heartbeats, activity.reported_tasks, activity.direct_command_calls);
  activity = {};
}

}  // namespace larkroad::coordination
