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

/// The body of a submission, as users send it.
std::string submission_body(const JobSpec& spec);

/// Models users who retry what failed, at any controller; poll each job until they know its end,
/// and sometimes beyond; repeat submissions; and ask for jobs that do not exist. Everything that
/// they do and are answered is passed to the checker. It does not model authentication.
class SimulatedUsers {
 public:
  explicit SimulatedUsers(World& world) : world_(world) {}

  void submit(const JobSpec& spec, Seconds when);
  /// Jobs of random shapes at random times of that period; some of them are cancelled.
  void submit_random_jobs(int jobs, Seconds period);
  void cancel(const std::string& id);
  /// Cancels so many running jobs at once; their machines hang for so long.
  void cancel_running_jobs(int count, Seconds hang = 0);
  /// Submissions of jobs that are not over are repeated, jobs that are over are cancelled, and
  /// submissions come that fit no machine or lack a field.
  void send_irregular_requests(Seconds period);

  /// What a submission said; nullptr when the job was never submitted.
  const JobSpec* spec(const std::string& id) const;
  const std::map<std::string, JobSpec>& submitted() const { return submitted_; }
  /// Whether the job's user has been told of any stage of it.
  bool is_acknowledged(const std::string& id) const { return stages_.contains(id); }
  bool all_jobs_finished() const { return unfinished_jobs().empty(); }
  /// Jobs whose users know of no end, each with its latest stage.
  std::string unfinished_jobs() const;

 private:
  JobSpec random_job();
  /// Sends the request to a controller at random.
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
  std::map<std::string, std::string> stages_;  // the latest that each user was told
  int next_job_ = 0;
};

}  // namespace larkroad::sim
