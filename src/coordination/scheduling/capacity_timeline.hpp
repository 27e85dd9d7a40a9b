/// Estimates when capacity shared by many tasks becomes free.
#pragma once

#include <vector>

#include "transport/clock.hpp"

namespace larkroad::coordination {

/// Estimates how much work can be started within a given time on a shared capacity, such as the
/// fleet or a team's limit. Unused capacity can be used immediately, the rest as its tasks end, and
/// all of it again each time the work started on it has run. Amounts are fractions of the whole
/// capacity.
///
/// Filled with `add`, completed with `finish`, then queried with `startable_within`.
class CapacityTimeline {
 public:
  /// Adds tasks that use `share` of the capacity for another `remaining` seconds and have a run
  /// time of `run_time`.
  void add(double share, transport::Seconds remaining, transport::Seconds run_time);
  /// Must be called once, after the last `add`. `run_time`: of the tasks that will use the capacity
  /// that is free now.
  void finish(transport::Seconds run_time);
  /// How much work can be started within `time` from now.
  double startable_within(transport::Seconds time) const;

 private:
  /// Capacity that becomes free at some time and once per run time from then on.
  struct Release {
    transport::Seconds remaining;
    double share;
    double rate;  ///< average capacity freed per second from then on
  };
  /// The sums over a release and all earlier ones.
  struct Sum {
    double share;
    double rate;
    double rate_offset;  ///< what the rates would have freed before their releases
  };
  static Release release_of(double share, transport::Seconds remaining,
                            transport::Seconds run_time);

  double used_ = 0;
  std::vector<Release> releases_;
  std::vector<Sum> sums_;  ///< one for each release, once finished
};

}  // namespace larkroad::coordination
