/// Debug output of how the fleet is used and what the leader spends its time on.
#pragma once

#include <cstddef>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

/// What the leader did since the last line on the use of the fleet; for that line alone.
struct LeaderActivity {
  int planning_rounds = 0;
  Seconds planning_time = 0;  ///< in scheduling cycles
  Seconds fleet_time = 0;     ///< in scaling rounds
  size_t heartbeats = 0;
  size_t direct_calls = 0;  ///< calls with commands straight to a worker
  size_t reported_tasks = 0;
};

/// Logs, at debug level, how the fleet is used, and then what the leader did since the last time.
/// Resets `activity`. Does nothing when debug output is off.
void log_fleet_usage(const ClusterState& cluster, LeaderActivity& activity);

}  // namespace larkroad::coordination
