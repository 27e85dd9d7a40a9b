// Services: jobs whose replicas run until the job is cancelled.
#include <gtest/gtest.h>

#include <algorithm>

#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

using testing::service;

std::shared_ptr<Worker> machine_with(const World& world, const std::string& job) {
  for (const auto& worker : world.workers) {
    if (!worker->gone && worker->runs(job)) return worker;
  }
  return nullptr;
}

std::vector<Seconds> starts_of(World& world, const std::string& job, std::uint32_t task) {
  std::vector<Seconds> out;
  for (const auto& [when, started] : world.starts_of(job)) {
    if (started == task) out.push_back(when);
  }
  return out;
}

// Whatever ends a replica, it runs again, and the job is neither done nor over until its user
// cancels it.
TEST(Services, AReplicaRunsAgainWhateverEndsIt) {
  const struct {
    const char* name;
    std::function<void(World&)> end_one;
    Seconds back_within;
  } cases[] = {
      {"exit with success",
       [](World& w) {
         EXPECT_TRUE(w.end_task({"job-1", 0}, "done"));
       },
       4},
      {"exit with an error",
       [](World& w) {
         EXPECT_TRUE(w.end_task({"job-1", 0}, "error"));
       },
       4},
      // The list of machines tells of it, or its lease runs out.
      {"machine lost", [](World& w) { machine_with(w, "job-1")->vanish(); }, 20},
      {"machine restarted", [](World& w) { machine_with(w, "job-1")->restart(); }, 6},
      {"machine hung beyond its lease", [](World& w) { machine_with(w, "job-1")->hang(20); }, 30},
      // One of two replicas finds room before the end; the other only when the loss is proved.
      {"machine taken back", [](World& w) { machine_with(w, "job-1")->notice(6); }, 25},
      {"leader and machine lost",
       [](World& w) {
         machine_with(w, "job-1")->vanish();
         w.kill(w.leader(), 4);
       },
       35},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(c.name);
    World world(1, {});
    world.submit(service("job-1", 3, 2), 2);
    world.run(40);
    ASSERT_EQ(world.running_tasks("job-1"), 3u);
    c.end_one(world);
    world.run(40 + c.back_within);
    EXPECT_EQ(world.running_tasks("job-1"), 3u);
    world.run(120);
    EXPECT_EQ(world.running_tasks("job-1"), 3u);
    EXPECT_FALSE(world.all_over());
    world.cancel("job-1");
    world.run(120 + world.settings.cancellation_limit_s);
    EXPECT_EQ(world.running_tasks("job-1"), 0u);
    EXPECT_TRUE(world.all_over()) << world.unfinished();
    expect_no_breach(world);
  }
}

// A replica that ends time after time starts less and less often. The others of its job run on, and
// no machine is put aside for it.
TEST(Services, AReplicaThatKeepsEndingIsHeldBackAlone) {
  for (const char* cause : {"done", "error"}) {
    SCOPED_TRACE(cause);
    World world(1, {});
    world.submit(service("job-1", 3, 2), 2);
    world.run(40);
    ASSERT_EQ(world.running_tasks("job-1"), 3u);
    for (Seconds when = 40; when < 160; when += 0.5) {
      world.events.at(when, [&world, cause] { world.end_task({"job-1", 0}, cause); });
    }
    world.run(160);
    const auto starts = starts_of(world, "job-1", 0);
    EXPECT_GE(starts.size(), 5u);
    EXPECT_LE(starts.size(), 12u);
    EXPECT_EQ(starts_of(world, "job-1", 1).size(), 1u);
    EXPECT_EQ(starts_of(world, "job-1", 2).size(), 1u);
    // Once it ends no more it is back within the longest pause, of 16 reports.
    world.run(160 + 16 * world.settings.heartbeat_interval_s + 5);
    EXPECT_EQ(world.running_tasks("job-1"), 3u);
    EXPECT_EQ(world.machines_gone(), 0u);
    expect_no_breach(world);
  }
}

// A machine that fails every task it starts is found by the replicas that fail there and run
// elsewhere.
TEST(Services, AFaultyMachineDoesNotKeepAReplicaDown) {
  World world(1, {});
  world.capacity = 3;
  JobSpec others = testing::spec("job-2", 3, 12);
  others.types = {"large"};
  others.team = "blue";
  others.estimate_s = 300;
  world.submit(others, 2);
  world.run(30);
  ASSERT_EQ(world.workers.size(), 3u);
  world.workers[0]->set_faulty();
  for (int k = 0; k < 4; ++k) world.submit(service("job-" + std::to_string(10 + k), 3, 1), 30 + k);
  world.run(75);
  for (int k = 0; k < 4; ++k) {
    EXPECT_EQ(world.running_tasks("job-" + std::to_string(10 + k)), 3u) << k;
  }
  expect_no_breach(world);
}

