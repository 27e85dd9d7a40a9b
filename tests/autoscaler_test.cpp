// The autoscaler: which machines to request and to release.
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
  ScalingPlan plan_cycle(Seconds now = 100) {
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

TEST_F(AutoscalerTest, RequestsTheCheapestThatFits) {
  testing::add_job(cluster, testing::spec("job-1", 2));
  const ScalingPlan plan = plan_cycle();
  ASSERT_EQ(plan.scale_out.size(), 1u);
  EXPECT_EQ(plan.scale_out[0].market.type, "small");
  EXPECT_FALSE(plan.scale_out[0].market.spot);
  EXPECT_EQ(plan.scale_out[0].count, 1);
}

TEST_F(AutoscalerTest, RequestsSpotWhereTheJobAllows) {
  auto spec = testing::spec("job-1");
  spec.spot = true;
  testing::add_job(cluster, spec);
  ASSERT_EQ(plan_cycle().scale_out.size(), 1u);
  EXPECT_TRUE(plan_cycle().scale_out[0].market.spot);
}

TEST_F(AutoscalerTest, CountsMachinesThatAreUpBootingOrRequested) {
  testing::add_job(cluster, testing::spec("job-1", 6));
  EXPECT_EQ(requested_machines(plan_cycle()), 3);
  testing::add_machine(cluster, "i-1", "small");
  EXPECT_EQ(requested_machines(plan_cycle()), 2);
  Machine& booting = cluster.machine("i-2");
  booting.rented_at = 90;
  cluster.set_type(booting, "small");
  EXPECT_EQ(requested_machines(plan_cycle()), 1);
  pending[{"small", "east", false}] = 1;
  EXPECT_EQ(requested_machines(plan_cycle()), 0);
}

// Capacity in the wrong zone does not count: a gang to be spread waited for ever beside idle
// machines.
TEST_F(AutoscalerTest, RequestsInTheZonesAJobNeeds) {
  for (int i = 0; i < 3; ++i)
    testing::add_machine(cluster, "i-" + std::to_string(i), "large", "east");
  auto spread = testing::spec("job-1", 4);
  spread.shape = protocol::Shape::gang;
  spread.spread = true;
  testing::add_job(cluster, spread);
  const ScalingPlan plan = plan_cycle();
  ASSERT_EQ(plan.scale_out.size(), 1u);
  EXPECT_EQ(plan.scale_out[0].market.zone, "west");
  EXPECT_EQ(plan.scale_out[0].count, 1);

  cluster.clear();
  testing::add_machine(cluster, "i-1", "small", "east");
  testing::add_machine(cluster, "i-2", "large", "west");
  auto together = testing::spec("job-2", 10);
  together.shape = protocol::Shape::gang;
  together.one_zone = true;
  testing::add_job(cluster, together);
  for (const auto& request : plan_cycle().scale_out) EXPECT_EQ(request.market.zone, "west");
  EXPECT_EQ(requested_machines(plan_cycle()), 1);
}

// All gangs waited for the machines of one zone, which soon had no capacity left.
TEST_F(AutoscalerTest, BalancesOneZoneGangsOverTheZones) {
  for (int i = 0; i < 4; ++i) {
    auto together = testing::spec("job-" + std::to_string(i), 3, 4);
    together.team = "blue";
    together.shape = protocol::Shape::gang;
    together.one_zone = true;
    testing::add_job(cluster, together);
  }
  std::map<std::string, int> by_zone;
  for (const auto& request : plan_cycle().scale_out) by_zone[request.market.zone] += request.count;
  EXPECT_EQ(by_zone["east"], by_zone["west"]);
  // What is refused in the one is looked for in the other.
  for (const auto& type : testing::types())
    backoff.record_failure({type.name, "east", false}, 100, 5, 9);
  for (const auto& request : plan_cycle().scale_out) EXPECT_EQ(request.market.zone, "west");
}

TEST_F(AutoscalerTest, NeverScalesOutBeyondATeamsLimit) {
  testing::add_job(cluster, testing::spec("job-1", 1000));
  int cpus = 0;
  for (const auto& request : plan_cycle().scale_out) {
    cpus += request.count * static_cast<int>(cluster.type(request.market.type)->cpus);
  }
  EXPECT_LE(cpus, 32);
}

TEST_F(AutoscalerTest, TriesAnotherMarketWhenRefused) {
  testing::add_job(cluster, testing::spec("job-1"));
  const Market first = plan_cycle().scale_out.at(0).market;
  backoff.record_failure(first, 100, 5, 40);
  EXPECT_NE(plan_cycle().scale_out.at(0).market, first);
  EXPECT_EQ(plan_cycle(106).scale_out.at(0).market, first);
}

TEST_F(AutoscalerTest, RefusalsBackOffUpToALimit) {
  const Market market{"small", "east", false};
  Seconds now = 0;
  for (const Seconds pause : {5.0, 10.0, 20.0, 40.0, 40.0}) {
    backoff.record_failure(market, now, 5, 40);
    EXPECT_FALSE(backoff.may_request(market, now + pause - 0.1));
    EXPECT_TRUE(backoff.may_request(market, now + pause));
    now += 100;
  }
  backoff.record_success(market);
  backoff.record_failure(market, now, 5, 40);
  EXPECT_TRUE(backoff.may_request(market, now + 5));
}

TEST_F(AutoscalerTest, ScalesInIdleMachines) {
  Machine& idle = testing::add_machine(cluster, "i-1", "small");
  idle.idle_since = 10;
  EXPECT_TRUE(plan_cycle(60).scale_in.empty());  // a minute is charged anyhow
  EXPECT_EQ(plan_cycle(200).scale_in, std::vector<std::string>{"i-1"});

  Machine& busy = testing::add_machine(cluster, "i-2", "small");
  auto& job = testing::add_job(cluster, testing::spec("job-1"));
  cluster.place(job, 0, busy, 1, 100);
  Machine& never = cluster.machine("i-3");
  never.rented_at = 100;
  cluster.set_type(never, "small");
  testing::add_machine(cluster, "i-4", "small").lease_expired = true;
  EXPECT_EQ(plan_cycle(1000).scale_in, (std::vector<std::string>{"i-1", "i-3", "i-4"}));
}

// Many machines that hung for a little longer than their lease were all released, and requested
// anew.
TEST_F(AutoscalerTest, KeepsAnUnreachableMachineAsLongAsAnotherWouldBoot) {
  Machine& unreachable = testing::add_machine(cluster, "i-1", "small");
  unreachable.lease_expired = true;
  unreachable.lease_expired_at = 100;
  testing::add_job(cluster, testing::spec("job-1"));
  EXPECT_TRUE(plan_cycle(110).scale_in.empty());
  EXPECT_EQ(requested_machines(plan_cycle(110)), 0);  // it counts as capacity that is on its way
  const Seconds later = 101 + cluster.type("small")->boot_s;
  EXPECT_EQ(plan_cycle(later).scale_in, std::vector<std::string>{"i-1"});
  EXPECT_EQ(requested_machines(plan_cycle(later)), 1);
}

}  // namespace
}  // namespace larkroad::coordination
