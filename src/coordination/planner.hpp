// Which task goes where. Decisions are functions of the ledger, the holds and the time.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coordination/ledger.hpp"
#include "coordination/triage.hpp"

namespace larkroad::coordination {

// The room that gangs hold, machine by machine, until every task of theirs has some: the paper's
// preceding actions. Kept in the leader's memory only; a new leader starts without any.
class Holds {
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
  const Hold* find(const std::string& job) const;
  const std::map<std::string, Hold>& all() const { return holds_; }
  void clear() { holds_.clear(); }

 private:
  std::map<std::string, Hold> holds_;
};

struct Assignment {
  std::string job;
  std::vector<std::pair<std::uint32_t, std::string>> tasks;  // task and machine
};

struct PlanLimits {
  Seconds hold_s = 20;
  Seconds start_bound_s = 0;  // 0: none, see order_of_work
  std::function<bool()> out_of_time = [] { return false; };
  size_t start_at = 0;  // where in the order of work the last round stopped
};

// A task to be stopped, so that more important work gets its room.
struct Preemption {
  std::string job;
  std::uint32_t task = 0;
  bool save = false;  // it is given the time to save
  std::string for_job;
};

struct Plan {
  std::vector<Assignment> assignments;
  std::vector<Preemption> preemptions;
  size_t stopped_at = 0;  // not 0: time ran out, and the next round goes on from here
  size_t looked_at = 0;   // machines, once for each job that considered them: what a round costs
};

// Decides one round. Does not change the ledger: the caller places what is assigned.
Plan plan(Ledger& ledger, Holds& holds, Seconds now, const PlanLimits& limits);

// Tasks of a job that want a place, at most `most`, in the order in which they are placed.
std::vector<std::uint32_t> waiting_tasks(const Job& job, std::uint32_t most);

}  // namespace larkroad::coordination
