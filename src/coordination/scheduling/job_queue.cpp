#include "coordination/scheduling/job_queue.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "coordination/scheduling/due_time_ranking.hpp"
#include "coordination/scheduling/fleet_capacity.hpp"
#include "coordination/scheduling/replica_migration.hpp"

namespace larkroad::coordination {
namespace {

// The number of steps into which a job's run time is divided when remaining times are grouped.
constexpr size_t kRemainingSteps = 16;
// A task that exceeds its expected run time is assumed to run for this fraction of it longer.
constexpr double kMinRemainingRatio = 1.0 / 4;

// The expected times of a job's tasks.
struct TaskTimes {
  Seconds running;   // from the start of the task
  Seconds occupied;  // the same plus the image fetch, during which capacity is already in use
};

Seconds remaining_time(const Placement& placement, Seconds now, const TaskTimes& times) {
  if (placement.running_since < 0) return times.occupied;
  return std::max(times.running - (now - placement.running_since),
                  times.running * kMinRemainingRatio);
}

// Computes one ordering of a cluster's waiting jobs.
class QueueOrdering {
 public:
  QueueOrdering(ClusterState& cluster, Seconds now, Seconds start_bound)
      : cluster_(cluster),
        now_(now),
        start_bound_(start_bound),
        guaranteed_(within_guarantee(cluster)),
        fleet_(cluster) {}

  std::vector<Job*> run() {
    for (const auto& [id, job] : cluster_.jobs()) add_job(*job);
    finish_timelines();
    rank_entries();
    return sorted();
  }

 private:
  // Run times of the waiting tasks of one priority.
  struct RunTimes {
    Seconds sum = 0;
    double tasks = 0;
    Seconds mean() const { return tasks > 0 ? sum / tasks : 0; }
  };
  // Priority, whether the team has no guarantee, rank, whether beyond the guarantee, time.
  using OrderKey = std::tuple<protocol::Priority, bool, int, bool, Seconds>;

  void add_job(Job& job) {
    const bool waits = job.waiting() > 0;
    if (job.placements.empty() && !waits) return;
    const Seconds running = cluster_.expected_run(job.spec);
    const Seconds start =
        shortest_start_time(cluster_.types(), job.spec, StartsOn::running_machine).value_or(0);
    const TaskTimes times{running, running + start};
    // Before any machine is known, only the team's limit counts.
    const double quota_share = fleet_.quota_share(job.spec);
    const double fleet_share = fleet_.known() ? fleet_.fleet_share(job.spec) : quota_share;
    add_live_tasks(job, times, fleet_share, quota_share);
    if (!waits) return;
    const std::uint32_t waiting = job.waiting();
    RunTimes& run_times = run_times_[job.spec.priority];
    run_times.sum += times.occupied * waiting;
    run_times.tasks += waiting;
    QueueEntry entry;
    entry.job = &job;
    entry.fleet_share = fleet_share * waiting;
    entry.quota_share = quota_share * waiting;
    entry.run_time = times.occupied;
    entry.due_times = due_times(cluster_, job);
    entry.aging = aging_of(cluster_, job, now_, start_bound_);
    entry.sort_time = job.submitted;
    entries_.push_back(std::move(entry));
    // Creates the team's timeline even when the team has no live task.
    shared_[job.spec.priority].quotas[job.spec.team];
  }

  // Adds the job's live tasks to the timelines of the capacity that they use. Tasks that end at
  // about the same time are added together, so that the cost of a cycle grows with the number of
  // jobs, not with the thousands of tasks of a large array.
  void add_live_tasks(const Job& job, const TaskTimes& times, double fleet_share,
                      double quota_share) {
    if (job.placements.empty()) return;
    std::array<double, kRemainingSteps + 1> tasks_by_step{};
    for (const auto& [task, placement] : job.placements) {
      const Seconds remaining = remaining_time(placement, now_, times);
      const double step = times.occupied > 0
                              ? std::clamp(remaining / times.occupied, 0.0, 1.0) * kRemainingSteps
                              : 0;
      tasks_by_step[static_cast<size_t>(std::lround(step))] += 1;
    }
    for (size_t step = 0; step < tasks_by_step.size(); ++step) {
      const double tasks = tasks_by_step[step];
      if (tasks <= 0) continue;
      const Seconds remaining = times.occupied * static_cast<double>(step) / kRemainingSteps;
      shared_[job.spec.priority].fleet.add(fleet_share * tasks, remaining, times.occupied);
      // A task counts against its team's limit for its own priority and all lower ones.
      for (auto priority = static_cast<size_t>(job.spec.priority); priority < kPriorityCount;
           ++priority) {
        CapacityTimeline& quota =
            shared_[static_cast<protocol::Priority>(priority)].quotas[job.spec.team];
        quota.add(quota_share * tasks, remaining, times.occupied);
      }
    }
  }

  void finish_timelines() {
    for (auto& [priority, capacity] : shared_) {
      const Seconds run_time = run_times_[priority].mean();
      capacity.fleet.finish(run_time);
      for (auto& [team, quota] : capacity.quotas) quota.finish(run_time);
    }
  }

  void rank_entries() {
    std::map<protocol::Priority, std::vector<QueueEntry*>> by_priority;
    for (QueueEntry& entry : entries_) {
      if (entry.has_due_time()) by_priority[entry.job->spec.priority].push_back(&entry);
    }
    for (auto& [priority, group] : by_priority) {
      rank_by_due_times(std::move(group), now_, shared_[priority]);
    }
  }

  OrderKey order_key(const QueueEntry& entry) const {
    const Job& job = *entry.job;
    const auto priority = aged_priority(job, entry.aging);
    if (entry.aging != Aging::none) return {priority, false, 0, false, job.submitted};
    const bool without_guarantee = !has_guarantee(cluster_.settings(), job.spec.team);
    return {priority, without_guarantee, entry.rank, !guaranteed_.contains(job.id()),
            entry.sort_time};
  }

  std::vector<Job*> sorted() const {
    std::vector<std::pair<OrderKey, Job*>> order;
    order.reserve(entries_.size());
    for (const QueueEntry& entry : entries_) order.emplace_back(order_key(entry), entry.job);
    std::sort(order.begin(), order.end(), [](const auto& a, const auto& b) {
      return a.first != b.first ? a.first < b.first : a.second->id() < b.second->id();
    });
    std::vector<Job*> out;
    out.reserve(order.size());
    for (const auto& [key, job] : order) out.push_back(job);
    return out;
  }

  ClusterState& cluster_;
  Seconds now_;
  Seconds start_bound_;
  std::set<std::string> guaranteed_;
  FleetCapacity fleet_;
  std::map<protocol::Priority, SharedCapacity> shared_;
  std::map<protocol::Priority, RunTimes> run_times_;
  std::vector<QueueEntry> entries_;
};

}  // namespace

std::optional<Resources> smallest_waiting_need(const ClusterState& cluster) {
  std::optional<Resources> out;
  const auto include = [&out](const JobSpec& spec) {
    const Resources need = needs_of(spec);
    out = out ? component_min(*out, need) : need;
  };
  for (const auto& [id, job] : cluster.jobs()) {
    if (job->waiting() > 0) include(job->spec);
  }
  for (const ReplicaMigration& migration : replicas_to_migrate(cluster)) {
    include(cluster.job(migration.job)->spec);
  }
  return out;
}

std::vector<Job*> order_jobs(ClusterState& cluster, Seconds now, Seconds start_bound) {
  return QueueOrdering(cluster, now, start_bound).run();
}

}  // namespace larkroad::coordination
