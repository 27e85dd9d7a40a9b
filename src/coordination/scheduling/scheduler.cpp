#include "coordination/scheduling/scheduler.hpp"

#include <algorithm>

#include "coordination/scheduling/cycle_view.hpp"
#include "coordination/scheduling/placement.hpp"
#include "coordination/scheduling/ready_tasks.hpp"
#include "coordination/scheduling/unschedulable_need.hpp"

namespace larkroad::coordination {
namespace {

// For how many lease durations a waiting job is denied capacity that is reserved for expected
// arrivals of a higher-priority class. The limit keeps jobs from waiting indefinitely while
// machines are idle.
constexpr double kMaxReserveWaitLeases = 2;
// A gang whose reservation has expired waits for this fraction of the reservation limit before it
// reserves again, so that other jobs can be placed first.
constexpr double kRetryDelayRatio = 1.0 / 4;

// One pass over the waiting jobs in queue order.
class SchedulingCycle {
 public:
  SchedulingCycle(ClusterState& cluster, GangReservations& reservations, Seconds now,
                  const CycleLimits& limits)
      : reservations_(reservations),
        now_(now),
        limits_(limits),
        view_(cluster, reservations, now),
        chooser_(view_),
        preemptor_(view_, reservations) {}

  Plan run() {
    const auto jobs = order_jobs(view_.cluster(), now_, limits_.start_bound_s);
    for (size_t i = 0; i < jobs.size(); ++i) {
      Job& job = *jobs[i];
      // Urgent jobs are considered in every cycle, so that their claims on capacity are renewed and
      // new urgent jobs do not wait behind the rest. The other jobs resume where the previous cycle
      // ran out of time.
      const bool urgent = job.spec.priority <= protocol::Priority::high;
      if (i < limits_.start_index && !urgent) continue;
      if (i > limits_.start_index && !urgent && limits_.out_of_time()) {
        plan_.resume_index = i;
        break;
      }
      if (!job.write_in_flight && now_ >= job.retry_at) schedule(job);
    }
    migrate_replicas();
    plan_.machines_considered = chooser_.machines_considered() + preemptor_.machines_considered();
    return std::move(plan_);
  }

 private:
  // The parameters for scheduling one job in this cycle.
  struct JobContext {
    Job& job;
    Aging aging;
    PlacementPolicy policy;
    std::uint32_t tasks_allowed;  // by its team's limit
  };

  void schedule(Job& job) {
    const Aging aging = aging_of(view_.cluster(), job, now_, limits_.start_bound_s);
    const bool low_priority = job.spec.priority == protocol::Priority::low;
    if (limits_.defer_low_priority && low_priority && aging == Aging::none) return;
    const PlacementPolicy policy = policy_of(job, aging);
    const auto reserves_from =
        policy.ignores_reserves ? protocol::Priority::production : policy.priority;
    const JobContext context{job, aging, policy, view_.tasks_within_quota(job, reserves_from)};
    Assignment assignment{job.id(), {}};
    if (job.spec.is_gang()) {
      place_gang(context, assignment);
    } else {
      if (ready_tasks(view_.cluster(), job, 1, now_).empty()) return;
      place_array(context, assignment);
    }
    if (assignment.tasks.empty()) {
      preempt_for(job);
      return;
    }
    view_.take_quota(job, static_cast<double>(assignment.tasks.size()));
    plan_.assignments.push_back(std::move(assignment));
  }

  PlacementPolicy policy_of(const Job& job, Aging aging) const {
    const Seconds waiting_since = std::max(job.submitted, job.last_placed_at);
    const Seconds lease = view_.cluster().settings().lease_s;
    PlacementPolicy out;
    out.priority = aged_priority(job, aging);
    out.ignores_reserves =
        aging != Aging::none || now_ - waiting_since > lease * kMaxReserveWaitLeases;
    return out;
  }

  void preempt_for(const Job& job) {
    const auto rights = preemptor_.rights_of(job);
    if (rights.any()) preemptor_.free_capacity(job, rights, plan_.preemptions);
  }

  UnschedulableNeed need_of(const Job& job) const {
    return {view_.allowed_pools(job.spec), needs_of(job.spec), job.spec.priority};
  }

  bool is_unschedulable(const JobContext& context) const {
    if (unschedulable_.empty()) return false;
    const UnschedulableNeed need = need_of(context.job);
    return std::any_of(unschedulable_.begin(), unschedulable_.end(), [&](const auto& failed) {
      return (failed.ignored_reserves || !context.policy.ignores_reserves) &&
             failed.need.covers(need);
    });
  }

  void record_unschedulable(const JobContext& context) {
    // A job with zone constraints may fail where jobs without them would fit.
    if (context.job.spec.one_zone || context.job.spec.spread) return;
    unschedulable_.push_back({need_of(context.job), context.policy.ignores_reserves});
  }

