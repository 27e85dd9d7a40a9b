#include "coordination/scheduling/cycle_view.hpp"

#include <algorithm>
#include <tuple>

#include "coordination/cluster_state/planning_horizon.hpp"
#include "coordination/scheduling/forecast.hpp"
#include "coordination/scheduling/job_queue.hpp"

namespace larkroad::coordination {
namespace {

// The largest fraction of the capacity usable by a class that may be reserved for its expected
// arrivals.
constexpr double kMaxReserveRatio = 0.5;
// A machine that has sent no heartbeat for this fraction of its lease gets no new tasks, even if it
// answers calls: answers do not renew the lease, so its tasks may end soon.
constexpr double kMaxHeartbeatAgeLeases = 1.0 / 2;

}  // namespace

void subtract_needs(Resources& available, const Resources& each, double count) {
  available.cpus -= each.cpus * count;
  available.gpus -= each.gpus * count;
  available.memory_gb -= each.memory_gb * count;
}

CycleView::CycleView(ClusterState& cluster, const GangReservations& reservations, Seconds now)
    : cluster_(cluster), now_(now) {
  add_machines();
  add_open_machines();
  add_gpu_needs();
  for (const auto& [job, reservation] : reservations.all()) {
    for (const auto& [name, count] : reservation.tasks) {
      if (MachineView* view = find(name)) subtract_needs(view->available, reservation.each, count);
    }
  }
  add_reserves();
}

void CycleView::add_machines() {
  machines_.reserve(cluster_.machines().size());
  std::map<std::tuple<const MachineType*, std::string, bool>, size_t> pool_of;
  const Seconds max_heartbeat_age = cluster_.settings().lease_s * kMaxHeartbeatAgeLeases;
  for (auto& [name, machine] : cluster_.machines()) {
    const MachineType* type = cluster_.type(machine.type);
    if (type == nullptr || !machine.usable(now_, max_heartbeat_age)) continue;
    const auto [at, added] = pool_of.try_emplace({type, machine.zone, machine.spot}, pools_.size());
    if (added) pools_.push_back({type, machine.zone, machine.spot, {}, {}});
    machines_.push_back({&machine, at->second, machine.available(), {}, {}});
  }
}

void CycleView::add_open_machines() {
  const auto smallest = smallest_waiting_need(cluster_);
  by_name_.reserve(machines_.size());
  for (MachineView& view : machines_) {
    MachinePool& pool = pools_[view.pool];
    pool.machines.push_back(&view);
    if (smallest && view.available.fits(*smallest)) pool.open.push_back(&view);
    by_name_[view.machine->name] = &view;
  }
}

void CycleView::add_gpu_needs() {
  for (const auto& [id, job] : cluster_.jobs()) {
    if (job->spec.gpus <= 0 || job->waiting() == 0) continue;
    const Resources need = needs_of(job->spec);
    const bool known = std::any_of(gpu_needs_.begin(), gpu_needs_.end(),
                                   [&](const GpuNeed& other) { return other.need == need; });
    if (!known) gpu_needs_.push_back({allowed_pools(job->spec), need});
  }
}

void CycleView::add_reserves() {
  for (const auto& expected : forecast(cluster_, now_)) {
    ClassReserve reserve{expected.spec, expected.missing(), 0, allowed_pools(*expected.spec), {}};
    const Resources need = needs_of(*expected.spec);
    double fits_when_empty = 0;
    for (const MachineView& view : machines_) {
      if (!reserve.allowed[view.pool]) continue;
      reserve.fits += view.available.max_fitting(need);
      fits_when_empty += view.machine->capacity.max_fitting(need);
    }
    // Lower-priority jobs keep a share of the machines however much is expected to arrive.
    reserve.missing = std::min(reserve.missing, fits_when_empty * kMaxReserveRatio);
    for (const auto& [team, wanted] : expected.wanted_by_team) {
      const auto found = expected.current_by_team.find(team);
      const double current = found == expected.current_by_team.end() ? 0 : found->second;
      reserve.missing_by_team[team] = std::max(0.0, wanted - current);
    }
    reserves_.push_back(std::move(reserve));
  }
}

MachineView* CycleView::find(const std::string& machine) const {
  const auto it = by_name_.find(machine);
  return it == by_name_.end() ? nullptr : it->second;
}

std::vector<bool> CycleView::allowed_pools(const JobSpec& spec) const {
  std::vector<bool> out;
  out.reserve(pools_.size());
  for (const MachinePool& pool : pools_) {
    out.push_back(allows(spec, *pool.type, pool.zone, pool.spot));
  }
  return out;
}

Resources CycleView::team_quota_left(const std::string& team) const {
  const auto taken = taken_quota_.find(team);
  return quota_left(cluster_, team, taken == taken_quota_.end() ? Resources{} : taken->second);
}

std::uint32_t CycleView::tasks_within_quota(const Job& job, protocol::Priority priority) const {
  Resources left = team_quota_left(job.spec.team);
  for (const ClassReserve& reserve : reserves_) {
    if (reserve.spec->priority >= priority) continue;
    const auto missing = reserve.missing_by_team.find(job.spec.team);
    if (missing == reserve.missing_by_team.end()) continue;
    left.cpus -= missing->second * reserve.spec->cpus;
    left.gpus -= missing->second * reserve.spec->gpus;
  }
  return tasks_within(left, job.spec);
}

void CycleView::take_quota(const Job& job, double tasks) {
  subtract_needs(taken_quota_[job.spec.team], needs_of(job.spec), -tasks);
}

void CycleView::take(const Job& job, MachineView& view) {
  for (ClassReserve& reserve : reserves_) {
    if (reserve.allowed[view.pool]) reserve.fits -= lost_fits(reserve, job, view);
  }
  view.available -= needs_of(job.spec);
  if (view.fetching && !view.machine->images.contains(job.spec.image)) {
    (*view.fetching)[job.spec.image] = job.spec.image_gb;
  }
}

void CycleView::release(const Job& job, MachineView& view) {
  view.available += needs_of(job.spec);
  view.fetching.reset();  // looked up again when needed
  for (ClassReserve& reserve : reserves_) {
    if (reserve.allowed[view.pool]) reserve.fits += lost_fits(reserve, job, view);
  }
}

void CycleView::free_reserved(const GangReservations::Reservation& reservation) {
  for (const auto& [name, count] : reservation.tasks) {
    if (MachineView* view = find(name)) {
      subtract_needs(view->available, reservation.each, -static_cast<double>(count));
    }
  }
}

std::optional<ZoneCounts> CycleView::live_zones(const Job& job,
                                                const std::vector<std::uint32_t>& migrating) const {
  ZoneCounts out;
  if (!job.spec.one_zone && !job.spec.spread) return out;
  for (const auto& [task, placement] : job.placements) {
    if (std::find(migrating.begin(), migrating.end(), task) != migrating.end()) continue;
    if (const Machine* machine = cluster_.find_machine(placement.machine)) ++out[machine->zone];
  }
  if (out.contains("")) return std::nullopt;
  return out;
}

double CycleView::blocked_gpus(const Job& job, const MachineView& view) const {
  const Resources& capacity = view.machine->capacity;
  if (job.spec.gpus > 0 || capacity.gpus <= 0) return 0;
  Resources rest = view.available;
  rest -= needs_of(job.spec);
  double out = 0;
  for (const GpuNeed& gpu : gpu_needs_) {
    if (!gpu.allowed[view.pool]) continue;
    const double blocked =
        static_cast<double>(view.available.max_fitting(gpu.need)) - rest.max_fitting(gpu.need);
    out = std::max(out, blocked * gpu.need.gpus / capacity.gpus);
  }
  return out;
}

std::map<std::string, double> CycleView::images_being_fetched(const Machine& machine) const {
  std::map<std::string, double> out;
  for (const TaskId& id : machine.tasks) {
    const Job* job = cluster_.job(id.job);
    if (job == nullptr || machine.images.contains(job->spec.image)) continue;
    out[job->spec.image] = job->spec.image_gb;
  }
  return out;
}

Seconds CycleView::image_wait(const Job& job, MachineView& view) const {
  if (view.machine->images.contains(job.spec.image)) return 0;
  if (!view.fetching) view.fetching = images_being_fetched(*view.machine);
  const double rate = pool_of(view).type->fetch_gb_per_s;
  if (rate <= 0) return 0;
  double gb = view.fetching->contains(job.spec.image) ? 0 : job.spec.image_gb;
  for (const auto& [image, size] : *view.fetching) gb += size;
  return within_planning_horizon(gb / rate);
}

double CycleView::lost_fits(const ClassReserve& reserve, const Job& job, const MachineView& view) {
  const Resources need = needs_of(*reserve.spec);
  Resources rest = view.available;
  rest -= needs_of(job.spec);
  return static_cast<double>(view.available.max_fitting(need)) - rest.max_fitting(need);
}

}  // namespace larkroad::coordination
