// How long a leader may act and answer heartbeats after its last confirmations.
#include "coordination/election/leader_lease.hpp"

#include <gtest/gtest.h>

#include "support.hpp"

namespace larkroad::coordination {
namespace {

// The test settings have a worker lease of 12 s and a cancellation limit of 30 s. The leader lease
// is therefore 2 s and its grace period 30 s - 1.152 * 12 s.
constexpr Seconds kLease = 2;
constexpr Seconds kGrace = 16.176;
constexpr Seconds kGrantedAt = 100;

class LeaderLeaseTest : public ::testing::Test {
 protected:
  Settings settings = testing::settings();
  LeaderLease lease{settings, kGrantedAt};
};

TEST_F(LeaderLeaseTest, BoundsFollowFromTheSettings) {
  EXPECT_DOUBLE_EQ(LeaderLease::duration(settings), kLease);
  EXPECT_NEAR(LeaderLease::grace_period(settings), kGrace, 1e-9);
  settings.cancellation_limit_s = 5;  // shorter than the worker lease
  EXPECT_EQ(LeaderLease::grace_period(settings), 0);
}

TEST_F(LeaderLeaseTest, NothingIsAllowedBeforeTheJobViewIsConfirmed) {
  EXPECT_TRUE(lease.is_held(kGrantedAt));
  EXPECT_FALSE(lease.allows_acting(kGrantedAt));
  EXPECT_FALSE(lease.allows_answering_heartbeats(kGrantedAt));
}

TEST_F(LeaderLeaseTest, IsHeldForLessThanItsDuration) {
  EXPECT_TRUE(lease.is_held(kGrantedAt + 1.97));
  EXPECT_FALSE(lease.is_held(kGrantedAt + 1.98));  // minus clock drift and timer resolution
  lease.renewed(kGrantedAt + 1);
  EXPECT_TRUE(lease.is_held(kGrantedAt + 2.97));
  lease.renewed(kGrantedAt + 0.5);  // late reply to an earlier renewal
  EXPECT_TRUE(lease.is_held(kGrantedAt + 2.97));
}

struct BoundsCase {
  const char* name;
  Seconds renewed_after;
  Seconds view_confirmed_after;
  Seconds now_after;
  bool may_act;
  bool may_answer;
};

class LeaderLeaseBounds : public ::testing::TestWithParam<BoundsCase> {};

TEST_P(LeaderLeaseBounds, CountFromTheOlderConfirmation) {
  const Settings settings = testing::settings();
  LeaderLease lease(settings, kGrantedAt);
  lease.renewed(kGrantedAt + GetParam().renewed_after);
  lease.confirm_job_view(kGrantedAt + GetParam().view_confirmed_after);
  const Seconds now = kGrantedAt + GetParam().now_after;
  EXPECT_EQ(lease.allows_acting(now), GetParam().may_act);
  EXPECT_EQ(lease.allows_answering_heartbeats(now), GetParam().may_answer);
}

const BoundsCase kBoundsCases[] = {
    {"both_fresh", 10, 10, 11, true, true},
    {"lease_expired", 10, 12, 12.5, false, true},
    {"view_stale", 12, 10, 12.5, false, true},
    {"lease_expired_within_grace", 10, 20, 26.1, false, true},
    {"lease_expired_beyond_grace", 10, 20, 26.2, false, false},
    {"view_stale_within_grace", 20, 10, 26.1, false, true},
    {"view_stale_beyond_grace", 20, 10, 26.2, false, false},
};

INSTANTIATE_TEST_SUITE_P(Cases, LeaderLeaseBounds, ::testing::ValuesIn(kBoundsCases),
                         [](const auto& info) { return std::string(info.param.name); });

TEST_F(LeaderLeaseTest, ViewIsOverdueAfterFourLeasesOfAnsweredRenewals) {
  lease.renewal_answered(kGrantedAt);
  EXPECT_FALSE(lease.is_view_overdue(kGrantedAt + 100));  // the records are still being loaded
  lease.confirm_job_view(kGrantedAt + 1);
  EXPECT_FALSE(lease.is_view_overdue(kGrantedAt + 1 + 4 * kLease));
  EXPECT_TRUE(lease.is_view_overdue(kGrantedAt + 1.1 + 4 * kLease));
  lease.confirm_job_view(kGrantedAt + 2);
  EXPECT_FALSE(lease.is_view_overdue(kGrantedAt + 1.1 + 4 * kLease));
}

TEST_F(LeaderLeaseTest, TimeOfAStoreOutageDoesNotCountTowardsAnOverdueView) {
  lease.confirm_job_view(kGrantedAt);
  lease.renewal_answered(kGrantedAt);
  lease.renewal_failed();
  lease.renewal_answered(kGrantedAt + 60);
  lease.renewal_answered(kGrantedAt + 61);
  EXPECT_FALSE(lease.is_view_overdue(kGrantedAt + 60 + 4 * kLease));
  EXPECT_TRUE(lease.is_view_overdue(kGrantedAt + 60.1 + 4 * kLease));
}

}  // namespace
}  // namespace larkroad::coordination
