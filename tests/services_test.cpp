// Scenarios of services: jobs whose replicas run until the job is cancelled.
#include <gtest/gtest.h>

#include <algorithm>

#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

using testing::service;

std::shared_ptr<FakeWorker> worker_running(const World& world, const std::string& job) {
  for (const auto& worker : world.workers) {
    if (!worker->terminated && worker->is_running(job)) return worker;
  }
  return nullptr;
}

std::vector<Seconds> start_times(World& world, const std::string& job, std::uint32_t task) {
  std::vector<Seconds> out;
  for (const auto& [when, started] : world.tasks.starts_of(job)) {
    if (started == task) out.push_back(when);
  }
  return out;
}

// A replica is restarted whatever ended it, and the job finishes only when its user cancels it.
TEST(Services, RestartsAReplicaWhateverEndedIt) {
  const struct {
    const char* name;
    std::function<void(World&)> end_replica;
    Seconds recovery_time;
  } cases[] = {
      {"exit with success",
       [](World& world) {
         EXPECT_TRUE(world.tasks.end_task({"job-1", 0}, "done"));
       },
       4},
      {"exit with an error",
       [](World& world) {
         EXPECT_TRUE(world.tasks.end_task({"job-1", 0}, "error"));
       },
       4},
      // Detected by the machine list or by the expiry of the lease.
      {"machine lost", [](World& world) { worker_running(world, "job-1")->terminate(); }, 20},
      {"machine restarted", [](World& world) { worker_running(world, "job-1")->restart(); }, 6},
      {"machine hung beyond its lease",
       [](World& world) { worker_running(world, "job-1")->hang(20); }, 30},
      // One of its two replicas is migrated before the end; the other restarts only once the
      // machine is known to be lost.
      {"machine reclaimed", [](World& world) { worker_running(world, "job-1")->reclaim_in(6); },
       25},
      {"leader and machine lost",
       [](World& world) {
         worker_running(world, "job-1")->terminate();
         world.crash(world.leader(), 4);
       },
       35},
  };
  for (const auto& test_case : cases) {
    SCOPED_TRACE(test_case.name);
    World world(1, {});
    world.users.submit(service("job-1", 3, 2), 2);
    world.run(40);
    ASSERT_EQ(world.tasks.running_tasks("job-1"), 3u);
    test_case.end_replica(world);
    world.run(40 + test_case.recovery_time);
    EXPECT_EQ(world.tasks.running_tasks("job-1"), 3u);
    world.run(120);
    EXPECT_EQ(world.tasks.running_tasks("job-1"), 3u);
    EXPECT_FALSE(world.users.all_jobs_finished());
    world.users.cancel("job-1");
    world.run(120 + world.settings.cancellation_limit_s);
    EXPECT_EQ(world.tasks.running_tasks("job-1"), 0u);
    EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
    expect_no_violations(world);
  }
}

// A replica that ends repeatedly is restarted with backoff. The job's other replicas keep running,
// and no machine is quarantined because of it.
TEST(Services, BacksOffOnlyTheReplicaThatKeepsEnding) {
  for (const char* cause : {"done", "error"}) {
    SCOPED_TRACE(cause);
    World world(1, {});
    world.users.submit(service("job-1", 3, 2), 2);
    world.run(40);
    ASSERT_EQ(world.tasks.running_tasks("job-1"), 3u);
    for (Seconds when = 40; when < 160; when += 0.5) {
      world.events.schedule_at(when, [&world, cause] {
        world.tasks.end_task({"job-1", 0}, cause);
      });
    }
    world.run(160);
    const auto starts = start_times(world, "job-1", 0);
    EXPECT_GE(starts.size(), 5u);
    EXPECT_LE(starts.size(), 12u);
    EXPECT_EQ(start_times(world, "job-1", 1).size(), 1u);
    EXPECT_EQ(start_times(world, "job-1", 2).size(), 1u);
    // When it stops ending, it runs again within the maximum backoff of 16 heartbeat intervals.
    world.run(160 + 16 * world.settings.heartbeat_interval_s + 5);
    EXPECT_EQ(world.tasks.running_tasks("job-1"), 3u);
    EXPECT_EQ(world.terminated_machines(), 0u);
    expect_no_violations(world);
  }
}

// A machine that fails every task is detected by replicas that fail on it and run on other
// machines.
TEST(Services, AFaultyMachineDoesNotKeepAReplicaDown) {
  World world(1, {});
  world.cloud.capacity = 3;
  JobSpec others = testing::spec("job-2", 3, 12);
  others.types = {"large"};
  others.team = "blue";
  others.estimate_s = 300;
  world.users.submit(others, 2);
  world.run(30);
  ASSERT_EQ(world.workers.size(), 3u);
  world.workers[0]->set_faulty();
  for (int k = 0; k < 4; ++k)
    world.users.submit(service("job-" + std::to_string(10 + k), 3, 1), 30 + k);
  world.run(75);
  for (int k = 0; k < 4; ++k) {
    EXPECT_EQ(world.tasks.running_tasks("job-" + std::to_string(10 + k)), 3u) << k;
  }
  expect_no_violations(world);
}

