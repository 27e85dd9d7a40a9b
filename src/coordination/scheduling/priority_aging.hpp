/// Priority aging: how a job that has waited for long moves forward in the work queue.
///
/// The order of work gives up the largest jobs first when not all can meet their due times, which
/// alone could starve them. Aging guards against that: every job starts within a bound, as long as
/// the cluster can run it at all.
#pragma once

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

enum class Aging {
  none,
  first_of_its_priority,  ///< ordered before all other jobs of its priority
  urgent,                 ///< ordered as a job of high priority
};

/// The aging of a job that no task of has run yet. `start_bound`: within how many seconds of its
/// submission a job is to start; 0: no bound, so no job ages. The time that the job's image takes
/// to arrive counts as a part of the bound.
Aging aging_of(const ClusterState& cluster, const Job& job, Seconds now, Seconds start_bound);

/// The priority that the job is scheduled at.
protocol::Priority aged_priority(const Job& job, Aging aging);

}  // namespace larkroad::coordination
