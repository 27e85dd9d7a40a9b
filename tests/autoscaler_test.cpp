// Autoscaler: the choice of machines to request and to release.
#include "coordination/scaling/autoscaler.hpp"

#include <gtest/gtest.h>

#include "support.hpp"

namespace larkroad::coordination {
namespace {

class AutoscalerTest : public ::testing::Test {
 protected:
  AutoscalerTest() : settings(testing::settings()), cluster(settings) {
    cluster.set_types(testing::types());
  }
  ScalingPlan plan_round(Seconds now = 100) {
    return plan_scaling(cluster, backoff, pending, now, 0);
  }
  static int requested_machines(const ScalingPlan& plan) {
    int count = 0;
    for (const auto& request : plan.scale_out) count += request.count;
    return count;
  }

  Settings settings;
  ClusterState cluster;
  CapacityBackoff backoff;
  std::map<Market, int> pending;
};

TEST_F(AutoscalerTest, RequestsTheCheapestMachineThatFits) {
  testing::add_job(cluster, testing::spec("job-1", 2));
  const ScalingPlan plan = plan_round();
  ASSERT_EQ(plan.scale_out.size(), 1u);
  EXPECT_EQ(plan.scale_out[0].market.type, "small");
  EXPECT_FALSE(plan.scale_out[0].market.spot);
  EXPECT_EQ(plan.scale_out[0].count, 1);
}

TEST_F(AutoscalerTest, RequestsSpotWhereTheJobAllows) {
  auto spec = testing::spec("job-1");
  spec.spot = true;
  testing::add_job(cluster, spec);
  ASSERT_EQ(plan_round().scale_out.size(), 1u);
  EXPECT_TRUE(plan_round().scale_out[0].market.spot);
}

TEST_F(AutoscalerTest, CountsMachinesThatAreUpBootingOrRequested) {
  testing::add_job(cluster, testing::spec("job-1", 6));
  EXPECT_EQ(requested_machines(plan_round()), 3);
  testing::add_machine(cluster, "i-1", "small");
  EXPECT_EQ(requested_machines(plan_round()), 2);
  Machine& booting = cluster.machine("i-2");
  booting.rented_at = 90;
  cluster.set_type(booting, "small");
  EXPECT_EQ(requested_machines(plan_round()), 1);
  pending[{"small", "east", false}] = 1;
  EXPECT_EQ(requested_machines(plan_round()), 0);
}

// Free capacity in a zone that a gang cannot use must not count for it; otherwise a spread gang
// waits forever while machines are idle in another zone.
TEST_F(AutoscalerTest, RequestsInTheZonesAJobNeeds) {
  for (int i = 0; i < 3; ++i)
    testing::add_machine(cluster, "i-" + std::to_string(i), "large", "east");
  auto spread_gang = testing::spec("job-1", 4);
  spread_gang.shape = protocol::Shape::gang;
  spread_gang.spread = true;
  testing::add_job(cluster, spread_gang);
  const ScalingPlan plan = plan_round();
  ASSERT_EQ(plan.scale_out.size(), 1u);
  EXPECT_EQ(plan.scale_out[0].market.zone, "west");
  EXPECT_EQ(plan.scale_out[0].count, 1);

  cluster.clear();
  testing::add_machine(cluster, "i-1", "small", "east");
  testing::add_machine(cluster, "i-2", "large", "west");
  auto one_zone_gang = testing::spec("job-2", 10);
  one_zone_gang.shape = protocol::Shape::gang;
  one_zone_gang.one_zone = true;
  testing::add_job(cluster, one_zone_gang);
  for (const auto& request : plan_round().scale_out) EXPECT_EQ(request.market.zone, "west");
  EXPECT_EQ(requested_machines(plan_round()), 1);
}

// Guards against assigning all one-zone gangs to the same zone, which then runs out of capacity.
TEST_F(AutoscalerTest, BalancesOneZoneGangsAcrossZones) {
  for (int i = 0; i < 4; ++i) {
    auto one_zone_gang = testing::spec("job-" + std::to_string(i), 3, 4);
    one_zone_gang.team = "blue";
    one_zone_gang.shape = protocol::Shape::gang;
    one_zone_gang.one_zone = true;
    testing::add_job(cluster, one_zone_gang);
  }
  std::map<std::string, int> by_zone;
  for (const auto& request : plan_round().scale_out) by_zone[request.market.zone] += request.count;
  EXPECT_EQ(by_zone["east"], by_zone["west"]);
  // When one zone refuses requests, all machines are requested in the other.
  for (const auto& type : testing::types())
    backoff.record_failure({type.name, "east", false}, 100, 5, 9);
  for (const auto& request : plan_round().scale_out) EXPECT_EQ(request.market.zone, "west");
}

TEST_F(AutoscalerTest, NeverScalesOutBeyondATeamsQuota) {
  testing::add_job(cluster, testing::spec("job-1", 1000));
  int cpus = 0;
  for (const auto& request : plan_round().scale_out) {
    cpus += request.count * static_cast<int>(cluster.type(request.market.type)->cpus);
  }
  EXPECT_LE(cpus, 32);
}

TEST_F(AutoscalerTest, UsesAnotherMarketAfterARefusal) {
  testing::add_job(cluster, testing::spec("job-1"));
  const Market first = plan_round().scale_out.at(0).market;
  backoff.record_failure(first, 100, 5, 40);
  EXPECT_NE(plan_round().scale_out.at(0).market, first);
  EXPECT_EQ(plan_round(106).scale_out.at(0).market, first);
}

TEST_F(AutoscalerTest, BacksOffExponentiallyUpToAMaximum) {
  const Market market{"small", "east", false};
  Seconds now = 0;
  for (const Seconds delay : {5.0, 10.0, 20.0, 40.0, 40.0}) {
    backoff.record_failure(market, now, 5, 40);
    EXPECT_FALSE(backoff.may_request(market, now + delay - 0.1));
    EXPECT_TRUE(backoff.may_request(market, now + delay));
    now += 100;
  }
  backoff.record_success(market);
  backoff.record_failure(market, now, 5, 40);
  EXPECT_TRUE(backoff.may_request(market, now + 5));
}

TEST_F(AutoscalerTest, ScalesInIdleMachines) {
  Machine& idle = testing::add_machine(cluster, "i-1", "small");
  idle.idle_since = 10;
  EXPECT_TRUE(plan_round(60).scale_in.empty());  // the first minute is billed in any case
  EXPECT_EQ(plan_round(200).scale_in, std::vector<std::string>{"i-1"});

  Machine& busy = testing::add_machine(cluster, "i-2", "small");
  auto& job = testing::add_job(cluster, testing::spec("job-1"));
  cluster.place(job, 0, busy, 1, 100);
  Machine& never_booted = cluster.machine("i-3");
  never_booted.rented_at = 100;
  cluster.set_type(never_booted, "small");
  testing::add_machine(cluster, "i-4", "small").lease_expired = true;
  EXPECT_EQ(plan_round(1000).scale_in, (std::vector<std::string>{"i-1", "i-3", "i-4"}));
}

// Guards against releasing and renting again many machines that hang for slightly longer than their
// lease.
TEST_F(AutoscalerTest, KeepsAnExpiredMachineForTheBootTimeOfAnother) {
  Machine& expired = testing::add_machine(cluster, "i-1", "small");
  expired.lease_expired = true;
  expired.lease_expired_at = 100;
  testing::add_job(cluster, testing::spec("job-1"));
  EXPECT_TRUE(plan_round(110).scale_in.empty());
  EXPECT_EQ(requested_machines(plan_round(110)), 0);  // it counts as expected capacity
  const Seconds later = 101 + cluster.type("small")->boot_s;
  EXPECT_EQ(plan_round(later).scale_in, std::vector<std::string>{"i-1"});
  EXPECT_EQ(requested_machines(plan_round(later)), 1);
}

}  // namespace
}  // namespace larkroad::coordination
