// Full simulated runs that combine several faults. Most invariant violations found so far needed
// two faults at the same time. Each scenario corresponds to a row in docs/DESIGN.md.
#include <gtest/gtest.h>

#include "sim/long_jobs.hpp"
#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

const Scenario kCombinedFailures[] = {
    // Workers cannot open connections to any controller, but still receive direct commands.
    {"machines_cannot_send",
     {.lost_responses = 0.002,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.3},
     [](World& world) {
       for (int k = 0; k < 4; ++k) {
         world.events.schedule_at(20 + 32 * k, [&world, k] {
           for_random_workers(world, 0.4, [&](FakeWorker& worker) {
             world.network.block_outbound(worker.name, k % 2 == 0 ? 25 : 9);
           });
         });
         with_leader(world, 22 + 32 * k, [&world](size_t leader) { world.crash(leader, 2); });
         world.events.schedule_at(24 + 32 * k, [&world] { world.users.cancel_running_jobs(2); });
       }
     }},
    {"all_controllers_down_longer_than_a_lease",
     {.delayed_requests = 0.01,
      .max_request_delay = 30,
      .cancelled_jobs = 0.2,
      .duplicated_heartbeats = 0.1},
     [](World& world) {
       for (const Seconds when : {35, 95}) {
         world.events.schedule_at(when, [&world] { world.users.cancel_running_jobs(4); });
         world.events.schedule_at(when + 0.3, [&world] {
           for (size_t i = 0; i < kControllers; ++i)
             world.crash(i, 15 + static_cast<double>(i) * 0.3);
         });
       }
     }},
    {"cancelled_on_completion",
     {.lost_responses = 0.01,
      .delayed_requests = 0.01,
      .max_request_delay = 20,
      .cancelled_on_completion = 0.5},
     [](World& world) {
       with_leader(world, 60, [&world](size_t leader) { world.crash(leader, 1); });
     }},
    {"delayed_transactions_during_leader_changes",
     {.lost_responses = 0.04,
      .delayed_requests = 0.08,
      .max_request_delay = 12,
      .cancelled_jobs = 0.2},
     [](World& world) {
       for (int k = 0; k < 6; ++k)
         with_leader(world, 25 + 18 * k, [&world](size_t leader) { world.crash(leader, 1); });
     }},
    {"hung_machines_and_cancellations",
     {.lost_responses = 0.002,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.2,
      .duplicated_heartbeats = 0.1},
     [](World& world) {
       for (int k = 0; k < 6; ++k) {
         world.events.schedule_at(20 + 20 * k,
                                  [&world, k] { world.users.cancel_running_jobs(3, 3 + 4 * k); });
         world.events.schedule_at(21 + 20 * k, [&world, k] {
           for_random_workers(world, 0.2,
                              [&](FakeWorker& worker) { worker.hang(k % 2 == 0 ? 8 : 15); });
         });
         with_leader(world, 22 + 20 * k, [&world](size_t leader) { world.crash(leader, 2); });
       }
     }},
    {"leader_isolated_while_jobs_are_cancelled",
     {.lost_responses = 0.002,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.2},
     [](World& world) {
       for (const Seconds when : {30, 90}) {
         with_leader(world, when,
                     [&world](size_t leader) { world.isolate_controller(leader, 35); });
         world.events.schedule_at(when + 4, [&world] { world.users.cancel_running_jobs(6); });
       }
     }},
    {"team_limits_during_failover",
     {.lost_responses = 0.002,
      .delayed_requests = 0.01,
      .max_request_delay = 25,
      .cancelled_jobs = 0.2},
     [](World& world) {
       world.users.submit_random_jobs(60, 60);
       for (int k = 0; k < 4; ++k) {
         const Seconds when = 25 + 30 * k;
         world.events.schedule_at(when, [&world] {
           for_random_workers(
               world, 0.4, [&](FakeWorker& worker) { partition_machine(world, worker.name, 16); });
         });
         with_leader(world, when + 1, [&world](size_t leader) { world.crash(leader, 3); });
         world.events.schedule_at(when + 2, [&world] { world.users.cancel_running_jobs(5); });
       }
     }},
    {"long_tasks_unreachable_during_failover",
     {.lost_responses = 0.002,
      .delayed_requests = 0.005,
      .max_request_delay = 25,
      .cancelled_jobs = 0.2},
     [](World& world) {
       submit_long_jobs(world, 60);
       for (int k = 0; k < 3; ++k) {
         const Seconds when = 25 + 40 * k;
         world.events.schedule_at(when, [&world, k] {
           for_random_workers(world, 0.5, [&](FakeWorker& worker) {
             if (k == 1) {
               world.network.block_inbound(worker.name, 20);
             } else {
               partition_machine(world, worker.name, 11 + 6 * k);
             }
           });
         });
         with_leader(world, when + 0.5, [&world](size_t leader) { world.crash(leader, 3); });
       }
     }},
    {"zone_partitioned_with_one_controller",
     {.lost_responses = 0.002,
      .delayed_requests = 0.005,
      .max_request_delay = 25,
      .cancelled_jobs = 0.2},
     [](World& world) {
       // One controller and the machines of one zone can reach only each other.
       for (const Seconds when : {30, 90}) {
         world.events.schedule_at(when, [&world] {
           const size_t isolated = (world.leader() + 1) % kControllers;
           world.isolate_controller(isolated, 20);
           for (const auto& worker : world.workers) {
             if (worker->zone != "west") continue;
             for (size_t i = 0; i < kControllers; ++i) {
               if (i != isolated) world.network.partition(controller_name(i), worker->name, 20);
             }
           }
         });
         world.events.schedule_at(when + 2, [&world] { world.users.cancel_running_jobs(4); });
       }
     }},
    {"ten_leader_changes_in_two_minutes",
     {.lost_responses = 0.005,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.2,
      .duplicated_heartbeats = 0.2},
     [](World& world) {
       for (int k = 0; k < 10; ++k) {
         with_leader(world, 20 + 12 * k,
                     [&world, k](size_t leader) { world.crash(leader, k % 3 == 0 ? 0.2 : 3); });
       }
       world.events.schedule_at(64, [&world] { world.store.set_outage(true); });
       world.events.schedule_at(78, [&world] { world.store.set_outage(false); });
       world.events.schedule_at(63, [&world] { world.users.cancel_running_jobs(4); });
     }},
    // Array jobs restricted to one zone lose machines while the leader changes.
    {"one_zone_arrays_lose_machines",
     {.lost_responses = 0.002, .delayed_requests = 0.01, .max_request_delay = 25},
     [](World& world) {
       for (int k = 0; k < 20; ++k) {
         JobSpec spec = testing::spec("job-" + std::to_string(5000 + k), 6, 2);
         spec.team = k % 2 == 0 ? "red" : "blue";
         spec.one_zone = true;
         spec.estimate_s = 12;
         world.users.submit(spec, 5 + 5 * k);
       }
       for (int k = 0; k < 8; ++k) {
         world.events.schedule_at(25 + 14 * k, [&world] {
           for_random_workers(world, 0.15, [](FakeWorker& worker) { worker.terminate(); });
           for_random_workers(
               world, 0.2, [&](FakeWorker& worker) { partition_machine(world, worker.name, 15); });
         });
         if (k % 2 == 0)
           with_leader(world, 27 + 14 * k, [&world](size_t leader) { world.crash(leader, 2); });
       }
     }},
    {"tasks_complete_at_different_times",
     {.lost_responses = 0.01,
      .delayed_requests = 0.01,
      .max_request_delay = 25,
      .duplicated_heartbeats = 0.1,
      .cancelled_on_completion = 0.1},
     [](World& world) {
       for (int k = 0; k < 20; ++k) {
         JobSpec spec = testing::spec("job-" + std::to_string(5000 + k), 2 + k % 2, 2);
         spec.team = k % 2 == 0 ? "red" : "blue";
         spec.estimate_s = 25;
         world.users.submit(spec, 5 + 4 * k);
       }
       for (int k = 0; k < 6; ++k)
         with_leader(world, 30 + 17 * k, [&world](size_t leader) { world.crash(leader, 1); });
     }},
    {"odd_requests_and_a_slow_state_service",
     {.lost_responses = 0.01,
      .delayed_requests = 0.05,
      .max_request_delay = 4,
      .cancelled_jobs = 0.2},
     [](World& world) {
       world.users.send_irregular_requests(150);
       world.events.schedule_at(70, [&world] { world.store.set_outage(true); });
       world.events.schedule_at(85, [&world] { world.store.set_outage(false); });
       with_leader(world, 110, [&world](size_t leader) {
         world.network.refused_by_store.insert(controller_name(leader));
         world.events.schedule_at(125, [&world, leader] {
           world.network.refused_by_store.erase(controller_name(leader));
         });
       });
     }},
    // Commands that were already executed and answered are delivered again, after their tasks have
    // stopped or failed, have been removed from the worker, and run on another machine.
    {"copies_of_direct_commands",
     {.lost_responses = 0.002,
      .delayed_requests = 0.002,
      .max_request_delay = 25,
      .cancelled_jobs = 0.3,
      .duplicated_commands = 0.7,
      .image_fetch_time = 0.05},
     [](World& world) {
       // Low-priority jobs that high-priority jobs preempt repeatedly while the team is at its
       // limit.
       for (int k = 0; k < 90; ++k) {
         JobSpec spec = testing::spec("job-" + std::to_string(5000 + k), 1 + k % 4, 3);
         spec.team = k % 2 == 0 ? "red" : "blue";
         spec.estimate_s = k % 3 == 0 ? 5 : 15;
         spec.priority = k % 3 == 0 ? protocol::Priority::high : protocol::Priority::low;
         world.users.submit(spec, 5 + 1.2 * k);
       }
       for (int k = 0; k < 12; ++k) {
         world.events.schedule_at(20 + 10 * k, [&world] { world.users.cancel_running_jobs(2); });
       }
     }},
    {"demand_exceeds_capacity",
     {.lost_responses = 0.002, .delayed_requests = 0.002, .max_request_delay = 25},
     [](World& world) {
       world.cloud.capacity = 10;
       for (int k = 0; k < 120; ++k) {
         JobSpec spec = testing::spec("job-" + std::to_string(5000 + k), 1 + k % 3, 3);
         spec.team = k % 2 == 0 ? "red" : "blue";
         spec.estimate_s = 8;
         spec.priority = k % 3 == 0 ? protocol::Priority::high : protocol::Priority::low;
         world.users.submit(spec, 5 + k);
       }
     },
     0},
};

