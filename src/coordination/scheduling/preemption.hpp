/// The preemption stage of a scheduling cycle: frees capacity for a job that did not fit by
/// stopping less important tasks.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/scheduling/cycle_view.hpp"
#include "coordination/scheduling/preemption_candidates.hpp"
#include "coordination/scheduling/preemption_rights.hpp"
#include "coordination/scheduling/preemption_search.hpp"
#include "coordination/scheduling/unschedulable_need.hpp"

namespace larkroad::coordination {

/// A task to be stopped for another job.
struct Preemption {
  std::string job;
  std::uint32_t task = 0;
  bool save = false;    ///< the task is given time to save a checkpoint
  std::string for_job;  ///< the job that gets the capacity
};

/// Chooses preemptions for the jobs of one cycle, in the order of the queue.
class Preemptor {
 public:
  Preemptor(CycleView& view, GangReservations& reservations)
      : view_(view), reservations_(reservations) {}

  /// A job within its team's guarantee may preempt what other teams run beyond their guarantees at
  /// once, without first waiting for it to end.
  PreemptionRights rights_of(const Job& job);
  /// Whether the job may preempt tasks of lower priority. A job of normal priority must first wait
  /// for half the time between its submission and the latest start for its next due time, as
  /// capacity may become free without preemption.
  bool may_preempt_lower(const Job& job) const;

  /// Preempts less important tasks if that frees enough capacity for a job that did not fit, and
  /// claims that capacity and the team's quota: what the first victim frees must not go to less
  /// important jobs before the last victim has ended. Tasks that are already being stopped count as
  /// capacity about to be free, so that nothing is preempted twice for one need. For a gang, either
  /// all members get capacity or nothing is preempted.
  void free_capacity(const Job& job, const PreemptionRights& rights, std::vector<Preemption>& out);

  /// The machines considered, summed over all jobs: a measure of the cycle's cost.
  size_t machines_considered() const { return machines_considered_; }

 private:
  /// A search that found too little capacity, even with preemption.
  struct FailedSearch {
    UnschedulableNeed need;
    PreemptionRights rights;
    std::uint32_t wanted;
    bool one_zone;
    bool spread;
  };
  const std::set<std::string>& guaranteed();
  PreemptionCandidates& candidates();
  bool already_failed(const FailedSearch& search) const;
  std::vector<std::optional<std::string>> zones_for(const Job& job, const ZoneCounts& live) const;
  bool claim_zone(const Job& job, PreemptionSearch& search, const ZoneCounts& live,
                  const PreemptionChanges& quota_changes, std::vector<Preemption>& out);
  void claim(const Job& job, const std::vector<MachineView*>& machines);
  static void append_preemptions(const Job& for_job, const PreemptionChanges& changes,
                                 std::vector<Preemption>& out);

  CycleView& view_;
  GangReservations& reservations_;
  size_t machines_considered_ = 0;
  std::optional<std::set<std::string>> guaranteed_;  // jobs within their team's guarantee
  std::optional<PreemptionCandidates> candidates_;
  std::vector<FailedSearch> failed_searches_;
};

}  // namespace larkroad::coordination
