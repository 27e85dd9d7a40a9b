#include "coordination/membership/leader_announcements.hpp"

namespace larkroad::coordination {

void LeaderAnnouncements::record_received(const std::string& member, std::uint64_t fencing_token,
                                          bool distributes_workers, Seconds now) {
  if (newest_ && fencing_token < newest_->fencing_token) return;
  workers_distributed_ = distributes_workers;
  newest_ = {member, fencing_token, now};
}

void LeaderAnnouncements::record_sent(bool distributes_workers) {
  workers_distributed_ = distributes_workers;
  last_sent_workers_distributed_ = distributes_workers;
}

const LeaderAnnouncements::Announcement* LeaderAnnouncements::current(std::uint64_t leader_revision,
                                                                      Seconds now) const {
  if (!newest_ || newest_->fencing_token <= leader_revision) return nullptr;
  if (now - newest_->received_at >= settings_.heartbeat_interval_s) return nullptr;
  return &*newest_;
}

}  // namespace larkroad::coordination
