// Rolling upgrades: two versions at once, and limits of the store that change on the way.
#include <gtest/gtest.h>

#include <algorithm>

#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

using testing::service;

constexpr StoreLimits kNextLimits{1, 4, 35, 100};

void expect_nothing_refused(const World& world) {
  expect_no_violations(world);
  EXPECT_EQ(world.store.size_refusals, 0u);
}

void all_run_first_version(World& world) {
  for (size_t i = 0; i < kControllers; ++i) world.run_first_version(i);
}

bool knows_services(World& world, size_t i) {
  return world.controller(i).versions().all_understand(coordination::kServicesVersion);
}

int status_of_submission(World& world, size_t node, const JobSpec& spec) {
  int status = 0;
  world.controller(node).handle_client({"POST", "/v2/runs", submission_body(spec)},
                                       [&](const Response& response) { status = response.status; });
  world.run(world.events.now() + 2);
  return status;
}

// ---------------------------------------------------------------- which version each runs

TEST(Versions, ServicesAreAcceptedOnceAllControllersKnowThem) {
  World world(1, {});
  all_run_first_version(world);
  world.run(10);
  world.upgrade_controller(0, 1);
  world.upgrade_controller(1, 1);
  world.run(20);
  EXPECT_FALSE(knows_services(world, 0));
  EXPECT_FALSE(knows_services(world, 1));
  EXPECT_EQ(status_of_submission(world, 0, service("job-1")), 503);
  EXPECT_EQ(status_of_submission(world, 0, testing::spec("job-2")), 201)
      << "other work is accepted";
  world.upgrade_controller(2, 1);
  world.run(30);
  for (size_t i = 0; i < kControllers; ++i) EXPECT_TRUE(knows_services(world, i)) << i;
  EXPECT_EQ(status_of_submission(world, 0, service("job-1")), 201);
}

TEST(Versions, AnUnreachableControllersVersionIsReadFromItsRecord) {
  World world(1, {});
  world.run(10);
  world.crash(2, 1000);
  world.crash(0, 1);
  world.run(20);
  EXPECT_TRUE(knows_services(world, 0));
  // Without the record it could come back as either version.
  World other(1, {});
  other.run_first_version(2);
  other.run(10);
  other.crash(2, 1000);
  other.crash(0, 1);
  other.run(20);
  EXPECT_FALSE(knows_services(other, 0));
}

TEST(Versions, TheRecordOfADowngradedControllerDoesNotCount) {
  World world(1, {});
  world.run(10);
  ASSERT_EQ(status_of_submission(world, 0, service("job-1")), 201);
  world.run_first_version(2);
  world.run(20);
  EXPECT_FALSE(knows_services(world, 0));
  EXPECT_EQ(status_of_submission(world, 0, service("job-2")), 503);
  EXPECT_EQ(status_of_submission(world, 0, service("job-1")), 200) << "accepted before";
  world.crash(2, 1000);
  world.crash(0, 1);
  world.run(30);
  EXPECT_FALSE(knows_services(world, 0)) << "its record is of an earlier process";
}

// ---------------------------------------------------------------- upgrades on the way

void upgrade_in_order(World& world, std::array<size_t, 3> order) {
  all_run_first_version(world);
  for (size_t k = 0; k < order.size(); ++k) {
    world.events.schedule_at(40 + 15 * static_cast<double>(k),
                             [&world, i = order[k]] { world.upgrade_controller(i, 3); });
  }
}

// Services once all are of the present version, and limits of the store that fall.
void then_submit_services(World& world) {
  for (int k = 0; k < 5; ++k) {
    const JobSpec spec = service("job-" + std::to_string(10 + k), 2 + static_cast<unsigned>(k));
    world.users.submit(spec, 82 + 4 * k);
    world.events.schedule_at(140 + 5 * k, [&world, id = spec.id] { world.users.cancel(id); });
  }
  world.events.schedule_at(95, [&world] { world.store.limits = kNextLimits; });
}

FaultOptions with_next_limits(FaultOptions faults) {
  faults.next_store_limits = kNextLimits;
  return faults;
}

