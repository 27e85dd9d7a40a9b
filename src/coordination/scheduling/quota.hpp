/// Quotas of teams: the guarantee, which a team's work gets before that of others, and the limit,
/// which it never exceeds.
#pragma once

#include <set>
#include <string>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

/// The ids of the jobs that lie within their team's guarantee together with the earlier jobs of the
/// team that are not finished.
std::set<std::string> within_guarantee(const ClusterState& cluster);

/// Whether the team is guaranteed anything; a team without a guarantee, or unknown, gets what the
/// others leave.
bool has_guarantee(const Settings& settings, const std::string& team);

/// What the limit of the team leaves beyond its placements and `reserved`. Memory has no limit. An
/// unknown team has nothing.
Resources quota_left(const ClusterState& cluster, const std::string& team,
                     const Resources& reserved);

/// How many tasks of the job `quota` allows.
std::uint32_t tasks_within(const Resources& quota, const JobSpec& spec);

}  // namespace larkroad::coordination
