/// Selects which waiting tasks of a job may be placed now.
#pragma once

#include <cstdint>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

/// Tasks of the job that wait to be placed, at most `most`, in the order in which they are placed.
/// Left out are replicas in their restart back-off, and tasks whose shard's record has no room for
/// them: see `ClusterState::has_oversized_shards`.
std::vector<std::uint32_t> ready_tasks(const ClusterState& cluster, const Job& job,
                                       std::uint32_t most, Seconds now);

}  // namespace larkroad::coordination
