#include "coordination/scheduling/preemption.hpp"

#include <algorithm>
#include <utility>

#include "coordination/scheduling/due_times.hpp"
#include "coordination/scheduling/quota.hpp"

namespace larkroad::coordination {
namespace {

// Whether the job has waited for more than half the time from its submission to the latest start
// for its next due time.
bool is_past_half_of_wait(const ClusterState& cluster, const Job& job, Seconds now) {
  const auto start_by = next_start_by(cluster, job, now);
  return start_by && now - job.submitted > (*start_by - job.submitted) / 2;
}

}  // namespace

const std::set<std::string>& Preemptor::guaranteed() {
  if (!guaranteed_) guaranteed_ = within_guarantee(view_.cluster());
  return *guaranteed_;
}

// Candidates are collected on first use, as most cycles preempt nothing.
PreemptionCandidates& Preemptor::candidates() {
  if (!candidates_) candidates_.emplace(view_, guaranteed());
  return *candidates_;
}

bool Preemptor::may_preempt_lower(const Job& job) const {
  if (job.spec.priority >= protocol::Priority::low) return false;
  if (job.spec.priority != protocol::Priority::normal) return true;
  return is_past_half_of_wait(view_.cluster(), job, view_.now());
}

PreemptionRights Preemptor::rights_of(const Job& job) {
  return {may_preempt_lower(job), guaranteed().contains(job.id()), job.spec.team};
}

bool Preemptor::already_failed(const FailedSearch& search) const {
  return std::any_of(
      failed_searches_.begin(), failed_searches_.end(), [&](const FailedSearch& failed) {
        return failed.need.covers(search.need) && failed.wanted <= search.wanted &&
               failed.rights.cover(search.rights) && (search.one_zone || !failed.one_zone) &&
               (search.spread || !failed.spread);
      });
}

// The zones to be tried one by one; a single empty entry stands for all zones together.
std::vector<std::optional<std::string>> Preemptor::zones_for(const Job& job,
                                                             const ZoneCounts& live) const {
  if (!job.spec.one_zone) return {std::nullopt};
  if (!live.empty()) return {live.begin()->first};
  const auto& zones = view_.cluster().settings().zones;
  return {zones.begin(), zones.end()};
}

void Preemptor::claim(const Job& job, const std::vector<MachineView*>& machines) {
  // A claim is renewed in every cycle, so it replaces the reservation.
  if (const GangReservations::Reservation* own = reservations_.find(job.id())) {
    view_.free_reserved(*own);
    reservations_.release(job.id());
  }
  // The part of the claim that is already free is also withheld from less important jobs.
  const Resources need = needs_of(job.spec);
  for (MachineView* machine : machines) {
    machine->releasing += need;
    machine->available -= need;
  }
  view_.take_quota(job, static_cast<double>(machines.size()));
}

void Preemptor::append_preemptions(const Job& for_job, const PreemptionChanges& changes,
                                   std::vector<Preemption>& out) {
  for (const Victim& victim : changes.victims) {
    const PreemptionCandidate& candidate = *victim.candidate;
    out.push_back({candidate.job->id(), candidate.placement->task, victim.save, for_job.id()});
  }
}

// Claims machines for the job in the first zone that fits all of it. Returns whether there is one.
bool Preemptor::claim_zone(const Job& job, PreemptionSearch& search, const ZoneCounts& live,
                           const PreemptionChanges& quota_changes, std::vector<Preemption>& out) {
  for (const auto& zone : zones_for(job, live)) {
    // Preemptions in a zone that does not fit the whole job are undone.
    PreemptionChanges zone_changes = candidates().begin_changes();
    if (const auto machines = search.claim_machines(zone, live, zone_changes)) {
      claim(job, *machines);
      append_preemptions(job, quota_changes, out);
      append_preemptions(job, zone_changes, out);
      return true;
    }
    candidates().undo(zone_changes);
  }
  return false;
}

void Preemptor::free_capacity(const Job& job, const PreemptionRights& rights,
                              std::vector<Preemption>& out) {
  PreemptionCandidates& preemptible = candidates();
  const std::uint32_t wanted = job.spec.is_gang() ? job.waiting() : 1;
  if (wanted == 0) return;
  const GangReservations::Reservation* own = reservations_.find(job.id());
  const FailedSearch attempt{{view_.allowed_pools(job.spec), needs_of(job.spec), job.spec.priority},
                             rights,
                             wanted,
                             job.spec.one_zone,
                             job.spec.spread};
  if (own == nullptr && already_failed(attempt)) return;
  const auto live = view_.live_zones(job);
  if (!live) return;

  PreemptionSearch search(view_, preemptible, job, rights, wanted, own);
  PreemptionChanges quota_changes = preemptible.begin_changes();
  if (!search.free_quota(quota_changes)) {
    preemptible.undo(quota_changes);
    return;
  }
  const bool found = claim_zone(job, search, *live, quota_changes, out);
  machines_considered_ += search.machines_considered();
  if (found) return;
  preemptible.undo(quota_changes);
  // A job with live tasks may be restricted to fewer zones, so its failure does not rule out
  // others.
  if (live->empty() && own == nullptr) failed_searches_.push_back(attempt);
}

}  // namespace larkroad::coordination
