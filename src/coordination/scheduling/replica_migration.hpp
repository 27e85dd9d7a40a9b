/// Selects the service replicas that must be moved before their machines are lost.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

/// A replica to be stopped on its machine and placed on another.
struct ReplicaMigration {
  std::string job;
  std::uint32_t task = 0;
  std::string from;  ///< the machine it runs on
};

/// Replicas, not yet being stopped, on machines that the cloud is about to reclaim or that are
/// quarantined; ordered by machine name.
std::vector<ReplicaMigration> replicas_to_migrate(const ClusterState& cluster);

}  // namespace larkroad::coordination