const Scenario kUpgradeScenarios[] = {
    {"first_to_last",
     with_next_limits(
         {.lost_responses = 0.005, .delayed_requests = 0.005, .max_request_delay = 20}),
     [](World& world) {
       upgrade_in_order(world, {0, 1, 2});
       then_submit_services(world);
     }},
    {"last_to_first",
     with_next_limits(
         {.lost_responses = 0.005, .delayed_requests = 0.005, .max_request_delay = 20}),
     [](World& world) {
       upgrade_in_order(world, {2, 1, 0});
       then_submit_services(world);
     }},
    // Those that crash before their upgrade come back as the first version.
    {"crashes_on_the_way",
     with_next_limits({.lost_responses = 0.005, .delayed_requests = 0.01, .max_request_delay = 20}),
     [](World& world) {
       upgrade_in_order(world, {1, 2, 0});
       for (const Seconds when : {36, 44, 51, 59, 64, 72}) {
         with_leader(world, when, [&world](size_t leader) {
           world.crash(leader, 0.2 + 3 * world.random_fraction());
         });
       }
       then_submit_services(world);
     }},
    {"cuts_on_the_way",
     with_next_limits({.lost_responses = 0.005, .delayed_requests = 0.01, .max_request_delay = 20}),
     [](World& world) {
       upgrade_in_order(world, {0, 2, 1});
       with_leader(world, 38, [&world](size_t leader) { world.isolate_controller(leader, 14); });
       with_leader(world, 56, [&world](size_t leader) { world.isolate_controller(leader, 14); });
       world.events.schedule_at(66, [&world] { world.users.cancel_running_jobs(4, 5); });
       with_leader(world, 67, [&world](size_t leader) {
         world.network.partition(controller_name(leader), kStoreHost, 12);
       });
       then_submit_services(world);
     }},
    {"relays_of_both_versions",
     with_next_limits({.lost_responses = 0.005,
                       .delayed_requests = 0.005,
                       .max_request_delay = 20,
                       .duplicated_heartbeats = 0.1,
                       .sockets = 20,
                       .cancelled_on_completion = 0.1}),
     [](World& world) {
       upgrade_in_order(world, {2, 0, 1});
       for (const Seconds when : {45, 61, 77}) {
         with_leader(world, when, [&world](size_t leader) { world.crash(leader, 2); });
       }
       then_submit_services(world);
     }},
    {"machines_lost_on_the_way",
     with_next_limits({.lost_responses = 0.005,
                       .delayed_requests = 0.01,
                       .max_request_delay = 20,
                       .duplicated_commands = 0.1}),
     [](World& world) {
       upgrade_in_order(world, {0, 1, 2});
       for (int k = 0; k < 8; ++k) {
         world.events.schedule_at(35 + 12 * k, [&world] {
           for (const auto& worker : world.workers) {
             if (!worker->terminated && world.random_fraction() < 0.15) worker->terminate();
           }
         });
       }
       then_submit_services(world);
     }},
};

class UpgradeScenario : public ::testing::TestWithParam<Scenario> {};

TEST_P(UpgradeScenario, KeepsTheRulesAndFinishes) {
  for (const std::uint64_t seed : {1, 2, 3}) run_and_verify(GetParam(), seed);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, UpgradeScenario, ::testing::ValuesIn(kUpgradeScenarios),
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
    for (size_t i = 0; i < kControllers; ++i) world.upgrade_controller(i, 0.5);
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
  world.users.submit(wide("job-1", 40), 10);
  world.run(40);
  ASSERT_EQ(world.tasks.running_tasks("job-1"), 64u);
  upgrade_all();
  world.events.schedule_at(45, [this] { world.store.limits = kNextLimits; });
  with_leader(world, 60, [this](size_t leader) { world.crash(leader, 1); });
  world.run(140);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  expect_nothing_refused(world);
}

TEST_F(LargeRecords, WhatIsPlacedWhenTheLimitsFallIsCancelled) {
  world.users.submit(wide("job-1", 400), 10);
  world.run(40);
  ASSERT_EQ(world.tasks.running_tasks("job-1"), 64u);
  upgrade_all();
  world.events.schedule_at(45, [this] { world.store.limits = kNextLimits; });
  world.events.schedule_at(60, [this] { world.users.cancel("job-1"); });
  world.run(60 + world.settings.cancellation_limit_s);
  EXPECT_EQ(world.tasks.running_tasks("job-1"), 0u);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  expect_nothing_refused(world);
}

