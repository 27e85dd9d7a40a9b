// Which replicas of services must leave their machines before these go.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

struct ReplicaMigration {
  std::string job;
  std::uint32_t task = 0;
  std::string from;
};

// Replicas that run on machines which are about to be taken back or on which every task fails, and
// that are not being stopped yet.
std::vector<ReplicaMigration> replicas_to_migrate(const ClusterState& cluster);

}  // namespace larkroad::coordination
