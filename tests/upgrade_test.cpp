// Two versions at once, and limits of the state service that change on the way.
#include <gtest/gtest.h>

#include <algorithm>

#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

using testing::service;

constexpr StoreLimits kNextLimits{1, 4, 35, 100};

void expect_nothing_refused(const World& world) {
  expect_no_breach(world);
  EXPECT_EQ(world.handle_size_refusal, 0u);
}

void all_run_first_version(World& world) {
  for (size_t i = 0; i < 3; ++i) world.run_first_version(i);
}

bool knows_services(World& world, size_t i) {
  return world.node(i).versions().all_understand(coordination::kServicesVersion);
}

int status_of_submission(World& world, size_t node, const JobSpec& spec) {
  int status = 0;
  world.node(node).handle_client({"POST", "/v2/runs", submission_body(spec)},
                                 [&](const Response& response) { status = response.status; });
  world.run(world.events.now() + 2);
  return status;
}

// ---------------------------------------------------------------- who runs which version

TEST(Versions, ServicesAreTakenOnceAllControllersKnowThem) {
  World world(1, {});
  all_run_first_version(world);
  world.run(10);
  world.upgrade(0, 1);
  world.upgrade(1, 1);
  world.run(20);
  EXPECT_FALSE(knows_services(world, 0));
  EXPECT_FALSE(knows_services(world, 1));
  EXPECT_EQ(status_of_submission(world, 0, service("job-1")), 503);
  EXPECT_EQ(status_of_submission(world, 0, testing::spec("job-2")), 201) << "other work is taken";
  world.upgrade(2, 1);
  world.run(30);
  for (size_t i = 0; i < 3; ++i) EXPECT_TRUE(knows_services(world, i)) << i;
  EXPECT_EQ(status_of_submission(world, 0, service("job-1")), 201);
}

TEST(Versions, OneThatCannotBeReachedIsKnownByItsRecord) {
  World world(1, {});
  world.run(10);
  world.kill(2, 1000);
  world.kill(0, 1);
  world.run(20);
  EXPECT_TRUE(knows_services(world, 0));
  // Without the record it could come back as either version.
  World other(1, {});
  other.run_first_version(2);
  other.run(10);
  other.kill(2, 1000);
  other.kill(0, 1);
  other.run(20);
  EXPECT_FALSE(knows_services(other, 0));
}

TEST(Versions, OneThatComesBackOldIsNotSpokenForByItsRecord) {
  World world(1, {});
  world.run(10);
  ASSERT_EQ(status_of_submission(world, 0, service("job-1")), 201);
  world.run_first_version(2);
  world.run(20);
  EXPECT_FALSE(knows_services(world, 0));
  EXPECT_EQ(status_of_submission(world, 0, service("job-2")), 503);
  EXPECT_EQ(status_of_submission(world, 0, service("job-1")), 200) << "accepted before";
  world.kill(2, 1000);
  world.kill(0, 1);
  world.run(30);
  EXPECT_FALSE(knows_services(world, 0)) << "its record is of an earlier life";
}

// ---------------------------------------------------------------- upgrades on the way

void upgrade_in_order(World& world, std::array<size_t, 3> order) {
  all_run_first_version(world);
  for (size_t k = 0; k < order.size(); ++k) {
    world.events.at(40 + 15 * static_cast<double>(k),
                    [&world, i = order[k]] { world.upgrade(i, 3); });
  }
}

// Services once all are new, and limits that fall.
void then_serve(World& world) {
  for (int k = 0; k < 5; ++k) {
    const JobSpec spec = service("job-" + std::to_string(10 + k), 2 + static_cast<unsigned>(k));
    world.submit(spec, 82 + 4 * k);
    world.events.at(140 + 5 * k, [&world, id = spec.id] { world.cancel(id); });
  }
  world.events.at(95, [&world] { world.store_limits = kNextLimits; });
}

Troubles with_next_limits(Troubles troubles) {
  troubles.next_limits = kNextLimits;
  return troubles;
}

