/// Behaviour of the tasks of a simulated run, across machines.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sim/fake_worker.hpp"

namespace larkroad::sim {

/// Models the tasks themselves: a gang starts when all its members are ready, ends when one of them
/// is lost, and completes as a whole. Records which tasks started, failed and completed; like the
/// results of real jobs, these records outlive the machines.
class TaskRuntime {
 public:
  /// Start time and index of a task.
  using Start = std::pair<Seconds, std::uint32_t>;

  explicit TaskRuntime(World& world) : world_(world) {}

  /// Makes a running task exit on its own; returns false if it is not running.
  bool end_task(const TaskId& id, const std::string& cause);
  std::uint32_t running_tasks(const std::string& job) const;
  const std::vector<Start>& starts_of(const std::string& job) { return starts_[job]; }
  size_t completed_tasks(const std::string& job) const;
  bool is_completed(const TaskId& id) const;

  /// Called by the workers.
  void record_start(const TaskId& id);
  void start_gang_if_complete(const std::string& job, std::uint64_t attempt);
  void complete(const TaskId& id, std::uint64_t attempt);
  void on_gang_member_lost(const std::string& job, std::uint64_t attempt);

  /// Jobs submitted with an error: all their tasks fail when they start.
  std::set<std::string> faulty_jobs;
  /// Times of failed starts, by job.
  std::map<std::string, std::vector<Seconds>> failures;

 private:
  void exit_gang_members(const std::string& job, std::uint64_t attempt);

  World& world_;
  std::map<std::string, std::set<std::uint32_t>> completed_;
  std::map<std::string, std::vector<Start>> starts_;
};

}  // namespace larkroad::sim
