/// Selects which waiting tasks of a job may be placed now.
#pragma once

#include <cstdint>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

/// Up to `max_tasks` tasks of the job that wait to be placed, in placement order. Excludes replicas
/// in restart back-off, and tasks that do not fit into the record of their shard: see
/// `ClusterState::has_oversized_shards`.
std::vector<std::uint32_t> ready_tasks(const ClusterState& cluster, const Job& job,
                                       std::uint32_t max_tasks, Seconds now);

}  // namespace larkroad::coordination
