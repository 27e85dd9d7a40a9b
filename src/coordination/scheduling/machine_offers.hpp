/// A priority queue of machines that can take a task, cheapest first.
#pragma once

#include <algorithm>
#include <optional>
#include <tuple>
#include <vector>

#include "coordination/scheduling/cycle_view.hpp"

namespace larkroad::coordination {

/// A machine that can take one more task, and what placing it there costs, in seconds.
struct MachineOffer {
  double cost = 0;
  MachineView* machine = nullptr;
};

/// A heap of offers. As tasks are placed, machines become more expensive or full, so the caller
/// recomputes the cost of an offer when it is popped and adds it again if it is no longer the
/// cheapest. Offers of equal cost are ordered by machine name, so that the order is the same in
/// every run.
class MachineOffers {
 public:
  void add(const MachineOffer& offer) {
    offers_.push_back(offer);
    std::push_heap(offers_.begin(), offers_.end(), after);
  }
  bool empty() const { return offers_.empty(); }
  /// Removes and returns the cheapest offer. Must not be empty.
  MachineOffer pop_cheapest() {
    std::pop_heap(offers_.begin(), offers_.end(), after);
    const MachineOffer out = offers_.back();
    offers_.pop_back();
    return out;
  }
  /// Whether some offer costs less than `cost`.
  bool has_cheaper_than(double cost) const { return !empty() && cost > offers_.front().cost; }

 private:
  static bool after(const MachineOffer& a, const MachineOffer& b) {
    return std::tie(a.cost, a.machine->machine->name) > std::tie(b.cost, b.machine->machine->name);
  }
  std::vector<MachineOffer> offers_;
};

}  // namespace larkroad::coordination
