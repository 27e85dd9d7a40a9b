// How many machines of which kind to rent and to return. Functions of the cluster and the time.
#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

// A market: machines of one type, in one zone, of one kind.
struct Market {
  std::string type;
  std::string zone;
  bool spot = false;
  auto operator<=>(const Market&) const = default;
};

// What the cloud has lately refused; asked again after a pause that grows.
class CapacityBackoff {
 public:
  void refused(const Market& market, Seconds now, Seconds first_pause, Seconds longest_pause);
  void granted(const Market& market) { pauses_.erase(market); }
  bool open(const Market& market, Seconds now) const;
  void clear() { pauses_.clear(); }

 private:
  struct Pause {
    Seconds until = 0;
    Seconds length = 0;
  };
  std::map<Market, Pause> pauses_;
};

struct ScaleOut {
  Market market;
  int count = 1;
};

struct ScalingPlan {
  std::vector<ScaleOut> scale_out;
  std::vector<std::string> scale_in;
};

// `pending`: machines asked for without an answer so far.
ScalingPlan plan_scaling(ClusterState& cluster, const CapacityBackoff& refusals,
                         const std::map<Market, int>& pending, Seconds now, Seconds start_bound);

}  // namespace larkroad::coordination
