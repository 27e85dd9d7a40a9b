/// Heartbeats relayed through the key-value store while a network partition separates two zones.
#include <gtest/gtest.h>

#include <algorithm>

#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

JobSpec job_in_zone(const std::string& id, const std::string& zone, Seconds run) {
  JobSpec spec = testing::spec(id, 4, 2);
  spec.zone = zone;
  spec.team = "blue";
  spec.estimate_s = run;
  return spec;
}

// Two long-running jobs, one in each zone, and a network partition between the zones that lasts
// for about three of the workers' leases.
class ZonePartitionTest : public ::testing::Test {
 protected:
  ZonePartitionTest() : world(1, {}) {
    world.users.submit(job_in_zone("job-1", "east", 200), 2);
    world.users.submit(job_in_zone("job-2", "west", 200), 2);
  }
  void partition_zones(Seconds length) {
    world.run(30);
    ASSERT_EQ(world.tasks.running_tasks("job-1"), 4u);
    ASSERT_EQ(world.tasks.running_tasks("job-2"), 4u);
    world.network.partition_zones(length);
  }
  World world;
};

TEST_F(ZonePartitionTest, TasksInTheOtherZoneKeepRunning) {
  partition_zones(36);
  world.run(66);
  EXPECT_EQ(world.tasks.starts_of("job-1").size(), 4u);
  EXPECT_EQ(world.tasks.starts_of("job-2").size(), 4u);
  EXPECT_EQ(world.tasks.running_tasks("job-1") + world.tasks.running_tasks("job-2"), 8u);
  world.run(400);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  expect_no_violations(world);
}

// The limit is `cancellation_limit_s`, but the leader's answers carry the cancellation within a few
// heartbeats.
TEST_F(ZonePartitionTest, CancellationsReachTheOtherZone) {
  partition_zones(40);
  world.run(45);
  world.users.cancel("job-1");
  world.users.cancel("job-2");
  world.run(45 + 4 * world.settings.heartbeat_interval_s);
  EXPECT_EQ(world.tasks.running_tasks("job-1") + world.tasks.running_tasks("job-2"), 0u);
  expect_no_violations(world);
}

TEST_F(ZonePartitionTest, TasksStartInTheOtherZoneOnceItsMachinesSendHeartbeats) {
  partition_zones(40);
  world.run(50);
  JobSpec east = job_in_zone("job-3", "east", 5);
  JobSpec west = job_in_zone("job-4", "west", 5);
  east.tasks = west.tasks = 1;
  east.cpus = west.cpus = 0.5;
  world.users.submit(east, 50);
  world.users.submit(west, 50);
  world.run(69);
  EXPECT_EQ(world.tasks.starts_of("job-3").size(), 1u);
  EXPECT_EQ(world.tasks.starts_of("job-4").size(), 1u);
  expect_no_violations(world);
}

// A leader of the first version does not watch for batches, so relays must not accept workers'
// heartbeats for it.
TEST_F(ZonePartitionTest, NoBatchIsWrittenForALeaderOfTheFirstVersion) {
  for (size_t i = 0; i < 3; ++i) world.run_first_version(i);
  world.run(5);
  for (size_t i = 0; i < 3; ++i) {
    if (i != world.leader()) world.upgrade_controller(i, 0.5);
  }
  partition_zones(30);
  world.run(60);
  EXPECT_FALSE(world.store.has_keys("q/"));
  // Without this route, the partition causes restarts of tasks.
  world.run(100);
  EXPECT_GT(world.tasks.starts_of("job-1").size() + world.tasks.starts_of("job-2").size(), 8u);
  world.run(500);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  expect_no_violations(world);
}

const Scenario kZonePartitionScenarios[] = {
    {"repeated",
     {.lost_responses = 0.005,
      .delayed_requests = 0.005,
      .max_request_delay = 20,
      .cancelled_jobs = 0.2},
     [](World& world) {
       for (const Seconds when : {25, 50, 75, 100, 125}) {
         world.events.schedule_at(
             when, [&world] { world.network.partition_zones(4 + 18 * world.random_fraction()); });
       }
     }},
    {"while_leaders_change",
     {.lost_responses = 0.005,
      .delayed_requests = 0.005,
      .max_request_delay = 20,
      .cancelled_jobs = 0.2},
     [](World& world) {
       for (const Seconds when : {25, 60, 95, 125}) {
         world.events.schedule_at(when, [&world] { world.network.partition_zones(24); });
         with_leader(world, when + 8, [&world](size_t leader) {
           world.crash(leader, 0.2 + 4 * world.random_fraction());
         });
         world.events.schedule_at(when + 14, [&world] {
           world.users.cancel_running_jobs(4, 6 * world.random_fraction());
         });
       }
     }},
    {"with_store_outages_and_delayed_watches",
     {.lost_responses = 0.01,
      .delayed_requests = 0.02,
      .max_request_delay = 20,
      .cancelled_jobs = 0.2},
     [](World& world) {
       for (const Seconds when : {25, 60, 95, 125}) {
         world.events.schedule_at(when, [&world] { world.network.partition_zones(26); });
         world.events.schedule_at(when + 6, [&world] { world.store.set_outage(true); });
         world.events.schedule_at(when + 11, [&world] { world.store.set_outage(false); });
         with_leader(world, when + 15, [&world](size_t leader) {
           world.store.hold_watches(controller_name(leader), world.events.now() + 8);
         });
         world.events.schedule_at(when + 16, [&world] { world.users.cancel_running_jobs(3); });
       }
     }},
    {"with_duplicated_heartbeats_and_lost_machines",
     {.lost_responses = 0.005,
      .delayed_requests = 0.01,
      .max_request_delay = 20,
      .cancelled_jobs = 0.2,
      .duplicated_heartbeats = 0.2,
      .sockets = 20,
      .duplicated_commands = 0.1},
     [](World& world) {
       for (const Seconds when : {25, 55, 85, 115}) {
         world.events.schedule_at(when, [&world] { world.network.partition_zones(22); });
         world.events.schedule_at(when + 9, [&world] {
           for (const auto& worker : world.workers) {
             if (worker->terminated || world.random_fraction() > 0.2) continue;
             if (world.random_fraction() < 0.5) {
               worker->terminate();
             } else {
               worker->restart();
             }
           }
         });
       }
     }},
};

class ZonePartitionScenario : public ::testing::TestWithParam<Scenario> {};

TEST_P(ZonePartitionScenario, SatisfiesInvariantsAndFinishesJobs) {
  for (const std::uint64_t seed : {1, 2, 3, 4}) run_and_verify(GetParam(), seed);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, ZonePartitionScenario,
                         ::testing::ValuesIn(kZonePartitionScenarios),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace larkroad::sim