// A machine that is to be taken back keeps its replica until there is room for it elsewhere; with
// room there, the replica has left before the end.
TEST(Services, AReplicaLeavesAMachineOnlyForRoomElsewhere) {
  for (const bool room : {true, false}) {
    SCOPED_TRACE(room ? "room elsewhere" : "no room elsewhere");
    World world(1, {});
    world.capacity = 2;
    JobSpec only = service("job-1", 1, 9);
    only.types = {"large"};
    world.submit(only, 2);
    JobSpec other = testing::spec("job-2", 1, 9);
    other.types = {"large"};
    other.team = "blue";
    other.priority = protocol::Priority::production;
    other.estimate_s = room ? 1 : 200;
    world.submit(other, 2);
    world.run(20);
    ASSERT_EQ(world.running_tasks("job-1"), 1u);
    ASSERT_EQ(world.running_tasks("job-2"), room ? 0u : 1u);
    const auto old = machine_with(world, "job-1");
    old->notice(8);
    world.run(27);
    EXPECT_EQ(old->runs("job-1"), !room);
    EXPECT_EQ(world.running_tasks("job-1"), 1u);
    world.run(60);
    expect_no_breach(world);
  }
}

// No machine with a replica goes back to the cloud, however little it holds.
TEST(Services, AMachineWithAReplicaIsKept) {
  World world(1, {});
  world.submit(service("job-1", 2, 1), 2);
  world.submit(testing::spec("job-2", 6, 4), 2);
  world.run(200);
  EXPECT_EQ(world.starts_of("job-1").size(), 2u);
  EXPECT_EQ(world.running_tasks("job-1"), 2u);
  world.cancel("job-1");
  world.run(400);
  EXPECT_EQ(world.machines_gone(), world.workers.size());
  expect_no_breach(world);
}

// Services beside other work, with troubles; cancelled in the midst of being replaced or moved.
void serve(World& world) {
  for (int k = 0; k < 8; ++k) {
    JobSpec spec = service("job-" + std::to_string(10 + k), 2 + k % 4, 1);
    spec.team = k % 2 == 0 ? "red" : "blue";
    spec.spread = k % 3 == 0;
    spec.spot = k % 2 == 1;
    world.submit(spec, 5 + 5 * k);
    world.events.at(80 + 15 * k, [&world, id = spec.id] { world.cancel(id); });
  }
}

const Scenario kServing[] = {
    {"quiet", {}, serve},
    {"machines_go_and_leaders_change",
     {0.005, 0.005, 20, 0.1},
     [](World& w) {
       serve(w);
       for (int k = 0; k < 8; ++k) {
         w.events.at(25 + 14 * k, [&w, k] {
           for (const auto& worker : w.workers) {
             if (worker->gone || w.chance() > 0.2) continue;
             if (k % 2 == 0) {
               worker->notice(3 + 8 * w.chance());
             } else {
               worker->vanish();
             }
           }
         });
         to_leader(w, 27 + 14 * k, [&w](size_t i) { w.kill(i, 0.2 + 4 * w.chance()); });
       }
     }},
    {"cancelled_while_cut_off_and_refused",
     {0.005, 0.005, 20, 0.1},
     [](World& w) {
       serve(w);
       for (const Seconds when : {78, 92, 108, 123, 138}) {
         w.events.at(when, [&w] {
           for (const auto& worker : w.workers) {
             if (worker->gone || w.chance() > 0.3) continue;
             if (w.chance() < 0.5) {
               worker->hang(1 + 10 * w.chance());
             } else {
               w.deafen(worker->name, 12);
             }
           }
         });
         to_leader(w, when + 1, [&w](size_t i) { w.isolate(i, 12); });
       }
       w.events.at(150, [&w] { w.state.set_outage(true); });
       w.events.at(158, [&w] { w.state.set_outage(false); });
     }},
    {"late_copies_of_reports_and_commands",
     {0.005, 0.02, 20, 0.1, 0.2, 0, 200, 0, 1, 0.2},
     [](World& w) {
       serve(w);
       for (int k = 0; k < 6; ++k) {
         w.events.at(30 + 18 * k, [&w] {
           for (const auto& worker : w.workers) {
             if (!worker->gone && w.chance() < 0.15) worker->restart();
           }
         });
         to_leader(w, 31 + 18 * k, [&w](size_t i) { w.kill(i, 2); });
       }
     }},
};

class Serving : public ::testing::TestWithParam<Scenario> {};

TEST_P(Serving, KeepsTheRulesAndEndsWhenCancelled) {
  for (const std::uint64_t seed : {1, 2, 3}) keeps_the_rules(GetParam(), seed);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, Serving, ::testing::ValuesIn(kServing),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace

std::span<const Scenario> service_scenarios() { return kServing; }

}  // namespace larkroad::sim
