/// The announcements that leaders send to their peers: who leads, and whether workers are
/// distributed over all controllers.
///
/// A controller normally learns of the leader from the key-value store. Announcements inform one
/// that cannot reach the store, so that it can go on relaying heartbeats. Owned by `Controller`,
/// updated by `PeerStatusExchange`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "settings.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using transport::Seconds;

class LeaderAnnouncements {
 public:
  struct Announcement {
    std::string member;
    std::uint64_t fencing_token = 0;
    Seconds received_at = 0;
  };

  explicit LeaderAnnouncements(const Settings& settings) : settings_(settings) {}

  /// Records that a peer has announced itself as the leader with this token. Announcements of an
  /// earlier term, which may arrive late, are ignored.
  void record_received(const std::string& member, std::uint64_t fencing_token,
                       bool distributes_workers, Seconds now);
  /// Records that this controller has announced itself as the leader.
  void record_sent(bool distributes_workers);

  /// The newest announcement of a peer; nullptr if it is older than a heartbeat interval, or if the
  /// leader known from the store was elected at the same or a later revision.
  const Announcement* current(std::uint64_t leader_revision, Seconds now) const;
  /// Whether workers are distributed over all controllers, according to the latest announcement
  /// sent or received.
  bool workers_distributed() const { return workers_distributed_; }
  /// Whether workers were distributed according to the last announcement that this controller sent
  /// as the leader; false if it never sent one.
  bool last_sent_workers_distributed() const { return last_sent_workers_distributed_; }

 private:
  const Settings& settings_;
  std::optional<Announcement> newest_;
  bool workers_distributed_ = false;
  bool last_sent_workers_distributed_ = false;
};

}  // namespace larkroad::coordination
