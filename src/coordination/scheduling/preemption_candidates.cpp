#include "coordination/scheduling/preemption_candidates.hpp"

#include <algorithm>

#include "coordination/scheduling/quota.hpp"

namespace larkroad::coordination {
namespace {

bool can_stop(const Placement& placement) {
  return !placement.stopping && placement.stage == Placement::Stage::acknowledged &&
         placement.state != TaskState::saving;
}

bool can_preempt(const Job& job, const Placement& placement) {
  if (!job.spec.is_gang()) return can_stop(placement);
  // A gang can only be stopped in an orderly way when every member can be.
  return std::all_of(job.placements.begin(), job.placements.end(),
                     [](const auto& entry) { return can_stop(entry.second); });
}

}  // namespace

PreemptionCandidates::PreemptionCandidates(CycleView& view, const std::set<std::string>& guaranteed)
    : view_(view) {
  size_t placements = 0;
  for (const auto& [id, job] : view_.cluster().jobs()) placements += job->placements.size();
  candidates_.reserve(placements);  // pointers into the vector must stay valid
  for (const auto& [id, job] : view_.cluster().jobs())
    add_job(*job, guaranteed.contains(job->id()));
}

void PreemptionCandidates::add_job(const Job& job, bool within_guarantee) {
  const Resources need = needs_of(job.spec);
  const bool team_has_guarantee = has_guarantee(view_.cluster().settings(), job.spec.team);
  const auto priority = static_cast<size_t>(job.effective_priority());
  for (const auto& [task, placement] : job.placements) {
    MachineView* machine = view_.find(placement.machine);
    if (placement.stopping) {
      if (machine != nullptr) machine->releasing += need;
      quota_releasing_[job.spec.team] += need;
      continue;
    }
    if (job.effective_priority() <= protocol::Priority::production) continue;
    if (!can_preempt(job, placement)) continue;
    candidates_.push_back({&job, &placement, machine, within_guarantee, team_has_guarantee, false});
    PreemptionCandidate* candidate = &candidates_.back();
    if (job.spec.is_gang()) gang_members_[&placement] = candidate;
    by_team_[job.spec.team].push_back(candidate);
    if (machine == nullptr) continue;
    MachineCandidates& on_machine = by_machine_[machine];
    on_machine.candidates.push_back(candidate);
    on_machine.by_priority[priority] += need;
    if (!team_has_guarantee) on_machine.without_guarantee[priority] += need;
  }
}

const MachineCandidates* PreemptionCandidates::on(const MachineView& machine) const {
  const auto it = by_machine_.find(&machine);
  return it == by_machine_.end() ? nullptr : &it->second;
}

PreemptionChanges PreemptionCandidates::begin_changes() const {
  PreemptionChanges changes;
  changes.quota_releasing_before = quota_releasing_;
  return changes;
}

void PreemptionCandidates::preempt(const Victim& victim, PreemptionChanges& changes) {
  const Job& job = *victim.candidate->job;
  if (!job.spec.is_gang()) {
    preempt_task(*victim.candidate, victim, changes);
    return;
  }
  for (const auto& [task, placement] : job.placements) {
    preempt_task(*gang_members_.at(&placement), victim, changes);
  }
}

void PreemptionCandidates::preempt_task(PreemptionCandidate& candidate, const Victim& victim,
                                        PreemptionChanges& changes) {
  const Resources need = needs_of(candidate.job->spec);
  candidate.preempted = true;
  if (MachineView* machine = candidate.machine) {
    changes.releasing_before.emplace_back(machine, machine->releasing);
    machine->releasing += need;
  }
  quota_releasing_[candidate.job->spec.team] += need;
  changes.victims.push_back({&candidate, victim.lost_seconds, victim.save});
}

void PreemptionCandidates::claim(MachineView& machine, const Resources& need,
                                 PreemptionChanges& changes) {
  changes.releasing_before.emplace_back(&machine, machine.releasing);
  machine.releasing -= need;
}

void PreemptionCandidates::undo(PreemptionChanges& changes) {
  // Undone in reverse order, so that the value from before all changes is restored last.
  std::reverse(changes.releasing_before.begin(), changes.releasing_before.end());
  for (const auto& [machine, before] : changes.releasing_before) machine->releasing = before;
  for (const Victim& victim : changes.victims) victim.candidate->preempted = false;
  quota_releasing_ = std::move(changes.quota_releasing_before);
}

}  // namespace larkroad::coordination
