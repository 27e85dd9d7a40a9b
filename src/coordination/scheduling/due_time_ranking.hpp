/// Ranks waiting jobs of one priority by whether they can meet their due times.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/scheduling/capacity_timeline.hpp"
#include "coordination/scheduling/priority_aging.hpp"

namespace larkroad::coordination {

/// The rank of a job without a due time: after all that can still meet one, before those that can
/// meet none any more.
inline constexpr int kNoDueTimeRank = 500;

/// A waiting job while the queue is being ordered.
struct QueueEntry {
  Job* job = nullptr;
  double fleet_share = 0;          ///< of its waiting tasks, as a part of the fleet
  double quota_share = 0;          ///< the same of its team's limit
  Seconds run_time = 0;            ///< of one task, the fetch of its image included
  std::vector<Seconds> due_times;  ///< earliest first
  Aging aging = Aging::none;
  size_t due_index = 0;       ///< the due time that it is to meet at present
  int rank = kNoDueTimeRank;  ///< the smaller, the earlier
  Seconds sort_time = 0;      ///< orders the jobs of a rank

  bool has_due_time() const { return due_index < due_times.size(); }
  /// When a task must start for the present due time.
  Seconds start_by() const { return due_times[due_index] - run_time; }
};

/// The capacity that the jobs of a priority share, and how much of it has been promised to jobs.
struct SharedCapacity {
  CapacityTimeline fleet;
  std::map<std::string, CapacityTimeline> quotas;  ///< by team
  double fleet_promised = 0;
  std::map<std::string, double> quota_promised;  ///< by team
};

/// Sets `rank` and `sort_time` of all entries, which must have due times and be of one priority.
///
/// The first rank holds as many jobs as can meet their next due time; of those that cannot, the
/// second rank as many as can meet the one after it, and so on. Last come those that can meet none.
void rank_by_due_times(std::vector<QueueEntry*> entries, Seconds now, SharedCapacity& capacity);

}  // namespace larkroad::coordination
