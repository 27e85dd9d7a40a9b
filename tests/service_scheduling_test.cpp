// Placement and migration of service replicas, and capacity reserved for them.
#include "coordination/scheduling/forecast.hpp"
#include "scheduler_fixture.hpp"

namespace larkroad::coordination {
namespace {

class ServiceSchedulingTest : public SchedulerTest {};

TEST_F(ServiceSchedulingTest, SpreadsReplicasOverMachines) {
  for (const char* name : {"i-1", "i-2", "i-3"}) {
    testing::add_machine(cluster, name, "large").images["image"] = {1, 0};
  }
  auto& job = testing::add_job(cluster, testing::service("job-1", 3));
  run_cycle_and_place();
  std::set<std::string> machines;
  for (const auto& [task, placement] : job.placements) machines.insert(placement.machine);
  EXPECT_EQ(machines.size(), 3u);
  // Replicas share a machine when spreading them would require the fetch of a large image.
  cluster.find_machine("i-2")->images.clear();
  cluster.find_machine("i-3")->images.clear();
  auto& second = testing::add_job(cluster, [] {
    auto spec = testing::service("job-2", 2);
    spec.image_gb = 20;
    return spec;
  }());
  run_cycle_and_place();
  for (const auto& [task, placement] : second.placements) EXPECT_EQ(placement.machine, "i-1");
}

TEST_F(ServiceSchedulingTest, AReplicaInBackoffTakesNoCapacityFromOthers) {
  testing::add_machine(cluster, "i-1", "small");
  auto& job = testing::add_job(cluster, testing::service("job-1", 2, 2));
  run_cycle_and_place();
  for (const std::uint32_t task : {0, 1}) cluster.unplace(job, task, 99);
  job.restarts[0] = {3, 150};
  const Plan early = run_cycle(100);
  ASSERT_EQ(early.assignments.size(), 1u);
  EXPECT_EQ(early.assignments[0].tasks.size(), 1u);
  EXPECT_EQ(early.assignments[0].tasks[0].first, 1u);
  EXPECT_EQ(placed_tasks(run_cycle(151), "job-1"), 2u);
  // Nothing is preempted for a replica in back-off either.
  auto& lower = testing::add_job(cluster, testing::spec("job-2", 2, 2));
  job.restarts[1] = {3, 150};
  run_cycle_and_place(100);
  ASSERT_EQ(lower.placements.size(), 2u);
  mark_running(lower, [](std::uint32_t) -> Seconds { return 50; });
  EXPECT_TRUE(run_cycle(110).preemptions.empty());
  EXPECT_FALSE(run_cycle(151).preemptions.empty());
}

// A replica's estimated run time of 0 does not mean that it is about to end. Otherwise its capacity
// would count as free soon, and none would be freed or requested for an urgent job.
TEST_F(ServiceSchedulingTest, ReplicasAreNotExpectedToEnd) {
  auto spec = testing::service("job-1", 3);
  EXPECT_GT(cluster.expected_run(spec), 1e6);
  cluster.learn_run(testing::spec("job-9"), 5);
  EXPECT_GT(cluster.expected_run(spec), 1e6);
  spec.deadline_s = 5;
  settings.objectives.push_back({"finished", "serving", 10, 0, 0.9, 1});
  EXPECT_TRUE(due_times(cluster, testing::add_job(cluster, testing::service("job-1", 3))).empty());
}

TEST_F(ServiceSchedulingTest, MigratesAReplicaToCapacityReservedForIt) {
  Machine& leaving = testing::add_machine(cluster, "i-1", "small");
  auto& job = testing::add_job(cluster, testing::service("job-1", 2, 2));
  run_cycle_and_place();
  mark_running(job, [](std::uint32_t) -> Seconds { return 50; });
  leaving.reclaim_at = 110;
  EXPECT_TRUE(run_cycle().migrations.empty()) << "no machine to migrate to";
  testing::add_machine(cluster, "i-2", "small");
  const Plan plan = run_cycle();
  ASSERT_EQ(plan.migrations.size(), 2u);
  // Other jobs do not get the capacity in the meantime.
  auto& other = testing::add_job(cluster, testing::spec("job-2", 1, 2));
  other.spec.priority = protocol::Priority::high;
  for (auto& [task, placement] : job.placements) placement.stopping = true;
  EXPECT_EQ(placed_tasks(run_cycle(), "job-2"), 0u);
  // The replica gets it once it has ended on its old machine.
  cluster.unplace(job, 0, 101);
  EXPECT_EQ(placed_tasks(run_cycle(101), "job-1"), 1u);
}

TEST_F(ServiceSchedulingTest, AMigratingReplicaDoesNotCountAgainstItsOwnZone) {
  Machine& leaving = testing::add_machine(cluster, "i-1", "small", "east");
  testing::add_machine(cluster, "i-2", "small", "west");
  auto spec = testing::service("job-1", 2, 2);
  spec.spread = true;
  auto& job = testing::add_job(cluster, spec);
  run_cycle_and_place();
  ASSERT_EQ(job.placements.size(), 2u);
  mark_running(job, [](std::uint32_t) -> Seconds { return 50; });
  leaving.reclaim_at = 110;
  cluster.find_machine("i-2")->refused_until = 1000;  // no capacity in the other zone
  testing::add_machine(cluster, "i-3", "small", "east");
  EXPECT_EQ(run_cycle().migrations.size(), 1u);
}

// For services whose objectives leave no time to boot a machine, capacity is reserved for expected
// arrivals and for the replicas of one machine that may be lost.
TEST_F(ServiceSchedulingTest, ForecastsCapacityForReplicas) {
  settings.objectives.push_back({"up", "serving", 0, 5, 0.99, 1});
  Machine& machine = testing::add_machine(cluster, "i-1", "large");
  auto& job = testing::add_job(cluster, testing::service("job-1", 3));
  cluster.learn_arrival(job);
  for (std::uint32_t task = 0; task < 3; ++task) cluster.place(job, task, machine, 1, 0);
  const auto expected = forecast(cluster, 0);
  ASSERT_EQ(expected.size(), 1u);
  EXPECT_GE(expected[0].missing(), 3) << "at least the replicas of one machine";
  EXPECT_LT(expected[0].missing(), 10);
  settings.objectives.clear();
  EXPECT_TRUE(forecast(cluster, 0).empty());
}

}  // namespace
}  // namespace larkroad::coordination
