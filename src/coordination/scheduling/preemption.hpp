/// The preemption stage of a scheduling cycle: makes room for a job that found none by stopping
/// less important tasks.
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
  bool save = false;    ///< it is given the time to save a checkpoint
  std::string for_job;  ///< the job that gets the room
};

/// Chooses preemptions for the jobs of one cycle, in the order of the queue.
class Preemptor {
 public:
  Preemptor(CycleView& view, GangReservations& reservations)
      : view_(view), reservations_(reservations) {}

  /// Work within its team's guarantee need not wait for what another team runs beyond its own, so
  /// it gives that no time to end by itself.
  PreemptionRights rights_of(const Job& job);
  /// Whether the job may have work of lower priority preempted. Work that is not urgent first gives
  /// room half the time that its next due time leaves to become free by itself.
  bool may_preempt_lower(const Job& job) const;

  /// Preempts less important tasks where that makes room for a job that found none, and claims that
  /// room and the part of the team's limit: what the first of them frees must not go to less
  /// important work before the last has ended. What is being stopped already counts as room to
  /// come, so that nothing is preempted twice for one need. Of a gang all members find room or
  /// nothing is preempted.
  void make_room(const Job& job, const PreemptionRights& rights, std::vector<Preemption>& out);

  /// How many machines have been considered, once for each job: what the cycle costs.
  size_t machines_considered() const { return machines_considered_; }

 private:
  /// What was searched for in vain.
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
  bool claim_room(const Job& job, PreemptionSearch& search, const ZoneCounts& live,
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
