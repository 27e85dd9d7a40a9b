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
  Job submitted_at(Seconds time, std::uint32_t tasks) const {
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

TEST_F(WorkloadStatisticsTest, ExpectsTheEstimateUntilATaskHasRun) {
  EXPECT_DOUBLE_EQ(workload.expected_run(spec), 100);
}

TEST_F(WorkloadStatisticsTest, CorrectsTheEstimateBoundedlyByWhatTasksShow) {
  workload.learn_run(spec, 200);  // ratio 2
  EXPECT_DOUBLE_EQ(workload.expected_run(spec), 110);
  for (int i = 0; i < 1000; ++i) workload.learn_run(spec, 1e6);
  EXPECT_NEAR(workload.expected_run(spec), 400, 1e-6) << "no more than four times the estimate";
  for (int i = 0; i < 1000; ++i) workload.learn_run(spec, 0.1);
  EXPECT_NEAR(workload.expected_run(spec), 25, 1e-6) << "no less than a quarter";
}

TEST_F(WorkloadStatisticsTest, HasNoMeanRunTimeBeforeARunHasBeenMeasured) {
  workload.learn_arrival(submitted_at(0, 1));
  EXPECT_FALSE(workload.classes().at("batch").mean_run_time);
  workload.learn_run(spec, 0);  // it completed within one heartbeat: nothing was measured
  EXPECT_FALSE(workload.classes().at("batch").mean_run_time);
  workload.learn_run(spec, 40);
  workload.learn_run(spec, 50);
  EXPECT_DOUBLE_EQ(workload.classes().at("batch").mean_run_time.value(), 41);
}

TEST_F(WorkloadStatisticsTest, CountsArrivalsAlikeInAnyOrder) {
  WorkloadStatistics reversed(settings);
  const std::vector<Job> jobs{submitted_at(0, 4), submitted_at(60, 2), submitted_at(90, 8)};
  for (const Job& job : jobs) workload.learn_arrival(job);
  for (const Job& job : std::vector<Job>(jobs.rbegin(), jobs.rend())) reversed.learn_arrival(job);
  const ClassStatistics& one = workload.classes().at("batch");
  const ClassStatistics& other = reversed.classes().at("batch");
  EXPECT_NEAR(workload.arrival_rate(one, 100), reversed.arrival_rate(other, 100), 1e-9);
  EXPECT_NEAR(one.weighted_squares, other.weighted_squares, 1e-9);
  EXPECT_EQ(one.latest.tasks, 8u);
  EXPECT_EQ(other.latest.tasks, 8u);
  EXPECT_LT(workload.arrival_rate(one, 200), workload.arrival_rate(one, 100));
}

}  // namespace
}  // namespace larkroad::coordination
