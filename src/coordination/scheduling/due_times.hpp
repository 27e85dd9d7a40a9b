/// The times by which the service-level objectives in the settings want a job done.
#pragma once

#include <optional>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

/// The times by which the objectives, or else the job's own deadline, want the job done; earliest
/// first, by the steady clock. An objective for the wait counts as one for the end after the wait
/// and the expected run. Empty: no objective is for this job.
std::vector<Seconds> due_times(const ClusterState& cluster, const Job& job);

/// When a task of the job must start for the next due time that can still be met; none when there
/// is no such time.
std::optional<Seconds> next_start_by(const ClusterState& cluster, const Job& job, Seconds now);

}  // namespace larkroad::coordination
