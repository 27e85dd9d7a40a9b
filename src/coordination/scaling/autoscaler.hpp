/// The autoscaler: decides how many machines of which kind to request from the cloud (scale out)
/// and which to return (scale in).
///
/// Decisions are functions of the cluster's state and the time; the leader carries them out and
/// reports the cloud's answers to `CapacityBackoff`.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

/// What the cloud offers machines by: one type in one zone, spot or on demand.
struct Market {
  std::string type;
  std::string zone;
  bool spot = false;
  // clang-tidy 14 takes the compared zero for a null pointer and for a boolean.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-implicit-bool-conversion)
  auto operator<=>(const Market&) const = default;
};

/// Markets in which the cloud has lately had no capacity. Each is tried again after a pause that
/// doubles with every failure.
class CapacityBackoff {
 public:
  /// Records that a request has failed. The first pause takes `first_pause`; no pause takes longer
  /// than `longest_pause`.
  void record_failure(const Market& market, Seconds now, Seconds first_pause,
                      Seconds longest_pause);
  /// Records that a request has been granted, which ends the pauses.
  void record_success(const Market& market) { pauses_.erase(market); }
  /// Whether machines may be requested in the market now.
  bool may_request(const Market& market, Seconds now) const;
  void clear() { pauses_.clear(); }

 private:
  struct Pause {
    Seconds until = 0;
    Seconds length = 0;
  };
  std::map<Market, Pause> pauses_;
};

/// Machines to be requested in one market.
struct ScaleOut {
  Market market;
  int count = 1;
};

struct ScalingPlan {
  std::vector<ScaleOut> scale_out;
  std::vector<std::string> scale_in;  ///< the names of the machines to be returned
};

/// Decides one round of scaling. `pending`: machines that have been requested without an answer so
/// far, by market. `start_bound`: as in `aging_of`.
ScalingPlan plan_scaling(ClusterState& cluster, const CapacityBackoff& backoff,
                         const std::map<Market, int>& pending, Seconds now, Seconds start_bound);

}  // namespace larkroad::coordination
