/// How many tasks of a kind the fleet can run at once, as the work queue reckons with it.
#pragma once

#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

/// The capacity of all machines that can be reckoned with, in pools of like machines. A snapshot:
/// made for one ordering of the queue from a cluster that must outlive it.
class FleetCapacity {
 public:
  explicit FleetCapacity(const ClusterState& cluster);

  /// Whether any machine is known.
  bool known() const { return !pools_.empty(); }
  /// The part of the fleet that one task takes, beside more important work; 0 to 1.
  double fleet_share(const JobSpec& spec) const;
  /// The part of its team's limit that one task takes; 0 to 1.
  double quota_share(const JobSpec& spec) const;

 private:
  /// Machines of one type and zone, spot or on demand.
  struct Pool {
    const MachineType* type = nullptr;
    std::string zone;
    bool spot = false;
    double machines = 0;
    Resources capacity;
    ResourcesByPriority used{};
  };
  /// How many such tasks fit beside more important work.
  double slots(const JobSpec& spec) const;

  const ClusterState& cluster_;
  std::vector<Pool> pools_;
};

}  // namespace larkroad::coordination
