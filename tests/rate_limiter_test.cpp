#include "storage/rate_limiter.hpp"

#include <gtest/gtest.h>

#include "support.hpp"

namespace larkroad::storage {
namespace {

class RateLimiterTest : public ::testing::Test {
 protected:
  RateLimiterTest() : settings(testing::settings()) {
    settings.next_store_limits.write_rps = settings.store_limits.write_rps / 4;
  }
  RateLimiter full_limiter() const {
    RateLimiter limiter(settings, 0);
    limiter.set_share(1, 1);
    limiter.refill(100);
    return limiter;
  }
  Settings settings;
};

TEST_F(RateLimiterTest, BucketsHoldTokensForOneSecondAndRefillOverTime) {
  RateLimiter limiter = full_limiter();
  int requests = 0;
  for (; limiter.has_request(); ++requests) limiter.take(0);
  EXPECT_EQ(requests, static_cast<int>(limiter.requests_per_second()));
  limiter.refill(100.5);
  requests = 0;
  for (; limiter.has_request(); ++requests) limiter.take(0);
  EXPECT_NEAR(requests, limiter.requests_per_second() / 2, 1);
}

TEST_F(RateLimiterTest, LeaseRenewalsMayOverdrawTheBucket) {
  RateLimiter limiter = full_limiter();
  const double capacity = limiter.requests_per_second();
  for (int i = 0; i < 2 * capacity; ++i) limiter.take(0);
  limiter.refill(100.5);
  EXPECT_FALSE(limiter.has_request());
  limiter.refill(101.6);
  EXPECT_TRUE(limiter.has_request());
}

// Guards against a controller that serves nobody for minutes after a spell of such requests.
TEST_F(RateLimiterTest, OverdraftOfRequestsIsLimited) {
  RateLimiter limiter = full_limiter();
  for (int i = 0; i < 100'000; ++i) limiter.take(0);
  EXPECT_FALSE(limiter.has_request());
  limiter.refill(101);
  EXPECT_TRUE(limiter.has_request());
}

TEST_F(RateLimiterTest, TransactionLargerThanTheBucketNeedsAFullBucket) {
  RateLimiter limiter = full_limiter();
  const double bucket = limiter.writes_needed(1e9);
  EXPECT_LT(bucket, settings.store_limits.write_rps);
  EXPECT_TRUE(limiter.has_writes(bucket));
  limiter.take(1);
  EXPECT_FALSE(limiter.has_writes(bucket));
  EXPECT_EQ(limiter.writes_needed(1), 1);
  EXPECT_TRUE(limiter.has_writes(limiter.writes_needed(1)));
}

TEST_F(RateLimiterTest, PeriodOfLowerLimitsDoublesEachTime) {
  RateLimiter limiter = full_limiter();
  Seconds now = 100;
  for (const double factor : {1.0, 2.0, 4.0}) {
    SCOPED_TRACE(factor);
    EXPECT_EQ(limiter.lower_limits(now), settings.lease_s * factor);
    EXPECT_FALSE(limiter.has_writes(1));
    EXPECT_EQ(limiter.write_limit(), settings.next_store_limits.write_rps);
    EXPECT_FALSE(limiter.lower_limits(now + 1)) << "already lowered";
    now += settings.lease_s * factor;
    limiter.refill(now - 0.1);
    EXPECT_EQ(limiter.write_limit(), settings.next_store_limits.write_rps);
    limiter.refill(now);
    EXPECT_EQ(limiter.write_limit(), settings.store_limits.write_rps);
  }
}

TEST_F(RateLimiterTest, LimitsStayWhenTheNextLimitsAreNotLower) {
  settings.next_store_limits = settings.store_limits;
  RateLimiter limiter = full_limiter();
  EXPECT_FALSE(limiter.lower_limits(100));
  EXPECT_TRUE(limiter.has_request());
}

}  // namespace
}  // namespace larkroad::storage
