/// The work queue: the order in which waiting jobs are scheduled.
///
/// The scheduling cycle places jobs in this order and the autoscaler requests machines in the same
/// order, so that both serve the same jobs first.
#pragma once

#include <optional>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/scheduling/due_times.hpp"
#include "coordination/scheduling/priority_aging.hpp"
#include "coordination/scheduling/quota.hpp"

namespace larkroad::coordination {

/// The smallest amount of each resource, taken separately, that any waiting task or migrating
/// replica needs: a machine with less than this available is full. None when no task waits.
std::optional<Resources> smallest_waiting_need(const ClusterState& cluster);

/// The jobs with waiting tasks, most important first:
///  1. by priority, aged jobs first (see `Aging`; `start_bound` as in `aging_of`);
///  2. teams with a guarantee before those without one;
///  3. jobs that can still meet a due time, then those without one, then those that are late;
///  4. jobs within their team's guarantee before those beyond it;
///  5. by due time or, without one, by submission time.
///
/// When not all jobs can meet their due times, the largest are deferred first.
std::vector<Job*> order_jobs(ClusterState& cluster, Seconds now, Seconds start_bound);

}  // namespace larkroad::coordination
