// What operators met: jobs with a mistake, machines that bring no reports, leaders with a part of
// their connections only.
#include <gtest/gtest.h>

#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

// A leader that holds its lease while its watch on the jobs goes unanswered starts nothing; without
// making way it would do so for as long as that lasts.
TEST(Operations, ALeaderWhoseWatchAloneFailsMakesWay) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    World world(seed, {});
    size_t first = 3;
    std::uint64_t fencing_token = 0;
    to_leader(world, 30, [&](size_t i) {
      first = i;
      fencing_token = world.node(i).election().fencing_token();
      world.state.hold_watches(node(i), 130);
    });
    for (int k = 0; k < 5; ++k) world.submit(testing::spec("job-" + std::to_string(100 + k)), 32);
    // Four of its leases, each a sixth of a worker's, and a takeover.
    const Seconds patience = world.settings.lease_s * 4 / 6;
    world.run(30 + patience + 5);
    ASSERT_LT(first, 3u);
    EXPECT_LT(world.leader(), 3u);
    EXPECT_NE(world.leader(), first);
    const size_t second = world.leader();
    const std::uint64_t second_token = world.node(second).election().fencing_token();
    EXPECT_GT(second_token, fencing_token);
    world.run(120);
    EXPECT_EQ(world.leader(), second) << "the lead is not passed to and fro";
    world.run(200);
    EXPECT_TRUE(world.all_over()) << world.unfinished();
    expect_no_breach(world);
  }
}

// In an outage watches are not answered either, which is no reason to make way after it.
TEST(Operations, ALeaderKeepsTheLeadOverAnOutage) {
  World world(1, {});
  world.run(30);
  const size_t leader = world.leader();
  ASSERT_LT(leader, 3u);
  world.state.set_outage(true);
  world.run(50);
  world.state.set_outage(false);
  world.run(80);
  EXPECT_EQ(world.leader(), leader);
}

// Jobs that were submitted with a mistake fail on every machine until their users cancel them. They
// are tried now and then, hold no room meanwhile, and no machine is put aside for them; a faulty
// machine beside them is found nevertheless.
TEST(Operations, JobsWithAMistakeHarmNobodyElse) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    World world(seed, {});
    world.capacity = 6;
    for (int k = 0; k < 4; ++k) {
      JobSpec wrong = testing::spec("job-" + std::to_string(100 + k), 8, 2);
      wrong.shape = k >= 2 ? protocol::Shape::gang : protocol::Shape::array;
      wrong.tasks = wrong.is_gang() ? 3 : 8;
      wrong.team = k % 2 == 0 ? "red" : "blue";
      world.faulty_jobs.insert(wrong.id);
      world.submit(wrong, 5);
    }
    for (int k = 0; k < 60; ++k) {
      JobSpec sound = testing::spec("job-" + std::to_string(200 + k), 1 + k % 3, 2);
      sound.team = k % 2 == 0 ? "red" : "blue";
      sound.estimate_s = 6;
      world.submit(sound, 6 + 1.5 * k);
    }
    const Worker* faulty = nullptr;
    world.events.at(30, [&] {
      for (const auto& worker : world.workers) {
        if (worker->gone || faulty != nullptr) continue;
        worker->set_faulty();
        faulty = worker.get();
      }
    });
    world.run(110);
    ASSERT_NE(faulty, nullptr);
    EXPECT_TRUE(faulty->gone);
    EXPECT_LE(world.machines_gone(), 2u) << "sound machines were put aside";
    for (const auto& id : world.faulty_jobs) {
      // All tasks until they have failed on three machines, then one in each pause.
      const auto& failures = world.failures[id];
      EXPECT_LE(failures.size(), 8u * 3 + 8) << id;
      // It is not left waiting either.
      Seconds longest = 110 - failures.back();
      for (size_t i = 1; i < failures.size(); ++i) {
        longest = std::max(longest, failures[i] - failures[i - 1]);
      }
      EXPECT_LT(longest, 90) << id;
    }
    // Their users call them off at last, and all is over soon.
    for (const auto& id : world.faulty_jobs) world.cancel(id);
    world.run(150);
    EXPECT_TRUE(world.all_over()) << world.unfinished();
    expect_no_breach(world);
  }
}

// Where many machines fail whatever starts there, gangs find the sound ones soon: a gang of which
// some start elsewhere tells that the machine is at fault, and does not wait for it.
TEST(Operations, GangsFindTheSoundMachinesAmongFaultyOnes) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    World world(seed, {});
    world.capacity = 12;
    JobSpec first = testing::spec("job-100", 12, 9);
    first.types = {"large"};
    first.team = "blue";
    first.estimate_s = 25;
    world.submit(first, 2);
    world.events.at(28, [&world] {
      for (size_t i = 0; i < world.workers.size(); i += 2) world.workers[i]->set_faulty();
    });
    for (int k = 0; k < 8; ++k) {
      JobSpec gang = testing::spec("job-" + std::to_string(200 + k), 3, 5);
      gang.shape = protocol::Shape::gang;
      gang.team = k % 2 == 0 ? "red" : "blue";
      gang.types = {"large"};
      gang.estimate_s = 4;
      world.submit(gang, 40 + 3 * k);
    }
    world.run(100);
    EXPECT_TRUE(world.all_over()) << world.unfinished();
    size_t failures = 0;
    for (const auto& [id, times] : world.failures) failures += times.size();
    EXPECT_GT(failures, 0u);
    // Twice for each faulty machine that was there, and what had been placed meanwhile.
    EXPECT_LE(failures, 3 * world.workers.size());
    expect_no_breach(world);
  }
}

