/// Debug logging of fleet usage, queue depth and the leader's activity.
#pragma once

#include <cstddef>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

/// Counters of the leader's work since they were last logged by `log_fleet_usage`.
struct LeaderActivity {
  int scheduling_cycles = 0;
  Seconds scheduling_time = 0;  ///< spent in scheduling cycles
  Seconds scaling_time = 0;     ///< spent in scaling rounds
  size_t heartbeats = 0;
  size_t direct_command_calls = 0;  ///< command calls sent straight to workers
  size_t reported_tasks = 0;
};

/// Logs at debug level the usage of each machine type, the queue depth of each job class and the
/// leader's activity, and resets `activity`. Does nothing when debug logging is off.
void log_fleet_usage(const ClusterState& cluster, LeaderActivity& activity);

}  // namespace larkroad::coordination
