/// Priority aging: moves jobs that have waited for a long time forward in the work queue.
///
/// When not all jobs can meet their due times, the queue order defers the largest jobs first, which
/// could starve them. Aging prevents that: every job starts within a bound, provided that the
/// cluster can run it at all.
#pragma once

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

enum class Aging {
  none,
  first_of_its_priority,  ///< ordered before all other jobs of its priority
  urgent,                 ///< ordered as a job of high priority
};

/// The aging of a job; none once a task of it has run. `start_bound`: the number of seconds after
/// its submission within which a job should start; 0: no bound, so no job ages. The bound includes
/// the time to fetch the job's image.
Aging aging_of(const ClusterState& cluster, const Job& job, Seconds now, Seconds start_bound);

/// The priority at which the job is scheduled.
protocol::Priority aged_priority(const Job& job, Aging aging);

}  // namespace larkroad::coordination
