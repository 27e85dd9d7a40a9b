/// The times by which the configured service-level objectives require a job to be done.
#pragma once

#include <optional>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

/// The times by which the objectives, or else the job's own deadline, require the job to be done;
/// earliest first, by the steady clock. An objective for the wait is converted into one for the end
/// by adding the expected run time. Empty: no objective applies and the job has no deadline.
std::vector<Seconds> due_times(const ClusterState& cluster, const Job& job);

/// When a task of the job must start to meet the next due time that can still be met; none when no
/// due time can be met.
std::optional<Seconds> next_start_by(const ClusterState& cluster, const Job& job, Seconds now);

}  // namespace larkroad::coordination
