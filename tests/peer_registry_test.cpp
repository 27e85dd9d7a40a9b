// What a controller knows of its peers by their reports.
#include "coordination/membership/peer_registry.hpp"

#include <gtest/gtest.h>

#include "coordination/membership/leader_announcements.hpp"
#include "support.hpp"

namespace larkroad::coordination {
namespace {

constexpr Seconds kReportedAt = 100;

class PeerRegistryTest : public ::testing::Test {
 protected:
  void report(const std::string& member, bool store_available, bool receives_heartbeats = false,
              Seconds now = kReportedAt) {
    protocol::PeerStatus status;
    status.member = member;
    status.store_available = store_available;
    status.receives_heartbeats = receives_heartbeats;
    registry.observe(status, now);
  }
  std::string next(Seconds now = kReportedAt) {
    const PeerSettings* peer = registry.next_with_store(now);
    return peer != nullptr ? peer->member : "";
  }

  Settings settings = testing::settings();
  PeerRegistry registry{settings};
};

TEST_F(PeerRegistryTest, PeersAreThoseOfTheSettings) {
  EXPECT_TRUE(registry.is_peer("node-1"));
  EXPECT_TRUE(registry.is_peer("node-2"));
  EXPECT_FALSE(registry.is_peer("node-0"));  // itself
  EXPECT_FALSE(registry.is_peer("node-7"));
}

TEST_F(PeerRegistryTest, KnowsNothingBeforeTheFirstReport) {
  EXPECT_FALSE(registry.any_has_store(0));
  EXPECT_FALSE(registry.any_receives_heartbeats(0));
  EXPECT_EQ(next(0), "");
}

TEST_F(PeerRegistryTest, PeersWithTheStoreAreChosenInTurn) {
  report("node-1", true);
  report("node-2", true);
  EXPECT_EQ(next(), "node-1");
  EXPECT_EQ(next(), "node-2");
  EXPECT_EQ(next(), "node-1");
}

TEST_F(PeerRegistryTest, PeersWithoutTheStoreAreNotChosen) {
  report("node-1", false, true);
  EXPECT_FALSE(registry.any_has_store(kReportedAt));
  EXPECT_FALSE(registry.any_receives_heartbeats(kReportedAt));
  EXPECT_EQ(next(), "");
  report("node-2", true);
  EXPECT_EQ(next(), "node-2");
  EXPECT_EQ(next(), "node-2");
  EXPECT_FALSE(registry.any_receives_heartbeats(kReportedAt));
}

TEST_F(PeerRegistryTest, AReportCountsForOneHeartbeatInterval) {
  report("node-1", true, true);
  const Seconds last = kReportedAt + settings.heartbeat_interval_s;
  EXPECT_TRUE(registry.any_has_store(last - 0.01));
  EXPECT_TRUE(registry.any_receives_heartbeats(last - 0.01));
  EXPECT_EQ(next(last - 0.01), "node-1");
  EXPECT_FALSE(registry.any_has_store(last));
  EXPECT_FALSE(registry.any_receives_heartbeats(last));
  EXPECT_EQ(next(last), "");
}

class LeaderAnnouncementsTest : public ::testing::Test {
 protected:
  Settings settings = testing::settings();
  LeaderAnnouncements announcements{settings};
};

TEST_F(LeaderAnnouncementsTest, TheNewestOneCountsForOneHeartbeatInterval) {
  EXPECT_EQ(announcements.current(0, 0), nullptr);
  announcements.received("node-1", 5, true, kReportedAt);
  announcements.received("node-2", 4, false, kReportedAt);  // of an earlier leadership
  const auto* current = announcements.current(4, kReportedAt);
  ASSERT_NE(current, nullptr);
  EXPECT_EQ(current->member, "node-1");
  EXPECT_EQ(current->fencing_token, 5u);
  EXPECT_TRUE(announcements.workers_distributed());
  EXPECT_EQ(announcements.current(4, kReportedAt + settings.heartbeat_interval_s), nullptr);
}

TEST_F(LeaderAnnouncementsTest, TheStoreCountsMoreWhenItHasShownTheSameLeadershipOrANewerOne) {
  announcements.received("node-1", 5, false, kReportedAt);
  EXPECT_NE(announcements.current(4, kReportedAt), nullptr);
  EXPECT_EQ(announcements.current(5, kReportedAt), nullptr);
  EXPECT_EQ(announcements.current(6, kReportedAt), nullptr);
}

TEST_F(LeaderAnnouncementsTest, KeepWhatThisControllerHasSentApart) {
  announcements.sent(true);
  EXPECT_TRUE(announcements.workers_distributed());
  EXPECT_TRUE(announcements.last_sent());
  announcements.received("node-1", 5, false, kReportedAt);
  EXPECT_FALSE(announcements.workers_distributed());
  EXPECT_TRUE(announcements.last_sent());
}

}  // namespace
}  // namespace larkroad::coordination
