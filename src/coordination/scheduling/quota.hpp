/// Team quotas: the guarantee, which a team's jobs get before those of other teams, and the limit,
/// which they never exceed.
#pragma once

#include <set>
#include <string>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

/// The ids of the jobs that fit into their team's guarantee together with the team's earlier
/// unfinished jobs.
std::set<std::string> within_guarantee(const ClusterState& cluster);

/// Whether the team has a guarantee. A team without one, or an unknown team, gets what the others
/// leave.
bool has_guarantee(const Settings& settings, const std::string& team);

/// What remains of the team's limit after its placements and `reserved`. Memory is unlimited. An
/// unknown team has no quota.
Resources quota_left(const ClusterState& cluster, const std::string& team,
                     const Resources& reserved);

/// How many tasks of the job fit into `quota`.
std::uint32_t tasks_within(const Resources& quota, const JobSpec& spec);

}  // namespace larkroad::coordination
