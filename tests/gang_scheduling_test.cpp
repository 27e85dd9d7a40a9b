// Gangs start as a whole or not at all; their reservations are limited in time.
#include "scheduler_fixture.hpp"

namespace larkroad::coordination {
namespace {

class GangSchedulingTest : public SchedulerTest {};

TEST_F(GangSchedulingTest, StartsAGangWholeOrNotAtAll) {
  testing::add_machine(cluster, "i-1", "small");
  auto gang = testing::spec("job-1", 4);
  gang.shape = protocol::Shape::gang;
  testing::add_job(cluster, gang);
  EXPECT_TRUE(run_cycle().assignments.empty());
  // The gang reserves the capacity that it has found, so that no other job gets it.
  ASSERT_NE(reservations.find("job-1"), nullptr);
  testing::add_job(cluster, testing::spec("job-2"), 5);
  EXPECT_TRUE(run_cycle(101).assignments.empty());
  testing::add_machine(cluster, "i-2", "small");
  const Plan plan = run_cycle(102);
  EXPECT_EQ(placed_tasks(plan, "job-1"), 4u);
  EXPECT_EQ(reservations.find("job-1"), nullptr);
}

TEST_F(GangSchedulingTest, ExpiresReservationsAndQueuesTheGangAgain) {
  testing::add_machine(cluster, "i-1", "small");
  auto gang = testing::spec("job-1", 4);
  gang.shape = protocol::Shape::gang;
  auto& job = testing::add_job(cluster, gang);
  testing::add_job(cluster, testing::spec("job-2"), 5);
  run_cycle(100);
  EXPECT_TRUE(run_cycle(100 + limits.reservation_limit_s - 1).assignments.empty());
  const Plan plan = run_cycle(100 + limits.reservation_limit_s);
  EXPECT_EQ(placed_tasks(plan, "job-2"), 1u);
  EXPECT_EQ(reservations.find("job-1"), nullptr);
  EXPECT_GT(job.retry_at, 100 + limits.reservation_limit_s);
}

TEST_F(GangSchedulingTest, TwoGangsDoNotBlockEachOther) {
  testing::add_machine(cluster, "i-1", "small");
  testing::add_machine(cluster, "i-2", "small");
  auto first = testing::spec("job-1", 6);
  auto second = testing::spec("job-2", 6);
  first.shape = second.shape = protocol::Shape::gang;
  testing::add_job(cluster, first, 1);
  testing::add_job(cluster, second, 2);
  run_cycle();
  EXPECT_NE(reservations.find("job-1"), nullptr);
  EXPECT_EQ(reservations.find("job-2"), nullptr);
  testing::add_machine(cluster, "i-3", "small");
  EXPECT_EQ(placed_tasks(run_cycle(101), "job-1"), 6u);
}

// Guards against a gang that remains in the aborting state when some of its tasks are done and the
// others were lost with their machines, as seen in a simulated run.
TEST_F(GangSchedulingTest, EndsTheAttemptWithTheLastTask) {
  auto spec = testing::spec("job-1", 2);
  spec.shape = protocol::Shape::gang;
  Job& job = testing::add_job(cluster, spec);
  for (std::uint32_t task = 0; task < 2; ++task) {
    cluster.place(job, task, testing::add_machine(cluster, "i-" + std::to_string(task), "small"), 1,
                  100);
  }
  job.gang_started = true;
  cluster.unplace(job, 0, 101);
  job.gang_aborting = true;
  cluster.finish(job, 1, 101);
  EXPECT_FALSE(job.gang_aborting);
  EXPECT_EQ(job.waiting(), 1u);
}

}  // namespace
}  // namespace larkroad::coordination
