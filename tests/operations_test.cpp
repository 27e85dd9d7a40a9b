// Faults seen in operation: jobs whose tasks always fail, machines that send no heartbeats, and
// leaders that have lost some of their connections.
#include <gtest/gtest.h>

#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

// A leader that renews its lease while its job watch is not answered may start no tasks. If it did
// not step down, no task would start until the watch recovers.
TEST(Operations, LeaderStepsDownIfOnlyItsJobWatchFails) {
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
    // Four leader leases, each 1/6 of a worker lease; 5 s more are for the failover.
    const Seconds step_down_time = world.settings.lease_s * 4 / 6;
    world.run(30 + step_down_time + 5);
    ASSERT_LT(first, kControllers);
    EXPECT_LT(world.leader(), kControllers);
    EXPECT_NE(world.leader(), first);
    const size_t second = world.leader();
    const std::uint64_t second_token = world.controller(second).election().fencing_token();
    EXPECT_GT(second_token, fencing_token);
    world.run(120);
    EXPECT_EQ(world.leader(), second) << "leadership moved again";
    world.run(200);
    EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
    expect_no_violations(world);
  }
}

// Watches are not answered during a store outage either; the leader must not step down for that
// when the outage is over.
TEST(Operations, LeaderKeepsLeadershipAfterAStoreOutage) {
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

void submit_faulty_jobs(World& world) {
  for (int k = 0; k < 4; ++k) {
    JobSpec faulty_job = testing::spec("job-" + std::to_string(100 + k), 8, 2);
    faulty_job.shape = k >= 2 ? protocol::Shape::gang : protocol::Shape::array;
    faulty_job.tasks = faulty_job.is_gang() ? 3 : 8;
    faulty_job.team = k % 2 == 0 ? "red" : "blue";
    world.tasks.faulty_jobs.insert(faulty_job.id);
    world.users.submit(faulty_job, 5);
  }
}

// Returns the longest gap between consecutive times, or between the last one and `end`.
Seconds longest_gap(const std::vector<Seconds>& times, Seconds end) {
  Seconds longest = end - times.back();
  for (size_t i = 1; i < times.size(); ++i) {
    longest = std::max(longest, times[i] - times[i - 1]);
  }
  return longest;
}

// Faulty jobs fail on every machine until their users cancel them. They are retried with back-off,
// hold no capacity between retries, and cause no machine to be quarantined; a faulty machine is
// still detected while they run.
TEST(Operations, FaultyJobsDoNotAffectOthers) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    World world(seed, {});
    world.cloud.capacity = 6;
    submit_faulty_jobs(world);
    for (int k = 0; k < 60; ++k) {
      JobSpec healthy_job = testing::spec("job-" + std::to_string(200 + k), 1 + k % 3, 2);
      healthy_job.team = k % 2 == 0 ? "red" : "blue";
      healthy_job.estimate_s = 6;
      world.users.submit(healthy_job, 6 + 1.5 * k);
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
    EXPECT_LE(world.terminated_machines(), 2u) << "healthy machines were quarantined";
    for (const auto& id : world.tasks.faulty_jobs) {
      // All tasks until the job has failed on three machines, then one task per back-off period.
      const auto& failures = world.tasks.failures[id];
      EXPECT_LE(failures.size(), 8u * 3 + 8) << id;
      // The job is still retried regularly.
      EXPECT_LT(longest_gap(failures, 110), 90) << id;
    }
    // Once their users cancel them, all jobs finish soon.
    for (const auto& id : world.tasks.faulty_jobs) world.users.cancel(id);
    world.run(150);
    EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
    expect_no_violations(world);
  }
}

// With many machines on which every task fails, gangs are soon placed on healthy ones: if some
// members of a gang start on other machines, the failure is attributed to the machine, not the job.
TEST(Operations, GangsArePlacedOnHealthyMachinesDespiteFaultyOnes) {
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
    // Two failures for each faulty machine, plus tasks placed there in the meantime.
    EXPECT_LE(failures, 3 * world.workers.size());
    expect_no_violations(world);
  }
}

// A job whose tasks fail some time after they start is faulty too: no machine is quarantined for
// it, although its tasks start on every machine.
TEST(Operations, NoMachineIsQuarantinedForAJobThatFailsLate) {
  World world(1, {});
  JobSpec healthy_job = testing::spec("job-101", 3, 9);
  healthy_job.types = {"large"};
  healthy_job.estimate_s = 100;
  healthy_job.team = "blue";
  world.users.submit(healthy_job, 2);
  JobSpec faulty_job = testing::spec("job-100", 6, 2);
  faulty_job.types = {"large"};
  faulty_job.estimate_s = 300;
  world.users.submit(faulty_job, 15);
  for (Seconds when = 20; when < 100; when += 0.5) {
    world.events.schedule_at(when, [&world, when] {
      world.tasks.end_task({"job-100", static_cast<std::uint32_t>(when * 2) % 6}, "error");
    });
  }
  world.events.schedule_at(100, [&world] { world.users.cancel("job-100"); });
  world.run(100);
  EXPECT_GE(world.tasks.starts_of("job-100").size(), 12u);
  const size_t machines = world.workers.size();
  // If machines had been quarantined, the next job would cause new ones to be requested.
  healthy_job.id = "job-102";
  healthy_job.estimate_s = 5;
  world.users.submit(healthy_job, 112);
  world.run(135);
  EXPECT_EQ(world.workers.size(), machines);
  EXPECT_EQ(world.tasks.starts_of("job-101").size(), 3u);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  expect_no_violations(world);
}

// A machine that answers calls but sends no heartbeats gets no new tasks: its answers renew no
// lease, so tasks started there would be lost when the lease expires.
TEST(Operations, MachineWithoutHeartbeatsGetsNoTasks) {
  World world(1, {});
  world.cloud.capacity = 3;
  // One task per machine, which leaves some capacity free.
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

// A worker restarts with a new incarnation after a placement is recorded and before it is launched.
// The launch command is meant for the old incarnation. If it were sent to the new one, the worker
// would run a task that has been placed on another machine by then.
TEST(Operations, LaunchIsNotSentToTheNextIncarnation) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    FaultOptions faults;
    faults.image_fetch_time = 0.005;  // the task runs before the leader learns of the restart
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

// Commands that stop several tasks on one machine in favor of one job are batched into one call. A
// call costs the leader as much as a heartbeat, and an incident had several hundred calls per
// second.
TEST(Operations, CommandsForOneMachineAreBatchedIntoOneCall) {
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
