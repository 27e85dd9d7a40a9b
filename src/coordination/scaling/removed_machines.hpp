/// Machines that are known to have been removed, though the cloud's list may still name them.
#pragma once

#include <map>
#include <string>

#include "transport/clock.hpp"

namespace larkroad::coordination {

using transport::Seconds;

/// Written by the CloudReconciler; heartbeat processing asks it, so that a late heartbeat or a list
/// that lags does not bring a removed machine back into the cluster.
class RemovedMachines {
 public:
  void add(const std::string& machine, Seconds now) { removed_at_[machine] = now; }
  bool contains(const std::string& machine) const { return removed_at_.contains(machine); }

  /// Forgets those that were removed before `oldest`.
  void forget_before(Seconds oldest) {
    std::erase_if(removed_at_, [&](const auto& removed) { return removed.second < oldest; });
  }
  void clear() { removed_at_.clear(); }

 private:
  std::map<std::string, Seconds> removed_at_;
};

}  // namespace larkroad::coordination
