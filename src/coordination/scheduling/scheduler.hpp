// Which task goes where. Decisions are functions of the cluster, the holds and the time.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "coordination/scheduling/gang_reservations.hpp"
#include "coordination/scheduling/job_queue.hpp"
#include "coordination/scheduling/preemption.hpp"
#include "coordination/scheduling/replica_migration.hpp"

namespace larkroad::coordination {

// Machines for tasks of one job.
struct Assignment {
  std::string job;
  std::vector<std::pair<std::uint32_t, std::string>> tasks;  // task and machine
};

struct CycleLimits {
  Seconds reservation_limit_s = 20;
  Seconds start_bound_s = 0;  // 0: none, see order_jobs
  std::function<bool()> out_of_time = [] { return false; };
  // The caller is overloaded: work of low priority is not placed, unless it has waited for long.
  bool defers_low = false;
  size_t start_at = 0;  // where in the order of work the last cycle stopped
};

struct Plan {
  std::vector<Assignment> assignments;
  std::vector<Preemption> preemptions;
  std::vector<ReplicaMigration> moves;
  size_t stopped_at = 0;  // not 0: time ran out, and the next cycle goes on from here
  size_t looked_at = 0;   // machines, once for each job that considered them: what a cycle costs
};

// Decides one scheduling cycle. Does not change the cluster: the caller places what is assigned.
Plan plan(ClusterState& cluster, GangReservations& holds, Seconds now, const CycleLimits& limits);

}  // namespace larkroad::coordination
