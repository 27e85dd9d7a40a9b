// The order in which jobs are scheduled: objectives, aging, priorities, quotas.
#include "scheduler_fixture.hpp"

namespace larkroad::coordination {
namespace {

class QueueOrderTest : public SchedulerTest {};

// Which job comes first when a large job and a small one submitted later cannot both be done in
// time.
TEST_F(QueueOrderTest, PutsJobsThatCanStillMeetTheirObjectiveFirst) {
  const struct {
    const char* what;
    double cpus, memory_gb;  // of each task
    const char* small_team;
    double large_image_gb;
    std::uint32_t large_tasks;
    bool small_first;
  } cases[] = {
      {"both fit", 2, 1, "red", 0.1, 8, false},
      {"CPUs are short", 8, 1, "red", 0.1, 8, true},
      // Guards against counting the whole fleet for each team, which made all jobs seem on time.
      {"CPUs are short, for two teams together", 8, 1, "blue", 0.1, 8, true},
      // Guards against measuring capacity by CPUs alone.
      {"memory is short", 1, 32, "blue", 0.1, 8, true},
      // Guards against counting run times without the image fetch.
      {"the image takes too long", 1, 1, "blue", 12, 2, true},
  };
  for (const auto& test_case : cases) {
    cluster.clear();
    settings.objectives = {{"finished", "", 20, 0.9, 1}};
    // The larger job is within its team's guarantee, which alone does not put it first.
    settings.teams[0].cpus = settings.teams[0].cpus_max = 100;
    testing::add_machine(cluster, "i-1", "large");
    testing::add_machine(cluster, "i-2", "large");
    auto large = testing::spec("job-1", test_case.large_tasks, test_case.cpus);
    large.memory_gb = test_case.memory_gb;
    large.image_gb = test_case.large_image_gb;
    testing::add_job(cluster, large, 0);
    auto small = testing::spec("job-2", 1, test_case.cpus);
    small.memory_gb = test_case.memory_gb;
    small.image_gb = 0.1;
    small.team = test_case.small_team;
    testing::add_job(cluster, small, 1);
    const auto order = order_jobs(cluster, 5, 0);
    ASSERT_EQ(order.size(), 2u) << test_case.what;
    EXPECT_EQ(order[0]->id(), test_case.small_first ? "job-2" : "job-1") << test_case.what;
  }
}

// Guards against long jobs without an objective being scheduled first, so that short jobs missed
// theirs.
TEST_F(QueueOrderTest, PutsJobsThatCanMeetAnObjectiveBeforeThoseWithNone) {
  settings.objectives = {{"finished", "aimed", 50, 0.9, 1}};
  testing::add_machine(cluster, "i-1", "large");
  auto with_objective = testing::spec("job-2");
  with_objective.job_class = "aimed";
  testing::add_job(cluster, testing::spec("job-1"), 100);
  testing::add_job(cluster, with_objective, 120);
  auto late = testing::spec("job-3");
  late.job_class = "aimed";
  testing::add_job(cluster, late, 10);
  std::vector<std::string> ids;
  for (const Job* job : order_jobs(cluster, 130, 0)) ids.push_back(job->id());
  EXPECT_EQ(ids, (std::vector<std::string>{"job-2", "job-1", "job-3"}));
}

// A job whose image takes long to fetch must age earlier to start within the bound.
TEST_F(QueueOrderTest, AgesEarlierByTheImageFetchTime) {
  const struct {
    double image_gb;  // fetched at 0.5 GB/s
    Seconds waited;
    Aging aging;
  } cases[] = {
      {0, 179, Aging::none},
      {0, 181, Aging::first_of_its_priority},
      {0, 201, Aging::urgent},
      {50, 104, Aging::none},
      {50, 106, Aging::first_of_its_priority},
      {50, 118, Aging::urgent},
      {500, 91, Aging::first_of_its_priority},
  };
  for (const auto& test_case : cases) {
    cluster.clear();
    auto spec = testing::spec("job-1");
    spec.image_gb = test_case.image_gb;
    EXPECT_EQ(aging_of(cluster, testing::add_job(cluster, spec, 0), test_case.waited, 240),
              test_case.aging)
        << test_case.image_gb << " GB, " << test_case.waited << " s";
  }
}

TEST_F(QueueOrderTest, OrdersByPriorityGuaranteeAndSubmission) {
  testing::add_job(cluster, testing::spec("job-1"), 1);
  auto urgent = testing::spec("job-2");
  urgent.priority = protocol::Priority::high;
  testing::add_job(cluster, urgent, 3);
  testing::add_job(cluster, testing::spec("job-3"), 2);
  testing::add_job(cluster, testing::spec("job-4", 100), 0);  // beyond its team's guarantee
  std::vector<std::string> ids;
  for (const Job* job : order_jobs(cluster, 10, 0)) ids.push_back(job->id());
  // job-4 was submitted first and exceeds the guarantee; so do all later jobs of its team.
  EXPECT_EQ(ids, (std::vector<std::string>{"job-2", "job-4", "job-1", "job-3"}));
}

TEST_F(QueueOrderTest, GuaranteeCountsTheTeamsEarlierJobs) {
  testing::add_job(cluster, testing::spec("job-1", 4, 2), 1);
  testing::add_job(cluster, testing::spec("job-2", 4, 2), 2);
  testing::add_job(cluster, testing::spec("job-3", 1, 2), 3);
  auto other = testing::spec("job-4", 8, 2);
  other.team = "blue";
  testing::add_job(cluster, other, 4);
  EXPECT_EQ(within_guarantee(cluster), (std::set<std::string>{"job-1", "job-2", "job-4"}));
}

// A waiting job ages: it comes first within its priority, then at a higher one. A job that has
// started does not age.
TEST_F(QueueOrderTest, PutsJobsThatHaveWaitedLongFirst) {
  const struct {
    const char* what;
    Seconds waited;
    bool started;
    std::vector<std::string> order;
  } cases[] = {
      {"less than half of the bound", 50, false, {"job-1", "job-2", "job-3"}},
      {"half of the bound", 130, false, {"job-1", "job-2", "job-3"}},
      {"three quarters of the bound", 190, false, {"job-1", "job-3", "job-2"}},
      {"five sixths of the bound", 205, false, {"job-3", "job-1", "job-2"}},
      {"five sixths of the bound, but started", 205, true, {"job-1", "job-2", "job-3"}},
  };
  for (const auto& test_case : cases) {
    cluster.clear();
    auto normal = testing::spec("job-1");
    testing::add_job(cluster, normal, 999);
    auto small = testing::spec("job-2");
    small.priority = protocol::Priority::low;
    small.deadline_s = 1000;
    testing::add_job(cluster, small, 1000);
    // Larger than its team's guarantee, and certain to be late.
    auto large = testing::spec("job-3", 50);
    large.priority = protocol::Priority::low;
    large.deadline_s = 1;
    Job& job = testing::add_job(cluster, large, 1000 - test_case.waited);
    job.seen_running = test_case.started;
    std::vector<std::string> ids;
    for (const Job* job : order_jobs(cluster, 1000, 240)) ids.push_back(job->id());
    EXPECT_EQ(ids, test_case.order) << test_case.what;
  }
}

}  // namespace
}  // namespace larkroad::coordination
