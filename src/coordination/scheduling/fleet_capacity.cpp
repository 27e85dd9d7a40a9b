#include "coordination/scheduling/fleet_capacity.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace larkroad::coordination {
namespace {

// More important work of a team is taken to leave the rest at least this part of its capacity.
constexpr double kLeastShareLeft = 0.1;

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
    for (size_t priority = 0; priority < kPriorities; ++priority) {
      pool.used[priority] += machine.used_by_priority[priority];
    }
  }
}

// Counted by whole tasks on whole machines: what a machine has in plenty is of no use where another
// resource is short.
double FleetCapacity::slots(const JobSpec& spec) const {
  const Resources need = needs_of(spec);
  double all = 0;
  double left = 0;
  for (const Pool& pool : pools_) {
    if (!allows(spec, *pool.type, pool.zone, pool.spot)) continue;
    const double when_empty = pool.machines * capacity_of(*pool.type).times(need);
    Resources room = pool.capacity;
    for (size_t priority = 0; priority < static_cast<size_t>(spec.priority); ++priority) {
      room -= pool.used[priority];
    }
    all += when_empty;
    left += std::min<double>(when_empty, room.times(need));
  }
  return std::max(left, all * kLeastShareLeft);
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
