#include "storage/store_availability.hpp"

#include <algorithm>

namespace larkroad::storage {
namespace {

// Distinguishes a failure at this instant from 0, which means that the latest request succeeded.
constexpr Seconds kMinFailureDuration = 1e-9;
// The time between probes, as a fraction of the request timeout.
constexpr double kProbeIntervalRatio = 0.25;

}  // namespace

void StoreAvailability::record_success() {
  failing_since_.reset();
  answered_ever_ = true;
}

void StoreAvailability::record_failure() {
  if (!failing_since_) failing_since_ = clock_.now();
}

Seconds StoreAvailability::failing_for() const {
  if (!failing_since_) return 0;
  return std::max(kMinFailureDuration, clock_.now() - *failing_since_);
}

bool StoreAvailability::allow_request() {
  if (failing_for() < timeout_) return true;
  const Seconds now = clock_.now();
  if (probed_at_ && now - *probed_at_ < timeout_ * kProbeIntervalRatio) return false;
  probed_at_ = now;
  return true;
}

}  // namespace larkroad::storage
