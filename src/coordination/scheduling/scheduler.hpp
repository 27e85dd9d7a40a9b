/// The scheduling cycle: decides which waiting task is placed on which machine.
///
/// Its stages, each a unit of its own: the order of the queue (job_queue), a snapshot of the
/// cluster (cycle_view), filter and score (placement), reservations for gangs (gang_reservations),
/// preemption (preemption) and the migration of replicas (replica_migration). The caller, the
/// leader, binds: it records what has been decided and sends it to the workers.
///
/// Decisions are functions of the cluster, the reservations and the time; no I/O.
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

/// Machines for tasks of one job.
struct Assignment {
  std::string job;
  std::vector<std::pair<std::uint32_t, std::string>> tasks;  ///< task and machine
};

struct CycleLimits {
  /// How long capacity stays reserved for a gang that is not complete, in seconds.
  Seconds reservation_limit_s = kDefaultReservationLimitS;
  Seconds start_bound_s = 0;  ///< as in `aging_of`; 0: none
  /// Whether the cycle should end; asked before each job.
  std::function<bool()> out_of_time = [] { return false; };
  /// The caller is overloaded: work of low priority is not placed, unless it has aged.
  bool defers_low = false;
  /// The index in the queue at which the last cycle stopped; 0: at none.
  size_t start_at = 0;
};

/// What one cycle has decided.
struct Plan {
  std::vector<Assignment> assignments;
  std::vector<Preemption> preemptions;
  std::vector<ReplicaMigration> moves;
  /// The index in the queue from which the next cycle is to go on, as time ran out; 0: it did not.
  size_t stopped_at = 0;
  /// How many machines were considered, once for each job: what the cycle costs.
  size_t machines_considered = 0;
};

/// Decides one scheduling cycle. Does not place anything in the cluster: the caller does. Changes
/// `reservations`, and `retry_at` of gangs whose reservation has expired.
Plan plan(ClusterState& cluster, GangReservations& reservations, Seconds now,
          const CycleLimits& limits);

}  // namespace larkroad::coordination
