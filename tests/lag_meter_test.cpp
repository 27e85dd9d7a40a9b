#include "coordination/leader/lag_meter.hpp"

#include <gtest/gtest.h>

namespace larkroad::coordination {
namespace {

TEST(LagMeter, RisesImmediatelyAndDecaysSlowly) {
  LagMeter meter;
  meter.record_timer(10, 9.9);  // timers may fire slightly early
  EXPECT_EQ(meter.lag(), 0);
  meter.record_timer(10, 11);
  EXPECT_EQ(meter.lag(), 1);
  meter.record_timer(12, 12);
  EXPECT_GT(meter.lag(), 0.5);
  EXPECT_LT(meter.lag(), 1);
  for (int i = 0; i < 30; ++i) meter.record_timer(13, 13);
  EXPECT_LT(meter.lag(), 0.01);
  meter.record_timer(14, 15);
  meter.reset();
  EXPECT_EQ(meter.lag(), 0);
}

}  // namespace
}  // namespace larkroad::coordination
