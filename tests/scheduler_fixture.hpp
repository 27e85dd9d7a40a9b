/// Fixture of the scheduler tests: a cluster without I/O, on which single scheduling cycles are
/// run.
#pragma once

#include <gtest/gtest.h>

#include <string>

#include "coordination/scheduling/scheduler.hpp"
#include "support.hpp"

namespace larkroad::coordination {

class SchedulerTest : public ::testing::Test {
 protected:
  SchedulerTest() : settings(testing::settings()), cluster(settings) {
    cluster.set_types(testing::types());
  }

  Plan run_cycle(Seconds now = 100) { return plan(cluster, reservations, now, limits); }

  /// Runs a cycle and applies its assignments, as the leader does.
  Plan run_cycle_and_place(Seconds now = 100) {
    Plan result = run_cycle(now);
    for (const auto& assignment : result.assignments) {
      Job& job = *cluster.job(assignment.job);
      for (const auto& [task, machine] : assignment.tasks) {
        cluster.place(job, task, cluster.machine(machine), 1, now);
      }
    }
    return result;
  }

  /// Marks the job's placed tasks as running.
  static void mark_running(Job& job, Seconds (*since)(std::uint32_t task)) {
    for (auto& [task, placement] : job.placements) {
      placement.stage = Placement::Stage::acknowledged;
      placement.state = TaskState::running;
      placement.running_since = since(task);
    }
  }

  static size_t placed_tasks(const Plan& plan, const std::string& job) {
    for (const auto& assignment : plan.assignments) {
      if (assignment.job == job) return assignment.tasks.size();
    }
    return 0;
  }

  Settings settings;
  ClusterState cluster;
  GangReservations reservations;
  CycleLimits limits;
};

}  // namespace larkroad::coordination
