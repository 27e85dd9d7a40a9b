/// Forecast of demand, by class of jobs: how many tasks are to find free capacity at once, so that
/// the objectives (SLOs) that leave no time to boot a machine are met as often as they ask.
///
/// Used by the scheduling cycle, which reserves capacity for these tasks, and by the autoscaler,
/// which requests it. A pure function of the cluster's state and the time.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

/// The demand of one class, in tasks.
struct Forecast {
  const JobSpec* spec = nullptr;  ///< of the latest job of the class; never null
  double wanted = 0;              ///< tasks that are to find capacity at once
  double current = 0;             ///< of these, so many are waiting or placed
  std::map<std::string, double> wanted_by_team;
  std::map<std::string, double> current_by_team;

  /// Tasks that may still arrive and for which capacity is to be free.
  double missing() const { return wanted > current ? wanted - current : 0; }
};

/// Forecasts for the classes that have such objectives, by the names of the classes. The result
/// points into the cluster's class statistics.
std::vector<Forecast> forecast(const ClusterState& cluster, Seconds now);

}  // namespace larkroad::coordination
