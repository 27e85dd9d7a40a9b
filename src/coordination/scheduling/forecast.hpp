/// Demand forecast by job class: for how many tasks capacity must be available immediately, so that
/// objectives (SLOs) that leave no time to boot a machine are met at their target rate.
///
/// The scheduling cycle reserves capacity for these tasks and the autoscaler requests it. A pure
/// function of the cluster's state and the time.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

/// The demand of one class, in tasks.
struct Forecast {
  const JobSpec* spec = nullptr;  ///< of the latest job of the class; never null
  double wanted = 0;              ///< tasks that must be able to start immediately
  double current = 0;             ///< how many of them are waiting or placed already
  std::map<std::string, double> wanted_by_team;
  std::map<std::string, double> current_by_team;

  /// Expected arrivals for which capacity must be kept free.
  double missing() const { return wanted > current ? wanted - current : 0; }
};

/// Forecasts for the classes that have such objectives, ordered by class name. The result points
/// into the cluster's class statistics.
std::vector<Forecast> forecast(const ClusterState& cluster, Seconds now);

}  // namespace larkroad::coordination
