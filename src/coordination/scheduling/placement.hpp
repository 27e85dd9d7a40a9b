/// The filter and score stages of a scheduling cycle: bin packing of one job's tasks.
///
/// Machines that cannot take a task are filtered out. The others are scored by the cost of placing
/// a task there, expressed in seconds of delay to this or other jobs, and the cheapest are chosen.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/scheduling/cycle_view.hpp"
#include "coordination/scheduling/machine_offers.hpp"

namespace larkroad::coordination {

/// The machine chosen for each task.
using Choice = std::vector<std::pair<MachineView*, std::uint32_t>>;

/// How a job is placed with respect to capacity reserved for higher-priority classes.
struct PlacementPolicy {
  protocol::Priority priority = protocol::Priority::low;  ///< at which the job is placed
  bool ignores_reserves = false;
};

class MachineChooser {
 public:
  explicit MachineChooser(CycleView& view) : view_(view) {}

  /// Chooses a machine for as many of `tasks` as fit, in their order, and allocates the capacity in
  /// the view.
  Choice choose(const Job& job, const std::vector<std::uint32_t>& tasks,
                const PlacementPolicy& policy);
  /// Releases the capacity of a choice that is not used.
  void release(const Job& job, const Choice& choice);
  /// The machines considered, summed over all jobs: a measure of the cycle's cost.
  size_t machines_considered() const { return machines_considered_; }

 private:
  struct Request {
    const Job& job;
    const PlacementPolicy& policy;
    std::optional<std::string> zone;  ///< none: any
    /// The service's replicas on each machine, including those chosen so far.
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
  std::optional<double> displaced_tasks(const Request& request, const MachineView& machine) const;

  CycleView& view_;
  size_t machines_considered_ = 0;
};

}  // namespace larkroad::coordination
