// What operators met: jobs with a mistake, machines that send no heartbeats, leaders with a part of
// their connections only.
#include <gtest/gtest.h>

#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

// A leader that holds its lease while its watch on the jobs goes unanswered starts nothing. Unless
// it stepped down, nothing would start for as long as that lasts.
TEST(Operations, ALeaderWhoseWatchAloneFailsStepsDown) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    World world(seed, {});
    size_t first = kControllers;
    std::uint64_t fencing_token = 0;
    with_leader(world, 30, [&](size_t leader) {
      first = leader;
      fencing_token = world.controller(leader).election().fencing_token();
      world.store.hold_watches(controller_name(leader), 130);
    });
    for (int k = 0; k < 5; ++k)
      world.users.submit(testing::spec("job-" + std::to_string(100 + k)), 32);
    // Four of its leases, each a sixth of a worker's, and a failover.
    const Seconds step_down_time = world.settings.lease_s * 4 / 6;
    world.run(30 + step_down_time + 5);
    ASSERT_LT(first, kControllers);
    EXPECT_LT(world.leader(), kControllers);
    EXPECT_NE(world.leader(), first);
    const size_t second = world.leader();
    const std::uint64_t second_token = world.controller(second).election().fencing_token();
    EXPECT_GT(second_token, fencing_token);
    world.run(120);
    EXPECT_EQ(world.leader(), second) << "the lead is not passed to and fro";
    world.run(200);
    EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
    expect_no_violations(world);
  }
}

// In an outage watches are not answered either, which is no reason to step down after it.
TEST(Operations, ALeaderKeepsTheLeadAfterAnOutage) {
  World world(1, {});
  world.run(30);
  const size_t leader = world.leader();
  ASSERT_LT(leader, kControllers);
  world.store.set_outage(true);
  world.run(50);
  world.store.set_outage(false);
  world.run(80);
  EXPECT_EQ(world.leader(), leader);
}

void submit_jobs_with_a_mistake(World& world) {
  for (int k = 0; k < 4; ++k) {
    JobSpec wrong = testing::spec("job-" + std::to_string(100 + k), 8, 2);
    wrong.shape = k >= 2 ? protocol::Shape::gang : protocol::Shape::array;
    wrong.tasks = wrong.is_gang() ? 3 : 8;
    wrong.team = k % 2 == 0 ? "red" : "blue";
    world.tasks.faulty_jobs.insert(wrong.id);
    world.users.submit(wrong, 5);
  }
}

// The longest time between two of these moments, or after the last of them until `end`.
Seconds longest_pause(const std::vector<Seconds>& moments, Seconds end) {
  Seconds longest = end - moments.back();
  for (size_t i = 1; i < moments.size(); ++i) {
    longest = std::max(longest, moments[i] - moments[i - 1]);
  }
  return longest;
}

// Jobs that were submitted with a mistake fail on every machine until their users cancel them. They
// are tried now and then, hold no capacity meanwhile, and no machine is quarantined for them; a
// faulty machine beside them is found nevertheless.
TEST(Operations, JobsWithAMistakeDoNotAffectOthers) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    World world(seed, {});
    world.cloud.capacity = 6;
    submit_jobs_with_a_mistake(world);
    for (int k = 0; k < 60; ++k) {
      JobSpec sound = testing::spec("job-" + std::to_string(200 + k), 1 + k % 3, 2);
      sound.team = k % 2 == 0 ? "red" : "blue";
      sound.estimate_s = 6;
      world.users.submit(sound, 6 + 1.5 * k);
    }
    const FakeWorker* faulty = nullptr;
    world.events.schedule_at(30, [&] {
      for (const auto& worker : world.workers) {
        if (worker->terminated || faulty != nullptr) continue;
        worker->set_faulty();
        faulty = worker.get();
      }
    });
    world.run(110);
    ASSERT_NE(faulty, nullptr);
    EXPECT_TRUE(faulty->terminated);
    EXPECT_LE(world.terminated_machines(), 2u) << "sound machines were quarantined";
    for (const auto& id : world.tasks.faulty_jobs) {
      // All tasks until they have failed on three machines, then one in each pause.
      const auto& failures = world.tasks.failures[id];
      EXPECT_LE(failures.size(), 8u * 3 + 8) << id;
      // It is not left waiting either.
      EXPECT_LT(longest_pause(failures, 110), 90) << id;
    }
    // Their users cancel them at last, and all is over soon.
    for (const auto& id : world.tasks.faulty_jobs) world.users.cancel(id);
    world.run(150);
    EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
    expect_no_violations(world);
  }
}

// Where many machines fail whatever starts there, gangs find the sound ones soon: when some members
// of a gang start on other machines, the machine is at fault and not the job.
TEST(Operations, GangsFindTheSoundMachinesAmongFaultyOnes) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    World world(seed, {});
    world.cloud.capacity = 12;
    JobSpec first = testing::spec("job-100", 12, 9);
    first.types = {"large"};
    first.team = "blue";
    first.estimate_s = 25;
    world.users.submit(first, 2);
    world.events.schedule_at(28, [&world] {
      for (size_t i = 0; i < world.workers.size(); i += 2) world.workers[i]->set_faulty();
    });
    for (int k = 0; k < 8; ++k) {
      JobSpec gang = testing::spec("job-" + std::to_string(200 + k), 3, 5);
      gang.shape = protocol::Shape::gang;
      gang.team = k % 2 == 0 ? "red" : "blue";
      gang.types = {"large"};
      gang.estimate_s = 4;
      world.users.submit(gang, 40 + 3 * k);
    }
    world.run(100);
    EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
    size_t failures = 0;
    for (const auto& [id, times] : world.tasks.failures) failures += times.size();
    EXPECT_GT(failures, 0u);
    // Twice for each faulty machine that was there, and what had been placed meanwhile.
    EXPECT_LE(failures, 3 * world.workers.size());
    expect_no_violations(world);
  }
}

