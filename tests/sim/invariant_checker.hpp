/// The protocol's rules, checked over a whole simulated run.
#pragma once

#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "coordination/cluster_state/cluster_state.hpp"
#include "protocol/job_messages.hpp"
#include "protocol/worker_messages.hpp"

namespace larkroad::sim {

using protocol::JobSpec;
using protocol::TaskId;
using transport::Seconds;

enum class Invariant {
  one_instance_per_task,           // a task runs on one machine at most
  team_quota,                      // a team's tasks stay within its limit
  placement_constraints,           // type, zone, spot, one zone, spread
  cancelled_job_stops,             // within the limit on cancellations
  no_launch_after_cancellation,    // once whoever leads must know of it
  accepted_job_is_known,           // an accepted job is not forgotten, and queries are answered
  only_submitted_jobs_exist,       // no answer tells of a job that nobody submitted
  invalid_job_refused,             // a submission that can never run is not accepted
  done_means_completed,            // a job that is told to be done has completed all its tasks
  stage_does_not_go_back,          // what is over stays over, as it was told
  tasks_run,                       // something ran in this run at all
  half_of_jobs_served,             // of each team and class, and of the largest of each class
  large_jobs_start_in_time,        // the largest of each class begin within a bound
  no_waiting_beside_free_capacity  // a job that could be placed is placed soon
};

/// The name of a rule, for messages of failed tests.
const char* to_string(Invariant invariant);

struct Violation {
  Invariant invariant;
  std::string details;
  Seconds at;
};

std::ostream& operator<<(std::ostream& out, const Violation& violation);

/// Is told what happens on the machines and what users are answered, and collects violations. It
/// knows nothing of the controllers' own state. Times are those of the simulation.
class InvariantChecker {
 public:
  explicit InvariantChecker(const Settings& settings) : settings_(settings) {}

  struct Location {
    std::string machine;
    std::string type;
    std::string zone;
    bool spot = false;
  };

  /// What users do.
  void job_submitted(const JobSpec& spec, Seconds now = 0);
  /// A submission that must be refused: its job fits no machine, or lacks a field.
  void invalid_job_submitted(const std::string& id) { invalid_jobs_.insert(id); }
  void status_requested(Seconds now, const std::string& id);
  void polling_stopped(const std::string& id);
  void cancellation_requested(const std::string& id);

  /// What users are answered. `requested_at`: when the request was sent, if that was earlier. The
  /// answer to a request that was under way while its user was told of the job's end by another one
  /// may tell of the time before.
  void submission_answered(Seconds now, const std::string& id, int status, const std::string& stage,
                           std::optional<Seconds> requested_at = std::nullopt);
  void status_answered(Seconds now, const std::string& id, int status, const std::string& stage,
                       std::optional<Seconds> requested_at = std::nullopt);

  /// What happens on the machines. A task is on its machine from having its image to its end.
  void task_started(Seconds now, const TaskId& id, const Location& location);
  void task_left_machine(const TaskId& id, const std::string& machine);
  void task_completed(const TaskId& id);
  /// A controller has sent a launch of the job.
  void launch_sent(Seconds now, const std::string& id);
  /// While a machine hangs its tasks are there, but do not go on.
  void set_hung(const std::string& machine, bool hung);
  /// Whether the job lacks tasks that could be placed now, within its team's limit.
  void placement_possible(Seconds now, const std::string& id, bool possible);

  /// From then on machines, networks and services work without faults.
  void faults_end_at(Seconds now) { faults_end_at_ = now; }
  /// Called now and then: finds what lasts too long.
  void check_deadlines(Seconds now);
  /// Called once, at the end of the run.
  void finish(Seconds now = 0);

  const std::vector<Violation>& violations() const { return violations_; }
  bool violated(Invariant invariant) const;
  size_t started() const { return started_; }

 private:
  struct TrackedJob {
    JobSpec spec;
    bool accepted = false;
    bool cancellation_requested = false;
    bool reported_done = false;
    bool reported_unanswered = false;
    std::set<std::uint32_t> completed;
    Seconds submitted_at = 0;
    std::optional<Seconds> cancelled_at;  // when its user was first told so
    std::optional<Seconds> over_at;       // when its user was first told of any end
    std::optional<Seconds> started_at;
    std::optional<Seconds> placement_possible_since;
    /// The first query since the last answer, while it has none.
    std::optional<Seconds> unanswered_since;

    bool is_wanted() const { return accepted && !cancellation_requested; }
    bool is_served() const {
      return spec.is_service() ? started_at.has_value() : completed.size() == spec.tasks;
    }
  };

  TrackedJob* find(const std::string& id);
  void violation(Seconds now, Invariant invariant, const std::string& details);
  void stage_reported(Seconds now, TrackedJob& job, const std::string& stage,
                      std::optional<Seconds> requested_at);
  void check_single_instance(Seconds now, const TaskId& id, const Location& location);
  void check_quota(Seconds now, const TaskId& id, const JobSpec& spec);
  void check_constraints(Seconds now, const TaskId& id, const JobSpec& spec,
                         const Location& location);
  void check_answers(Seconds now);
  void check_cancelled_tasks(Seconds now);
  void check_half_served(Seconds now, const std::string& group,
                         const std::vector<const TrackedJob*>& jobs);
  void check_largest(Seconds now, const std::string& job_class,
                     std::vector<const TrackedJob*> jobs);

  const Settings& settings_;
  std::map<std::string, TrackedJob> jobs_;
  std::set<std::string> invalid_jobs_;
  std::set<std::string> hung_machines_;
  std::map<TaskId, std::map<std::string, Location>> running_;
  std::vector<Violation> violations_;
  size_t started_ = 0;
  Seconds faults_end_at_ = 0;
};

}  // namespace larkroad::sim
