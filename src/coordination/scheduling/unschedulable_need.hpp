/// Needs that a scheduling cycle could not place, so that similar jobs are not tried again.
#pragma once

#include <vector>

#include "coordination/cluster_state/resources.hpp"

namespace larkroad::coordination {

/// A need for which this cycle found too little capacity. Available capacity only shrinks within a
/// cycle, so a job that needs at least as much in the same pools, at the same or a lower priority,
/// need not be tried.
struct UnschedulableNeed {
  std::vector<bool> allowed;  ///< by pool
  Resources need;
  protocol::Priority priority;

  /// Whether the other need cannot be placed either.
  bool covers(const UnschedulableNeed& other) const {
    return priority <= other.priority && other.need.fits(need) && allowed == other.allowed;
  }
};

}  // namespace larkroad::coordination