class CombinedFailureScenario : public ::testing::TestWithParam<Scenario> {};

TEST_P(CombinedFailureScenario, SatisfiesInvariantsAndFinishesJobs) {
  for (const std::uint64_t seed : {1, 2, 3}) run_and_verify(GetParam(), seed);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, CombinedFailureScenario, ::testing::ValuesIn(kCombinedFailures),
                         [](const auto& info) { return std::string(info.param.name); });

// ---------------------------------------------------------------- random pairs of faults

using Fault = std::function<void(World&, Seconds)>;

const Fault kFaults[] = {
    [](World& world, Seconds when) {
      with_leader(world, when, [&world](size_t leader) {
        world.crash(leader, 0.2 + 4 * world.random_fraction());
      });
    },
    [](World& world, Seconds when) {
      world.events.schedule_at(when, [&world] {
        for (size_t i = 0; i < kControllers; ++i) world.crash(i, 1 + 15 * world.random_fraction());
      });
    },
    [](World& world, Seconds when) {
      with_leader(world, when, [&world](size_t leader) {
        world.network.refused_by_store.insert(controller_name(leader));
        world.events.schedule_at(world.events.now() + 10, [&world, leader] {
          world.network.refused_by_store.erase(controller_name(leader));
        });
      });
    },
    [](World& world, Seconds when) {
      world.events.schedule_at(when, [&world] { world.store.set_outage(true); });
      world.events.schedule_at(when + 17, [&world] { world.store.set_outage(false); });
    },
    [](World& world, Seconds when) {
      with_leader(world, when, [&world](size_t leader) { world.isolate_controller(leader, 20); });
    },
    [](World& world, Seconds when) {
      with_leader(world, when, [&world](size_t leader) { world.pause_controller(leader, 14); });
    },
    [](World& world, Seconds when) {
      with_leader(world, when, [&world](size_t leader) {
        world.store.hold_watches(controller_name(leader), world.events.now() + 15);
      });
    },
    [](World& world, Seconds when) {
      world.events.schedule_at(when, [&world] {
        for_random_workers(
            world, 0.3, [&](FakeWorker& worker) { world.network.block_inbound(worker.name, 15); });
      });
    },
    [](World& world, Seconds when) {
      world.events.schedule_at(when, [&world] {
        for_random_workers(
            world, 0.3, [&](FakeWorker& worker) { world.network.block_outbound(worker.name, 15); });
      });
    },
    [](World& world, Seconds when) {
      world.events.schedule_at(when, [&world] {
        for_random_workers(
            world, 0.3, [&](FakeWorker& worker) { worker.hang(2 + 14 * world.random_fraction()); });
      });
    },
    [](World& world, Seconds when) {
      world.events.schedule_at(when, [&world] {
        for_random_workers(world, 0.2, [](FakeWorker& worker) { worker.restart(); });
      });
    },
    [](World& world, Seconds when) {
      world.events.schedule_at(when, [&world] {
        for_random_workers(world, 0.3, [&](FakeWorker& worker) {
          for (size_t i = 0; i < kControllers; ++i) {
            const Seconds length = 6 + 10 * world.random_fraction();
            world.network.partition(controller_name(i), worker.name, length);
          }
        });
      });
    },
    [](World& world, Seconds when) {
      world.events.schedule_at(
          when, [&world] { world.users.cancel_running_jobs(4, 10 * world.random_fraction()); });
    },
    [](World& world, Seconds when) {
      world.events.schedule_at(when, [&world] { world.users.send_irregular_requests(20); });
    },
};

// The pairs are drawn from fixed seeds, so the test is deterministic.
TEST(CombinedFailures, RandomPairsOfFaults) {
  for (std::uint64_t seed = 1; seed <= 24; ++seed) {
    const Scenario scenario{
        "pairs",
        {.lost_responses = 0.005,
         .delayed_requests = 0.01,
         .max_request_delay = 20,
         .cancelled_jobs = 0.2,
         .duplicated_heartbeats = 0.1,
         .sockets = seed % 3 == 0 ? 20 : 200,
         .cancelled_on_completion = 0.1},
        [](World& world) {
          for (const Seconds when : {25, 65, 105}) {
            for (int k = 0; k < 2; ++k) {
              const auto fault = static_cast<size_t>(world.random_fraction() * std::size(kFaults));
              kFaults[fault](world, when + 4 * world.random_fraction());
            }
            world.events.schedule_at(when + 6 * world.random_fraction(),
                                     [&world] { world.users.cancel_running_jobs(3); });
          }
        }};
    run_and_verify(scenario, seed);
  }
}

}  // namespace

std::span<const Scenario> combined_failure_scenarios() { return kCombinedFailures; }

}  // namespace larkroad::sim
