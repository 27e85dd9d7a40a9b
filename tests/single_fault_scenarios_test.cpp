// Full simulated runs of three controllers, each with one kind of fault.
#include <gtest/gtest.h>

#include <algorithm>

#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

const Scenario kSingleFaults[] = {
    {"no_faults", {}, [](World&) {}},
    {"lost_answers", {.lost_responses = 0.03, .cancelled_jobs = 0.2}, [](World&) {}},
    {"delayed_requests",
     {.lost_responses = 0.01, .delayed_requests = 0.02, .cancelled_jobs = 0.3},
     [](World&) {}},
    {"leader_crashes",
     {.lost_responses = 0.005,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.2},
     [](World& world) {
       for (const Seconds when : {30, 55, 70, 71, 100}) {
         with_leader(world, when, [&world](size_t leader) { world.crash(leader, 4); });
       }
     }},
    {"leader_restarts_quickly",
     {.lost_responses = 0.005,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.2},
     [](World& world) {
       for (const Seconds when : {30, 45, 60, 75}) {
         with_leader(world, when, [&world](size_t leader) { world.crash(leader, 0.3); });
       }
     }},
    {"all_controllers_crash",
     {.delayed_requests = 0.01, .max_request_delay = 30, .cancelled_jobs = 0.2},
     [](World& world) {
       for (const Seconds when : {40, 90}) {
         world.events.schedule_at(when, [&world] {
           for (size_t i = 0; i < kControllers; ++i) world.crash(i, 3 + static_cast<double>(i));
         });
       }
     }},
    {"state_outage",
     {.lost_responses = 0.002, .max_request_delay = 30, .cancelled_jobs = 0.3},
     [](World& world) {
       for (const Seconds when : {30, 80}) {
         world.events.schedule_at(when, [&world] { world.store.set_outage(true); });
         world.events.schedule_at(when + 15, [&world] { world.store.set_outage(false); });
       }
     }},
    {"store_outage_and_leader_crash",
     {.lost_responses = 0.002,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.3},
     [](World& world) {
       world.events.schedule_at(40, [&world] { world.store.set_outage(true); });
       world.events.schedule_at(52, [&world] { world.store.set_outage(false); });
       with_leader(world, 44, [&world](size_t leader) { world.crash(leader, 4); });
     }},
    {"leader_rejected_by_store",
     {.lost_responses = 0.002, .max_request_delay = 30, .cancelled_jobs = 0.4},
     [](World& world) {
       for (const Seconds when : {30, 80}) {
         with_leader(world, when, [&world](size_t leader) {
           world.network.refused_by_store.insert(controller_name(leader));
           world.events.schedule_at(world.events.now() + 25, [&world, leader] {
             world.network.refused_by_store.erase(controller_name(leader));
           });
         });
       }
     }},
    {"leader_partitioned_from_store",
     {.lost_responses = 0.002,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.4},
     [](World& world) {
       for (const Seconds when : {30, 80}) {
         with_leader(world, when, [&world](size_t leader) {
           world.network.partition(controller_name(leader), kStoreHost, 25);
         });
       }
     }},
    {"leader_partitioned_from_workers",
     {.lost_responses = 0.002,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.4},
     [](World& world) {
       for (const Seconds when : {30, 80}) {
         with_leader(world, when, [&world](size_t leader) {
           world.network.partition(controller_name(leader), kWorkersHost, 25);
         });
       }
     }},
    {"leader_cut_from_all",
     {.lost_responses = 0.002,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.4},
     [](World& world) {
       for (const Seconds when : {30, 80}) {
         with_leader(world, when, [&world](size_t leader) {
           for (const char* other : {kStoreHost, kWorkersHost, kUsersHost, kCloudHost}) {
             world.network.partition(controller_name(leader), other, 30);
           }
           for (size_t j = 0; j < kControllers; ++j) {
             if (j != leader)
               world.network.partition(controller_name(leader), controller_name(j), 30);
           }
         });
       }
     }},
    // Machines are partitioned from every controller, for shorter and longer than their lease.
    // Requests sent to them on open connections are delivered afterwards.
    {"machines_partitioned",
     {.lost_responses = 0.01,
      .delayed_requests = 0.02,
      .max_request_delay = 30,
      .cancelled_jobs = 0.4},
     [](World& world) {
       for (int k = 0; k < 40; ++k) {
         world.events.schedule_at(15 + 3 * k, [&world, k] {
           if (world.workers.empty()) return;
           const auto& victim = world.workers[static_cast<size_t>(
               world.random_fraction() * static_cast<double>(world.workers.size()))];
           partition_machine(world, victim->name, k % 2 == 0 ? 6 : 25);
         });
       }
     }},
    // More jobs than the team limits allow, high-priority jobs that preempt others, and failovers.
    {"crowded",
     {.lost_responses = 0.01, .delayed_requests = 0.005, .max_request_delay = 20},
     [](World& world) {
       world.users.submit_random_jobs(100, 90);
       for (int k = 0; k < 10; ++k) {
         with_leader(world, 20 + 9 * k, [&world](size_t leader) { world.crash(leader, 2); });
       }
     }},
    {"machines_terminate_during_leader_changes",
     {.lost_responses = 0.002,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.2},
     [](World& world) {
       for (int k = 0; k < 8; ++k) {
         world.events.schedule_at(25 + 10 * k, [&world] {
           for (const auto& worker : world.workers) {
             if (!worker->terminated && world.random_fraction() < 0.2) worker->terminate();
           }
         });
         with_leader(world, 26 + 10 * k, [&world](size_t leader) { world.crash(leader, 3); });
       }
     }},
    // Heartbeats arrive, but neither responses nor commands reach the machines.
    {"machines_cannot_receive",
     {.lost_responses = 0.005,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.3},
     [](World& world) {
       for (int k = 0; k < 12; ++k) {
         world.events.schedule_at(15 + 8 * k, [&world, k] {
           if (world.workers.empty()) return;
           const auto& victim = world.workers[static_cast<size_t>(
               world.random_fraction() * static_cast<double>(world.workers.size()))];
           world.network.block_inbound(victim->name, k % 3 == 0 ? 6 : 80);
         });
       }
       with_leader(world, 60, [&world](size_t leader) { world.crash(leader, 3); });
     }},
    {"duplicated_heartbeats",
     {.lost_responses = 0.005,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.3,
      .duplicated_heartbeats = 0.3},
     [](World& world) {
       for (int k = 0; k < 6; ++k) {
         with_leader(world, 25 + 14 * k, [&world](size_t leader) { world.crash(leader, 2); });
         world.events.schedule_at(30 + 14 * k, [&world] {
           for (const auto& worker : world.workers) {
             if (!worker->terminated && world.random_fraction() < 0.1) worker->terminate();
           }
         });
       }
     }},
    // Machines are unreachable from the start of a failover until about the time when the new
    // leader may treat their leases as expired. Meanwhile new incarnations start whose heartbeats
    // have not been answered.
    {"machines_partitioned_during_failover",
     {.max_request_delay = 30, .cancelled_jobs = 0.2},
     [](World& world) {
       world.cloud.capacity = 12;
       for (int k = 0; k < 3; ++k) {
         const Seconds when = 18 + 45 * k;
         with_leader(world, when, [&world](size_t leader) { world.crash(leader, 1); });
         world.events.schedule_at(when, [&world] {
           for (const auto& worker : world.workers) {
             if (world.random_fraction() < 0.5) continue;  // keeps capacity on other machines
             const Seconds length = 18 + 10 * world.random_fraction();
             partition_machine(world, worker->name, length);
             world.network.block_outbound(worker->name, 40);
           }
         });
         // Prevents machines from being released when their leases expire, which would mask a
         // failure.
         world.events.schedule_at(when + 28, [&world] {
           for (size_t i = 0; i < kControllers; ++i)
             world.network.partition(controller_name(i), kCloudHost, 14);
         });
       }
     }},
    {"leader_reaches_only_workers",
     {.lost_responses = 0.002,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.4},
     [](World& world) {
       for (const Seconds when : {25, 75}) {
         with_leader(world, when,
                     [&world](size_t leader) { world.isolate_controller(leader, 35); });
       }
     }},
    {"follower_reaches_only_workers",
     {.lost_responses = 0.002,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.4},
     [](World& world) {
       for (const Seconds when : {25, 75}) {
         world.events.schedule_at(
             when, [&world] { world.isolate_controller((world.leader() + 1) % kControllers, 35); });
       }
     }},
    // Processes and workers restart almost immediately, also during an election.
    {"quick_restarts",
     {.lost_responses = 0.005,
      .delayed_requests = 0.01,
      .max_request_delay = 30,
      .cancelled_jobs = 0.2},
     [](World& world) {
       for (int k = 0; k < 12; ++k) {
         with_leader(world, 20 + 9 * k, [&world](size_t leader) {
           world.crash(leader, 0.05 + world.random_fraction() * 0.4);
           for (size_t j = 0; j < kControllers; ++j) {
             if (j == leader) continue;
             world.events.schedule_at(
                 world.events.now() + 1 + world.random_fraction() * 2,
                 [&world, j] { world.crash(j, 0.05 + world.random_fraction() * 0.4); });
           }
         });
         world.events.schedule_at(24 + 9 * k, [&world] {
           for (const auto& worker : world.workers) {
             if (!worker->terminated && world.random_fraction() < 0.3) worker->restart();
           }
         });
       }
     }},
    // A stream of small jobs that on its own never leaves enough free capacity for the large jobs.
    {"large_jobs_under_load",
     {.lost_responses = 0.002, .delayed_requests = 0.002, .max_request_delay = 30},
     [](World& world) {
       world.cloud.capacity = 9;
       for (int k = 0; k < 330; ++k) {
         JobSpec spec = testing::spec("job-" + std::to_string(5000 + k), 1, 4);
         spec.team = k % 2 == 0 ? "red" : "blue";
         spec.estimate_s = 5;
         spec.priority = k % 3 == 0 ? protocol::Priority::high : protocol::Priority::normal;
         world.users.submit(spec, 5 + 0.75 * k);
       }
       for (int k = 0; k < 4; ++k) {
         JobSpec spec = testing::spec("job-" + std::to_string(6000 + k), 4, 4);
         spec.job_class = "bulk";
         spec.team = k % 2 == 0 ? "red" : "blue";
         spec.shape = k < 2 ? protocol::Shape::gang : protocol::Shape::array;
         spec.priority = protocol::Priority::low;
         world.users.submit(spec, 8);
       }
     },
     0},
    {"a_node_stands_still",
     {.lost_responses = 0.005,
      .delayed_requests = 0.01,
      .max_request_delay = 30,
      .cancelled_jobs = 0.2},
     [](World& world) {
       for (int k = 0; k < 5; ++k) {
         with_leader(world, 20 + 20 * k,
                     [&world, k](size_t leader) { world.pause_controller(leader, 3 + 4 * k); });
         world.events.schedule_at(27 + 20 * k, [&world] {
           world.pause_controller((world.leader() + 1) % kControllers, 5);
         });
       }
     }},
    {"all_at_once",
     {.lost_responses = 0.01,
      .delayed_requests = 0.01,
      .max_request_delay = 30,
      .cancelled_jobs = 0.3,
      .duplicated_heartbeats = 0.1},
     [](World& world) {
       for (int k = 0; k < 5; ++k) {
         const Seconds when = 20 + 20 * k;
         world.events.schedule_at(when, [&world] {
           for (const auto& worker : world.workers) {
             if (worker->terminated) continue;
             if (world.random_fraction() < 0.15) world.network.block_inbound(worker->name, 25);
             if (world.random_fraction() < 0.1) worker->restart();
           }
         });
         with_leader(world, when + 4, [&world, k](size_t leader) {
           if (k % 2 == 0) {
             world.isolate_controller(leader, 25);
           } else {
             world.crash(leader, 0.2);
           }
         });
       }
     }},
    {"machines_die",
     {.lost_responses = 0.002,
      .delayed_requests = 0.005,
      .max_request_delay = 30,
      .cancelled_jobs = 0.2},
     [](World& world) {
       for (int k = 0; k < 10; ++k) {
         world.events.schedule_at(25 + 8 * k, [&world, k] {
           std::vector<FakeWorker*> up;
           for (const auto& worker : world.workers) {
             if (!worker->terminated) up.push_back(worker.get());
           }
           if (up.empty()) return;
           FakeWorker& victim =
               *up[static_cast<size_t>(world.random_fraction() * static_cast<double>(up.size()))];
           if (k % 3 == 0) {
             victim.terminate();
           } else if (k % 3 == 1) {
             victim.reclaim_in(5);
           } else {
             victim.set_faulty();
           }
         });
       }
     }},
};

