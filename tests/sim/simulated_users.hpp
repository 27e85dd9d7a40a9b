/// The users of a simulated deployment, who submit, poll and cancel jobs over HTTP.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "protocol/job_messages.hpp"
#include "sim/event_queue.hpp"
#include "sim/hosts.hpp"

namespace larkroad::sim {

using protocol::JobSpec;

class World;

/// The request body of a submission.
std::string submission_body(const JobSpec& spec);

/// Models users who retry failed requests at any controller, poll each job until it has ended and
/// sometimes longer, repeat submissions, and query jobs that do not exist. All requests and
/// responses are passed to the invariant checker. It does not model authentication.
class SimulatedUsers {
 public:
  explicit SimulatedUsers(World& world) : world_(world) {}

  void submit(const JobSpec& spec, Seconds when);
  /// Submits random jobs at random times within the period; some of them are cancelled.
  void submit_random_jobs(int jobs, Seconds period);
  void cancel(const std::string& id);
  /// Cancels up to `count` running jobs almost simultaneously; their machines hang for `hang`.
  void cancel_running_jobs(int count, Seconds hang = 0);
  /// Repeats submissions, cancels jobs that are already done, and submits jobs that fit no machine
  /// or lack a field.
  void send_irregular_requests(Seconds period);

  /// The submitted job, or nullptr if there is none with this ID.
  const JobSpec* spec(const std::string& id) const;
  const std::map<std::string, JobSpec>& submitted() const { return submitted_; }
  /// Whether the user has received any stage of the job.
  bool is_acknowledged(const std::string& id) const { return stages_.contains(id); }
  bool all_jobs_finished() const { return unfinished_jobs().empty(); }
  /// Jobs that were not reported as ended, each with its latest reported stage.
  std::string unfinished_jobs() const;

 private:
  JobSpec random_job();
  /// Sends the request to a random controller.
  void send(Request request, Seconds timeout, OnReply on_reply);
  void send_submission(const JobSpec& spec, int retries_left);
  void send_cancellation(const std::string& id, int retries_left);
  void poll(const std::string& id);
  void schedule_next_poll(const std::string& id);
  void query_unknown_job();
  void send_irregular_request();
  void send_invalid_submission(const std::string& body, int expected, const std::string& id);
  void repeat_request_at_random(bool submission);

  World& world_;
  std::map<std::string, JobSpec> submitted_;
  std::map<std::string, std::string> stages_;  // latest reported stage by job ID
  int next_job_ = 0;
};

}  // namespace larkroad::sim
