#include "coordination/scheduling/capacity_timeline.hpp"

#include <algorithm>

namespace larkroad::coordination {
namespace {

// Lower limit of run times, which keeps the rates finite.
constexpr transport::Seconds kMinRunTime = 1e-3;

}  // namespace

using transport::Seconds;

CapacityTimeline::Release CapacityTimeline::release_of(double share, Seconds remaining,
                                                       Seconds run_time) {
  return {remaining, share, share / std::max(run_time, kMinRunTime)};
}

void CapacityTimeline::add(double share, Seconds remaining, Seconds run_time) {
  used_ += share;
  releases_.push_back(release_of(share, remaining, run_time));
}

void CapacityTimeline::finish(Seconds run_time) {
  releases_.push_back(release_of(std::max(0.0, 1 - used_), 0, run_time));
  std::sort(releases_.begin(), releases_.end(),
            [](const Release& a, const Release& b) { return a.remaining < b.remaining; });
  double share = 0;
  double rate = 0;
  double rate_offset = 0;
  for (const Release& release : releases_) {
    share += release.share;
    rate += release.rate;
    rate_offset += release.rate * release.remaining;
    sums_.push_back({share, rate, rate_offset});
  }
}

double CapacityTimeline::startable_within(Seconds time) const {
  const auto next = std::upper_bound(
      releases_.begin(), releases_.end(), time,
      [](Seconds limit, const Release& release) { return limit < release.remaining; });
  if (next == releases_.begin()) return 0;
  const Sum& sum = sums_[static_cast<size_t>(next - releases_.begin()) - 1];
  return sum.share + sum.rate * time - sum.rate_offset;
}

}  // namespace larkroad::coordination
