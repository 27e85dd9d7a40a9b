// InvariantChecker accepts correct behaviour and detects each kind of violation.
#include "sim/invariant_checker.hpp"

#include <gtest/gtest.h>

#include "support.hpp"

namespace larkroad::sim {
namespace {

class InvariantCheckerTest : public ::testing::Test {
 protected:
  InvariantCheckerTest() : settings(testing::settings()), checker(settings) {
    spec = testing::spec("job-1", 2, 20);
    spec.one_zone = true;
    checker.job_submitted(spec);
    checker.submission_answered(1, "job-1", 201, "pending");
  }
  const InvariantChecker::Location east{"i-1", "large", "east", false};
  const InvariantChecker::Location east2{"i-2", "large", "east", false};
  const InvariantChecker::Location west{"i-3", "large", "west", false};
  const InvariantChecker::Location spot{"i-4", "large", "east", true};
  Settings settings;
  InvariantChecker checker;
  JobSpec spec;
};

TEST_F(InvariantCheckerTest, AcceptsNormalJobLifecycle) {
  checker.task_started(2, {"job-1", 0}, east);
  checker.task_left_machine({"job-1", 0}, "i-1");
  checker.task_completed({"job-1", 0});
  checker.task_started(3, {"job-1", 1}, west);
  checker.task_left_machine({"job-1", 1}, "i-3");
  checker.task_completed({"job-1", 1});
  checker.status_answered(4, "job-1", 200, "done");
  checker.status_answered(5, "job-2", 404, "");
  // Requested before the user learned that the job had ended, but answered afterwards.
  checker.status_answered(5, "job-1", 200, "running", 3.9);
  // Unanswered while faults were active, and answered soon after they ended.
  checker.status_requested(6, "job-1");
  checker.faults_end_at(400);
  checker.check_deadlines(470);
  checker.status_answered(471, "job-1", 200, "done");
  checker.check_deadlines(500);
  checker.finish(500);
  EXPECT_TRUE(checker.violations().empty()) << checker.violations().front();
}

TEST_F(InvariantCheckerTest, DetectsEachViolation) {
  const struct {
    Invariant invariant;
    std::function<void(InvariantChecker&)> violate;
  } cases[] = {
      {Invariant::one_instance_per_task,
       [&](InvariantChecker& checker) {
         checker.task_started(2, {"job-1", 0}, east);
         checker.task_started(3, {"job-1", 0}, east2);
       }},
      {Invariant::team_quota,  // each task needs 20 CPUs; the team limit is 32
       [&](InvariantChecker& checker) {
         checker.task_started(2, {"job-1", 0}, east);
         checker.task_started(3, {"job-1", 1}, east2);
       }},
      {Invariant::placement_constraints,
       [&](InvariantChecker& checker) {
         checker.task_started(2, {"job-1", 0}, spot);
       }},
      {Invariant::placement_constraints,
       [&](InvariantChecker& checker) {
         checker.task_started(2, {"job-1", 0}, east);
         checker.task_started(3, {"job-1", 1}, west);
       }},
      {Invariant::cancelled_job_stops,
       [&](InvariantChecker& checker) {
         checker.cancellation_requested("job-1");
         checker.status_answered(2, "job-1", 200, "withdrawn");
         checker.task_started(2 + 31, {"job-1", 0}, east);
       }},
      {Invariant::cancelled_job_stops,
       [&](InvariantChecker& checker) {
         checker.task_started(2, {"job-1", 0}, east);
         checker.cancellation_requested("job-1");
         checker.status_answered(2, "job-1", 200, "withdrawn");
         checker.check_deadlines(2 + 31);
       }},
      {Invariant::accepted_job_is_known,
       [&](InvariantChecker& checker) { checker.status_answered(2, "job-1", 404, ""); }},
      {Invariant::accepted_job_is_known,
       [&](InvariantChecker& checker) { checker.submission_answered(2, "job-1", 422, ""); }},
      {Invariant::only_submitted_jobs_exist,
       [&](InvariantChecker& checker) { checker.status_answered(2, "job-7", 200, "pending"); }},
      {Invariant::done_means_completed,
       [&](InvariantChecker& checker) { checker.status_answered(2, "job-1", 200, "done"); }},
      {Invariant::stage_does_not_go_back,
       [&](InvariantChecker& checker) {
         checker.task_completed({"job-1", 0});
         checker.task_completed({"job-1", 1});
         checker.status_answered(2, "job-1", 200, "done");
         checker.status_answered(3, "job-1", 200, "running", 2.5);
       }},
      {Invariant::stage_does_not_go_back,
       [&](InvariantChecker& checker) { checker.status_answered(2, "job-1", 200, "withdrawn"); }},
      {Invariant::stage_does_not_go_back,
       [&](InvariantChecker& checker) {
         checker.task_completed({"job-1", 0});
         checker.task_completed({"job-1", 1});
         checker.cancellation_requested("job-1");
         checker.status_answered(2, "job-1", 200, "withdrawn");
         checker.status_answered(3, "job-1", 200, "done");
       }},
      {Invariant::tasks_run, [&](InvariantChecker& checker) { checker.finish(); }},
      {Invariant::accepted_job_is_known,
       [&](InvariantChecker& checker) {
         checker.status_requested(10, "job-1");
         checker.faults_end_at(40);
         checker.check_deadlines(40 + 76);
       }},
      // A task on a hung machine is tolerated, but a violation once the machine responds again.
      {Invariant::cancelled_job_stops,
       [&](InvariantChecker& checker) {
         checker.task_started(2, {"job-1", 0}, east);
         checker.cancellation_requested("job-1");
         checker.status_answered(2, "job-1", 200, "withdrawn");
         checker.set_hung("i-1", true);
         checker.check_deadlines(2 + 31);
         EXPECT_TRUE(checker.violations().empty());
         checker.set_hung("i-1", false);
         checker.check_deadlines(2 + 32);
       }},
      {Invariant::no_launch_after_cancellation,
       [&](InvariantChecker& checker) {
         checker.cancellation_requested("job-1");
         checker.status_answered(2, "job-1", 200, "withdrawn");
         checker.launch_sent(2 + 2.9,
                             "job-1");  // the cancellation may not be known to every controller yet
         EXPECT_TRUE(checker.violations().empty());
         checker.launch_sent(2 + 3.1, "job-1");
       }},
      {Invariant::invalid_job_refused,
       [&](InvariantChecker& checker) {
         checker.invalid_job_submitted("job-9");
         checker.submission_answered(2, "job-9", 422, "");
         EXPECT_TRUE(checker.violations().empty());
         checker.submission_answered(3, "job-9", 201, "pending");
       }},
      {Invariant::no_waiting_beside_free_capacity,
       [&](InvariantChecker& checker) {
         checker.faults_end_at(10);
         checker.placement_possible(5, "job-1", true);  // faults are still active
         checker.placement_possible(20, "job-1", true);
         checker.placement_possible(60, "job-1",
                                    false);  // it has started, or the capacity is in use
         checker.placement_possible(70, "job-1", true);
         checker.placement_possible(159, "job-1", true);
         EXPECT_TRUE(checker.violations().empty());
         checker.placement_possible(161, "job-1", true);
       }},
      // Only one of four jobs of the class and team is served, and it is not the largest one.
      {Invariant::half_of_jobs_served,
       [&](InvariantChecker& checker) {
         for (int i = 2; i <= 4; ++i) {
           const std::string id = "job-" + std::to_string(i);
           checker.job_submitted(testing::spec(id, 1));
           checker.submission_answered(1, id, 201, "pending");
         }
         checker.task_started(2, {"job-2", 0}, east);
         checker.task_completed({"job-2", 0});
         checker.finish(200);
       }},
      // The largest job starts only after four minutes.
      {Invariant::large_jobs_start_in_time,
       [&](InvariantChecker& checker) {
         checker.task_started(243, {"job-1", 0}, east);
         checker.task_completed({"job-1", 0});
         checker.task_completed({"job-1", 1});
         checker.finish(500);
       }},
  };
  for (const auto& test_case : cases) {
    InvariantChecker fresh(settings);
    fresh.job_submitted(spec);
    fresh.submission_answered(1, "job-1", 201, "pending");
    test_case.violate(fresh);
    EXPECT_TRUE(fresh.violated(test_case.invariant)) << to_string(test_case.invariant);
  }
}

}  // namespace
}  // namespace larkroad::sim
