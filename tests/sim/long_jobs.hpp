/// A few jobs whose tasks run until they are stopped or the worker's lease expires, for tests that
/// check which tasks are running at a given time.
#pragma once

#include "sim/world.hpp"

namespace larkroad::sim {

inline constexpr size_t kLongJobs = 8;

/// Submits job-100 to job-107 with one task each.
void submit_long_jobs(World& world, Seconds run_time = 200);

/// Number of long jobs that have a running task.
size_t running_long_jobs(const World& world);

/// Partitions the controller from all other controllers.
void partition_from_peers(World& world, size_t controller, Seconds length);

}  // namespace larkroad::sim
