// What may come: how many tasks of a class are to find room at once, so that the aims that leave
// no time to boot a machine are met as often as they ask.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

struct Forecast {
  const JobSpec* spec = nullptr;  // the latest of its class
  double wanted = 0;              // tasks that are to find room at once
  double current = 0;             // of which so many are waiting or placed
  std::map<std::string, double> wanted_by_team;
  std::map<std::string, double> current_by_team;
  double missing() const { return wanted > current ? wanted - current : 0; }
};

std::vector<Forecast> forecast(const ClusterState& cluster, Seconds now);

}  // namespace larkroad::coordination
