/// The filter and score stages of a scheduling cycle: bin packing of one job's tasks.
///
/// Machines that cannot take a task are filtered out; the others are scored by what a task there
/// costs, in seconds of somebody's time, and the cheapest are chosen.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/scheduling/cycle_view.hpp"
#include "coordination/scheduling/machine_offers.hpp"

namespace larkroad::coordination {

/// A machine for each task.
using Choice = std::vector<std::pair<MachineView*, std::uint32_t>>;

/// Which room a job may use beside what is reserved for more important classes.
struct PlacementPolicy {
  protocol::Priority priority = protocol::Priority::low;  ///< as which the job is placed
  bool ignores_reserves = false;
};

class MachineChooser {
 public:
  explicit MachineChooser(CycleView& view) : view_(view) {}

  /// Chooses a machine for each of `tasks`, as far as there is room, and takes the room from the
  /// view. Fewer tasks than asked for are the first of them.
  Choice choose(const Job& job, const std::vector<std::uint32_t>& tasks,
                const PlacementPolicy& policy);
  /// Gives back the room of a choice that is not used.
  void release(const Job& job, const Choice& choice);
  /// How many machines have been considered, once for each job: what the cycle costs.
  size_t machines_considered() const { return machines_considered_; }

 private:
  struct Request {
    const Job& job;
    const PlacementPolicy& policy;
    std::optional<std::string> zone;  ///< none: any
    /// How many replicas of the service each machine has, those chosen here included.
    std::map<const Machine*, int> replicas;
  };
  struct CostedChoice {
    Choice choice;
    double cost = 0;
  };
  std::map<const Machine*, int> replicas_of(const Job& job) const;
  CostedChoice choose_zone(const Job& job, const std::vector<std::uint32_t>& tasks,
                           const PlacementPolicy& policy,
                           const std::map<const Machine*, int>& replicas);
  CostedChoice choose_machines(Request request, const std::vector<std::uint32_t>& tasks,
                               ZoneCounts zone_counts);
  MachineOffers offers_for(const Request& request);
  std::optional<double> offer_cost(const Request& request, MachineView& machine) const;
  double score(const Request& request, MachineView& machine) const;
  std::optional<double> displaced(const Request& request, const MachineView& machine) const;

  CycleView& view_;
  size_t machines_considered_ = 0;
};

}  // namespace larkroad::coordination
