#include "coordination/scaling/autoscaler.hpp"

#include <gtest/gtest.h>

#include "support.hpp"

namespace larkroad::coordination {
namespace {

class Fleet : public ::testing::Test {
 protected:
  Fleet() : settings(testing::settings()), cluster(settings) {
    cluster.set_types(testing::types());
  }
  ScalingPlan round(Seconds now = 100) { return plan_scaling(cluster, refusals, pending, now, 0); }
  static int rented(const ScalingPlan& plan) {
    int count = 0;
    for (const auto& rent : plan.scale_out) count += rent.count;
    return count;
  }

  Settings settings;
  ClusterState cluster;
  CapacityBackoff refusals;
  std::map<Market, int> pending;
};

TEST_F(Fleet, RentsTheCheapestThatFits) {
  testing::add(cluster, testing::spec("job-1", 2));
  const ScalingPlan out = round();
  ASSERT_EQ(out.scale_out.size(), 1u);
  EXPECT_EQ(out.scale_out[0].market.type, "small");
  EXPECT_FALSE(out.scale_out[0].market.spot);
  EXPECT_EQ(out.scale_out[0].count, 1);
}

TEST_F(Fleet, RentsSpotWhereTheJobAllows) {
  auto spec = testing::spec("job-1");
  spec.spot = true;
  testing::add(cluster, spec);
  ASSERT_EQ(round().scale_out.size(), 1u);
  EXPECT_TRUE(round().scale_out[0].market.spot);
}

TEST_F(Fleet, CountsWhatIsUpOnItsWayOrAskedFor) {
  testing::add(cluster, testing::spec("job-1", 6));
  EXPECT_EQ(rented(round()), 3);
  testing::up(cluster, "i-1", "small");
  EXPECT_EQ(rented(round()), 2);
  Machine& booting = cluster.machine("i-2");
  booting.rented_at = 90;
  cluster.set_type(booting, "small");
  EXPECT_EQ(rented(round()), 1);
  pending[{"small", "east", false}] = 1;
  EXPECT_EQ(rented(round()), 0);
}

// Room in the wrong zone is none: a gang to be spread waited for ever beside idle machines.
TEST_F(Fleet, RentsInTheZonesAJobNeeds) {
  for (int i = 0; i < 3; ++i) testing::up(cluster, "i-" + std::to_string(i), "large", "east");
  auto spread = testing::spec("job-1", 4);
  spread.shape = protocol::Shape::gang;
  spread.spread = true;
  testing::add(cluster, spread);
  const ScalingPlan out = round();
  ASSERT_EQ(out.scale_out.size(), 1u);
  EXPECT_EQ(out.scale_out[0].market.zone, "west");
  EXPECT_EQ(out.scale_out[0].count, 1);

  cluster.clear();
  testing::up(cluster, "i-1", "small", "east");
  testing::up(cluster, "i-2", "large", "west");
  auto together = testing::spec("job-2", 10);
  together.shape = protocol::Shape::gang;
  together.one_zone = true;
  testing::add(cluster, together);
  for (const auto& rent : round().scale_out) EXPECT_EQ(rent.market.zone, "west");
  EXPECT_EQ(rented(round()), 1);
}

// All gangs waited for the machines of one zone, which were soon rented out.
TEST_F(Fleet, SpreadsGangsOfOneZoneOverTheZones) {
  for (int i = 0; i < 4; ++i) {
    auto together = testing::spec("job-" + std::to_string(i), 3, 4);
    together.team = "blue";
    together.shape = protocol::Shape::gang;
    together.one_zone = true;
    testing::add(cluster, together);
  }
  std::map<std::string, int> by_zone;
  for (const auto& rent : round().scale_out) by_zone[rent.market.zone] += rent.count;
  EXPECT_EQ(by_zone["east"], by_zone["west"]);
  // What is refused in the one is looked for in the other.
  for (const auto& type : testing::types())
    refusals.record_failure({type.name, "east", false}, 100, 5, 9);
  for (const auto& rent : round().scale_out) EXPECT_EQ(rent.market.zone, "west");
}

TEST_F(Fleet, NeverRentsBeyondATeamsLimit) {
  testing::add(cluster, testing::spec("job-1", 1000));
  int cpus = 0;
  for (const auto& rent : round().scale_out) {
    cpus += rent.count * static_cast<int>(cluster.type(rent.market.type)->cpus);
  }
  EXPECT_LE(cpus, 32);
}

TEST_F(Fleet, TurnsToAnotherMarketWhenRefused) {
  testing::add(cluster, testing::spec("job-1"));
  const Market first = round().scale_out.at(0).market;
  refusals.record_failure(first, 100, 5, 40);
  EXPECT_NE(round().scale_out.at(0).market, first);
  EXPECT_EQ(round(106).scale_out.at(0).market, first);
}

TEST_F(Fleet, RefusalsBackOffUpToALimit) {
  const Market market{"small", "east", false};
  Seconds now = 0;
  for (const Seconds pause : {5.0, 10.0, 20.0, 40.0, 40.0}) {
    refusals.record_failure(market, now, 5, 40);
    EXPECT_FALSE(refusals.may_request(market, now + pause - 0.1));
    EXPECT_TRUE(refusals.may_request(market, now + pause));
    now += 100;
  }
  refusals.record_success(market);
  refusals.record_failure(market, now, 5, 40);
  EXPECT_TRUE(refusals.may_request(market, now + 5));
}

TEST_F(Fleet, ReturnsWhatIsOfNoUse) {
  Machine& idle = testing::up(cluster, "i-1", "small");
  idle.idle_since = 10;
  EXPECT_TRUE(round(60).scale_in.empty());  // a minute is charged anyhow
  EXPECT_EQ(round(200).scale_in, std::vector<std::string>{"i-1"});

  Machine& busy = testing::up(cluster, "i-2", "small");
  auto& job = testing::add(cluster, testing::spec("job-1"));
  cluster.place(job, 0, busy, 1, 100);
  Machine& never = cluster.machine("i-3");
  never.rented_at = 100;
  cluster.set_type(never, "small");
  testing::up(cluster, "i-4", "small").lease_expired = true;
  EXPECT_EQ(round(1000).scale_in, (std::vector<std::string>{"i-1", "i-3", "i-4"}));
}

// Many machines that hung for a little longer than their lease all went back, to be rented anew.
TEST_F(Fleet, WaitsForASilentMachineAsLongAsAnotherWouldBoot) {
  Machine& silent = testing::up(cluster, "i-1", "small");
  silent.lease_expired = true;
  silent.lease_expired_at = 100;
  testing::add(cluster, testing::spec("job-1"));
  EXPECT_TRUE(round(110).scale_in.empty());
  EXPECT_EQ(rented(round(110)), 0);  // it counts as room that is on its way
  const Seconds later = 101 + cluster.type("small")->boot_s;
  EXPECT_EQ(round(later).scale_in, std::vector<std::string>{"i-1"});
  EXPECT_EQ(rented(round(later)), 1);
}

}  // namespace
}  // namespace larkroad::coordination
