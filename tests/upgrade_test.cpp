// Rolling upgrades: controllers of two versions run together, and store limits change meanwhile.
#include <gtest/gtest.h>

#include <algorithm>

#include "sim/scenario.hpp"

namespace larkroad::sim {
namespace {

using testing::service;

constexpr StoreLimits kNextLimits{1, 4, 35, 100};

void expect_no_rejections(const World& world) {
  expect_no_violations(world);
  EXPECT_EQ(world.store.size_refusals, 0u);
}

void all_run_first_version(World& world) {
  for (size_t i = 0; i < kControllers; ++i) world.run_first_version(i);
}

bool supports_services(World& world, size_t i) {
  return world.controller(i).versions().all_support(coordination::kServicesVersion);
}

int submission_status(World& world, size_t controller, const JobSpec& spec) {
  int status = 0;
  world.controller(controller)
      .handle_client({"POST", "/v2/runs", submission_body(spec)},
                     [&](const Response& response) { status = response.status; });
  world.run(world.events.now() + 2);
  return status;
}

// ---------------------------------------------------------------- version detection

TEST(Versions, ServicesAreAcceptedOnceAllControllersSupportThem) {
  World world(1, {});
  all_run_first_version(world);
  world.run(10);
  world.upgrade_controller(0, 1);
  world.upgrade_controller(1, 1);
  world.run(20);
  EXPECT_FALSE(supports_services(world, 0));
  EXPECT_FALSE(supports_services(world, 1));
  EXPECT_EQ(submission_status(world, 0, service("job-1")), 503);
  EXPECT_EQ(submission_status(world, 0, testing::spec("job-2")), 201)
      << "jobs other than services are accepted";
  world.upgrade_controller(2, 1);
  world.run(30);
  for (size_t i = 0; i < kControllers; ++i) EXPECT_TRUE(supports_services(world, i)) << i;
  EXPECT_EQ(submission_status(world, 0, service("job-1")), 201);
}

TEST(Versions, VersionOfUnreachableControllerIsReadFromItsRecord) {
  World world(1, {});
  world.run(10);
  world.crash(2, 1000);
  world.crash(0, 1);
  world.run(20);
  EXPECT_TRUE(supports_services(world, 0));
  // Without a version record, the controller could restart as either version.
  World other(1, {});
  other.run_first_version(2);
  other.run(10);
  other.crash(2, 1000);
  other.crash(0, 1);
  other.run(20);
  EXPECT_FALSE(supports_services(other, 0));
}

TEST(Versions, RecordOfDowngradedControllerIsIgnored) {
  World world(1, {});
  world.run(10);
  ASSERT_EQ(submission_status(world, 0, service("job-1")), 201);
  world.run_first_version(2);
  world.run(20);
  EXPECT_FALSE(supports_services(world, 0));
  EXPECT_EQ(submission_status(world, 0, service("job-2")), 503);
  EXPECT_EQ(submission_status(world, 0, service("job-1")), 200) << "this job was accepted earlier";
  world.crash(2, 1000);
  world.crash(0, 1);
  world.run(30);
  EXPECT_FALSE(supports_services(world, 0))
      << "the version record was written by an earlier process";
}

// ---------------------------------------------------------------- faults during upgrades

void upgrade_in_order(World& world, std::array<size_t, 3> order) {
  all_run_first_version(world);
  for (size_t k = 0; k < order.size(); ++k) {
    world.events.schedule_at(40 + 15 * static_cast<double>(k),
                             [&world, i = order[k]] { world.upgrade_controller(i, 3); });
  }
}

// Submits services after all controllers run the current version, and lowers the store limits.
void submit_services_after_upgrade(World& world) {
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
       submit_services_after_upgrade(world);
     }},
    {"last_to_first",
     with_next_limits(
         {.lost_responses = 0.005, .delayed_requests = 0.005, .max_request_delay = 20}),
     [](World& world) {
       upgrade_in_order(world, {2, 1, 0});
       submit_services_after_upgrade(world);
     }},
    // Controllers that crash before their upgrade restart as the first version.
    {"crashes_on_the_way",
     with_next_limits({.lost_responses = 0.005, .delayed_requests = 0.01, .max_request_delay = 20}),
     [](World& world) {
       upgrade_in_order(world, {1, 2, 0});
       for (const Seconds when : {36, 44, 51, 59, 64, 72}) {
         with_leader(world, when, [&world](size_t leader) {
           world.crash(leader, 0.2 + 3 * world.random_fraction());
         });
       }
       submit_services_after_upgrade(world);
     }},
    {"partitions_during_upgrade",
     with_next_limits({.lost_responses = 0.005, .delayed_requests = 0.01, .max_request_delay = 20}),
     [](World& world) {
       upgrade_in_order(world, {0, 2, 1});
       with_leader(world, 38, [&world](size_t leader) { world.isolate_controller(leader, 14); });
       with_leader(world, 56, [&world](size_t leader) { world.isolate_controller(leader, 14); });
       world.events.schedule_at(66, [&world] { world.users.cancel_running_jobs(4, 5); });
       with_leader(world, 67, [&world](size_t leader) {
         world.network.partition(controller_name(leader), kStoreHost, 12);
       });
       submit_services_after_upgrade(world);
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
       submit_services_after_upgrade(world);
     }},
    {"machines_lost_during_upgrade",
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
       submit_services_after_upgrade(world);
     }},
};