  void place_array(const JobContext& context, Assignment& out) {
    const Job& job = context.job;
    const GangReservations::Reservation* own = reservations_.find(job.id());
    if (context.tasks_allowed == 0 || (own == nullptr && is_unschedulable(context))) return;
    // Aging only ensures that a job starts, so one task of an array is enough; the others keep
    // their place in the queue. For a job that fails on every machine, one task is enough to tell
    // whether it still fails.
    const bool single_task = context.aging != Aging::none || job.fails_everywhere();
    const auto tasks =
        ready_tasks(view_.cluster(), job, single_task ? 1 : context.tasks_allowed, now_);
    // Capacity reserved for the job's migrating replicas is available to the job itself.
    if (own != nullptr) {
      view_.free_reserved(*own);
      reservations_.release(job.id());
    }
    const Choice choice = chooser_.choose(job, tasks, context.policy);
    if (choice.size() < tasks.size()) record_unschedulable(context);
    assign(choice, out);
  }

  static void assign(const Choice& choice, Assignment& out) {
    for (const auto& [machine, task] : choice) out.tasks.emplace_back(task, machine->machine->name);
  }

  // Places all members of a gang in one cycle, or none.
  void place_gang(const JobContext& context, Assignment& out) {
    const Job& job = context.job;
    const std::uint32_t wanted = job.waiting();
    // All placements of a gang are recorded together. A gang with oversized shards therefore waits
    // until its records have been laid out again.
    if (wanted == 0 || view_.cluster().has_oversized_shards(job)) return;
    const bool aged = context.aging != Aging::none;
    if (wanted > context.tasks_allowed) {
      // Without this, smaller jobs of the team could keep taking the quota as it becomes free, and
      // the gang, which needs all of it at once, would starve.
      if (aged && !preemptor_.may_preempt_lower(job)) view_.take_quota(job, wanted);
      return;
    }
    const GangReservations::Reservation* own = reservations_.find(job.id());
    if (own == nullptr && is_unschedulable(context)) return;
    // The gang's own reservation is available to it alone.
    if (own != nullptr) view_.free_reserved(*own);
    // An aged gang has its reservation extended in every cycle.
    const Seconds expires =
        own != nullptr && !aged ? own->expires : now_ + limits_.reservation_limit_s;
    const auto tasks = ready_tasks(view_.cluster(), job, wanted, now_);
    const Choice choice = chooser_.choose(job, tasks, context.policy);
    reservations_.release(job.id());
    if (choice.size() == wanted) {
      assign(choice, out);
      return;
    }
    if (choice.empty()) record_unschedulable(context);
    reserve_or_release(job, choice, expires);
  }

  // Only the first gang in the queue that does not fit reserves what it has found. Two gangs can
  // then never block each other by each holding half of what they need, and all reserved capacity
  // goes towards one gang.
  void reserve_or_release(const Job& job, const Choice& choice, Seconds expires) {
    if (gang_has_reserved_ || choice.empty()) {
      chooser_.release(job, choice);
      return;
    }
    gang_has_reserved_ = true;
    for (const auto& [machine, task] : choice) reserve(job, *machine, expires);
  }

  void reserve(const Job& job, const MachineView& machine, Seconds expires) {
    reservations_.reserve(job.id(), needs_of(job.spec), machine.machine->name, 1, expires);
  }

  // Plans the migration of replicas away from machines that are about to be lost, once there is
  // free capacity for them on other machines.
  void migrate_replicas() {
    for (const ReplicaMigration& migration : replicas_to_migrate(view_.cluster())) {
      const Job& job = *view_.cluster().job(migration.job);
      const PlacementPolicy policy{job.spec.priority, true};
      const Choice choice = chooser_.choose(job, {migration.task}, policy);
      if (choice.empty()) {
        preempt_for(job);
        continue;
      }
      reserve(job, *choice.front().first, now_ + limits_.reservation_limit_s);
      plan_.migrations.push_back(migration);
    }
  }

  struct FailedPlacement {
    UnschedulableNeed need;
    bool ignored_reserves;  // it failed even with access to reserved capacity
  };

  GangReservations& reservations_;
  Seconds now_;
  const CycleLimits& limits_;
  CycleView view_;
  MachineChooser chooser_;
  Preemptor preemptor_;
  Plan plan_;
  std::vector<FailedPlacement> unschedulable_;
  bool gang_has_reserved_ = false;
};

}  // namespace

Plan plan(ClusterState& cluster, GangReservations& reservations, Seconds now,
          const CycleLimits& limits) {
  for (const auto& id : reservations.expire(now)) {
    // The gang is queued again and may reserve after a delay in which other jobs can be placed.
    Job* job = cluster.job(id);
    if (job == nullptr || !job->spec.is_gang()) continue;
    job->retry_at = now + limits.reservation_limit_s * kRetryDelayRatio;
  }
  return SchedulingCycle(cluster, reservations, now, limits).run();
}

}  // namespace larkroad::coordination
