/// A few jobs whose tasks nothing but a stop or an expired lease ends, for tests that look at what
/// runs at a time.
#pragma once

#include "sim/world.hpp"

namespace larkroad::sim {

inline constexpr size_t kLongJobs = 8;

/// Submits job-100 to job-107, of one task each.
void submit_long_jobs(World& world, Seconds run_time = 200);

/// How many of them have a running task.
size_t running_long_jobs(const World& world);

/// Partitions the controller from the other controllers.
void partition_from_peers(World& world, size_t controller, Seconds length);

}  // namespace larkroad::sim
