/// Capacity reserved for gangs, machine by machine, until all their members have some.
///
/// A reservation under a time limit, in two phases: a gang that finds room for only some of its
/// members reserves that room; once all have some it is confirmed and placed, or else the
/// reservation expires, so that gangs cannot block each other or the fleet for ever. Also used for
/// replicas that migrate, between the stop on one machine and the start on the next.
///
/// Kept in the leader's memory only; a new leader starts without any.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

class GangReservations {
 public:
  /// What is reserved for one job.
  struct Reservation {
    std::map<std::string, std::uint32_t> tasks;  ///< how many, by machine
    Resources each;                              ///< what one task needs
    Seconds expires = 0;                         ///< by the steady clock
  };

  /// Reserves room for `count` tasks on a machine. The first call for a job sets `expires`.
  void reserve(const std::string& job, const Resources& each, const std::string& machine,
               std::uint32_t count, Seconds expires);
  /// Ends the job's reservation, confirmed or not. The caller places the tasks of a confirmed gang
  /// in the same step.
  void release(const std::string& job);
  /// Releases the reservations whose time is over and returns the ids of their jobs.
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
