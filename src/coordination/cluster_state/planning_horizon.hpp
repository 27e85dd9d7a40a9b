/// The longest duration that scheduling reckons with.
#pragma once

#include <algorithm>

#include "transport/clock.hpp"

namespace larkroad::coordination {

/// Exceeds every time for which anything is planned. Replicas of services, which run until their
/// job is cancelled, are planned to run for this long.
inline constexpr transport::Seconds kPlanningHorizon = 1e7;

/// Limits a duration computed from the numbers of a submission, which have no upper bound, so that
/// sums and ratios of durations stay finite.
inline transport::Seconds within_planning_horizon(transport::Seconds duration) {
  return std::min(duration, kPlanningHorizon);
}

}  // namespace larkroad::coordination
