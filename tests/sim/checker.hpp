// The protocol's rules, checked over a whole simulated run. It is told what happens on the
// machines and what users hear, and keeps a list of what broke a rule.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "protocol/job_messages.hpp"

namespace larkroad::sim {

using protocol::JobSpec;
using protocol::TaskId;
using transport::Seconds;

class Checker {
 public:
  explicit Checker(const Settings& settings) : settings_(settings) {}

  struct Place {
    std::string machine;
    std::string type;
    std::string zone;
    bool spot = false;
  };

  // What users do and hear.
  void submitted(const JobSpec& spec, Seconds now = 0);
  // A submission that must be refused: its job fits no machine, or lacks a field.
  void submitted_unfit(const std::string& id) { unfit_.insert(id); }
  // A question about the job is sent; its user will ask no more.
  void asks(Seconds now, const std::string& id);
  void asks_no_more(const std::string& id);
  // From then on nothing is wrong any more with machines, networks and services.
  void troubles_over(Seconds now) { calm_since_ = now; }
  void asked_to_cancel(const std::string& id);
  // `asked`: when the request was sent, if that was earlier. The answer to a request that was under
  // way when its user was told of the end by another one may tell of the time before.
  void answered_submission(Seconds now, const std::string& id, int status, const std::string& stage,
                           Seconds asked = -1);
  void answered_query(Seconds now, const std::string& id, int status, const std::string& stage,
                      Seconds asked = -1);

  // What happens on the machines. A task is on its machine from having its image to its end.
  void starts(Seconds now, const TaskId& id, const Place& place);
  void leaves(const TaskId& id, const std::string& machine);
  void completes(const TaskId& id);
  // A node has sent a launch of the job.
  void ordered(Seconds now, const std::string& job);
  // A machine hangs: its tasks are there, but do not go on until it wakes.
  void hangs(const std::string& machine, bool on);
  // Whether the job has tasks without a place while a machine that fits has room and its team is
  // under its limit.
  void waits_beside_room(Seconds now, const std::string& job, bool so);
  // Called now and then: finds what lasts too long.
  void look(Seconds now);
  void end(Seconds now = 0);

  const std::vector<std::string>& broken() const { return broken_; }
  size_t started() const { return started_; }
  bool broke(const std::string& rule) const;

 private:
  struct Known {
    JobSpec spec;
    bool accepted = false;
    bool cancel_asked = false;
    Seconds cancelled_at = -1;  // when its user was first told so
    bool told_done = false;
    Seconds told_over_at = -1;
    std::set<std::uint32_t> completed;
    Seconds submitted_at = 0;
    Seconds begun_at = -1;
    Seconds beside_room_since = -1;
    Seconds asking_since = -1;  // the first question that has had no answer since the last one
    bool reported_forgotten = false;
    bool wanted() const { return accepted && !cancel_asked; }
    bool served() const {
      return spec.is_service() ? begun_at >= 0 : completed.size() == spec.tasks;
    }
  };
  void breach(Seconds now, const std::string& rule, const std::string& what);
  void told(Seconds now, Known& job, const std::string& stage, Seconds asked);
  void answered(Known& job) { job.asking_since = -1; }
  void half_served(Seconds now, const std::string& what, const std::vector<const Known*>& jobs);

  const Settings& settings_;
  std::map<std::string, Known> jobs_;
  std::set<std::string> unfit_;
  std::set<std::string> hung_;
  std::map<TaskId, std::map<std::string, Place>> on_;
  std::vector<std::string> broken_;
  size_t started_ = 0;
  Seconds calm_since_ = 0;
};

}  // namespace larkroad::sim
