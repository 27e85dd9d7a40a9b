// The order of work: which waiting job is served next, and which can no longer be served in time.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

// The times by which the aims in the settings want the job done, earliest first: a wait within
// some time counts as done within it and the expected run.
std::vector<Seconds> due_times(const ClusterState& cluster, const Job& job);

// The ids of the jobs that lie within their team's guarantee together with the team's earlier
// jobs that are not over.
std::set<std::string> within_guarantee(const ClusterState& cluster);

// Whether nothing is guaranteed to the team: its work gets what the others leave.
bool is_guest(const Settings& settings, const std::string& team);

// The least that any waiting task needs, of each resource by itself: what has less room than this
// is full. Nothing when none waits.
std::optional<Resources> least_need(const ClusterState& cluster);

// How a job that has not begun rises with its wait: see order_jobs.
enum class Aging { none, first_of_its_priority, urgent };
Aging aging_of(const ClusterState& cluster, const Job& job, Seconds now, Seconds start_bound);

// The jobs that want places, most important first: by priority; within the team's guarantee before
// beyond it; then those that can still be done in time before those that cannot.
//
// Giving up the largest job first is what could starve it: a job that has not begun after three
// quarters of `start_bound` (0: none), less the time that its image takes, comes before all others
// of its priority, and soon after that it counts as urgent.
std::vector<Job*> order_jobs(ClusterState& cluster, Seconds now, Seconds start_bound);

}  // namespace larkroad::coordination
