/// Load balancing of workers' connections over the controllers.
#include "coordination/relay/relay_assignment.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "support.hpp"

namespace larkroad::coordination {
namespace {

class RelayAssignmentTest : public ::testing::Test {
 protected:
  RelayAssignmentTest() : settings(testing::settings()), relay_assignment(settings) {
    relay_assignment.record_relay("node-1", 0);  // in the west
    relay_assignment.record_relay("node-2", 0);  // in the east
  }
  // Sends one heartbeat from each of the workers `from` to `to` - 1 directly to the leader. Returns
  // the number of workers by the controller that they are redirected to (empty: not redirected).
  std::map<std::string, int> report_directly(int from, int to, Seconds now) {
    std::map<std::string, int> out;
    for (int i = from; i < to; ++i) {
      const std::string name = "i-" + std::to_string(i);
      const auto redirect = relay_assignment.choose_redirect(name, "east", "", now);
      ++out[redirect.value_or("")];
      if (!redirect) relay_assignment.record_heartbeat(name, "", now);
    }
    return out;
  }
  Settings settings;
  RelayAssignment relay_assignment;
  const int leader_capacity = static_cast<int>(relay_assignment.capacity(""));
  const int relay_capacity = static_cast<int>(relay_assignment.capacity("node-1"));
};

TEST_F(RelayAssignmentTest, WorkersWithinItsCapacityStayWithTheLeader) {
  EXPECT_EQ(report_directly(0, leader_capacity, 1),
            (std::map<std::string, int>{{"", leader_capacity}}));
  EXPECT_FALSE(relay_assignment.distributes_workers());
}

TEST_F(RelayAssignmentTest, ExcessWorkersAreDistributedOverRelaysWithTheirZoneFirst) {
  EXPECT_GT(relay_capacity, leader_capacity);
  EXPECT_EQ(report_directly(0, leader_capacity + relay_capacity + 5, 1),
            (std::map<std::string, int>{
                {"", leader_capacity}, {"node-1", 5}, {"node-2", relay_capacity}}));
  EXPECT_TRUE(relay_assignment.distributes_workers());
  // Workers that already count for the leader stay.
  EXPECT_EQ(report_directly(0, leader_capacity, 2),
            (std::map<std::string, int>{{"", leader_capacity}}));
}

TEST_F(RelayAssignmentTest, WorkersAreNotRedirectedInCircles) {
  report_directly(0, leader_capacity, 1);
  EXPECT_EQ(report_directly(900, 901, 1).count(""), 0u);
  EXPECT_EQ(report_directly(900, 901, 1.2).count(""), 1u);  // back after the redirect: served
}

TEST_F(RelayAssignmentTest, WithoutRelaysTheLeaderServesAllWorkers) {
  const Seconds later = settings.heartbeat_interval_s * 3;
  EXPECT_EQ(report_directly(0, 500, later), (std::map<std::string, int>{{"", 500}}));
}

TEST_F(RelayAssignmentTest, ARelayAtItsCapacityRedirectsToAnother) {
  for (size_t i = 0; i < static_cast<size_t>(relay_capacity); ++i) {
    relay_assignment.record_heartbeat("i-" + std::to_string(i), "node-1", 1);
  }
  EXPECT_EQ(relay_assignment.choose_redirect("i-0", "west", "node-1", 1), std::nullopt);
  EXPECT_EQ(relay_assignment.choose_redirect("i-900", "west", "node-1", 1), "node-2");
}

TEST_F(RelayAssignmentTest, WorkersReturnToTheLeaderWhenFewAreLeft) {
  report_directly(0, leader_capacity + 1, 1);
  ASSERT_TRUE(relay_assignment.distributes_workers());
  relay_assignment.rebalance(std::nullopt, 2);  // the number of machines is not known yet
  EXPECT_TRUE(relay_assignment.distributes_workers());
  relay_assignment.rebalance(leader_capacity, 2);
  EXPECT_TRUE(relay_assignment.distributes_workers());
  relay_assignment.rebalance(leader_capacity / 2, 2);
  EXPECT_FALSE(relay_assignment.distributes_workers());
}

}  // namespace
}  // namespace larkroad::coordination
