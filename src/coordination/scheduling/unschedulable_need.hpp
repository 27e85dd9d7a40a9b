/// Needs for which a scheduling cycle has found no room, so that like jobs are not tried again.
#pragma once

#include <vector>

#include "coordination/cluster_state/resources.hpp"

namespace larkroad::coordination {

/// A need for which no room was left in this cycle. Room only shrinks within a cycle, so whatever
/// needs as much of the same pools, and is no more important, need not be tried.
struct UnschedulableNeed {
  std::vector<bool> allowed;  ///< by pool
  Resources need;
  protocol::Priority priority;

  /// Whether there can be no room for the other need either.
  bool covers(const UnschedulableNeed& other) const {
    return priority <= other.priority && other.need.fits(need) && allowed == other.allowed;
  }
};

}  // namespace larkroad::coordination
