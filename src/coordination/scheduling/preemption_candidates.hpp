/// The running tasks that a cycle may preempt, and what preempting them frees.
///
/// A snapshot of the cluster's placements, made at most once in a cycle, with the preemptions
/// chosen so far. Choices are recorded in `PreemptionChanges`, by which a search that fails is
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

/// A running task that some job may have preempted.
struct PreemptionCandidate {
  const Job* job = nullptr;
  const Placement* placement = nullptr;
  MachineView* machine = nullptr;  ///< null when the machine takes no work at present
  bool within_guarantee = false;   ///< the job lies within its team's guarantee
  bool team_has_guarantee = true;
  bool preempted = false;  ///< chosen in this cycle
};

/// A candidate that one job would have preempted, and what that loses: the time to save a
/// checkpoint, or all work since the last one. Of a gang all members are preempted, and what all of
/// them lose counts.
struct Victim {
  PreemptionCandidate* candidate = nullptr;
  double lost_seconds = 0;
  bool save = false;  ///< it is given the time to save a checkpoint
};

/// The candidates on one machine.
struct MachineCandidates {
  std::vector<PreemptionCandidate*> candidates;
  /// All room that preempting them could free, by the effective priority of the tasks.
  ResourcesByPriority by_priority{};
  /// The same of the tasks of teams without a guarantee.
  ResourcesByPriority without_guarantee{};
};

/// What a search has changed, to undo it.
struct PreemptionChanges {
  std::vector<Victim> victims;  ///< one for each task, all members of a gang included
  /// `MachineView::releasing` as it was before each change.
  std::vector<std::pair<MachineView*, Resources>> releasing_before;
  /// The quota being released, by team, as it was before all changes.
  std::map<std::string, Resources> quota_releasing_before;
};

class PreemptionCandidates {
 public:
  /// Collects candidates from the view's cluster, and adds what is being stopped already to the
  /// machines' `releasing`. `guaranteed`: the jobs within their team's guarantee.
  PreemptionCandidates(CycleView& view, const std::set<std::string>& guaranteed);
  // The indexes point into the candidates.
  PreemptionCandidates(const PreemptionCandidates&) = delete;
  PreemptionCandidates& operator=(const PreemptionCandidates&) = delete;

  /// Null when there is no candidate on the machine.
  const MachineCandidates* on(const MachineView& machine) const;
  const std::vector<PreemptionCandidate*>& of_team(const std::string& team) {
    return by_team_[team];
  }
  /// The part of the team's quota that tasks which are being stopped, or preempted in this cycle,
  /// will free.
  const Resources& quota_releasing(const std::string& team) { return quota_releasing_[team]; }

  /// Starts a record of changes.
  PreemptionChanges begin() const;
  /// Preempts the victim; with one task of a gang all of them.
  void preempt(const Victim& victim, PreemptionChanges& changes);
  /// Claims room being released on the machine for one task.
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
