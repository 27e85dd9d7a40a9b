// Which waiting tasks of a job may be placed now.
#pragma once

#include <cstdint>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

// Tasks of a job that want a place, at most `most`, in the order in which they are placed. Left out
// are replicas that wait after ending time and again, and tasks of which the record that they would
// share has no room: see ClusterState::has_oversized_shards.
std::vector<std::uint32_t> ready_tasks(const ClusterState& cluster, const Job& job,
                                       std::uint32_t most, Seconds now);

}  // namespace larkroad::coordination
