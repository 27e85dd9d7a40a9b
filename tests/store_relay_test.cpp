/// Heartbeats that reach the leader by way of the key-value store, where a network partition lies
/// between two zones.
#include <gtest/gtest.h>

#include <algorithm>

#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

JobSpec in_zone(const std::string& id, const std::string& zone, Seconds run) {
  JobSpec spec = testing::spec(id, 4, 2);
  spec.zone = zone;
  spec.team = "blue";
  spec.estimate_s = run;
  return spec;
}

// Two jobs that run on, one in each zone, and a cut that lasts for three leases.
class ZonesApart : public ::testing::Test {
 protected:
  ZonesApart() : world(1, {}) {
    world.submit(in_zone("job-1", "east", 200), 2);
    world.submit(in_zone("job-2", "west", 200), 2);
  }
  void cut(Seconds length) {
    world.run(30);
    ASSERT_EQ(world.running_tasks("job-1"), 4u);
    ASSERT_EQ(world.running_tasks("job-2"), 4u);
    world.cut_zones(length);
  }
  World world;
};

TEST_F(ZonesApart, WhatRunsInTheOtherZoneGoesOn) {
  cut(36);
  world.run(66);
  EXPECT_EQ(world.starts_of("job-1").size(), 4u);
  EXPECT_EQ(world.starts_of("job-2").size(), 4u);
  EXPECT_EQ(world.running_tasks("job-1") + world.running_tasks("job-2"), 8u);
  world.run(400);
  EXPECT_TRUE(world.all_over()) << world.unfinished();
  expect_no_breach(world);
}

// The rules give it `cancellation_limit_s`; the leader's answers bring it within a few reports.
TEST_F(ZonesApart, ACancellationReachesTheOtherZone) {
  cut(40);
  world.run(45);
  world.cancel("job-1");
  world.cancel("job-2");
  world.run(45 + 4 * world.settings.heartbeat_interval_s);
  EXPECT_EQ(world.running_tasks("job-1") + world.running_tasks("job-2"), 0u);
  expect_no_breach(world);
}

TEST_F(ZonesApart, WorkStartsInTheOtherZoneOnceItsMachinesReport) {
  cut(40);
  world.run(50);
  JobSpec east = in_zone("job-3", "east", 5);
  JobSpec west = in_zone("job-4", "west", 5);
  east.tasks = west.tasks = 1;
  east.cpus = west.cpus = 0.5;
  world.submit(east, 50);
  world.submit(west, 50);
  world.run(69);
  EXPECT_EQ(world.starts_of("job-3").size(), 1u);
  EXPECT_EQ(world.starts_of("job-4").size(), 1u);
  expect_no_breach(world);
}

// A leader of the first version looks for no batches: its relays must not hold workers for it.
TEST_F(ZonesApart, NoBatchIsWrittenForALeaderOfTheFirstVersion) {
  for (size_t i = 0; i < 3; ++i) world.run_first_version(i);
  world.run(5);
  for (size_t i = 0; i < 3; ++i) {
    if (i != world.leader()) world.upgrade(i, 0.5);
  }
  cut(30);
  world.run(60);
  EXPECT_FALSE(world.has_keys("q/"));
  // Which shows what the cut costs without.
  world.run(100);
  EXPECT_GT(world.starts_of("job-1").size() + world.starts_of("job-2").size(), 8u);
  world.run(500);
  EXPECT_TRUE(world.all_over()) << world.unfinished();
  expect_no_breach(world);
}

const Scenario kCuts[] = {
    {"again_and_again",
     {0.005, 0.005, 20, 0.2},
     [](World& w) {
       for (const Seconds when : {25, 50, 75, 100, 125}) {
         w.events.at(when, [&w] { w.cut_zones(4 + 18 * w.chance()); });
       }
     }},
    {"while_leaders_change",
     {0.005, 0.005, 20, 0.2},
     [](World& w) {
       for (const Seconds when : {25, 60, 95, 125}) {
         w.events.at(when, [&w] { w.cut_zones(24); });
         to_leader(w, when + 8, [&w](size_t i) { w.kill(i, 0.2 + 4 * w.chance()); });
         w.events.at(when + 14, [&w] { w.cancel_now(4, 6 * w.chance()); });
       }
     }},
    {"while_the_state_service_is_late_and_out",
     {0.01, 0.02, 20, 0.2},
     [](World& w) {
       for (const Seconds when : {25, 60, 95, 125}) {
         w.events.at(when, [&w] { w.cut_zones(26); });
         w.events.at(when + 6, [&w] { w.state.set_outage(true); });
         w.events.at(when + 11, [&w] { w.state.set_outage(false); });
         to_leader(w, when + 15,
                   [&w](size_t i) { w.state.hold_watches(node(i), w.events.now() + 8); });
         w.events.at(when + 16, [&w] { w.cancel_now(3); });
       }
     }},
    {"with_copies_of_reports_and_lost_machines",
     {0.005, 0.01, 20, 0.2, 0.2, 0, 20, 0, 1, 0.1},
     [](World& w) {
       for (const Seconds when : {25, 55, 85, 115}) {
         w.events.at(when, [&w] { w.cut_zones(22); });
         w.events.at(when + 9, [&w] {
           for (const auto& worker : w.workers) {
             if (worker->gone || w.chance() > 0.2) continue;
             if (w.chance() < 0.5) {
               worker->vanish();
             } else {
               worker->restart();
             }
           }
         });
       }
     }},
};

class ZoneCuts : public ::testing::TestWithParam<Scenario> {};

TEST_P(ZoneCuts, KeepTheRulesAndFinish) {
  for (const std::uint64_t seed : {1, 2, 3, 4}) keeps_the_rules(GetParam(), seed);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, ZoneCuts, ::testing::ValuesIn(kCuts),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace larkroad::sim
