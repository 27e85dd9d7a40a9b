#include "coordination/cluster_state/class_statistics.hpp"

#include <gtest/gtest.h>

#include "support.hpp"

namespace larkroad::coordination {
namespace {

class WorkloadStatisticsTest : public ::testing::Test {
 protected:
  WorkloadStatisticsTest() : settings(testing::settings()), workload(settings) {
    spec = testing::spec("job-1");
    spec.job_class = "batch";
    spec.estimate_s = 100;
  }
  Job job_submitted_at(Seconds time, std::uint32_t tasks) const {
    Job job;
    job.spec = spec;
    job.spec.tasks = tasks;
    job.submitted = time;
    return job;
  }

  Settings settings;
  WorkloadStatistics workload;
  JobSpec spec;
};

TEST_F(WorkloadStatisticsTest, ExpectedRunIsTheEstimateUntilATaskCompletes) {
  EXPECT_DOUBLE_EQ(workload.expected_run(spec), 100);
}

TEST_F(WorkloadStatisticsTest, CorrectsTheEstimateByObservedRunTimesWithinBounds) {
  workload.learn_run(spec, 200);  // ratio 2
  EXPECT_DOUBLE_EQ(workload.expected_run(spec), 110);
  for (int i = 0; i < 1000; ++i) workload.learn_run(spec, 1e6);
  EXPECT_NEAR(workload.expected_run(spec), 400, 1e-6) << "at most four times the estimate";
  for (int i = 0; i < 1000; ++i) workload.learn_run(spec, 0.1);
  EXPECT_NEAR(workload.expected_run(spec), 25, 1e-6) << "at least a quarter of the estimate";
}

TEST_F(WorkloadStatisticsTest, MeanRunTimeIsEmptyUntilARunIsMeasured) {
  workload.learn_arrival(job_submitted_at(0, 1));
  EXPECT_FALSE(workload.classes().at("batch").mean_run_time);
  workload.learn_run(spec, 0);  // completed within one heartbeat, so not measured
  EXPECT_FALSE(workload.classes().at("batch").mean_run_time);
  workload.learn_run(spec, 40);
  workload.learn_run(spec, 50);
  EXPECT_DOUBLE_EQ(workload.classes().at("batch").mean_run_time.value(), 41);
}

TEST_F(WorkloadStatisticsTest, ArrivalStatisticsDoNotDependOnTheOrder) {
  WorkloadStatistics reversed(settings);
  const std::vector<Job> jobs{job_submitted_at(0, 4), job_submitted_at(60, 2),
                              job_submitted_at(90, 8)};
  for (const Job& job : jobs) workload.learn_arrival(job);
  for (const Job& job : std::vector<Job>(jobs.rbegin(), jobs.rend())) reversed.learn_arrival(job);
  const ClassStatistics& in_order = workload.classes().at("batch");
  const ClassStatistics& in_reverse = reversed.classes().at("batch");
  EXPECT_NEAR(workload.arrival_rate(in_order, 100), reversed.arrival_rate(in_reverse, 100), 1e-9);
  EXPECT_NEAR(in_order.weighted_squares, in_reverse.weighted_squares, 1e-9);
  EXPECT_EQ(in_order.latest.tasks, 8u);
  EXPECT_EQ(in_reverse.latest.tasks, 8u);
  EXPECT_LT(workload.arrival_rate(in_order, 200), workload.arrival_rate(in_order, 100));
}

}  // namespace
}  // namespace larkroad::coordination