// A replica on a machine with a reclaim notice keeps running there until another machine has
// capacity for it. If one has, the replica is migrated before the machine is reclaimed.
TEST(Services, MigratesAReplicaOnlyWhenAnotherMachineHasCapacity) {
  for (const bool capacity : {true, false}) {
    SCOPED_TRACE(capacity ? "capacity on another machine" : "no capacity on another machine");
    World world(1, {});
    world.cloud.capacity = 2;
    JobSpec only = service("job-1", 1, 9);
    only.types = {"large"};
    world.users.submit(only, 2);
    JobSpec other = testing::spec("job-2", 1, 9);
    other.types = {"large"};
    other.team = "blue";
    other.priority = protocol::Priority::production;
    other.estimate_s = capacity ? 1 : 200;
    world.users.submit(other, 2);
    world.run(20);
    ASSERT_EQ(world.tasks.running_tasks("job-1"), 1u);
    ASSERT_EQ(world.tasks.running_tasks("job-2"), capacity ? 0u : 1u);
    const auto reclaimed = worker_running(world, "job-1");
    reclaimed->reclaim_in(8);
    world.run(27);
    EXPECT_EQ(reclaimed->is_running("job-1"), !capacity);
    EXPECT_EQ(world.tasks.running_tasks("job-1"), 1u);
    world.run(60);
    expect_no_violations(world);
  }
}

// A machine that runs a replica is not released, however low its utilisation.
TEST(Services, DoesNotReleaseAMachineThatRunsAReplica) {
  World world(1, {});
  world.users.submit(service("job-1", 2, 1), 2);
  world.users.submit(testing::spec("job-2", 6, 4), 2);
  world.run(200);
  EXPECT_EQ(world.tasks.starts_of("job-1").size(), 2u);
  EXPECT_EQ(world.tasks.running_tasks("job-1"), 2u);
  world.users.cancel("job-1");
  world.run(400);
  EXPECT_EQ(world.terminated_machines(), world.workers.size());
  expect_no_violations(world);
}

// Services beside random jobs, under faults; cancelled while replicas are being restarted or
// migrated.
void submit_services(World& world) {
  for (int k = 0; k < 8; ++k) {
    JobSpec spec = service("job-" + std::to_string(10 + k), 2 + k % 4, 1);
    spec.team = k % 2 == 0 ? "red" : "blue";
    spec.spread = k % 3 == 0;
    spec.spot = k % 2 == 1;
    world.users.submit(spec, 5 + 5 * k);
    world.events.schedule_at(80 + 15 * k, [&world, id = spec.id] { world.users.cancel(id); });
  }
}

const Scenario kServiceScenarios[] = {
    {"quiet", {}, submit_services},
    {"machines_go_and_leaders_change",
     {.lost_responses = 0.005, .delayed_requests = 0.005, .max_request_delay = 20},
     [](World& world) {
       submit_services(world);
       for (int k = 0; k < 8; ++k) {
         world.events.schedule_at(25 + 14 * k, [&world, k] {
           for (const auto& worker : world.workers) {
             if (worker->terminated || world.random_fraction() > 0.2) continue;
             if (k % 2 == 0) {
               worker->reclaim_in(3 + 8 * world.random_fraction());
             } else {
               worker->terminate();
             }
           }
         });
         with_leader(world, 27 + 14 * k, [&world](size_t leader) {
           world.crash(leader, 0.2 + 4 * world.random_fraction());
         });
       }
     }},
    {"cancelled_while_cut_off_and_refused",
     {.lost_responses = 0.005, .delayed_requests = 0.005, .max_request_delay = 20},
     [](World& world) {
       submit_services(world);
       for (const Seconds when : {78, 92, 108, 123, 138}) {
         world.events.schedule_at(when, [&world] {
           for (const auto& worker : world.workers) {
             if (worker->terminated || world.random_fraction() > 0.3) continue;
             if (world.random_fraction() < 0.5) {
               worker->hang(1 + 10 * world.random_fraction());
             } else {
               world.network.block_inbound(worker->name, 12);
             }
           }
         });
         with_leader(world, when + 1,
                     [&world](size_t leader) { world.isolate_controller(leader, 12); });
       }
       world.events.schedule_at(150, [&world] { world.store.set_outage(true); });
       world.events.schedule_at(158, [&world] { world.store.set_outage(false); });
     }},
    {"late_copies_of_reports_and_commands",
     {.lost_responses = 0.005,
      .delayed_requests = 0.02,
      .max_request_delay = 20,
      .duplicated_heartbeats = 0.2,
      .duplicated_commands = 0.2},
     [](World& world) {
       submit_services(world);
       for (int k = 0; k < 6; ++k) {
         world.events.schedule_at(30 + 18 * k, [&world] {
           for (const auto& worker : world.workers) {
             if (!worker->terminated && world.random_fraction() < 0.15) worker->restart();
           }
         });
         with_leader(world, 31 + 18 * k, [&world](size_t leader) { world.crash(leader, 2); });
       }
     }},
};

class ServiceScenario : public ::testing::TestWithParam<Scenario> {};

TEST_P(ServiceScenario, SatisfiesInvariantsAndEndsWhenCancelled) {
  for (const std::uint64_t seed : {1, 2, 3}) run_and_verify(GetParam(), seed);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, ServiceScenario, ::testing::ValuesIn(kServiceScenarios),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace

std::span<const Scenario> service_scenarios() { return kServiceScenarios; }

}  // namespace larkroad::sim
