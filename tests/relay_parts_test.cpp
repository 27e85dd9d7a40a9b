/// Components of the relay that can be tested in isolation.
#include <gtest/gtest.h>

#include "coordination/relay/acknowledged_heartbeats.hpp"
#include "coordination/relay/leader_reachability.hpp"
#include "coordination/relay/slot_pool.hpp"
#include "fakes/manual_clock.hpp"
#include "support.hpp"

namespace larkroad::coordination {
namespace {

protocol::Heartbeat heartbeat_of(const std::string& machine, std::uint64_t sequence) {
  protocol::Heartbeat heartbeat;
  heartbeat.machine = machine;
  heartbeat.incarnation = 1;
  heartbeat.sequence = sequence;
  return heartbeat;
}

TEST(AcknowledgedHeartbeats, GiveTheSequenceNumberOfTheOneReceivedInFull) {
  AcknowledgedHeartbeats acknowledged;
  EXPECT_EQ(acknowledged.find_base_sequence(heartbeat_of("i-1", 1)), std::nullopt);
  acknowledged.acknowledge(heartbeat_of("i-1", 1), 10);
  EXPECT_EQ(acknowledged.find_base_sequence(heartbeat_of("i-1", 2)), 1u);
  // The leader does not keep a heartbeat that was sent as a delta.
  acknowledged.acknowledge(heartbeat_of("i-1", 2), 11);
  EXPECT_EQ(acknowledged.find_base_sequence(heartbeat_of("i-1", 3)), 1u);
  // It keeps one whose full payload it has requested.
  acknowledged.acknowledge_full_payload(heartbeat_of("i-1", 3), 12);
  EXPECT_EQ(acknowledged.find_base_sequence(heartbeat_of("i-1", 4)), 3u);
  EXPECT_EQ(acknowledged.find_base_sequence(heartbeat_of("i-2", 4)), std::nullopt);
}

TEST(AcknowledgedHeartbeats, ChangedHeartbeatsHaveNoBase) {
  AcknowledgedHeartbeats acknowledged;
  acknowledged.acknowledge(heartbeat_of("i-1", 1), 10);
  protocol::Heartbeat changed = heartbeat_of("i-1", 2);
  changed.fencing_token = 7;
  EXPECT_EQ(acknowledged.find_base_sequence(changed), std::nullopt);
  acknowledged.acknowledge(changed, 11);
  changed.sequence = 3;
  EXPECT_EQ(acknowledged.find_base_sequence(changed), 2u);
}

TEST(AcknowledgedHeartbeats, AreRemovedOnRequestAndByAge) {
  AcknowledgedHeartbeats acknowledged;
  acknowledged.acknowledge(heartbeat_of("i-1", 1), 10);
  acknowledged.acknowledge(heartbeat_of("i-2", 1), 14);
  acknowledged.drop_older_than(5, 15);
  EXPECT_EQ(acknowledged.find_base_sequence(heartbeat_of("i-1", 2)), 1u);
  acknowledged.drop_older_than(5, 16);
  EXPECT_EQ(acknowledged.find_base_sequence(heartbeat_of("i-1", 2)), std::nullopt);
  EXPECT_EQ(acknowledged.find_base_sequence(heartbeat_of("i-2", 2)), 1u);
  acknowledged.forget("i-2");
  EXPECT_EQ(acknowledged.find_base_sequence(heartbeat_of("i-2", 2)), std::nullopt);
}

TEST(SlotPool, AllocatesTheLowestFreeSlot) {
  SlotPool slots(2);
  EXPECT_EQ(slots.acquire(), 0u);
  EXPECT_TRUE(slots.has_free());
  EXPECT_EQ(slots.acquire(), 1u);
  EXPECT_FALSE(slots.has_free());
  EXPECT_EQ(slots.acquire(), std::nullopt);
  slots.release(0);
  EXPECT_TRUE(slots.has_free());
  EXPECT_EQ(slots.acquire(), 0u);
}

class LeaderReachabilityTest : public ::testing::Test {
 protected:
  const Settings settings = testing::settings();
  testing::ManualClock clock{100, 0};
  LeaderReachability reachability{clock, settings};
};

TEST_F(LeaderReachabilityTest, IsInitiallyNeitherReachableNorPartitioned) {
  EXPECT_FALSE(reachability.is_reachable());
  EXPECT_FALSE(reachability.is_partitioned());
}

TEST_F(LeaderReachabilityTest, AnAnswerExpiresAfterOneHeartbeatInterval) {
  reachability.record_answer();
  EXPECT_TRUE(reachability.is_reachable());
  clock.run_for(settings.heartbeat_interval_s * 1.01);
  EXPECT_FALSE(reachability.is_reachable());
}

TEST_F(LeaderReachabilityTest, AFailureMakesItUnreachableButNotYetPartitioned) {
  reachability.record_answer();
  reachability.record_failure();
  EXPECT_FALSE(reachability.is_reachable());
  EXPECT_FALSE(reachability.is_partitioned());
}

TEST_F(LeaderReachabilityTest, IsPartitionedOnceTheKeyOfACrashedLeaderWouldHaveExpired) {
  reachability.record_answer();
  clock.run_for(settings.lease_s * 0.19);
  EXPECT_FALSE(reachability.is_partitioned());
  clock.run_for(settings.lease_s * 0.02);
  EXPECT_TRUE(reachability.is_partitioned());
  reachability.record_failure();
  EXPECT_TRUE(reachability.is_partitioned());
  reachability.record_answer();
  EXPECT_FALSE(reachability.is_partitioned());
}

TEST_F(LeaderReachabilityTest, StateIsResetForANewLeader) {
  reachability.record_answer();
  clock.run_for(settings.lease_s);
  reachability.reset();
  EXPECT_FALSE(reachability.is_reachable());
  EXPECT_FALSE(reachability.is_partitioned());
}

}  // namespace
}  // namespace larkroad::coordination
