/// The work queue: the order in which waiting jobs are scheduled.
///
/// Used by the scheduling cycle, which places jobs in this order, and by the autoscaler, which
/// requests machines in it, so that both serve the same jobs first.
#pragma once

#include <optional>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/scheduling/due_times.hpp"
#include "coordination/scheduling/priority_aging.hpp"
#include "coordination/scheduling/quota.hpp"

namespace larkroad::coordination {

/// The smallest amount of each resource, by itself, that any waiting task or migrating replica
/// needs: a machine with less room than this is full. None when nothing waits.
std::optional<Resources> smallest_waiting_need(const ClusterState& cluster);

/// The jobs with waiting tasks, most important first:
///  1. by priority, aged jobs first (see `Aging`; `start_bound` as in `aging_of`);
///  2. teams with a guarantee before those without one;
///  3. jobs that can still meet a due time, then those without one, then those that are late;
///  4. jobs within their team's guarantee before those beyond it;
///  5. by due time or, without one, by submission.
///
/// Of the jobs that cannot all meet their due times, the largest are given up first.
std::vector<Job*> order_jobs(ClusterState& cluster, Seconds now, Seconds start_bound);

}  // namespace larkroad::coordination
