/// The running tasks that a cycle may preempt, and what preempting them frees.
///
/// A snapshot of the cluster's placements, taken at most once per cycle, with the preemptions
/// chosen so far. Choices are recorded in `PreemptionChanges`, with which a failed search is
/// undone.
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/scheduling/cycle_view.hpp"

namespace larkroad::coordination {

/// A running task that some job may preempt.
struct PreemptionCandidate {
  const Job* job = nullptr;
  const Placement* placement = nullptr;
  MachineView* machine = nullptr;  ///< null when the machine accepts no tasks at present
  bool within_guarantee = false;   ///< the job is within its team's guarantee
  bool team_has_guarantee = true;
  bool preempted = false;  ///< chosen in this cycle
};

/// A candidate chosen to be preempted for a job, with the time lost: that of saving a checkpoint,
/// or all work since the last one. The members of a gang are preempted together, and their losses
/// are added up.
struct Victim {
  PreemptionCandidate* candidate = nullptr;
  double lost_seconds = 0;
  bool save = false;  ///< the task is given time to save a checkpoint
};

/// The candidates on one machine.
struct MachineCandidates {
  std::vector<PreemptionCandidate*> candidates;
  /// All capacity that preempting them could free, by the effective priority of the tasks.
  ResourcesByPriority by_priority{};
  /// The same for tasks of teams without a guarantee only.
  ResourcesByPriority without_guarantee{};
};

/// The changes made by a search, kept so that they can be undone.
struct PreemptionChanges {
  std::vector<Victim> victims;  ///< one for each task, all members of a gang included
  /// `MachineView::releasing` as it was before each change.
  std::vector<std::pair<MachineView*, Resources>> releasing_before;
  /// The quota being released, by team, as it was before all changes.
  std::map<std::string, Resources> quota_releasing_before;
};

class PreemptionCandidates {
 public:
  /// Collects candidates from the view's cluster, and adds the needs of tasks that are already
  /// being stopped to the machines' `releasing`. `guaranteed`: the jobs within their team's
  /// guarantee.
  PreemptionCandidates(CycleView& view, const std::set<std::string>& guaranteed);
  // The indexes point into the candidates.
  PreemptionCandidates(const PreemptionCandidates&) = delete;
  PreemptionCandidates& operator=(const PreemptionCandidates&) = delete;

  /// Null when there is no candidate on the machine.
  const MachineCandidates* on(const MachineView& machine) const;
  const std::vector<PreemptionCandidate*>& of_team(const std::string& team) {
    return by_team_[team];
  }
  /// The quota of the team that will be freed by tasks being stopped or preempted in this cycle.
  const Resources& quota_releasing(const std::string& team) { return quota_releasing_[team]; }

  /// Starts a new record of changes.
  PreemptionChanges begin_changes() const;
  /// Preempts the victim, or the whole gang when the victim belongs to one.
  void preempt(const Victim& victim, PreemptionChanges& changes);
  /// Claims capacity being released on the machine for one task.
  static void claim(MachineView& machine, const Resources& need, PreemptionChanges& changes);
  /// Undoes all recorded changes.
  void undo(PreemptionChanges& changes);

 private:
  void add_job(const Job& job, bool within_guarantee);
  void preempt_task(PreemptionCandidate& candidate, const Victim& victim,
                    PreemptionChanges& changes);

  CycleView& view_;
  std::vector<PreemptionCandidate> candidates_;
  std::unordered_map<const Placement*, PreemptionCandidate*> gang_members_;
  std::unordered_map<const MachineView*, MachineCandidates> by_machine_;
  std::map<std::string, std::vector<PreemptionCandidate*>> by_team_;
  std::map<std::string, Resources> quota_releasing_;  // by team
};

}  // namespace larkroad::coordination
