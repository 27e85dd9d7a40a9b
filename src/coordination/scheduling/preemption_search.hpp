/// The search for tasks whose preemption frees enough capacity for one job.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/scheduling/cycle_view.hpp"
#include "coordination/scheduling/machine_offers.hpp"
#include "coordination/scheduling/preemption_candidates.hpp"
#include "coordination/scheduling/preemption_rights.hpp"

namespace larkroad::coordination {

/// Finds machines on which the job's tasks would fit, counting capacity that is being released, and
/// the cheapest victims where that is not enough. Preemptions and claims are recorded as changes
/// that the caller keeps or undoes.
class PreemptionSearch {
 public:
  /// `wanted`: how many tasks of the job need capacity. `reservation`: the job's own; null when it
  /// has none.
  PreemptionSearch(CycleView& view, PreemptionCandidates& candidates, const Job& job,
                   const PreemptionRights& rights, std::uint32_t wanted,
                   const GangReservations::Reservation* reservation);

  /// Preempts less important tasks of the job's own team until the job fits the team's limit.
  /// Returns whether it does.
  bool free_quota(PreemptionChanges& changes);
  /// Claims machines for all wanted tasks in the zone, or in any zone when none is given. None when
  /// there are not enough machines.
  std::optional<std::vector<MachineView*>> claim_machines(const std::optional<std::string>& zone,
                                                          ZoneCounts zone_counts,
                                                          PreemptionChanges& changes);
  size_t machines_considered() const { return machines_considered_; }

 private:
  /// The cost of claiming capacity for one more task on a machine, in seconds, and its victims.
  struct ClaimCost {
    double seconds = 0;
    std::vector<Victim> victims;
  };
  bool may_preempt(const PreemptionCandidate& candidate) const;
  Victim victim_of(PreemptionCandidate& candidate) const;
  std::vector<Victim> victims_of(const std::vector<PreemptionCandidate*>& candidates) const;
  void preempt(const std::vector<Victim>& victims, PreemptionChanges& changes);
  bool quota_fits();
  Resources claimable_on(const MachineView& machine) const;
  bool could_fit(const MachineView& machine) const;
  std::optional<ClaimCost> claim_cost(MachineView& machine) const;
  MachineOffers offers_in(const std::optional<std::string>& zone);

  CycleView& view_;
  PreemptionCandidates& candidates_;
  const Job& job_;
  const PreemptionRights& rights_;
  Resources need_;
  std::uint32_t wanted_;
  Seconds time_left_;  // until the job must start for its next due time
  const GangReservations::Reservation* reservation_;
  size_t machines_considered_ = 0;
};

}  // namespace larkroad::coordination
