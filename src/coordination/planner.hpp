// Which task goes where. Decisions are functions of the cluster, the holds and the time.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "coordination/cluster_state.hpp"
#include "coordination/gang_holds.hpp"
#include "coordination/preemption.hpp"
#include "coordination/replica_moves.hpp"
#include "coordination/work_order.hpp"

namespace larkroad::coordination {

// Machines for tasks of one job.
struct Assignment {
  std::string job;
  std::vector<std::pair<std::uint32_t, std::string>> tasks;  // task and machine
};

struct PlanLimits {
  Seconds hold_s = 20;
  Seconds start_bound_s = 0;  // 0: none, see order_of_work
  std::function<bool()> out_of_time = [] { return false; };
  // The caller is overloaded: work of low priority is not placed, unless it has waited for long.
  bool defers_low = false;
  size_t start_at = 0;  // where in the order of work the last cycle stopped
};

struct Plan {
  std::vector<Assignment> assignments;
  std::vector<Preemption> preemptions;
  std::vector<ReplicaMove> moves;
  size_t stopped_at = 0;  // not 0: time ran out, and the next cycle goes on from here
  size_t looked_at = 0;   // machines, once for each job that considered them: what a cycle costs
};

// Decides one scheduling cycle. Does not change the cluster: the caller places what is assigned.
Plan plan(ClusterState& cluster, GangHolds& holds, Seconds now, const PlanLimits& limits);

}  // namespace larkroad::coordination
