#include "coordination/scheduling/placement.hpp"

#include <utility>

namespace larkroad::coordination {
namespace {

// The cost of displacing one task of a higher-priority class, in heartbeat intervals.
constexpr double kDisplacementCostHeartbeats = 1;
// The cost of blocking all GPUs of a machine, in heartbeat intervals.
constexpr double kBlockedGpusCostHeartbeats = 4;
// The cost of a machine on which the job has failed before, in heartbeat intervals.
constexpr double kFailedMachineCostHeartbeats = 16;
// The cost of placing a replica on a machine with another replica of its service, in seconds: more
// than any difference in fit, less than the fetch of most images.
constexpr Seconds kSharedMachineCostS = 1;

double ratio(double available, double total) { return total > 0 ? available / total : 0; }

}  // namespace

Choice MachineChooser::choose(const Job& job, const std::vector<std::uint32_t>& tasks,
                              const PlacementPolicy& policy) {
  const auto zones = view_.live_zones(job, tasks);
  if (!zones) return {};
  const auto replicas = replicas_of(job);
  if (!job.spec.one_zone) {
    return choose_machines({job, policy, std::nullopt, replicas}, tasks, *zones).choice;
  }
  if (!zones->empty()) {
    return choose_machines({job, policy, zones->begin()->first, replicas}, tasks, *zones).choice;
  }
  if (tasks.size() <= 1) {
    return choose_machines({job, policy, std::nullopt, replicas}, tasks, *zones).choice;
  }
  return choose_zone(job, tasks, policy, replicas).choice;
}

// Chooses the zone for a job that must run in one zone and has no live task yet: the zone that fits
// the most tasks, and among equals the cheapest.
MachineChooser::CostedChoice MachineChooser::choose_zone(
    const Job& job, const std::vector<std::uint32_t>& tasks, const PlacementPolicy& policy,
    const std::map<const Machine*, int>& replicas) {
  CostedChoice best;
  for (const auto& zone : view_.cluster().settings().zones) {
    CostedChoice next = choose_machines({job, policy, zone, replicas}, tasks, {});
    const bool better = next.choice.size() > best.choice.size() ||
                        (next.choice.size() == best.choice.size() && next.cost < best.cost);
    if (better) std::swap(best, next);
    release(job, next.choice);
  }
  return best;
}

void MachineChooser::release(const Job& job, const Choice& choice) {
  for (const auto& [machine, task] : choice) view_.release(job, *machine);
}

std::map<const Machine*, int> MachineChooser::replicas_of(const Job& job) const {
  std::map<const Machine*, int> out;
  if (!job.spec.is_service()) return out;
  for (const auto& [task, placement] : job.placements) {
    if (const Machine* machine = view_.cluster().find_machine(placement.machine)) ++out[machine];
  }
  return out;
}

MachineOffers MachineChooser::offers_for(const Request& request) {
  MachineOffers out;
  for (MachinePool& pool : view_.pools()) {
    if (request.zone && pool.zone != *request.zone) continue;
    if (!allows(request.job.spec, *pool.type, pool.zone, pool.spot)) continue;
    for (MachineView* machine : pool.open) {
      ++machines_considered_;
      if (const auto cost = offer_cost(request, *machine)) out.add({*cost, machine});
    }
  }
  return out;
}

MachineChooser::CostedChoice MachineChooser::choose_machines(
    Request request, const std::vector<std::uint32_t>& tasks, ZoneCounts zone_counts) {
  const JobSpec& spec = request.job.spec;
  MachineOffers offers = offers_for(request);
  CostedChoice out;
  while (out.choice.size() < tasks.size() && !offers.empty()) {
    const auto [offered, machine] = offers.pop_cheapest();
    const std::string& zone = view_.pool_of(*machine).zone;
    if (spec.spread && zone_counts[zone] >= max_tasks_per_zone(spec)) continue;
    // Tasks placed since the offer was made may have raised its cost or filled the machine.
    const auto cost = offer_cost(request, *machine);
    if (!cost) continue;
    if (*cost > offered && offers.has_cheaper_than(*cost)) {
      offers.add({*cost, machine});
      continue;
    }
    view_.take(request.job, *machine);
    ++zone_counts[zone];
    out.cost += *cost;
    if (spec.is_service()) ++request.replicas[machine->machine];
    out.choice.emplace_back(machine, tasks[out.choice.size()]);
    if (const auto next_cost = offer_cost(request, *machine)) offers.add({*next_cost, machine});
  }
  return out;
}

// The cost of one more task on a machine; none when it cannot take it.
std::optional<double> MachineChooser::offer_cost(const Request& request,
                                                 MachineView& machine) const {
  if (!machine.available.fits(needs_of(request.job.spec))) return std::nullopt;
  const auto displaced = displaced_tasks(request, machine);
  if (!displaced) return std::nullopt;
  const Seconds heartbeat = view_.cluster().settings().heartbeat_interval_s;
  const double cost =
      score(request, machine) + *displaced * heartbeat * kDisplacementCostHeartbeats;
  // When a task fills a machine exactly, rounding errors may leave a score just below 0: such a
  // machine is not offered.
  if (cost < 0) return std::nullopt;
  return cost;
}

// The cost of placing a task on the machine, in seconds of delay to this or other jobs.
double MachineChooser::score(const Request& request, MachineView& machine) const {
  const Job& job = request.job;
  const MachinePool& pool = view_.pool_of(machine);
  const Seconds heartbeat = view_.cluster().settings().heartbeat_interval_s;
  double out = view_.image_wait(job, machine);
  // Jobs without GPUs leave GPU machines to GPU jobs, unless they would have to wait longer for
  // their image on other machines.
  if (job.spec.gpus == 0 && pool.type->gpus > 0) {
    out += heartbeat * (1 + kBlockedGpusCostHeartbeats * view_.blocked_gpus(job, machine));
  }
  // Trying another machine shows whether the job or the machine is at fault.
  if (job.failed_machines.contains(machine.machine->name)) {
    out += heartbeat * kFailedMachineCostHeartbeats;
  }
  // Spreading replicas over machines limits how many are lost with one machine.
  if (const auto it = request.replicas.find(machine.machine); it != request.replicas.end()) {
    out += kSharedMachineCostS * it->second;
  }
  // Spot machines are preferred, as jobs that may not use them depend on the on-demand machines.
  if (job.spec.spot && !pool.spot) out += heartbeat;
  // Best fit: filling machines up leaves larger gaps on the others for large tasks.
  Resources rest = machine.available;
  rest -= needs_of(job.spec);
  const Resources& capacity = machine.machine->capacity;
  return out + (ratio(rest.cpus, capacity.cpus) + ratio(rest.memory_gb, capacity.memory_gb)) / 2;
}

// How many fewer tasks of higher-priority classes would fit with a task of this job on the machine;
// none when that would leave less than their reserve.
std::optional<double> MachineChooser::displaced_tasks(const Request& request,
                                                      const MachineView& machine) const {
  double out = 0;
  for (const ClassReserve& reserve : view_.reserves()) {
    if (reserve.spec->priority >= request.policy.priority || !reserve.allowed[machine.pool]) {
      continue;
    }
    const double lost = CycleView::lost_fits(reserve, request.job, machine);
    const bool below_reserve = lost > 0 && reserve.fits - lost < reserve.missing;
    if (below_reserve && !request.policy.ignores_reserves) return std::nullopt;
    out += lost;
  }
  return out;
}

}  // namespace larkroad::coordination
