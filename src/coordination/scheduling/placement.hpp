// Chooses machines for the tasks of one job, from the room that a scheduling cycle has.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/scheduling/cycle_view.hpp"

namespace larkroad::coordination {

// A machine for each task.
using Choice = std::vector<std::pair<MachineView*, std::uint32_t>>;

// Which room a job may use beside what is kept for more important classes.
struct PlacementPolicy {
  protocol::Priority priority = protocol::Priority::low;  // as which it is placed
  bool ignores_reserves = false;
};

class MachineChooser {
 public:
  explicit MachineChooser(CycleView& view) : view_(view) {}

  // Chooses a machine for each of `tasks`, as far as there is room, and takes it from the view.
  Choice choose(const Job& job, const std::vector<std::uint32_t>& tasks,
                const PlacementPolicy& policy);
  void release(const Job& job, const Choice& choice);
  // Machines looked at, once for each job that considered them: what a cycle costs.
  size_t looked_at() const { return looked_at_; }

 private:
  struct Request {
    const Job& job;
    const PlacementPolicy& policy;
    std::string zone;  // empty: any
    // How many replicas of the service each machine has, those chosen here included.
    std::map<const Machine*, int> replicas;
  };
  struct Zoned {
    Choice choice;
    double cost = 0;
  };
  std::map<const Machine*, int> replicas_of(const Job& job) const;
  Zoned choose_in(Request request, const std::vector<std::uint32_t>& tasks, ZoneCounts in_zone);
  double offer(const Request& request, MachineView& machine) const;
  double cost(const Request& request, MachineView& machine) const;
  double displaced(const Request& request, const MachineView& machine) const;

  CycleView& view_;
  size_t looked_at_ = 0;
};

}  // namespace larkroad::coordination
