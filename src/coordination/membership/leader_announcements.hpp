/// Who leads, and whether workers are distributed over all controllers, by the announcements that
/// leaders send to their peers.
///
/// A controller usually learns of the leader from the key-value store. Announcements are the way
/// for one that the store does not answer, so that it can go on relaying heartbeats. Owned by
/// `Controller`, written by `PeerGossip`.
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

  /// A peer has announced itself as the leader under this token. Announcements of an earlier
  /// leadership, which may arrive late, are ignored.
  void received(const std::string& member, std::uint64_t fencing_token, bool distributes_workers,
                Seconds now);
  /// This controller announces itself as the leader.
  void sent(bool distributes_workers);

  /// The newest announcement of a peer, unless it is older than a heartbeat interval or the store
  /// has shown a leader of a revision that is no older.
  const Announcement* current(std::uint64_t leader_revision, Seconds now) const;
  /// Whether workers are distributed over all controllers, by the latest announcement sent or
  /// received.
  bool workers_distributed() const { return workers_distributed_; }
  /// What this controller last announced of that as the leader; false when it never did.
  bool last_sent() const { return last_sent_; }

 private:
  const Settings& settings_;
  std::optional<Announcement> newest_;
  bool workers_distributed_ = false;
  bool last_sent_ = false;
};

}  // namespace larkroad::coordination
