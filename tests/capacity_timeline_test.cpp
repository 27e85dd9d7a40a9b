#include "coordination/scheduling/capacity_timeline.hpp"

#include <gtest/gtest.h>

namespace larkroad::coordination {
namespace {

// Half of the capacity is free; the other half becomes free after 10 s. Tasks run for 20 s.
TEST(CapacityTimeline, FreeCapacityIsUsableAtOnceAndUsedCapacityAsItsTasksEnd) {
  CapacityTimeline timeline;
  timeline.add(0.5, 10, 20);
  timeline.finish(20);
  struct Case {
    double time;
    double startable;
  };
  // After a release, its capacity becomes free once per run time: 0.5 / 20 s is 0.025 per second.
  for (const Case& c : {Case{-1, 0}, Case{0, 0.5}, Case{4, 0.6}, Case{10, 1.25}, Case{30, 2.25}}) {
    EXPECT_NEAR(timeline.startable_within(c.time), c.startable, 1e-9) << c.time;
  }
}

TEST(CapacityTimeline, UnusedCapacityIsEntirelyFree) {
  CapacityTimeline timeline;
  timeline.finish(50);
  EXPECT_NEAR(timeline.startable_within(0), 1, 1e-9);
  EXPECT_NEAR(timeline.startable_within(25), 1.5, 1e-9);
}

// A limit reduced below what is in use: nothing is free before tasks end.
TEST(CapacityTimeline, OverusedCapacityHasNothingFree) {
  CapacityTimeline timeline;
  timeline.add(0.8, 5, 10);
  timeline.add(0.8, 15, 10);
  timeline.finish(10);
  EXPECT_NEAR(timeline.startable_within(4.9), 0, 1e-9);
  EXPECT_NEAR(timeline.startable_within(5), 0.8, 1e-9);
}

}  // namespace
}  // namespace larkroad::coordination