// A job whose tasks fail some time after their start has a mistake as well: no machine is put aside
// for it, though its tasks start everywhere.
TEST(Operations, AJobThatFailsLateHarmsNoMachine) {
  World world(1, {});
  JobSpec sound = testing::spec("job-101", 3, 9);
  sound.types = {"large"};
  sound.estimate_s = 100;
  sound.team = "blue";
  world.submit(sound, 2);
  JobSpec wrong = testing::spec("job-100", 6, 2);
  wrong.types = {"large"};
  wrong.estimate_s = 300;
  world.submit(wrong, 15);
  for (Seconds when = 20; when < 100; when += 0.5) {
    world.events.at(when, [&world, when] {
      world.end_task({"job-100", static_cast<std::uint32_t>(when * 2) % 6}, "error");
    });
  }
  world.events.at(100, [&world] { world.cancel("job-100"); });
  world.run(100);
  EXPECT_GE(world.starts_of("job-100").size(), 12u);
  const size_t machines = world.workers.size();
  // Had they been put aside, others would be rented for what comes next.
  sound.id = "job-102";
  sound.estimate_s = 5;
  world.submit(sound, 112);
  world.run(135);
  EXPECT_EQ(world.workers.size(), machines);
  EXPECT_EQ(world.starts_of("job-101").size(), 3u);
  EXPECT_TRUE(world.all_over()) << world.unfinished();
  expect_no_breach(world);
}

// A machine that answers calls, but whose own reports have stopped, gets no new work: answers renew
// no lease, so what starts there is lost when the lease is over.
TEST(Operations, AMachineThatBringsNoReportsGetsNoWork) {
  World world(1, {});
  world.capacity = 3;
  // One task a machine, which leaves room beside it.
  JobSpec filling = testing::spec("job-100", 3, 9);
  filling.types = {"large"};
  filling.team = "blue";
  filling.estimate_s = 200;
  world.submit(filling, 2);
  world.run(30);
  ASSERT_EQ(world.workers.size(), 3u);
  const auto victim = world.workers.front();
  world.mute(victim->name, 60);
  const Seconds half_a_lease = world.settings.lease_s / 2;
  world.run(30 + half_a_lease + 0.5);
  for (int k = 0; k < 4; ++k) {
    JobSpec more = testing::spec("job-" + std::to_string(200 + k), 4, 0.5);
    more.estimate_s = 30;
    world.submit(more, world.events.now());
  }
  world.run(30 + world.settings.lease_s);
  bool elsewhere = false;
  for (int k = 0; k < 4; ++k) {
    const std::string id = "job-" + std::to_string(200 + k);
    EXPECT_FALSE(victim->holds(id)) << id;
    for (const auto& worker : world.workers) {
      elsewhere = elsewhere || (worker != victim && worker->holds(id));
    }
  }
  EXPECT_TRUE(elsewhere);
  world.run(300);
  expect_no_breach(world);
}

// A machine begins a new session in the moment between the record of a placement and its launch.
// The launch was meant for the old session; sent under the new one it would run a task that has
// been given to another machine by then.
TEST(Operations, ALaunchIsNotSentToTheNextSession) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Troubles troubles;
    troubles.fetch = 0.005;  // it runs before the leader hears of it
    World world(seed, troubles);
    world.submit_some(60, 60);
    size_t seen = 0;
    size_t restarts = 0;
    std::function<void()> look = [&] {
      for (; seen < world.commits.size(); ++seen) {
        const bool placement = world.commits[seen].second.body.find("\"p/") != std::string::npos;
        if (!placement || world.events.now() > 100) continue;
        for (const auto& worker : world.workers) {
          if (worker->gone || world.chance() > 0.1) continue;
          worker->restart();
          ++restarts;
        }
      }
      world.events.at(world.events.now() + 0.001, look);
    };
    world.events.at(5, look);
    world.checker.troubles_over(110);
    world.run(250);
    EXPECT_GT(restarts, 50u);
    EXPECT_TRUE(world.all_over()) << world.unfinished();
    expect_no_breach(world);
  }
}

// Tasks of one machine that are stopped for one job are told in one call: each call costs the
// leader as much as a report, and an incident had several hundred of them a second.
TEST(Operations, CommandsForOneMachineGoInOneCall) {
  World world(1, {});
  world.capacity = 1;
  JobSpec low = testing::spec("job-100", 8, 0.5);
  low.priority = protocol::Priority::low;
  low.estimate_s = 60;
  world.submit(low, 2);
  world.run(30);
  ASSERT_EQ(world.workers.size(), 1u);
  ASSERT_TRUE(world.workers.front()->runs("job-100"));
  const size_t before = world.command_calls;
  JobSpec urgent = testing::spec("job-200", 1, 4);
  urgent.priority = protocol::Priority::high;
  urgent.team = "blue";
  world.submit(urgent, 31);
  world.run(36);
  EXPECT_TRUE(world.workers.front()->runs("job-200"));
  EXPECT_LE(world.command_calls - before, 3u);
}

}  // namespace
}  // namespace larkroad::sim
