// What a controller learns from its peers' reports and from leader announcements.
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
    const PeerSettings* peer = registry.next_with_store_access(now);
    return peer != nullptr ? peer->member : "";
  }

  Settings settings = testing::settings();
  PeerRegistry registry{settings};
};

TEST_F(PeerRegistryTest, PeersAreTheConfiguredMembers) {
  EXPECT_TRUE(registry.is_peer("node-1"));
  EXPECT_TRUE(registry.is_peer("node-2"));
  EXPECT_FALSE(registry.is_peer("node-0"));  // this controller
  EXPECT_FALSE(registry.is_peer("node-7"));
}

TEST_F(PeerRegistryTest, KnowsNothingBeforeTheFirstReport) {
  EXPECT_FALSE(registry.any_is_heard(0));
  EXPECT_FALSE(registry.any_has_store_access(0));
  EXPECT_FALSE(registry.any_receives_heartbeats(0));
  EXPECT_EQ(next(0), "");
}

TEST_F(PeerRegistryTest, PeersWithStoreAccessAreChosenRoundRobin) {
  report("node-1", true);
  report("node-2", true);
  EXPECT_EQ(next(), "node-1");
  EXPECT_EQ(next(), "node-2");
  EXPECT_EQ(next(), "node-1");
}

TEST_F(PeerRegistryTest, PeersWithoutStoreAccessAreNotChosen) {
  report("node-1", false, true);
  EXPECT_TRUE(registry.any_is_heard(kReportedAt));
  EXPECT_FALSE(registry.any_has_store_access(kReportedAt));
  EXPECT_FALSE(registry.any_receives_heartbeats(kReportedAt));
  EXPECT_EQ(next(), "");
  report("node-2", true);
  EXPECT_EQ(next(), "node-2");
  EXPECT_EQ(next(), "node-2");
  EXPECT_FALSE(registry.any_receives_heartbeats(kReportedAt));
}

TEST_F(PeerRegistryTest, ReportsExpireAfterOneHeartbeatInterval) {
  report("node-1", true, true);
  const Seconds expiry = kReportedAt + settings.heartbeat_interval_s;
  EXPECT_TRUE(registry.any_is_heard(expiry - 0.01));
  EXPECT_FALSE(registry.any_is_heard(expiry));
  EXPECT_TRUE(registry.any_has_store_access(expiry - 0.01));
  EXPECT_TRUE(registry.any_receives_heartbeats(expiry - 0.01));
  EXPECT_EQ(next(expiry - 0.01), "node-1");
  EXPECT_FALSE(registry.any_has_store_access(expiry));
  EXPECT_FALSE(registry.any_receives_heartbeats(expiry));
  EXPECT_EQ(next(expiry), "");
}

class LeaderAnnouncementsTest : public ::testing::Test {
 protected:
  Settings settings = testing::settings();
  LeaderAnnouncements announcements{settings};
};

TEST_F(LeaderAnnouncementsTest, TheNewestExpiresAfterOneHeartbeatInterval) {
  EXPECT_EQ(announcements.current(0, 0), nullptr);
  announcements.record_received("node-1", 5, true, kReportedAt);
  announcements.record_received("node-2", 4, false, kReportedAt);  // of an earlier term
  const auto* current = announcements.current(4, kReportedAt);
  ASSERT_NE(current, nullptr);
  EXPECT_EQ(current->member, "node-1");
  EXPECT_EQ(current->fencing_token, 5u);
  EXPECT_TRUE(announcements.workers_distributed());
  EXPECT_EQ(announcements.current(4, kReportedAt + settings.heartbeat_interval_s), nullptr);
}

TEST_F(LeaderAnnouncementsTest, AreIgnoredOnceTheStoreHasShownTheSameOrANewerTerm) {
  announcements.record_received("node-1", 5, false, kReportedAt);
  EXPECT_NE(announcements.current(4, kReportedAt), nullptr);
  EXPECT_EQ(announcements.current(5, kReportedAt), nullptr);
  EXPECT_EQ(announcements.current(6, kReportedAt), nullptr);
}

TEST_F(LeaderAnnouncementsTest, SentAndReceivedOnesAreTrackedSeparately) {
  announcements.record_sent(true);
  EXPECT_TRUE(announcements.workers_distributed());
  EXPECT_TRUE(announcements.last_sent_workers_distributed());
  announcements.record_received("node-1", 5, false, kReportedAt);
  EXPECT_FALSE(announcements.workers_distributed());
  EXPECT_TRUE(announcements.last_sent_workers_distributed());
}

}  // namespace
}  // namespace larkroad::coordination
