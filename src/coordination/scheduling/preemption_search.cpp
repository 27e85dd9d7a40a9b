#include "coordination/scheduling/preemption_search.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <tuple>

#include "coordination/scheduling/due_times.hpp"
#include "coordination/scheduling/quota.hpp"

namespace larkroad::coordination {
namespace {

// The assumed downtime of a replica when it is preempted, in heartbeat intervals.
constexpr double kReplicaDowntimeHeartbeats = 2;
// A checkpoint is saved only if that leaves at least this fraction of a heartbeat interval before
// the preempting job must start.
constexpr double kSaveMarginHeartbeats = 1.0 / 4;
// How many machines of a pool are compared among those that could take a task: the larger of a
// fixed number and a number per task. The rest of a large fleet is not considered.
constexpr size_t kMinOffersPerPool = 64;
constexpr size_t kOffersPerTask = 8;

}  // namespace

PreemptionSearch::PreemptionSearch(CycleView& view, PreemptionCandidates& candidates,
                                   const Job& job, const PreemptionRights& rights,
                                   std::uint32_t wanted,
                                   const GangReservations::Reservation* reservation)
    : view_(view),
      candidates_(candidates),
      job_(job),
      rights_(rights),
      need_(needs_of(job.spec)),
      wanted_(wanted),
      time_left_(next_start_by(view.cluster(), job, view.now()).value_or(kNoLimit) - view.now()),
      reservation_(reservation) {}

// Tasks of higher priority are never preempted to meet a guarantee: they would preempt this job in
// turn, and so on. At equal priority only tasks of teams without a guarantee are preempted: those
// teams come last in the queue, whereas another team's job might take the freed capacity first.
bool PreemptionSearch::may_preempt(const PreemptionCandidate& candidate) const {
  if (candidate.preempted) return false;
  const JobSpec& spec = job_.spec;
  const JobSpec& other = candidate.job->spec;
  // GPU tasks are preempted for a job without GPUs only if that job is urgent.
  if (spec.gpus <= 0 && other.gpus > 0 && spec.priority > protocol::Priority::high) return false;
  const auto priority = candidate.job->effective_priority();
  if (rights_.by_priority && priority > spec.priority) return true;
  if (!rights_.by_guarantee || other.team == spec.team || candidate.within_guarantee) return false;
  return priority > spec.priority || (priority == spec.priority && !candidate.team_has_guarantee);
}

Victim PreemptionSearch::victim_of(PreemptionCandidate& candidate) const {
  const JobSpec& spec = candidate.job->spec;
  const Placement& placement = *candidate.placement;
  const Seconds ran = placement.running_since < 0 ? 0 : view_.now() - placement.running_since;
  const Seconds heartbeat = view_.cluster().settings().heartbeat_interval_s;
  Seconds unsaved = spec.checkpoint_s > 0 ? std::fmod(ran, spec.checkpoint_s) : ran;
  // A replica loses no work, but it is down until it runs on another machine.
  if (spec.is_service()) unsaved = heartbeat * kReplicaDowntimeHeartbeats;
  const bool save = spec.checkpoint_s > 0 && unsaved > spec.save_s &&
                    spec.save_s + heartbeat * kSaveMarginHeartbeats <= time_left_;
  const double members = spec.is_gang() ? static_cast<double>(candidate.job->placements.size()) : 1;
  return {&candidate, (save ? spec.save_s : unsaved) * members, save};
}

// Orders victims by lowest priority, then by least lost time in whole heartbeat intervals, then by
// latest submission: if preemptions were spread evenly over similar jobs, none of them would
// finish.
std::vector<Victim> PreemptionSearch::victims_of(
    const std::vector<PreemptionCandidate*>& candidates) const {
  std::vector<Victim> out;
  for (PreemptionCandidate* candidate : candidates) {
    if (may_preempt(*candidate)) out.push_back(victim_of(*candidate));
  }
  const Seconds heartbeat = view_.cluster().settings().heartbeat_interval_s;
  const auto key = [heartbeat](const Victim& victim) {
    const Job& job = *victim.candidate->job;
    return std::make_tuple(-static_cast<int>(job.effective_priority()),
                           std::floor(victim.lost_seconds / heartbeat), -job.submitted,
                           victim.lost_seconds, std::cref(job.id()),
                           victim.candidate->placement->task);
  };
  std::sort(out.begin(), out.end(),
            [&](const Victim& a, const Victim& b) { return key(a) < key(b); });
  return out;
}

void PreemptionSearch::preempt(const std::vector<Victim>& victims, PreemptionChanges& changes) {
  for (const Victim& victim : victims) {
    // The task may already have been preempted with another member of its gang.
    if (!victim.candidate->preempted) candidates_.preempt(victim, changes);
  }
}

bool PreemptionSearch::quota_fits() {
  Resources left = view_.team_quota_left(job_.spec.team);
  left += candidates_.quota_releasing(job_.spec.team);
  return tasks_within(left, job_.spec) >= wanted_;
}

bool PreemptionSearch::free_quota(PreemptionChanges& changes) {
  if (quota_fits()) return true;
  for (const Victim& victim : victims_of(candidates_.of_team(job_.spec.team))) {
    if (quota_fits()) break;
    if (!victim.candidate->preempted) candidates_.preempt(victim, changes);
  }
  return quota_fits();
}

// Capacity that the job could use on the machine without further preemption.
Resources PreemptionSearch::claimable_on(const MachineView& machine) const {
  Resources available = machine.available;
  available += machine.releasing;
  if (reservation_ == nullptr) return available;
  const auto reserved = reservation_->tasks.find(machine.machine->name);
  if (reserved != reservation_->tasks.end()) {
    subtract_needs(available, reservation_->each, -static_cast<double>(reserved->second));
  }
  return available;
}

// Whether a task would fit if all preemptible tasks were stopped. A cheap check that rules out most
// machines.
bool PreemptionSearch::could_fit(const MachineView& machine) const {
  Resources available = claimable_on(machine);
  if (available.fits(need_)) return true;
  const MachineCandidates* on_machine = candidates_.on(machine);
  if (on_machine == nullptr) return false;
  const auto own = static_cast<size_t>(job_.spec.priority);
  for (size_t priority = own + 1; priority < kPriorityCount; ++priority) {
    available += on_machine->by_priority[priority];
  }
  if (rights_.by_guarantee) available += on_machine->without_guarantee[own];
  return available.fits(need_);
}

// None when preemption cannot free enough capacity on the machine.
std::optional<PreemptionSearch::ClaimCost> PreemptionSearch::claim_cost(
    MachineView& machine) const {
  const JobSpec& spec = job_.spec;
  ClaimCost out;
  const bool has_image = machine.machine->images.contains(spec.image);
  out.seconds = has_image ? 0 : fetch_time(spec, *view_.pool_of(machine).type);
  Resources available = claimable_on(machine);
  if (available.fits(need_)) return out;
  const MachineCandidates* on_machine = candidates_.on(machine);
  if (on_machine == nullptr) return std::nullopt;
  std::set<const Job*> gangs;
  for (const Victim& victim : victims_of(on_machine->candidates)) {
    const Job* job = victim.candidate->job;
    if (job->spec.is_gang() && !gangs.insert(job).second) continue;
    available += needs_of(job->spec);
    out.seconds += victim.lost_seconds;
    out.victims.push_back(victim);
    if (available.fits(need_)) return out;
  }
  return std::nullopt;
}

MachineOffers PreemptionSearch::offers_in(const std::optional<std::string>& zone) {
  const size_t max_pool_offers =
      std::max<size_t>(kMinOffersPerPool, static_cast<size_t>(wanted_) * kOffersPerTask);
  MachineOffers out;
  for (const MachinePool& pool : view_.pools()) {
    if (zone && pool.zone != *zone) continue;
    if (!allows(job_.spec, *pool.type, pool.zone, pool.spot)) continue;
    size_t pool_offers = 0;
    for (MachineView* machine : pool.machines) {
      if (pool_offers >= max_pool_offers) break;
      if (!could_fit(*machine)) continue;
      ++machines_considered_;
      const auto cost = claim_cost(*machine);
      if (!cost) continue;
      ++pool_offers;
      out.add({cost->seconds, machine});
    }
  }
  return out;
}

// Repeatedly claims the cheapest machine for one more task.
std::optional<std::vector<MachineView*>> PreemptionSearch::claim_machines(
    const std::optional<std::string>& zone, ZoneCounts zone_counts, PreemptionChanges& changes) {
  const JobSpec& spec = job_.spec;
  MachineOffers offers = offers_in(zone);
  std::vector<MachineView*> claimed;
  while (claimed.size() < wanted_ && !offers.empty()) {
    const auto [offered, machine] = offers.pop_cheapest();
    const std::string& machine_zone = view_.pool_of(*machine).zone;
    if (spec.spread && zone_counts[machine_zone] >= max_tasks_per_zone(spec)) continue;
    const auto cost = claim_cost(*machine);
    if (!cost) continue;
    if (cost->seconds > offered && offers.has_cheaper_than(cost->seconds)) {
      offers.add({cost->seconds, machine});
      continue;
    }
    preempt(cost->victims, changes);
    PreemptionCandidates::claim(*machine, need_, changes);
    ++zone_counts[machine_zone];
    claimed.push_back(machine);
    if (const auto next_cost = claim_cost(*machine)) offers.add({next_cost->seconds, machine});
  }
  if (claimed.size() != wanted_) return std::nullopt;
  return claimed;
}

}  // namespace larkroad::coordination
