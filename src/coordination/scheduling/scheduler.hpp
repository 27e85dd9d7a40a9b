/// The scheduling cycle: decides which waiting task is placed on which machine.
///
/// Its stages, each in a unit of its own: queue ordering (job_queue), a snapshot of the cluster
/// (cycle_view), filtering and scoring (placement), gang reservations (gang_reservations),
/// preemption (preemption) and replica migration (replica_migration). The caller, the leader, does
/// the binding: it records the decisions and sends them to the workers.
///
/// Decisions depend only on the cluster, the reservations and the time; a cycle does no I/O.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/scheduling/gang_reservations.hpp"
#include "coordination/scheduling/job_queue.hpp"
#include "coordination/scheduling/preemption.hpp"
#include "coordination/scheduling/replica_migration.hpp"

namespace larkroad::coordination {

/// The machines chosen for tasks of one job.
struct Assignment {
  std::string job;
  std::vector<std::pair<std::uint32_t, std::string>> tasks;  ///< task and machine
};

struct CycleLimits {
  /// How long capacity stays reserved for an incomplete gang, in seconds.
  Seconds reservation_limit_s = kDefaultReservationLimitS;
  Seconds start_bound_s = 0;  ///< as in `aging_of`; 0: none
  /// Whether the time budget of the cycle is used up; called before each job.
  std::function<bool()> out_of_time = [] { return false; };
  /// Set while the caller is overloaded: low-priority jobs are not placed unless they have aged.
  bool defer_low_priority = false;
  /// The queue index at which the previous cycle ran out of time; 0: it did not.
  size_t start_index = 0;
};

/// The decisions of one cycle.
struct Plan {
  std::vector<Assignment> assignments;
  std::vector<Preemption> preemptions;
  std::vector<ReplicaMigration> migrations;
  /// The queue index from which the next cycle continues if this one ran out of time; 0: it did
  /// not.
  size_t resume_index = 0;
  /// The machines considered, summed over all jobs: a measure of the cycle's cost.
  size_t machines_considered = 0;
};

/// Runs one scheduling cycle. Places nothing in the cluster, which is left to the caller. Updates
/// `reservations`, and `retry_at` of gangs whose reservation has expired.
Plan plan(ClusterState& cluster, GangReservations& reservations, Seconds now,
          const CycleLimits& limits);

}  // namespace larkroad::coordination
