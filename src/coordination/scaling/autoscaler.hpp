/// The autoscaler: decides how many machines of which type to request from the cloud (scale-out)
/// and which machines to release (scale-in).
///
/// A plan depends only on the cluster state, the capacity backoff and the time. `CloudReconciler`
/// carries it out and records the cloud's responses in `CapacityBackoff`.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

/// The unit in which the cloud offers capacity: one machine type in one zone, spot or on-demand.
struct Market {
  std::string type;
  std::string zone;
  bool spot = false;
  // clang-tidy 14 mistakes the zero that the comparison uses for a null pointer and a boolean.
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-implicit-bool-conversion)
  auto operator<=>(const Market&) const = default;
};

/// Exponential backoff for markets in which the cloud has no capacity: the delay before the next
/// request doubles with every failure.
class CapacityBackoff {
 public:
  /// Records a failed request. The first delay is `initial_delay`; later ones are at most
  /// `max_delay`.
  void record_failure(const Market& market, Seconds now, Seconds initial_delay, Seconds max_delay);
  /// Records a granted request, which resets the backoff.
  void record_success(const Market& market) { backoffs_.erase(market); }
  /// Whether machines may be requested in the market at this time.
  bool may_request(const Market& market, Seconds now) const;
  void clear() { backoffs_.clear(); }

 private:
  struct Backoff {
    Seconds until = 0;
    Seconds delay = 0;
  };
  std::map<Market, Backoff> backoffs_;
};

/// A number of machines to request in one market.
struct ScaleOut {
  Market market;
  int count = 1;
};

struct ScalingPlan {
  std::vector<ScaleOut> scale_out;
  std::vector<std::string> scale_in;  ///< names of the machines to release
};

/// Computes the plan of one scaling round. `pending`: machines requested but not yet granted or
/// refused, by market. `start_bound`: as in `aging_of`.
ScalingPlan plan_scaling(ClusterState& cluster, const CapacityBackoff& backoff,
                         const std::map<Market, int>& pending, Seconds now, Seconds start_bound);

}  // namespace larkroad::coordination
