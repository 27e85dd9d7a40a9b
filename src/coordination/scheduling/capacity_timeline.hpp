/// When capacity that tasks share becomes free.
#pragma once

#include <vector>

#include "transport/clock.hpp"

namespace larkroad::coordination {

/// Estimates how much work can be started on a shared capacity, such as the fleet or a team's
/// limit, within a time: at once what nobody uses, the rest as its tasks end, and all of it again
/// whenever what is started then has run. Amounts are parts of the whole capacity.
///
/// Filled by `add`, closed by `finish`, then asked by `startable_within`.
class CapacityTimeline {
 public:
  /// Tasks that use `share` of the capacity for another `remaining` seconds; tasks like them run
  /// for `run_time`.
  void add(double share, transport::Seconds remaining, transport::Seconds run_time);
  /// To be called once, when all tasks are known. `run_time`: of what may use the free capacity.
  void finish(transport::Seconds run_time);
  /// How much can be started within `time` from now.
  double startable_within(transport::Seconds time) const;

 private:
  /// Capacity that becomes free at some time, and again and again from then on.
  struct Release {
    transport::Seconds remaining;
    double share;
    double rate;  ///< what it frees on average, by the second, from then on
  };
  /// The sums over a release and all earlier ones.
  struct Sum {
    double share;
    double rate;
    double not_yet;  ///< what the rates would have freed before their releases
  };
  static Release release_of(double share, transport::Seconds remaining,
                            transport::Seconds run_time);

  double used_ = 0;
  std::vector<Release> releases_;
  std::vector<Sum> sums_;  ///< one for each release, once finished
};

}  // namespace larkroad::coordination
