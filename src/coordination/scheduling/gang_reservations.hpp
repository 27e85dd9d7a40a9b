// Room reserved for gangs, machine by machine, until all their tasks have some: the paper's
// preceding actions. Kept in the leader's memory only; a new leader starts without any.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"

namespace larkroad::coordination {

class GangReservations {
 public:
  struct Hold {
    std::map<std::string, std::uint32_t> tasks;  // by machine
    Resources each;
    Seconds expires = 0;
  };

  // Reserves room for `count` tasks on a machine; the first touch starts the time limit.
  void reserve(const std::string& job, const Resources& each, const std::string& machine,
               std::uint32_t count, Seconds expires);
  // The concluding action: what was held goes back, consumed or not. The caller places the tasks
  // of a confirmed gang in the same step.
  void release(const std::string& job);
  // Releases the holds whose limit is over and names their jobs.
  std::vector<std::string> expire(Seconds now);
  // Null when the job holds nothing.
  const Hold* find(const std::string& job) const;
  const std::map<std::string, Hold>& all() const { return holds_; }
  void clear() { holds_.clear(); }

 private:
  std::map<std::string, Hold> holds_;
};

}  // namespace larkroad::coordination