TEST_F(LargeRecords, WhatIsLostAfterTheLimitsFallRunsAgain) {
  world.users.submit(wide("job-1", 30), 10);
  world.run(30);
  ASSERT_EQ(world.tasks.running_tasks("job-1"), 64u);
  upgrade_all();
  world.events.schedule_at(34, [this] { world.store.limits = kNextLimits; });
  world.events.schedule_at(38, [this] {
    for (const auto& worker : world.workers) worker->terminate();
  });
  with_leader(world, 70, [this](size_t leader) { world.crash(leader, 1); });
  world.run(240);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  expect_nothing_refused(world);
}

// All tasks of a gang are recorded at once, which the old layout does not allow any more.
TEST_F(LargeRecords, AGangThatHasNotStartedGetsNewShards) {
  world.users.submit(wide("job-1", 45), 10);
  JobSpec gang = testing::spec("job-2", 40, 0.5);
  gang.shape = protocol::Shape::gang;
  gang.memory_gb = 0.5;
  gang.estimate_s = 10;
  world.users.submit(gang, 25);
  world.run(40);
  ASSERT_EQ(world.tasks.running_tasks("job-1"), 64u);
  ASSERT_EQ(world.tasks.running_tasks("job-2"), 0u);
  upgrade_all();
  world.events.schedule_at(45, [this] { world.store.limits = kNextLimits; });
  with_leader(world, 75, [this](size_t leader) { world.crash(leader, 1); });
  world.run(200);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  expect_nothing_refused(world);
}

// A gang that runs when the limits fall, loses a machine and starts anew.
TEST_F(LargeRecords, AGangThatLosesAMachineStartsAgain) {
  JobSpec gang = testing::spec("job-1", 40, 0.5);
  gang.shape = protocol::Shape::gang;
  gang.memory_gb = 0.5;
  gang.estimate_s = 30;
  world.users.submit(gang, 10);
  world.run(32);
  ASSERT_EQ(world.tasks.running_tasks("job-1"), 40u);
  upgrade_all();
  world.events.schedule_at(36, [this] { world.store.limits = kNextLimits; });
  world.events.schedule_at(40, [this] {
    for (const auto& worker : world.workers) {
      if (worker->terminated || !worker->is_running("job-1")) continue;
      worker->terminate();
      return;
    }
  });
  world.run(200);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  expect_nothing_refused(world);
}

// Each control character takes six bytes in a record.
TEST_F(LargeRecords, AJobWithLongNamesIsCancelledAndOneLikeItRefused) {
  JobSpec named = testing::spec("job-1", 2);
  named.image = std::string(200, '\x01');
  named.estimate_s = 300;
  world.users.submit(named, 10);
  world.run(30);
  ASSERT_EQ(world.tasks.running_tasks("job-1"), 2u);
  upgrade_all();
  world.events.schedule_at(35, [this] { world.store.limits = kNextLimits; });
  world.run(50);
  named.id = "job-2";
  EXPECT_EQ(status_of_submission(world, 0, named), 400);
  named.id = "job-1";
  EXPECT_EQ(status_of_submission(world, 0, named), 200) << "accepted before";
  world.users.cancel("job-1");
  world.run(80);
  EXPECT_EQ(world.tasks.running_tasks("job-1"), 0u);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  expect_nothing_refused(world);
}

// Limits that nobody announced: transactions become smaller, and no job is given up.
TEST(UnannouncedLimits, SmallerTransactionsAreTried) {
  World world(1, {});
  world.users.submit_random_jobs(30, 60);
  world.events.schedule_at(20, [&world] { world.store.limits.max_transaction_changes = 2; });
  JobSpec wide = testing::spec("job-1", 200, 0.25);
  wide.memory_gb = 0.1;
  wide.team = "blue";
  world.users.submit(wide, 25);
  world.run(300);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  expect_no_violations(world);
  EXPECT_GT(world.store.size_refusals, 0u);
  EXPECT_LT(world.store.size_refusals, 200u);
}

}  // namespace

std::span<const Scenario> upgrade_scenarios() { return kUpgradeScenarios; }

}  // namespace larkroad::sim
