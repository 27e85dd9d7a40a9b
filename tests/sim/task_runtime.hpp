/// What the tasks of a simulated run do, across machines.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sim/fake_worker.hpp"

namespace larkroad::sim {

/// Models the tasks themselves: a gang starts when all of its members have gathered, ends when one
/// of them is lost, and completes as a whole. Keeps what has completed, started and failed; that
/// stands for the jobs' results, which outlive machines.
class TaskRuntime {
 public:
  /// A start of a task: when, and which.
  using Start = std::pair<Seconds, std::uint32_t>;

  explicit TaskRuntime(World& world) : world_(world) {}

  /// A running task of the job ends by itself; false when it does not run.
  bool end_task(const TaskId& id, const std::string& cause);
  std::uint32_t running_tasks(const std::string& job) const;
  const std::vector<Start>& starts_of(const std::string& job) { return starts_[job]; }
  size_t completed_tasks(const std::string& job) const;
  bool is_completed(const TaskId& id) const;

  /// For the workers.
  void record_start(const TaskId& id);
  void start_gang_if_complete(const std::string& job, std::uint64_t attempt);
  void complete(const TaskId& id, std::uint64_t attempt);
  void on_gang_member_lost(const std::string& job, std::uint64_t attempt);

  /// Submitted with a mistake: all of their tasks fail at their start.
  std::set<std::string> faulty_jobs;
  /// Times of failures at the start, by job.
  std::map<std::string, std::vector<Seconds>> failures;

 private:
  void exit_gang_members(const std::string& job, std::uint64_t attempt);

  World& world_;
  std::map<std::string, std::set<std::uint32_t>> completed_;
  std::map<std::string, std::vector<Start>> starts_;
};

}  // namespace larkroad::sim