class SingleFaultScenario : public ::testing::TestWithParam<Scenario> {};

TEST_P(SingleFaultScenario, SatisfiesInvariantsAndFinishesJobs) {
  for (const std::uint64_t seed : {1, 2, 3}) run_and_verify(GetParam(), seed);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, SingleFaultScenario, ::testing::ValuesIn(kSingleFaults),
                         [](const auto& info) { return std::string(info.param.name); });

// The lease of a terminated machine expires even if copies of its last heartbeat keep arriving. The
// cloud is unreachable, so the controllers cannot learn of the loss from the machine list.
TEST(DuplicatedHeartbeats, DoNotRenewLease) {
  World world(1, {});
  for (int k = 0; k < 3; ++k) {
    JobSpec spec = testing::spec("job-" + std::to_string(100 + k), 1, 4);
    spec.estimate_s = k == 0 ? 30 : 3;
    world.users.submit(spec, 2);
  }
  world.events.schedule_at(25, [&world] {
    for (size_t i = 0; i < kControllers; ++i)
      world.network.partition(controller_name(i), kCloudHost, 100);
    for (const auto& worker : world.workers) {
      if (worker->terminated || !worker->is_running("job-100")) continue;
      worker->terminate();
      world.network.replay_last_heartbeat(worker->name, 70);
    }
  });
  world.run(25 + world.settings.lease_s + 30 + 3 * world.settings.heartbeat_interval_s + 5);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  for (const auto& line : world.invariants.violations()) ADD_FAILURE() << line;
}

}  // namespace

std::span<const Scenario> single_fault_scenarios() { return kSingleFaults; }

}  // namespace larkroad::sim
