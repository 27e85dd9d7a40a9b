#include "coordination/scheduling/scheduler.hpp"

#include <algorithm>

#include "coordination/scheduling/cycle_view.hpp"
#include "coordination/scheduling/placement.hpp"
#include "coordination/scheduling/ready_tasks.hpp"

namespace larkroad::coordination {
namespace {

// Room that is kept for what may come of a more important class is kept from a job for this many
// leases; after that the job has waited beside free room for long enough.
constexpr double kReserveLeases = 2;

// One pass over the waiting jobs, most important first.
class SchedulingCycle {
 public:
  SchedulingCycle(ClusterState& cluster, GangReservations& holds, Seconds now,
                  const CycleLimits& limits)
      : holds_(holds),
        now_(now),
        limits_(limits),
        view_(cluster, holds, now),
        chooser_(view_),
        preemptor_(view_, holds) {}

  Plan run() {
    Plan out;
    const auto jobs = order_jobs(view_.cluster(), now_, limits_.start_bound_s);
    for (size_t i = 0; i < jobs.size(); ++i) {
      Job& job = *jobs[i];
      // Urgent work comes first in every cycle, so that its claims stand and what arrives
      // meanwhile does not queue behind the rest; that goes on where the last cycle stopped.
      const bool first = job.spec.priority <= protocol::Priority::high;
      if (i < limits_.start_at && !first) continue;
      if (i > limits_.start_at && !first && limits_.out_of_time()) {
        out.stopped_at = i;
        break;
      }
      if (!job.write_in_flight && now_ >= job.retry_at) schedule(job, out);
    }
    move_replicas(out);
    out.looked_at = chooser_.looked_at() + preemptor_.looked_at();
    return out;
  }

 private:
  void schedule(Job& job, Plan& out) {
    const Aging rise = aging_of(view_.cluster(), job, now_, limits_.start_bound_s);
    const bool low = job.spec.priority == protocol::Priority::low;
    if (limits_.defers_low && low && rise == Aging::none) return;
    const PlacementPolicy policy = policy_of(job, rise);
    const auto reserved_before =
        policy.ignores_reserves ? protocol::Priority::production : policy.priority;
    const std::uint32_t allowed = view_.tasks_within_limit(job, reserved_before);
    Assignment assignment{job.id(), {}};
    if (job.spec.is_gang()) {
      place_gang(job, allowed, rise, policy, assignment);
    } else if (ready_tasks(view_.cluster(), job, 1, now_).empty()) {
      return;
    } else if (allowed > 0 && (holds_.find(job.id()) != nullptr || !unschedulable(job, policy))) {
      place_array(job, allowed, rise, policy, assignment);
    }
    if (!assignment.tasks.empty()) {
      view_.take_limit(job, static_cast<double>(assignment.tasks.size()));
      out.assignments.push_back(std::move(assignment));
      return;
    }
    const auto rights = preemptor_.rights_of(job);
    if (rights.any()) preemptor_.make_room(job, rights, out.preemptions);
  }

  PlacementPolicy policy_of(const Job& job, Aging rise) const {
    const Seconds waits_since = std::max(job.submitted, job.last_placed_at);
    const Seconds lease = view_.cluster().settings().lease_s;
    PlacementPolicy out;
    out.priority = rise == Aging::urgent ? std::min(job.spec.priority, protocol::Priority::high)
                                         : job.spec.priority;
    out.ignores_reserves = rise != Aging::none || now_ - waits_since > lease * kReserveLeases;
    return out;
  }

  bool unschedulable(const Job& job, const PlacementPolicy& policy) const {
    if (unschedulable_.empty()) return false;
    const auto allowed = view_.allowed_pools(job.spec);
    const Resources need = needs_of(job.spec);
    return std::any_of(unschedulable_.begin(), unschedulable_.end(), [&](const auto& failed) {
      return (failed.ignored_reserves || !policy.ignores_reserves) &&
             failed.need.covers(need, job.spec.priority, allowed);
    });
  }

  void no_room_for(const Job& job, const PlacementPolicy& policy) {
    // What is bound to zones says nothing of others.
    if (job.spec.one_zone || job.spec.spread) return;
    unschedulable_.push_back(
        {{view_.allowed_pools(job.spec), needs_of(job.spec), job.spec.priority},
         policy.ignores_reserves});
  }

