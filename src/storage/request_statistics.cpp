#include "storage/request_statistics.hpp"

#include "log.hpp"

namespace larkroad::storage {

void RequestStatistics::record_rejected(RequestPriority priority) {
  if (priority != RequestPriority::user) return;
  ++users_rejected_;
  const Seconds now = clock_.now();
  if (!logged_at_ || now - *logged_at_ >= interval_) log_and_reset(now);
}

void RequestStatistics::log_and_reset(Seconds now) {
  spdlog::info(
      "user requests to the store rejected unsent: rejected={} sent_for_users={} "
      "sent_for_leases={} "
      "sent_for_scheduling={} watches_too_old={} interval_s={:.1f}",
      users_rejected_, sent(RequestPriority::user), sent(RequestPriority::lease),
      sent(RequestPriority::scheduling) + sent(RequestPriority::bulk) +
          sent(RequestPriority::background),
      watches_too_old_, now - counting_since_);
  logged_at_ = now;
  counting_since_ = now;
  sent_.clear();
  users_rejected_ = 0;
  watches_too_old_ = 0;
}

std::uint64_t RequestStatistics::sent(RequestPriority priority) const {
  const auto it = sent_.find(priority);
  return it == sent_.end() ? 0 : it->second;
}

}  // namespace larkroad::storage
