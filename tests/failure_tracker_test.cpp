#include "coordination/workers/failure_tracker.hpp"

#include <gtest/gtest.h>

#include <string>

#include "fakes/manual_clock.hpp"
#include "support.hpp"

namespace larkroad::coordination {
namespace {

class FailureTrackerTest : public ::testing::Test {
 protected:
  FailureTrackerTest() { cluster.set_types(testing::types()); }

  Machine& add_machine(const std::string& name) {
    return testing::add_machine(cluster, name, "small");
  }

  Placement& place(Job& job, std::uint32_t task, Machine& machine, TaskState state) {
    Placement& placement = cluster.place(job, task, machine, 1, clock.now());
    placement.state = state;
    return placement;
  }

  Seconds intervals(double count) const { return settings.heartbeat_interval_s * count; }

  const Settings settings = testing::settings();
  testing::ManualClock clock{100};
  ClusterState cluster{settings};
  FailureTracker failures{clock, cluster, settings};
};

TEST_F(FailureTrackerTest, JobBackoffDoublesWithEachFailure) {
  Job& job = testing::add_job(cluster, testing::spec("job"));
  for (const double expected : {1, 2, 4, 8, 16, 16, 16}) {
    failures.back_off(job);
    EXPECT_DOUBLE_EQ(job.retry_at, clock.now() + intervals(expected));
  }
  EXPECT_EQ(job.failures, 7);
}

TEST_F(FailureTrackerTest, FirstRestartOfAReplicaIsImmediate) {
  Job& job = testing::add_job(cluster, testing::service("service"));
  const Placement& replica = place(job, 1, add_machine("m-0"), TaskState::running);
  failures.record_replica_exit(job, replica);
  EXPECT_EQ(job.restarts.at(1).retry_at, 0);
  for (const double expected : {1, 2, 4, 8, 16, 16}) {
    failures.record_replica_exit(job, replica);
    EXPECT_DOUBLE_EQ(job.restarts.at(1).retry_at, clock.now() + intervals(expected));
  }
  EXPECT_EQ(job.restarts.count(0), 0u) << "another replica was delayed";
}

TEST_F(FailureTrackerTest, RefusalBacksOffTheMachineForOneHeartbeatInterval) {
  Machine& machine = add_machine("m-0");
  failures.record_refusal(machine);
  EXPECT_DOUBLE_EQ(machine.refused_until, clock.now() + intervals(1));
}

TEST_F(FailureTrackerTest, MachineIsQuarantinedWhenSeveralJobsFailOnIt) {
  Machine& machine = add_machine("m-0");
  for (const std::string id : {"a", "b", "c"}) {
    EXPECT_FALSE(machine.quarantined);
    Job& job = testing::add_job(cluster, testing::spec(id));
    failures.record_failure(machine, job, place(job, 0, machine, TaskState::running));
  }
  EXPECT_TRUE(machine.quarantined);
}

TEST_F(FailureTrackerTest, SuccessClearsTheEvidence) {
  Machine& machine = add_machine("m-0");
  for (const std::string id : {"a", "b", "c", "d"}) {
    Job& job = testing::add_job(cluster, testing::spec(id));
    failures.record_failure(machine, job, place(job, 0, machine, TaskState::running));
    if (id == "b") FailureTracker::record_success(machine);
  }
  EXPECT_EQ(machine.failures, 2);
  EXPECT_FALSE(machine.quarantined);
}

TEST_F(FailureTrackerTest, JobThatFailsEverywhereDoesNotQuarantineMachines) {
  Job& job = testing::add_job(cluster, testing::spec("job", 12));
  std::uint32_t task = 0;
  for (const std::string name : {"m-0", "m-1", "m-2"}) {
    Machine& machine = add_machine(name);
    for (int i = 0; i < 3; ++i, ++task) {
      failures.record_failure(machine, job, place(job, task, machine, TaskState::running));
    }
    EXPECT_FALSE(machine.quarantined);
  }
  EXPECT_TRUE(job.fails_everywhere());
}

TEST_F(FailureTrackerTest, TasksOfAJobThatSucceedsElsewhereQuarantineAMachine) {
  Machine& machine = add_machine("m-0");
  Job& job = testing::add_job(cluster, testing::spec("job", 4));
  job.done_count = 1;
  for (std::uint32_t task = 1; task < 4; ++task) {
    EXPECT_FALSE(machine.quarantined);
    failures.record_failure(machine, job, place(job, task, machine, TaskState::running));
  }
  EXPECT_TRUE(machine.quarantined);
}

TEST_F(FailureTrackerTest, FailedStartsQuarantineTheMachineWithoutBackingOffTheJob) {
  Machine& faulty = add_machine("m-0");
  Machine& healthy = add_machine("m-1");
  Job& job = testing::add_job(cluster, testing::spec("job", 3));
  FailureTracker::record_start(healthy, job);
  failures.record_failure(faulty, job, place(job, 0, faulty, TaskState::fetching));
  EXPECT_FALSE(faulty.quarantined);
  failures.record_failure(faulty, job, place(job, 1, faulty, TaskState::fetching));
  EXPECT_TRUE(faulty.quarantined);
  EXPECT_EQ(job.failures, 0);
  EXPECT_EQ(job.retry_at, 0);
}

TEST_F(FailureTrackerTest, SuccessfulStartResetsFailedStarts) {
  Machine& machine = add_machine("m-0");
  Job& job = testing::add_job(cluster, testing::spec("job", 3));
  FailureTracker::record_start(add_machine("m-1"), job);
  failures.record_failure(machine, job, place(job, 0, machine, TaskState::fetching));
  FailureTracker::record_start(machine, job);
  failures.record_failure(machine, job, place(job, 1, machine, TaskState::fetching));
  EXPECT_FALSE(machine.quarantined);
}

TEST_F(FailureTrackerTest, ReplicaThatRunsForFourIntervalsClearsFailures) {
  Machine& machine = add_machine("m-0");
  Job& job = testing::add_job(cluster, testing::service("service"));
  Placement& replica = place(job, 0, machine, TaskState::running);
  replica.running_since = clock.now();
  failures.record_failure(machine, job, replica);
  clock.run_for(intervals(4) - 0.01);
  failures.record_running_replica(machine, job, replica);
  EXPECT_FALSE(replica.ran_long_enough);
  EXPECT_EQ(machine.failures, 1);
  clock.run_for(0.02);
  failures.record_running_replica(machine, job, replica);
  EXPECT_TRUE(replica.ran_long_enough);
  EXPECT_TRUE(job.restarts.empty());
  EXPECT_EQ(machine.failures, 0);
}

TEST_F(FailureTrackerTest, OnlyTwoFailuresOfAReplicaCountAgainstTheMachine) {
  Machine& machine = add_machine("m-0");
  Job& job = testing::add_job(cluster, testing::service("service"));
  const Placement& replica = place(job, 0, machine, TaskState::running);
  for (int i = 0; i < 5; ++i) failures.record_failure(machine, job, replica);
  EXPECT_EQ(machine.failures, 2);
}

}  // namespace
}  // namespace larkroad::coordination
