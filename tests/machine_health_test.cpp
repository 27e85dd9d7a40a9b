#include "coordination/workers/machine_health.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fakes/manual_clock.hpp"
#include "support.hpp"

namespace larkroad::coordination {
namespace {

class MachineHealthTest : public ::testing::Test {
 protected:
  MachineHealth::Callbacks callbacks() {
    return {
        .end_incarnation = [this](Machine& machine) { ended.push_back(machine.name); },
        .query_status =
            [this](Machine& machine) {
              machine.status_queried_at = clock.now();
              queried.push_back(machine.name);
            },
        .require_fencing = [this] { ++required_fencings; },
        .release_machines =
            [this](const std::vector<std::string>& names) {
              released.insert(released.end(), names.begin(), names.end());
            },
        .request_scheduling_cycle = [this] { ++requested_cycles; },
    };
  }

  Machine& add_machine(const std::string& name) {
    Machine& machine = testing::add_machine(cluster, name, "small");
    machine.lease_renewed_at = clock.now();
    machine.last_heartbeat_at = clock.now();
    return machine;
  }

  void add_machines(int count) {
    for (int i = 0; i < count; ++i) add_machine("m-" + std::to_string(i));
  }

  const Settings settings = testing::settings();
  testing::ManualClock clock{100};
  ClusterState cluster{settings};
  std::vector<std::string> ended;
  std::vector<std::string> queried;
  std::vector<std::string> released;
  int required_fencings = 0;
  int requested_cycles = 0;
  MachineHealth health{clock, cluster, settings, callbacks()};
};

// Guards against tasks that are counted as gone while copies of their launches can still start
// them.
TEST_F(MachineHealthTest, RestartedWorkerIsFencedAndAskedUntilItsNextIncarnation) {
  Machine& machine = add_machine("m-0");
  machine.address = "m-0:1";
  clock.run_for(settings.lease_s / 2);
  health.worker_restarted(machine);
  health.worker_restarted(machine);
  EXPECT_EQ(required_fencings, 1);
  EXPECT_EQ(queried.size(), 1u);
  EXPECT_FALSE(machine.usable(clock.now(), settings.lease_s));
  EXPECT_EQ(machine.lease_renewed_at, clock.now());
  clock.run_for(settings.heartbeat_interval_s + 0.1);
  health.check_unreachable();
  EXPECT_EQ(queried.size(), 2u);
}

TEST_F(MachineHealthTest, LeaseExpiresOnceAfterTheClockDriftMargin) {
  Machine& machine = add_machine("m-0");
  clock.run_for(settings.lease_s);
  health.expire_leases();
  EXPECT_FALSE(machine.lease_expired) << "expired without a margin for clock drift";
  clock.run_for(settings.lease_s * 0.001 + settings.heartbeat_interval_s / 10 + 0.001);
  health.expire_leases();
  EXPECT_TRUE(machine.lease_expired);
  EXPECT_EQ(machine.lease_expired_at, clock.now());
  health.expire_leases();
  EXPECT_EQ(ended, (std::vector<std::string>{"m-0"}));
}

TEST_F(MachineHealthTest, MachineWithoutALeaseDoesNotExpire) {
  add_machine("m-0").lease_renewed_at = -1;
  clock.run_for(settings.lease_s * 10);
  health.expire_leases();
  EXPECT_TRUE(ended.empty());
}

TEST_F(MachineHealthTest, UnansweredCallMarksOnlyMachinesWithRecentHeartbeats) {
  Machine& up = add_machine("m-0");
  Machine& silent = add_machine("m-1");
  clock.run_for(settings.heartbeat_interval_s * 2);
  up.last_heartbeat_at = clock.now();
  health.call_unanswered(up);
  health.call_unanswered(silent);
  EXPECT_EQ(up.unreachable_since, clock.now());
  EXPECT_LT(silent.unreachable_since, 0);
}

TEST_F(MachineHealthTest, AnsweredCallMakesTheMachineReachable) {
  Machine& machine = add_machine("m-0");
  machine.identity_confirmed = false;
  health.call_answered(machine);
  EXPECT_TRUE(machine.identity_confirmed);
  EXPECT_EQ(requested_cycles, 0) << "requested although it was reachable before";
  health.mark_unreachable(machine);
  health.call_answered(machine);
  EXPECT_LT(machine.unreachable_since, 0);
  EXPECT_EQ(requested_cycles, 1);
}

TEST_F(MachineHealthTest, UnreachableMachineIsQueriedOncePerHeartbeatInterval) {
  Machine& machine = add_machine("m-0");
  add_machine("m-1");
  health.mark_unreachable(machine);
  health.check_unreachable();
  health.check_unreachable();
  EXPECT_EQ(queried, (std::vector<std::string>{"m-0"}));
  clock.run_for(settings.heartbeat_interval_s + 0.01);
  health.check_unreachable();
  EXPECT_EQ(queried.size(), 2u);
  EXPECT_TRUE(released.empty());
}

TEST_F(MachineHealthTest, UnreachableMachineIsReleasedAfterALease) {
  Machine& machine = add_machine("m-0");
  health.mark_unreachable(machine);
  clock.run_for(settings.lease_s);
  health.mark_unreachable(machine);  // must not reset `unreachable_since`
  health.check_unreachable();
  EXPECT_TRUE(released.empty());
  clock.run_for(0.01);
  health.check_unreachable();
  EXPECT_EQ(released, (std::vector<std::string>{"m-0"}));
}

TEST_F(MachineHealthTest, ExpiredAndReleasedMachinesAreNeitherQueriedNorReleased) {
  Machine& expired = add_machine("m-0");
  Machine& being_released = add_machine("m-1");
  health.mark_unreachable(expired);
  health.mark_unreachable(being_released);
  expired.lease_expired = true;
  being_released.being_released = true;
  clock.run_for(settings.lease_s + 1);
  health.check_unreachable();
  EXPECT_TRUE(queried.empty());
  EXPECT_TRUE(released.empty());
}

TEST_F(MachineHealthTest, NoMachineIsReleasedWhenALargeFractionIsUnreachable) {
  add_machines(10);  // up to three unreachable ones are released: a fifth plus one
  for (const std::string name : {"m-0", "m-1", "m-2", "m-3"}) {
    health.mark_unreachable(cluster.machine(name));
  }
  clock.run_for(settings.lease_s + 1);
  health.check_unreachable();
  EXPECT_TRUE(released.empty());
  health.call_answered(cluster.machine("m-3"));
  health.check_unreachable();
  EXPECT_EQ(released, (std::vector<std::string>{"m-0", "m-1", "m-2"}));
}

TEST_F(MachineHealthTest, NewestHeartbeatOfTheFleetNeedsFourMachinesWithALease) {
  add_machines(4);
  clock.run_for(1);
  cluster.machine("m-2").last_heartbeat_at = clock.now();
  EXPECT_EQ(health.newest_heartbeat_at(), clock.now());
  cluster.machine("m-1").lease_expired = true;
  EXPECT_EQ(health.newest_heartbeat_at(), std::nullopt);
  cluster.machine("m-1").lease_expired = false;
  cluster.machine("m-1").has_reported = false;
  EXPECT_EQ(health.newest_heartbeat_at(), std::nullopt);
}

}  // namespace
}  // namespace larkroad::coordination
