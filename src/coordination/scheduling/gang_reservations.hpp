/// Capacity reserved on machines for gangs until there is enough for all their members.
///
/// Reservations have two phases and a time limit: a gang that finds capacity for only some of its
/// members reserves that capacity. Once there is capacity for all members, the reservation is
/// confirmed and the gang is placed; otherwise the reservation expires, so that gangs cannot block
/// each other or the fleet indefinitely. Also used for migrating replicas, between the stop on one
/// machine and the start on another.
///
/// Kept in the leader's memory only; a new leader starts without reservations.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

class GangReservations {
 public:
  /// The capacity reserved for one job.
  struct Reservation {
    std::map<std::string, std::uint32_t> tasks;  ///< number of tasks, by machine
    Resources each;                              ///< needs of one task
    Seconds expires = 0;                         ///< by the steady clock
  };

  /// Reserves capacity for `count` tasks on a machine. The first call for a job sets `each` and
  /// `expires`.
  void reserve(const std::string& job, const Resources& each, const std::string& machine,
               std::uint32_t count, Seconds expires);
  /// Ends the job's reservation, whether confirmed or not. The caller places the tasks of a
  /// confirmed gang in the same step.
  void release(const std::string& job);
  /// Releases the reservations that have expired and returns the ids of their jobs.
  std::vector<std::string> expire(Seconds now);
  /// Null when nothing is reserved for the job.
  const Reservation* find(const std::string& job) const;
  /// By job id.
  const std::map<std::string, Reservation>& all() const { return reservations_; }
  void clear() { reservations_.clear(); }

 private:
  std::map<std::string, Reservation> reservations_;
};

}  // namespace larkroad::coordination