class UpgradeScenario : public ::testing::TestWithParam<Scenario> {};

TEST_P(UpgradeScenario, SatisfiesInvariantsAndFinishesJobs) {
  for (const std::uint64_t seed : {1, 2, 3}) run_and_verify(GetParam(), seed);
}

INSTANTIATE_TEST_SUITE_P(Scenarios, UpgradeScenario, ::testing::ValuesIn(kUpgradeScenarios),
                         [](const auto& info) { return std::string(info.param.name); });

// ---------------------------------------------------------------- records of larger limits

// Jobs accepted by the first version store more tasks per record than the next limits allow.
class LargeRecords : public ::testing::Test {
 protected:
  LargeRecords() : world(1, with_next_limits({})) {
    all_run_first_version(world);
    world.run(10);
  }
  void upgrade_all() {
    for (size_t i = 0; i < kControllers; ++i) world.upgrade_controller(i, 0.5);
  }
  // A job whose tasks together use the whole team limit and are stored in one record.
  static JobSpec job_filling_team_limit(const std::string& id, Seconds run_time) {
    JobSpec spec = testing::spec(id, 64, 0.5);
    spec.memory_gb = 0.5;
    spec.estimate_s = run_time;
    return spec;
  }
  World world;
};

TEST_F(LargeRecords, JobPlacedBeforeLimitReductionCompletes) {
  world.users.submit(job_filling_team_limit("job-1", 40), 10);
  world.run(40);
  ASSERT_EQ(world.tasks.running_tasks("job-1"), 64u);
  upgrade_all();
  world.events.schedule_at(45, [this] { world.store.limits = kNextLimits; });
  with_leader(world, 60, [this](size_t leader) { world.crash(leader, 1); });
  world.run(140);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  expect_no_rejections(world);
}

TEST_F(LargeRecords, JobPlacedBeforeLimitReductionIsCancelled) {
  world.users.submit(job_filling_team_limit("job-1", 400), 10);
  world.run(40);
  ASSERT_EQ(world.tasks.running_tasks("job-1"), 64u);
  upgrade_all();
  world.events.schedule_at(45, [this] { world.store.limits = kNextLimits; });
  world.events.schedule_at(60, [this] { world.users.cancel("job-1"); });
  world.run(60 + world.settings.cancellation_limit_s);
  EXPECT_EQ(world.tasks.running_tasks("job-1"), 0u);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  expect_no_rejections(world);
}

TEST_F(LargeRecords, TasksLostAfterLimitReductionRunAgain) {
  world.users.submit(job_filling_team_limit("job-1", 30), 10);
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
  expect_no_rejections(world);
}

// All tasks of a gang are recorded at once, which the old record layout no longer allows under the
// new limits.
TEST_F(LargeRecords, GangThatHasNotStartedGetsNewShards) {
  world.users.submit(job_filling_team_limit("job-1", 45), 10);
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
  expect_no_rejections(world);
}

// A gang that is running when the limits are reduced loses a machine and restarts.
TEST_F(LargeRecords, GangRestartsAfterMachineLoss) {
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
  expect_no_rejections(world);
}

// Each control character takes six bytes in a record, so these names exceed the next limits.
TEST_F(LargeRecords, JobWithLongNamesIsCancelledAndSimilarOneIsRejected) {
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
  EXPECT_EQ(submission_status(world, 0, named), 400);
  named.id = "job-1";
  EXPECT_EQ(submission_status(world, 0, named), 200) << "this job was accepted earlier";
  world.users.cancel("job-1");
  world.run(80);
  EXPECT_EQ(world.tasks.running_tasks("job-1"), 0u);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  expect_no_rejections(world);
}

// Store limits that were reduced without notice: transactions are split, and no job is abandoned.
TEST(UnannouncedLimits, RejectedTransactionsAreSplit) {
  World world(1, {});
  world.users.submit_random_jobs(30, 60);
  world.events.schedule_at(20, [&world] { world.store.limits.max_transaction_changes = 2; });
  JobSpec many_tasks = testing::spec("job-1", 200, 0.25);
  many_tasks.memory_gb = 0.1;
  many_tasks.team = "blue";
  world.users.submit(many_tasks, 25);
  world.run(300);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  expect_no_violations(world);
  EXPECT_GT(world.store.size_refusals, 0u);
  EXPECT_LT(world.store.size_refusals, 200u);
}

}  // namespace

std::span<const Scenario> upgrade_scenarios() { return kUpgradeScenarios; }

}  // namespace larkroad::sim