const Scenario kUpgrades[] = {
    {"first_to_last", with_next_limits({0.005, 0.005, 20, 0.1}),
     [](World& w) {
       upgrade_in_order(w, {0, 1, 2});
       then_serve(w);
     }},
    {"last_to_first", with_next_limits({0.005, 0.005, 20, 0.1}),
     [](World& w) {
       upgrade_in_order(w, {2, 1, 0});
       then_serve(w);
     }},
    // Those that end before their turn come back old.
    {"crashes_on_the_way", with_next_limits({0.005, 0.01, 20, 0.1}),
     [](World& w) {
       upgrade_in_order(w, {1, 2, 0});
       for (const Seconds when : {36, 44, 51, 59, 64, 72}) {
         to_leader(w, when, [&w](size_t i) { w.kill(i, 0.2 + 3 * w.chance()); });
       }
       then_serve(w);
     }},
    {"cuts_on_the_way", with_next_limits({0.005, 0.01, 20, 0.1}),
     [](World& w) {
       upgrade_in_order(w, {0, 2, 1});
       to_leader(w, 38, [&w](size_t i) { w.isolate(i, 14); });
       to_leader(w, 56, [&w](size_t i) { w.isolate(i, 14); });
       w.events.at(66, [&w] { w.cancel_now(4, 5); });
       to_leader(w, 67, [&w](size_t i) { w.cut(node(i), "state", 12); });
       then_serve(w);
     }},
    {"relays_of_both_versions", with_next_limits({0.005, 0.005, 20, 0.1, 0.1, 0, 20, 0.1}),
     [](World& w) {
       upgrade_in_order(w, {2, 0, 1});
       for (const Seconds when : {45, 61, 77}) {
         to_leader(w, when, [&w](size_t i) { w.kill(i, 2); });
       }
       then_serve(w);
     }},
    {"machines_lost_on_the_way", with_next_limits({0.005, 0.01, 20, 0.1, 0, 0, 200, 0, 1, 0.1}),
     [](World& w) {
       upgrade_in_order(w, {0, 1, 2});
       for (int k = 0; k < 8; ++k) {
         w.events.at(35 + 12 * k, [&w] {
           for (const auto& worker : w.workers) {
             if (!worker->gone && w.chance() < 0.15) worker->vanish();
           }
         });
       }
       then_serve(w);
     }},
};

class Upgrade : public ::testing::TestWithParam<Scenario> {};

TEST_P(Upgrade, KeepsTheRulesAndFinishes) {
  for (const std::uint64_t seed : {1, 2, 3}) keeps_the_rules(GetParam(), seed);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, Upgrade, ::testing::ValuesIn(kUpgrades),
                         [](const auto& info) { return std::string(info.param.name); });

// ---------------------------------------------------------------- records of larger limits

// Jobs that the first version accepted share a record among more tasks than the next limits allow.
class LargeRecords : public ::testing::Test {
 protected:
  LargeRecords() : world(1, with_next_limits({})) {
    all_run_first_version(world);
    world.run(10);
  }
  void upgrade_all() {
    for (size_t i = 0; i < 3; ++i) world.upgrade(i, 0.5);
  }
  // Tasks that together fill the team's limit, all of one record.
  static JobSpec wide(const std::string& id, Seconds run) {
    JobSpec spec = testing::spec(id, 64, 0.5);
    spec.memory_gb = 0.5;
    spec.estimate_s = run;
    return spec;
  }
  World world;
};

TEST_F(LargeRecords, WhatIsPlacedWhenTheLimitsFallIsCompleted) {
  world.submit(wide("job-1", 40), 10);
  world.run(40);
  ASSERT_EQ(world.running_tasks("job-1"), 64u);
  upgrade_all();
  world.events.at(45, [this] { world.store_limits = kNextLimits; });
  to_leader(world, 60, [this](size_t i) { world.kill(i, 1); });
  world.run(140);
  EXPECT_TRUE(world.all_over()) << world.unfinished();
  expect_nothing_refused(world);
}

TEST_F(LargeRecords, WhatIsPlacedWhenTheLimitsFallIsCancelled) {
  world.submit(wide("job-1", 400), 10);
  world.run(40);
  ASSERT_EQ(world.running_tasks("job-1"), 64u);
  upgrade_all();
  world.events.at(45, [this] { world.store_limits = kNextLimits; });
  world.events.at(60, [this] { world.cancel("job-1"); });
  world.run(60 + world.settings.cancellation_limit_s);
  EXPECT_EQ(world.running_tasks("job-1"), 0u);
  EXPECT_TRUE(world.all_over()) << world.unfinished();
  expect_nothing_refused(world);
}