  void place_array(Job& job, std::uint32_t allowed, Aging rise, const PlacementPolicy& policy,
                   Assignment& out) {
    // What rises does so to begin: one task of an array will do, and the rest of it keeps its
    // place. Of one that fails everywhere one task tells whether that is still so.
    const bool one_task = rise != Aging::none || job.fails_everywhere();
    const auto tasks = ready_tasks(view_.cluster(), job, one_task ? 1 : allowed, now_);
    // What is held for replicas on their way from another machine is for them.
    if (const GangReservations::Hold* own = holds_.find(job.id())) {
      view_.free_held(*own);
      holds_.release(job.id());
    }
    const Choice choice = chooser_.choose(job, tasks, policy);
    if (choice.size() < tasks.size()) no_room_for(job, policy);
    assign(choice, out);
  }

  static void assign(const Choice& choice, Assignment& out) {
    for (const auto& [machine, task] : choice) out.tasks.emplace_back(task, machine->machine->name);
  }

  void place_gang(Job& job, std::uint32_t allowed, Aging rise, const PlacementPolicy& policy,
                  Assignment& out) {
    const std::uint32_t wanted = job.waiting();
    // All its tasks are recorded at once, or none: its records are laid out anew first.
    if (wanted == 0 || view_.cluster().has_oversized_shards(job)) return;
    const bool aged = rise != Aging::none;
    if (wanted > allowed) {
      // Others of its team must not take for ever, piece by piece, what it needs at once.
      if (aged && !preemptor_.may_stop_lower(job)) view_.take_limit(job, wanted);
      return;
    }
    const GangReservations::Hold* own = holds_.find(job.id());
    if (own == nullptr && unschedulable(job, policy)) return;
    // Its own holds count as room for it alone.
    if (own != nullptr) view_.free_held(*own);
    // One that has waited long keeps what it has found.
    const Seconds expires =
        own != nullptr && !aged ? own->expires : now_ + limits_.reservation_limit_s;
    const Choice choice =
        chooser_.choose(job, ready_tasks(view_.cluster(), job, wanted, now_), policy);
    holds_.release(job.id());
    if (choice.size() == wanted) {
      assign(choice, out);
      return;
    }
    if (choice.empty()) no_room_for(job, policy);
    // Only the foremost gang that lacks room keeps what it has found: two gangs can then never
    // block each other with half of what each needs, and the pieces held are those of one.
    if (holder_ || choice.empty()) {
      chooser_.release(job, choice);
      return;
    }
    holder_ = true;
    for (const auto& [machine, task] : choice) {
      holds_.reserve(job.id(), needs_of(job.spec), machine->machine->name, 1, expires);
    }
  }

  // Stops replicas on machines that are about to go, once there is room for them elsewhere.
  void move_replicas(Plan& out) {
    for (const ReplicaMigration& move : replicas_to_migrate(view_.cluster())) {
      Job& job = *view_.cluster().job(move.job);
      const PlacementPolicy policy{job.spec.priority, true};
      const Choice choice = chooser_.choose(job, {move.task}, policy);
      if (choice.empty()) {
        const auto rights = preemptor_.rights_of(job);
        if (rights.any()) preemptor_.make_room(job, rights, out.preemptions);
        continue;
      }
      const std::string& target = choice.front().first->machine->name;
      holds_.reserve(job.id(), needs_of(job.spec), target, 1, now_ + limits_.reservation_limit_s);
      out.moves.push_back(move);
    }
  }

  GangReservations& holds_;
  Seconds now_;
  const CycleLimits& limits_;
  CycleView view_;
  MachineChooser chooser_;
  Preemptor preemptor_;
  struct Unschedulable {
    UnschedulableNeed need;
    bool ignored_reserves;  // it found no room even so
  };
  std::vector<Unschedulable> unschedulable_;
  bool holder_ = false;  // a gang has kept what it found
};

}  // namespace

Plan plan(ClusterState& cluster, GangReservations& holds, Seconds now, const CycleLimits& limits) {
  for (const auto& id : holds.expire(now)) {
    // An expired gang queues again and reserves anew after the others have had their turn.
    Job* job = cluster.job(id);
    if (job != nullptr && job->spec.is_gang()) job->retry_at = now + limits.reservation_limit_s / 4;
  }
  return SchedulingCycle(cluster, holds, now, limits).run();
}

}  // namespace larkroad::coordination
