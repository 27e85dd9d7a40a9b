/// Selects the replicas of services that must leave their machines before these go.
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
  std::string from;  ///< its machine
};

/// Replicas on machines that the cloud is about to reclaim or that are quarantined, as far as they
/// are not being stopped yet; by the names of the machines.
std::vector<ReplicaMigration> replicas_to_migrate(const ClusterState& cluster);

}  // namespace larkroad::coordination
