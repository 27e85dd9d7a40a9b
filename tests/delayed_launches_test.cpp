// Launches that arrive late, while their tasks are stopped.
#include <gtest/gtest.h>

#include <cstdint>
#include <string>

#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

// Direct launches go unanswered and are repeated in slow responses to heartbeats, while gangs
// lose machines, jobs are cancelled, and the end of many short tasks raises the fencing token.
const Scenario kDelayedLaunches = {
    "delayed_launches_of_stopped_tasks",
    {.delayed_requests = 0.002,
     .max_request_delay = 25,
     .cancelled_jobs = 0.3,
     .slow_heartbeat_responses = 0.6,
     .delayed_commands = 0.4,
     .image_fetch_time = 0.05},
    [](World& world) {
      for (int k = 0; k < 45; ++k) {
        JobSpec spec = testing::spec("job-" + std::to_string(5000 + k), 2 + k % 3, 3);
        spec.team = k % 2 == 0 ? "red" : "blue";
        spec.shape = k % 4 == 3 ? protocol::Shape::array : protocol::Shape::gang;
        spec.estimate_s = k % 4 == 3 ? 1 : 12;
        spec.spot = true;
        world.users.submit(spec, 5 + 2 * k);
      }
      world.events.schedule_at(kFaultsEnd, [&world] {
        world.faults.slow_heartbeat_responses = 0;
        world.faults.delayed_commands = 0;
      });
      for (int k = 0; k < 30; ++k) {
        world.events.schedule_at(15 + 4 * k, [&world] {
          for_random_workers(world, 0.1, [](FakeWorker& worker) { worker.reclaim_in(8); });
          world.users.cancel_running_jobs(1);
        });
      }
    }};

// Guards against a task that starts on two machines because a launch repeated in a heartbeat
// response is not remembered. With each of these seeds it did.
TEST(DelayedLaunches, OfStoppedTasksDoNotStart) {
  for (const std::uint64_t seed : {57, 94, 102, 125}) run_and_verify(kDelayedLaunches, seed);
}

// Workers restart without their tasks, some in the same incarnation, while direct commands, carried
// out and answered before, arrive again and jobs are cancelled.
const Scenario kRestartedWorkers = {
    "copies_of_commands_reach_restarted_workers",
    {.cancelled_jobs = 0.3, .duplicated_commands = 0.5, .image_fetch_time = 0.05},
    [](World& world) {
      for (int k = 0; k < 30; ++k) {
        world.events.schedule_at(15 + 4 * k, [&world] {
          for_random_workers(world, 0.05, [&world](FakeWorker& worker) {
            if (world.random_fraction() < 0.5) {
              worker.restart();
            } else {
              worker.restart_in_same_incarnation();
            }
          });
          world.users.cancel_running_jobs(1);
        });
      }
      world.events.schedule_at(kFaultsEnd, [&world] { world.faults.duplicated_commands = 0; });
    }};

// Guards against a cancelled task that stays on a machine whose worker has restarted in the same
// incarnation: the leader used to take its reports for old ones and never stopped the task.
TEST(DelayedLaunches, ReachRestartedWorkersWithoutLastingEffect) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) run_and_verify(kRestartedWorkers, seed);
}

}  // namespace
}  // namespace larkroad::sim
