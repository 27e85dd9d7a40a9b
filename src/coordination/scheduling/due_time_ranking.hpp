/// Ranks waiting jobs of one priority by whether they can meet their due times.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/scheduling/capacity_timeline.hpp"
#include "coordination/scheduling/priority_aging.hpp"

namespace larkroad::coordination {

/// The rank of a job without a due time: after jobs that can still meet one, before jobs that can
/// no longer meet any.
inline constexpr int kNoDueTimeRank = 500;

/// A waiting job while the queue is being ordered.
struct QueueEntry {
  Job* job = nullptr;
  double fleet_share = 0;          ///< what its waiting tasks take, as a fraction of the fleet
  double quota_share = 0;          ///< the same as a fraction of its team's limit
  Seconds run_time = 0;            ///< of one task, including the image fetch
  std::vector<Seconds> due_times;  ///< earliest first
  Aging aging = Aging::none;
  size_t due_index = 0;       ///< index of the due time to be met at present
  int rank = kNoDueTimeRank;  ///< lower ranks are scheduled first
  Seconds sort_time = 0;      ///< orders jobs of the same rank

  bool has_due_time() const { return due_index < due_times.size(); }
  /// When a task must start to meet the present due time.
  Seconds start_by() const { return due_times[due_index] - run_time; }
};

/// The capacity shared by the jobs of one priority, and how much of it is allocated to jobs.
struct SharedCapacity {
  CapacityTimeline fleet;
  std::map<std::string, CapacityTimeline> quotas;  ///< by team
  double fleet_allocated = 0;
  std::map<std::string, double> quota_allocated;  ///< by team
};

/// Sets `rank` and `sort_time` of all entries, which must have due times and be of one priority.
///
/// The first rank holds as many jobs as can meet their next due time. Of the others, the second
/// rank holds as many as can meet the due time after that, and so on. Jobs that can meet none come
/// last.
void rank_by_due_times(std::vector<QueueEntry*> entries, Seconds now, SharedCapacity& capacity);

}  // namespace larkroad::coordination