// A job whose tasks fail some time after their start has a mistake as well: no machine is
// quarantined for it, though its tasks start everywhere.
TEST(Operations, NoMachineIsQuarantinedForAJobThatFailsLate) {
  World world(1, {});
  JobSpec sound = testing::spec("job-101", 3, 9);
  sound.types = {"large"};
  sound.estimate_s = 100;
  sound.team = "blue";
  world.users.submit(sound, 2);
  JobSpec wrong = testing::spec("job-100", 6, 2);
  wrong.types = {"large"};
  wrong.estimate_s = 300;
  world.users.submit(wrong, 15);
  for (Seconds when = 20; when < 100; when += 0.5) {
    world.events.schedule_at(when, [&world, when] {
      world.tasks.end_task({"job-100", static_cast<std::uint32_t>(when * 2) % 6}, "error");
    });
  }
  world.events.schedule_at(100, [&world] { world.users.cancel("job-100"); });
  world.run(100);
  EXPECT_GE(world.tasks.starts_of("job-100").size(), 12u);
  const size_t machines = world.workers.size();
  // Had they been quarantined, others would be requested for what comes next.
  sound.id = "job-102";
  sound.estimate_s = 5;
  world.users.submit(sound, 112);
  world.run(135);
  EXPECT_EQ(world.workers.size(), machines);
  EXPECT_EQ(world.tasks.starts_of("job-101").size(), 3u);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  expect_no_violations(world);
}

// A machine that answers calls, but whose own heartbeats have stopped, gets no new work: answers
// renew no lease, so what starts there is lost when the lease expires.
TEST(Operations, AMachineThatSendsNoHeartbeatsGetsNoWork) {
  World world(1, {});
  world.cloud.capacity = 3;
  // One task a machine, which leaves room beside it.
  JobSpec filling = testing::spec("job-100", 3, 9);
  filling.types = {"large"};
  filling.team = "blue";
  filling.estimate_s = 200;
  world.users.submit(filling, 2);
  world.run(30);
  ASSERT_EQ(world.workers.size(), 3u);
  const auto victim = world.workers.front();
  world.network.block_outbound(victim->name, 60);
  const Seconds half_a_lease = world.settings.lease_s / 2;
  world.run(30 + half_a_lease + 0.5);
  for (int k = 0; k < 4; ++k) {
    JobSpec more = testing::spec("job-" + std::to_string(200 + k), 4, 0.5);
    more.estimate_s = 30;
    world.users.submit(more, world.events.now());
  }
  world.run(30 + world.settings.lease_s);
  bool on_other_machine = false;
  for (int k = 0; k < 4; ++k) {
    const std::string id = "job-" + std::to_string(200 + k);
    EXPECT_FALSE(victim->has_live_task(id)) << id;
    for (const auto& worker : world.workers) {
      on_other_machine = on_other_machine || (worker != victim && worker->has_live_task(id));
    }
  }
  EXPECT_TRUE(on_other_machine);
  world.run(300);
  expect_no_violations(world);
}

// A worker begins a new incarnation in the moment between the record of a placement and its launch.
// The launch was meant for the old incarnation; sent to the new one it would run a task that has
// been placed on another machine by then.
TEST(Operations, ALaunchIsNotSentToTheNextIncarnation) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    FaultOptions faults;
    faults.image_fetch_time = 0.005;  // it runs before the leader learns of it
    World world(seed, faults);
    world.users.submit_random_jobs(60, 60);
    size_t seen = 0;
    size_t restarts = 0;
    std::function<void()> restart_workers = [&] {
      for (; seen < world.network.committed_transactions.size(); ++seen) {
        const bool placement = world.network.committed_transactions[seen].second.body.find(
                                   "\"p/") != std::string::npos;
        if (!placement || world.events.now() > 100) continue;
        for (const auto& worker : world.workers) {
          if (worker->terminated || world.random_fraction() > 0.1) continue;
          worker->restart();
          ++restarts;
        }
      }
      world.events.schedule_at(world.events.now() + 0.001, restart_workers);
    };
    world.events.schedule_at(5, restart_workers);
    world.invariants.faults_end_at(110);
    world.run(250);
    EXPECT_GT(restarts, 50u);
    EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
    expect_no_violations(world);
  }
}

// Commands for tasks of one machine that are stopped for one job go in one call: each call costs
// the leader as much as a heartbeat, and an incident had several hundred of them a second.
TEST(Operations, CommandsForOneMachineGoInOneCall) {
  World world(1, {});
  world.cloud.capacity = 1;
  JobSpec low = testing::spec("job-100", 8, 0.5);
  low.priority = protocol::Priority::low;
  low.estimate_s = 60;
  world.users.submit(low, 2);
  world.run(30);
  ASSERT_EQ(world.workers.size(), 1u);
  ASSERT_TRUE(world.workers.front()->is_running("job-100"));
  const size_t before = world.network.command_calls;
  JobSpec urgent = testing::spec("job-200", 1, 4);
  urgent.priority = protocol::Priority::high;
  urgent.team = "blue";
  world.users.submit(urgent, 31);
  world.run(36);
  EXPECT_TRUE(world.workers.front()->is_running("job-200"));
  EXPECT_LE(world.network.command_calls - before, 3u);
}

}  // namespace
}  // namespace larkroad::sim
