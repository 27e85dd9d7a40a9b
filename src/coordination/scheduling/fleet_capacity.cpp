#include "coordination/scheduling/fleet_capacity.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace larkroad::coordination {
namespace {

// Higher-priority jobs are assumed to leave at least this fraction of the capacity to the others.
constexpr double kMinShareLeft = 0.1;

}  // namespace

FleetCapacity::FleetCapacity(const ClusterState& cluster) : cluster_(cluster) {
  std::map<std::tuple<const MachineType*, std::string, bool>, size_t> pool_of;
  for (const auto& [name, machine] : cluster.machines()) {
    const MachineType* type = cluster.type(machine.type);
    if (type == nullptr || machine.being_released || machine.lease_expired || machine.quarantined) {
      continue;
    }
    const auto [at, added] = pool_of.try_emplace({type, machine.zone, machine.spot}, pools_.size());
    if (added) pools_.push_back({type, machine.zone, machine.spot, 0, {}, {}});
    Pool& pool = pools_[at->second];
    pool.machines += 1;
    pool.capacity += machine.capacity;
    for (size_t priority = 0; priority < kPriorityCount; ++priority) {
      pool.used[priority] += machine.used_by_priority[priority];
    }
  }
}

// Counts whole tasks on whole machines, as a surplus of one resource cannot make up for a shortage
// of another.
double FleetCapacity::slots(const JobSpec& spec) const {
  const Resources need = needs_of(spec);
  double all = 0;
  double left = 0;
  for (const Pool& pool : pools_) {
    if (!allows(spec, *pool.type, pool.zone, pool.spot)) continue;
    const double when_empty = pool.machines * capacity_of(*pool.type).max_fitting(need);
    Resources available = pool.capacity;
    for (size_t priority = 0; priority < static_cast<size_t>(spec.priority); ++priority) {
      available -= pool.used[priority];
    }
    all += when_empty;
    left += std::min<double>(when_empty, available.max_fitting(need));
  }
  return std::max(left, all * kMinShareLeft);
}

double FleetCapacity::fleet_share(const JobSpec& spec) const {
  const double slot_count = slots(spec);
  return slot_count > 1 ? 1 / slot_count : 1;
}

double FleetCapacity::quota_share(const JobSpec& spec) const {
  const TeamSettings* team = cluster_.settings().team(spec.team);
  if (team == nullptr) return 1;
  double share = 0;
  if (team->cpus_max > 0) share = std::max(share, spec.cpus / team->cpus_max);
  if (team->gpus_max > 0) share = std::max(share, spec.gpus / team->gpus_max);
  return std::min(share, 1.0);
}

}  // namespace larkroad::coordination
