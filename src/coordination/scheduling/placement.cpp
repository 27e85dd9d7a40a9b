#include "coordination/scheduling/placement.hpp"

#include <algorithm>
#include <tuple>

namespace larkroad::coordination {
namespace {

// What it costs to take room from a more important class, in reports.
constexpr double kDisplacedReports = 1;
// What it costs to block all GPUs of a machine, in reports.
constexpr double kBlockedReports = 4;
// What it costs to go back to a machine on which the job has failed, in reports.
constexpr double kFailedReports = 16;
// What it costs to put a replica beside another of its service, in seconds: more than any
// difference in fit, less than most images take.
constexpr Seconds kSharedMachineSeconds = 1;
// The cost of a machine that can't take the task.
constexpr double kImpossible = -1;

using Offer = std::pair<double, MachineView*>;

bool dearer(const Offer& a, const Offer& b) {
  return std::tie(a.first, a.second->machine->name) > std::tie(b.first, b.second->machine->name);
}

double part(double left, double all) { return all > 0 ? left / all : 0; }

}  // namespace

Choice MachineChooser::choose(const Job& job, const std::vector<std::uint32_t>& tasks,
                              const PlacementPolicy& policy) {
  const auto zones = view_.live_zones(job, tasks);
  if (!zones) return {};
  const auto replicas = replicas_of(job);
  if (!job.spec.one_zone) return choose_in({job, policy, "", replicas}, tasks, *zones).choice;
  const std::string live_zone = zones->empty() ? "" : zones->begin()->first;
  if (!live_zone.empty() || tasks.size() <= 1) {
    return choose_in({job, policy, live_zone, replicas}, tasks, *zones).choice;
  }
  // All in one zone, none chosen yet: the zone that takes the most, and of those the cheapest.
  Zoned best;
  for (const auto& zone : view_.cluster().settings().zones) {
    Zoned next = choose_in({job, policy, zone, replicas}, tasks, {});
    const bool better = next.choice.size() > best.choice.size() ||
                        (next.choice.size() == best.choice.size() && next.cost < best.cost);
    if (better) std::swap(best, next);
    release(job, next.choice);
  }
  return best.choice;
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

MachineChooser::Zoned MachineChooser::choose_in(Request request,
                                                const std::vector<std::uint32_t>& tasks,
                                                ZoneCounts in_zone) {
  const JobSpec& spec = request.job.spec;
  std::vector<Offer> offers;
  for (MachinePool& pool : view_.pools()) {
    if (!request.zone.empty() && pool.zone != request.zone) continue;
    if (!allows(spec, *pool.type, pool.zone, pool.spot)) continue;
    for (MachineView* machine : pool.open) {
      ++looked_at_;
      const double price = offer(request, *machine);
      if (price >= 0) offers.emplace_back(price, machine);
    }
  }
  std::make_heap(offers.begin(), offers.end(), dearer);
  Zoned out;
  const std::uint32_t zone_most = (spec.tasks + 1) / 2;
  while (out.choice.size() < tasks.size() && !offers.empty()) {
    std::pop_heap(offers.begin(), offers.end(), dearer);
    const auto [price, machine] = offers.back();
    offers.pop_back();
    const std::string& zone = view_.pool_of(*machine).zone;
    if (spec.spread && in_zone[zone] >= zone_most) continue;
    // What has been taken meanwhile may have made it dearer, or impossible.
    const double present = offer(request, *machine);
    if (present < 0) continue;
    if (present > price && !offers.empty() && present > offers.front().first) {
      offers.emplace_back(present, machine);
      std::push_heap(offers.begin(), offers.end(), dearer);
      continue;
    }
    view_.take(request.job, *machine);
    ++in_zone[zone];
    out.cost += present;
    if (spec.is_service()) ++request.replicas[machine->machine];
    out.choice.emplace_back(machine, tasks[out.choice.size()]);
    const double again = offer(request, *machine);
    if (again >= 0) {
      offers.emplace_back(again, machine);
      std::push_heap(offers.begin(), offers.end(), dearer);
    }
  }
  return out;
}

// The cost of one more task on a machine.
double MachineChooser::offer(const Request& request, MachineView& machine) const {
  if (!machine.room.fits(needs_of(request.job.spec))) return kImpossible;
  const double lost = displaced(request, machine);
  if (lost < 0) return kImpossible;
  const Seconds heartbeat = view_.cluster().settings().heartbeat_interval_s;
  return cost(request, machine) + lost * heartbeat * kDisplacedReports;
}

// What placing a task here costs, in seconds of somebody's time.
double MachineChooser::cost(const Request& request, MachineView& machine) const {
  const Job& job = request.job;
  const MachinePool& pool = view_.pool_of(machine);
  const Seconds heartbeat = view_.cluster().settings().heartbeat_interval_s;
  double out = view_.image_wait(job, machine);
  // Work that needs no GPU leaves the machines that have some to work that does, unless it would
  // wait for its image elsewhere.
  if (job.spec.gpus == 0 && pool.type->gpus > 0) {
    out += heartbeat * (1 + kBlockedReports * view_.blocked_gpus(job, machine));
  }
  // Another machine tells whether the job or the machine is at fault.
  if (job.failed_machines.contains(machine.machine->name)) out += heartbeat * kFailedReports;
  // The loss of a machine then takes few replicas of a service.
  if (const auto it = request.replicas.find(machine.machine); it != request.replicas.end()) {
    out += kSharedMachineSeconds * it->second;
  }
  // Spot machines first: what may not use them has only the others.
  if (job.spec.spot && !pool.spot) out += heartbeat;
  // Best fit: the less room remains, the better the rest of the fleet can take large tasks.
  Resources rest = machine.room;
  rest -= needs_of(job.spec);
  const Resources& all = machine.machine->capacity;
  return out + (part(rest.cpus, all.cpus) + part(rest.memory_gb, all.memory_gb)) / 2;
}

// How much room for more important classes a task of this job would take here; negative when what
// is left would be less than what may come.
double MachineChooser::displaced(const Request& request, const MachineView& machine) const {
  double out = 0;
  for (const ClassReserve& reserve : view_.reserves()) {
    if (reserve.spec->priority >= request.policy.priority || !reserve.allowed[machine.pool]) {
      continue;
    }
    const double loss = CycleView::lost_fits(reserve, request.job, machine);
    const bool short_of_it = loss > 0 && reserve.fits - loss < reserve.missing;
    if (short_of_it && !request.policy.ignores_reserves) return kImpossible;
    out += loss;
  }
  return out;
}

}  // namespace larkroad::coordination
