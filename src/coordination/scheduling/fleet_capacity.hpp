/// Estimates how many tasks of a job the fleet can run at once, for ordering the work queue.
#pragma once

#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

/// The capacity of all usable machines, grouped into pools of identical machines. A snapshot taken
/// for one ordering of the queue; the cluster must outlive it.
class FleetCapacity {
 public:
  explicit FleetCapacity(const ClusterState& cluster);

  /// Whether any machine is known.
  bool known() const { return !pools_.empty(); }
  /// The fraction that one task takes of the fleet capacity left by higher-priority jobs; 0 to 1.
  double fleet_share(const JobSpec& spec) const;
  /// The fraction that one task takes of its team's limit; 0 to 1.
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
  /// How many such tasks fit beside those of higher-priority jobs.
  double slots(const JobSpec& spec) const;

  const ClusterState& cluster_;
  std::vector<Pool> pools_;
};

}  // namespace larkroad::coordination
