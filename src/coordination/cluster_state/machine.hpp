/// The leader's state of one machine: its lease, health, capacity, tasks, images and launches.
///
/// Owned by `ClusterState`, which alone maintains `used`, `used_by_priority`, `tasks` and
/// `idle_since`. The other members are updated by the components of the leader that process
/// heartbeats and the cloud's responses.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "coordination/cluster_state/launch_tracker.hpp"
#include "coordination/cluster_state/resources.hpp"
#include "protocol/worker_messages.hpp"
#include "transport/clock.hpp"

namespace larkroad::coordination {

using protocol::TaskId;
using transport::Seconds;

/// Times are on the steady clock.
struct Machine {
  std::string name;
  std::string address;  ///< empty: not known yet
  std::string type;     ///< empty: not known yet
  std::string zone;     ///< empty: not known yet
  bool spot = false;
  bool has_reported = false;  ///< has sent a heartbeat to this leader
  /// Its reports are known not to be delayed copies: it has seen this leader's fencing token, has
  /// responded to this leader directly, or was requested from the cloud by this leader.
  bool identity_confirmed = false;
  /// Start of the period in which its heartbeats arrive but calls to it fail; -1: it is reachable.
  Seconds unreachable_since = -1;
  Seconds status_queried_at = -1;        ///< when its status was last queried by a call; -1: never
  std::uint64_t incarnation = 0;         ///< highest known incarnation of its agent
  std::uint64_t sequence = 0;            ///< sequence number of its newest heartbeat
  std::uint64_t heartbeat_sequence = 0;  ///< sequence number of its newest periodic heartbeat
  /// The highest fencing token that it has reported in this incarnation.
  std::uint64_t seen_fencing_token = 0;
  Seconds rented_at = 0;  ///< when it was requested from the cloud
  /// Time of the newest heartbeat, sent periodically or in response to a call; -1: none.
  Seconds last_heartbeat_at = -1;
  /// Time of the newest periodic heartbeat; until there is one, of the first heartbeat of any kind.
  /// -1: none.
  Seconds last_worker_heartbeat_at = -1;
  /// Time of the last response 200 by which any leader may have renewed its lease; -1: none.
  Seconds lease_renewed_at = -1;
  Seconds listed_at = -1;  ///< when it was last in the cloud's list of machines; -1: never
  /// The latest time at which it is known to have existed: requested, sending heartbeats, or in an
  /// earlier leader's records. -1: none.
  Seconds known_to_exist_at = -1;
  std::optional<Seconds> reclaim_at;  ///< time of reclamation announced by the spot notice
  bool lease_expired = false;         ///< its lease has expired; it must register again
  /// Its worker has restarted without its tasks, but in the same incarnation. Its lease is not
  /// renewed any more, so that it must begin the next one.
  bool restarted = false;
  Seconds lease_expired_at = -1;  ///< when the expiry was detected; -1: never
  bool being_released = false;    ///< is being returned to the cloud
  int retained_exits = 0;    ///< exited tasks in its last heartbeat that it must not discard yet
  bool quarantined = false;  ///< excluded from placement because all tasks fail on it
  /// Failures of tasks of jobs that are not faulty themselves, since a task last succeeded on it.
  int failures = 0;
  /// The jobs of those failures.
  std::set<std::string> failed_jobs;
  int failed_starts = 0;      ///< consecutive, of tasks of jobs that start on other machines
  Seconds refused_until = 0;  ///< no placements until then: it reported less capacity than recorded
  Seconds idle_since = 0;
  Resources capacity;
  Resources used;
  ResourcesByPriority used_by_priority{};
  std::set<TaskId> tasks;
  LaunchTracker launches;  ///< that its worker may still carry out
  /// Images that are probably in its cache: size in GB and time of last use.
  std::map<std::string, std::pair<double, Seconds>> images;
  bool images_changed = false;                 ///< since they were last recorded
  protocol::Heartbeat last_relayed_heartbeat;  ///< the last complete heartbeat from a relay

  /// Capacity not occupied by placements.
  Resources available() const;
  /// Whether tasks may be placed on it. `max_heartbeat_age`: the maximum age of its last heartbeat.
  bool usable(Seconds now, Seconds max_heartbeat_age) const;
  /// Records the use of an image of size `gb`, and evicts the least recently used images as the
  /// machine's cache of `cache_gb` does.
  void touch_image(const std::string& image, double gb, double cache_gb, Seconds now);
};

}  // namespace larkroad::coordination
