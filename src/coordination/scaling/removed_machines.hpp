/// Machines known to have been removed, although the cloud's list may still contain them.
#pragma once

#include <map>
#include <string>

#include "transport/clock.hpp"

namespace larkroad::coordination {

using transport::Seconds;

/// Tombstones of removed machines: they keep a late heartbeat or a stale machine list from adding a
/// removed machine to the cluster state again. Written by CloudReconciler and also read by
/// heartbeat processing.
class RemovedMachines {
 public:
  void add(const std::string& machine, Seconds now) { removed_at_[machine] = now; }
  bool contains(const std::string& machine) const { return removed_at_.contains(machine); }

  /// Drops the entries of machines removed before `oldest`.
  void prune_before(Seconds oldest) {
    std::erase_if(removed_at_, [&](const auto& removed) { return removed.second < oldest; });
  }
  void clear() { removed_at_.clear(); }

 private:
  std::map<std::string, Seconds> removed_at_;
};

}  // namespace larkroad::coordination