TEST_F(LargeRecords, WhatIsLostAfterTheLimitsFallRunsAgain) {
  world.submit(wide("job-1", 30), 10);
  world.run(30);
  ASSERT_EQ(world.running_tasks("job-1"), 64u);
  upgrade_all();
  world.events.at(34, [this] { world.store_limits = kNextLimits; });
  world.events.at(38, [this] {
    for (const auto& worker : world.workers) worker->vanish();
  });
  to_leader(world, 70, [this](size_t i) { world.kill(i, 1); });
  world.run(240);
  EXPECT_TRUE(world.all_over()) << world.unfinished();
  expect_nothing_refused(world);
}

// All tasks of a gang are recorded at once, which the old layout does not allow any more.
TEST_F(LargeRecords, AGangThatHasNotBegunIsLaidOutAnew) {
  world.submit(wide("job-1", 45), 10);
  JobSpec gang = testing::spec("job-2", 40, 0.5);
  gang.shape = protocol::Shape::gang;
  gang.memory_gb = 0.5;
  gang.estimate_s = 10;
  world.submit(gang, 25);
  world.run(40);
  ASSERT_EQ(world.running_tasks("job-1"), 64u);
  ASSERT_EQ(world.running_tasks("job-2"), 0u);
  upgrade_all();
  world.events.at(45, [this] { world.store_limits = kNextLimits; });
  to_leader(world, 75, [this](size_t i) { world.kill(i, 1); });
  world.run(200);
  EXPECT_TRUE(world.all_over()) << world.unfinished();
  expect_nothing_refused(world);
}

// A gang that runs when the limits fall, loses a machine and starts anew.
TEST_F(LargeRecords, AGangThatIsBrokenStartsAgain) {
  JobSpec gang = testing::spec("job-1", 40, 0.5);
  gang.shape = protocol::Shape::gang;
  gang.memory_gb = 0.5;
  gang.estimate_s = 30;
  world.submit(gang, 10);
  world.run(32);
  ASSERT_EQ(world.running_tasks("job-1"), 40u);
  upgrade_all();
  world.events.at(36, [this] { world.store_limits = kNextLimits; });
  world.events.at(40, [this] {
    for (const auto& worker : world.workers) {
      if (worker->gone || !worker->runs("job-1")) continue;
      worker->vanish();
      return;
    }
  });
  world.run(200);
  EXPECT_TRUE(world.all_over()) << world.unfinished();
  expect_nothing_refused(world);
}

// Each control character takes six bytes in a record.
TEST_F(LargeRecords, AJobWithLongNamesIsCancelledAndOneLikeItRefused) {
  JobSpec named = testing::spec("job-1", 2);
  named.image = std::string(200, '\x01');
  named.estimate_s = 300;
  world.submit(named, 10);
  world.run(30);
  ASSERT_EQ(world.running_tasks("job-1"), 2u);
  upgrade_all();
  world.events.at(35, [this] { world.store_limits = kNextLimits; });
  world.run(50);
  named.id = "job-2";
  EXPECT_EQ(status_of_submission(world, 0, named), 400);
  named.id = "job-1";
  EXPECT_EQ(status_of_submission(world, 0, named), 200) << "accepted before";
  world.cancel("job-1");
  world.run(80);
  EXPECT_EQ(world.running_tasks("job-1"), 0u);
  EXPECT_TRUE(world.all_over()) << world.unfinished();
  expect_nothing_refused(world);
}

// Limits that nobody announced: transactions become smaller, and nothing is given up.
TEST(UnannouncedLimits, SmallerTransactionsAreTried) {
  World world(1, {});
  world.submit_some(30, 60);
  world.events.at(20, [&world] { world.store_limits.max_transaction_changes = 2; });
  JobSpec wide = testing::spec("job-1", 200, 0.25);
  wide.memory_gb = 0.1;
  wide.team = "blue";
  world.submit(wide, 25);
  world.run(300);
  EXPECT_TRUE(world.all_over()) << world.unfinished();
  expect_no_breach(world);
  EXPECT_GT(world.handle_size_refusal, 0u);
  EXPECT_LT(world.handle_size_refusal, 200u);
}

}  // namespace

std::span<const Scenario> upgrade_scenarios() { return kUpgrades; }

}  // namespace larkroad::sim
