// Which tasks are stopped to free capacity for others.
#include "scheduler_fixture.hpp"

namespace larkroad::coordination {
namespace {

class PreemptionTest : public SchedulerTest {};

TEST_F(PreemptionTest, PreemptsLowerPriorityJobsForUrgentJobs) {
  testing::add_machine(cluster, "i-1", "small");
  auto& low = testing::add_job(cluster, testing::spec("job-1", 2));
  run_cycle_and_place();
  mark_running(low, [](std::uint32_t task) { return 100.0 - task; });
  testing::add_job(cluster, testing::spec("job-2"), 5);
  EXPECT_TRUE(run_cycle(110).preemptions.empty());  // both have the same priority
  auto urgent = testing::spec("job-3");
  urgent.priority = protocol::Priority::high;
  testing::add_job(cluster, urgent, 6);
  const Plan plan = run_cycle(110);
  ASSERT_EQ(plan.preemptions.size(), 1u);
  EXPECT_EQ(plan.preemptions[0].for_job, "job-3");
  EXPECT_EQ(plan.preemptions[0].task, 0u);  // loses the least time
  // Nothing more is preempted for the job while that task is stopping.
  low.placements.at(0).stopping = true;
  EXPECT_TRUE(run_cycle(111).preemptions.empty());
}

// Two tasks are preempted for one urgent job. Guards against the capacity freed by the first going
// to a lower-priority job at once, which was then preempted in turn, and so on for a minute.
TEST_F(PreemptionTest, WithholdsFreedCapacityFromLowerPriorityJobs) {
  testing::add_machine(cluster, "i-1", "small");
  auto& low = testing::add_job(cluster, testing::spec("job-1", 2));
  run_cycle_and_place();
  mark_running(low, [](std::uint32_t) { return 100.0; });
  testing::add_job(cluster, testing::spec("job-2"), 5);
  auto urgent = testing::spec("job-3", 1, 4);
  urgent.priority = protocol::Priority::high;
  testing::add_job(cluster, urgent, 6);
  ASSERT_EQ(run_cycle(110).preemptions.size(), 2u);
  low.placements.at(1).stopping = true;
  cluster.unplace(low, 0, 111);
  const Plan plan = run_cycle(111);
  EXPECT_TRUE(plan.assignments.empty());
  EXPECT_TRUE(plan.preemptions.empty());
  cluster.unplace(low, 1, 112);
  EXPECT_EQ(placed_tasks(run_cycle(112), "job-3"), 1u);
}

// A gang preempts as many tasks as all its members need, or none; and a gang is stopped as a whole.
TEST_F(PreemptionTest, PreemptsForWholeGangsAndStopsWholeGangs) {
  const struct {
    const char* what;
    std::uint32_t wanted;
    bool victims_are_a_gang;
    size_t stopped;
  } cases[] = {
      {"capacity for all members after two preemptions", 2, false, 2},
      {"not enough capacity for all members even with preemption", 5, false, 0},
      {"a victim in a gang stops the whole gang", 1, true, 4},
  };
  for (const auto& test_case : cases) {
    cluster.clear();
    reservations.clear();
    for (int i = 0; i < 4; ++i) testing::add_machine(cluster, "i-" + std::to_string(i), "small");
    auto lower = testing::spec("job-1", 4, 4);
    lower.shape = test_case.victims_are_a_gang ? protocol::Shape::gang : protocol::Shape::array;
    Job& running = testing::add_job(cluster, lower, 1);
    ASSERT_EQ(placed_tasks(run_cycle_and_place(), "job-1"), 4u) << test_case.what;
    mark_running(running, [](std::uint32_t) { return Seconds(90); });
    auto urgent = testing::spec("job-2", test_case.wanted, 4);
    urgent.shape = protocol::Shape::gang;
    urgent.team = "blue";
    urgent.priority = protocol::Priority::high;
    testing::add_job(cluster, urgent, 2);
    EXPECT_EQ(run_cycle().preemptions.size(), test_case.stopped) << test_case.what;
    for (const auto& victim : run_cycle().preemptions) {
      running.placements.at(victim.task).stopping = true;
    }
    EXPECT_TRUE(run_cycle().preemptions.empty())
        << test_case.what << ": nothing is preempted twice for one need";
  }
}

// A job within its team's guarantee does not wait for tasks that other teams run beyond theirs.
// Guards against an incident in which borrowing teams used the CPUs of GPU machines, and guaranteed
// jobs waited although GPUs were free.
TEST_F(PreemptionTest, GuaranteedJobsPreemptTasksBeyondOtherTeamsGuarantees) {
  using protocol::Priority;
  // "green" has no guarantee, so everything that it uses is borrowed.
  settings.teams.push_back({"green", 0, kNoLimit, 0, kNoLimit});
  const struct {
    const char* what;
    const char* owner;
    std::uint32_t owner_tasks;  // of 4 CPUs each; 16 are guaranteed to red and to blue
    Priority owner_priority;
    std::uint32_t waiting_tasks;
    Priority waiting_priority;
    bool preempts;
  } cases[] = {
      {"borrowed, lower", "green", 2, Priority::low, 1, Priority::normal, true},
      {"borrowed, equal", "green", 2, Priority::low, 1, Priority::low, true},
      {"borrowed, higher: it would preempt the other in turn", "green", 2, Priority::normal, 1,
       Priority::low, false},
      {"another team beyond its guarantee, lower", "blue", 5, Priority::low, 1, Priority::normal,
       true},
      {"the same, equal: it might take the capacity first", "blue", 5, Priority::normal, 1,
       Priority::normal, false},
      {"another team within its guarantee", "blue", 2, Priority::low, 1, Priority::normal, false},
      {"the team's own tasks", "red", 5, Priority::low, 1, Priority::normal, false},
      {"the waiting job is beyond its own guarantee", "green", 2, Priority::low, 5,
       Priority::normal, false},
  };
  for (const auto& test_case : cases) {
    cluster.clear();
    for (std::uint32_t i = 0; i < test_case.owner_tasks; ++i) {
      testing::add_machine(cluster, "i-" + std::to_string(i), "small");
    }
    auto running_spec = testing::spec("job-1", test_case.owner_tasks, 4);
    running_spec.team = test_case.owner;
    running_spec.priority = test_case.owner_priority;
    Job& running = testing::add_job(cluster, running_spec, 99);
    ASSERT_EQ(placed_tasks(run_cycle_and_place(), "job-1"), test_case.owner_tasks)
        << test_case.what;
    mark_running(running, [](std::uint32_t) { return Seconds(95); });
    auto waiting = testing::spec("job-2", test_case.waiting_tasks, 4);
    waiting.priority = test_case.waiting_priority;
    testing::add_job(cluster, waiting, 100);
    EXPECT_EQ(!run_cycle(100).preemptions.empty(), test_case.preempts) << test_case.what;
  }
}

// Guards against preemptions being spread evenly over similar jobs, so that none of them finished.
TEST_F(PreemptionTest, PreemptsTheLatestOfSimilarJobs) {
  testing::add_machine(cluster, "i-1", "large");
  for (int i = 0; i < 4; ++i) {
    auto lower = testing::spec("job-" + std::to_string(i), 2, 2);
    lower.priority = protocol::Priority::low;
    testing::add_job(cluster, lower, 10 + (i * 7) % 4);  // job-1 is submitted last
  }
  run_cycle_and_place();
  // They lose different amounts of time, but the differences are below one heartbeat interval.
  for (int i = 0; i < 4; ++i) {
    mark_running(*cluster.job("job-" + std::to_string(i)),
                 [](std::uint32_t task) { return 99.9 - task; });
  }
  auto urgent = testing::spec("job-9", 1, 3);
  urgent.team = "blue";
  urgent.priority = protocol::Priority::high;
  testing::add_job(cluster, urgent, 20);
  const Plan plan = run_cycle();
  ASSERT_EQ(plan.preemptions.size(), 2u);
  for (const auto& victim : plan.preemptions) EXPECT_EQ(victim.job, "job-1");
}

// Guards against tasks in the first zone being preempted although the gang then went to the second.
TEST_F(PreemptionTest, PreemptsNothingInAZoneThatDoesNotFitTheGang) {
  for (int i = 0; i < 3; ++i) {
    testing::add_machine(cluster, "i-" + std::to_string(i), "small", i == 0 ? "east" : "west");
  }
  auto lower = testing::spec("job-1", 3, 4);
  lower.priority = protocol::Priority::low;
  Job& running = testing::add_job(cluster, lower);
  ASSERT_EQ(placed_tasks(run_cycle_and_place(), "job-1"), 3u);
  mark_running(running, [](std::uint32_t) { return Seconds(90); });
  auto gang = testing::spec("job-2", 2, 4);
  gang.shape = protocol::Shape::gang;
  gang.one_zone = true;
  gang.team = "blue";
  gang.priority = protocol::Priority::high;
  testing::add_job(cluster, gang, 1);
  const Plan plan = run_cycle();
  ASSERT_EQ(plan.preemptions.size(), 2u);
  for (const auto& victim : plan.preemptions) {
    EXPECT_EQ(cluster.find_machine(running.placements.at(victim.task).machine)->zone, "west");
  }
}

// An aged job is not preempted by the jobs ahead of which it was placed.
TEST_F(PreemptionTest, DoesNotPreemptJobsThatHaveAged) {
  testing::add_machine(cluster, "i-1", "small");
  auto lower = testing::spec("job-1", 1, 4);
  lower.priority = protocol::Priority::low;
  Job& aged = testing::add_job(cluster, lower, 1);
  ASSERT_EQ(placed_tasks(run_cycle_and_place(), "job-1"), 1u);
  mark_running(aged, [](std::uint32_t) { return Seconds(90); });
  auto urgent = testing::spec("job-2", 1, 4);
  urgent.priority = protocol::Priority::high;
  testing::add_job(cluster, urgent, 2);
  EXPECT_EQ(run_cycle().preemptions.size(), 1u);
  aged.aged = true;
  EXPECT_TRUE(run_cycle().preemptions.empty());
}

}  // namespace
}  // namespace larkroad::coordination
