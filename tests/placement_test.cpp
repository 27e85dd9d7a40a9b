// The choice of machines for tasks, and the cost of a scheduling cycle.
#include "scheduler_fixture.hpp"

namespace larkroad::coordination {
namespace {

class PlacementTest : public SchedulerTest {};

TEST_F(PlacementTest, PlacesAsManyTasksOfAnArrayAsFit) {
  testing::add_machine(cluster, "i-1", "small");
  testing::add_machine(cluster, "i-2", "small");
  auto& job = testing::add_job(cluster, testing::spec("job-1", 10));
  EXPECT_EQ(placed_tasks(run_cycle_and_place(), "job-1"), 4u);
  EXPECT_EQ(job.waiting(), 6u);
  EXPECT_TRUE(run_cycle().assignments.empty());
  cluster.unplace(job, 0, 101);
  EXPECT_EQ(placed_tasks(run_cycle(), "job-1"), 1u);
}

// The cost of a cycle, in machines considered: waiting jobs look only at machines with free
// capacity, instead of each going through a full fleet.
TEST_F(PlacementTest, CycleCostGrowsWithFreeCapacityNotMachinesTimesJobs) {
  constexpr int kMachines = 2000;
  constexpr int kJobs = 1000;
  for (auto& team : settings.teams) team.cpus_max = 1e6;
  JobSpec filling = testing::spec("job-0", kMachines, 16);
  Job& filler = testing::add_job(cluster, filling);
  for (int i = 0; i < kMachines; ++i) {
    Machine& machine = testing::add_machine(cluster, "i-" + std::to_string(i), "large",
                                            i % 2 != 0 ? "east" : "west");
    cluster.place(filler, static_cast<std::uint32_t>(i), machine, 1, 0);
  }
  mark_running(filler, [](std::uint32_t) -> Seconds { return 50; });
  for (int i = 1; i <= kJobs; ++i) {
    auto spec = testing::spec("job-" + std::to_string(i), 4, 4);
    spec.one_zone = i % 2 == 0;
    spec.shape = spec.one_zone ? protocol::Shape::gang : protocol::Shape::array;
    spec.team = i % 3 == 0 ? "red" : "blue";
    testing::add_job(cluster, spec, i * 0.01);
  }
  EXPECT_EQ(run_cycle().machines_considered, 0u);
  cluster.unplace(filler, 7, 100);
  const Plan one_free = run_cycle();
  EXPECT_EQ(one_free.assignments.size(), 1u);
  EXPECT_LE(one_free.machines_considered, 2u * kJobs);
  // Urgent jobs that do not fit search for victims once per distinct need, not once per job.
  for (int i = 1; i <= kJobs; ++i)
    cluster.job("job-" + std::to_string(i))->spec.priority = protocol::Priority::production;
  filler.spec.priority = protocol::Priority::production;
  EXPECT_LE(run_cycle().machines_considered, 2u * kJobs + 4u * kMachines);
}

TEST_F(PlacementTest, NeverExceedsATeamsLimit) {
  for (int i = 0; i < 10; ++i) testing::add_machine(cluster, "i-" + std::to_string(i), "large");
  testing::add_job(cluster, testing::spec("job-1", 100), 1);
  testing::add_job(cluster, testing::spec("job-2", 100), 2);
  const Plan plan = run_cycle_and_place();
  EXPECT_EQ(placed_tasks(plan, "job-1") + placed_tasks(plan, "job-2"),
            16u);  // the limit is 32 CPUs, and each task needs 2
  EXPECT_TRUE(run_cycle().assignments.empty());
}

TEST_F(PlacementTest, RespectsTheJobsConstraints) {
  const struct {
    const char* what;
    const char* type;
    const char* zone;
    bool spot;
    void (*change)(protocol::JobSpec&);
    size_t placed;
  } cases[] = {
      {"no constraints", "small", "west", false, [](protocol::JobSpec&) {}, 1},
      {"spot, not allowed", "small", "west", true, [](protocol::JobSpec&) {}, 0},
      {"spot, allowed", "small", "west", true, [](protocol::JobSpec& spec) { spec.spot = true; },
       1},
      {"another zone", "small", "west", false, [](protocol::JobSpec& spec) { spec.zone = "east"; },
       0},
      {"the requested zone", "small", "east", false,
       [](protocol::JobSpec& spec) { spec.zone = "east"; }, 1},
      {"another type", "small", "east", false,
       [](protocol::JobSpec& spec) { spec.types = {{"large"}}; }, 0},
      {"too large", "small", "east", false, [](protocol::JobSpec& spec) { spec.cpus = 5; }, 0},
  };
  for (const auto& test_case : cases) {
    cluster.clear();
    testing::add_machine(cluster, "i-1", test_case.type, test_case.zone, test_case.spot);
    auto spec = testing::spec("job-1");
    test_case.change(spec);
    testing::add_job(cluster, spec);
    EXPECT_EQ(placed_tasks(run_cycle(), "job-1"), test_case.placed) << test_case.what;
  }
}

TEST_F(PlacementTest, SkipsUnreliableMachines) {
  const struct {
    const char* what;
    void (*change)(Machine&);
  } cases[] = {
      {"has sent no heartbeat yet", [](Machine& machine) { machine.has_reported = false; }},
      {"lease expired", [](Machine& machine) { machine.lease_expired = true; }},
      {"being released", [](Machine& machine) { machine.being_released = true; }},
      {"to be reclaimed", [](Machine& machine) { machine.reclaim_at = 105; }},
      {"fails every task", [](Machine& machine) { machine.quarantined = true; }},
      {"refused a launch", [](Machine& machine) { machine.refused_until = 101; }},
      // It answers calls, but has sent no heartbeat for more than half its lease of 12 s.
      {"sends no heartbeats", [](Machine& machine) { machine.last_worker_heartbeat_at = 93.9; }},
  };
  for (const auto& test_case : cases) {
    cluster.clear();
    test_case.change(testing::add_machine(cluster, "i-1", "small"));
    testing::add_job(cluster, testing::spec("job-1"));
    EXPECT_TRUE(run_cycle().assignments.empty()) << test_case.what;
  }
  cluster.clear();
  testing::add_machine(cluster, "i-1", "small").last_worker_heartbeat_at = 94.1;
  testing::add_job(cluster, testing::spec("job-1"));
  EXPECT_EQ(placed_tasks(run_cycle(), "job-1"), 1u) << "heartbeat only slightly late";
}

TEST_F(PlacementTest, KeepsOneZoneAndSpreadConstraints) {
  testing::add_machine(cluster, "i-1", "small", "east");
  testing::add_machine(cluster, "i-2", "small", "west");
  testing::add_machine(cluster, "i-3", "small", "west");
  auto together = testing::spec("job-1", 4);
  together.one_zone = true;
  auto& job = testing::add_job(cluster, together);
  const Plan plan = run_cycle_and_place();
  ASSERT_EQ(placed_tasks(plan, "job-1"), 4u);
  for (const auto& [task, machine] : plan.assignments[0].tasks) EXPECT_NE(machine, "i-1");
  // A task of an earlier attempt keeps the job in its zone until it has ended.
  for (std::uint32_t task = 1; task < 4; ++task) cluster.unplace(job, task, 101);
  auto* unavailable = &testing::add_machine(cluster, "i-2", "small", "west");
  unavailable->lease_expired = true;
  const Plan again = run_cycle();
  for (const auto& [task, machine] : again.assignments[0].tasks) EXPECT_EQ(machine, "i-3");

  cluster.clear();
  testing::add_machine(cluster, "i-1", "large", "east");
  testing::add_machine(cluster, "i-2", "small", "west");
  auto spread = testing::spec("job-2", 5);
  spread.spread = true;
  testing::add_job(cluster, spread);
  size_t east = 0;
  const Plan half = run_cycle();
  for (const auto& [task, machine] : half.assignments[0].tasks) east += machine == "i-1" ? 1 : 0;
  EXPECT_EQ(east, 3u);
  EXPECT_EQ(half.assignments[0].tasks.size(), 5u);
}

TEST_F(PlacementTest, PrefersTheMachineWithTheImage) {
  testing::add_machine(cluster, "i-1", "large");
  testing::add_machine(cluster, "i-2", "large");
  testing::add_machine(cluster, "i-3", "large").images["image"] = {1, 0};
  testing::add_job(cluster, testing::spec("job-1"));
  EXPECT_EQ(run_cycle().assignments[0].tasks[0].second, "i-3");
}

TEST_F(PlacementTest, LeavesGpuMachinesToGpuWork) {
  testing::add_machine(cluster, "i-1", "gpu");
  testing::add_machine(cluster, "i-2", "large");
  testing::add_job(cluster, testing::spec("job-1"));
  EXPECT_EQ(run_cycle().assignments[0].tasks[0].second, "i-2");
}

TEST_F(PlacementTest, ResumesWhereTheTimeBudgetRanOut) {
  testing::add_machine(cluster, "i-1", "large");
  for (int i = 0; i < 4; ++i)
    testing::add_job(cluster, testing::spec("job-" + std::to_string(i)), i);
  int checks = 0;
  limits.out_of_time = [&] { return ++checks >= 2; };
  const Plan first = run_cycle();
  EXPECT_EQ(first.resume_index, 2u);
  EXPECT_EQ(first.assignments.size(), 2u);
  limits.start_index = first.resume_index;
  limits.out_of_time = [] { return false; };
  const Plan second = run_cycle();
  EXPECT_EQ(second.resume_index, 0u);
  ASSERT_EQ(second.assignments.size(), 2u);
  EXPECT_EQ(second.assignments[0].job, "job-2");
}

// An overloaded leader defers low-priority jobs, but only until they age, so that they still start
// within the start bound.
TEST_F(PlacementTest, DefersLowPriorityWorkWhileOverloaded) {
  limits.start_bound_s = 240;
  limits.defer_low_priority = true;
  testing::add_machine(cluster, "i-1", "large");
  auto low = testing::spec("job-1");
  low.priority = protocol::Priority::low;
  testing::add_job(cluster, low, 0);
  testing::add_job(cluster, testing::spec("job-2"), 0);
  EXPECT_EQ(placed_tasks(run_cycle(10), "job-1"), 0u);
  EXPECT_EQ(placed_tasks(run_cycle(10), "job-2"), 1u);
  EXPECT_EQ(placed_tasks(run_cycle(190), "job-1"), 1u);
  limits.defer_low_priority = false;
  EXPECT_EQ(placed_tasks(run_cycle(10), "job-1"), 1u);
}

// A faulty job: after failures on one machine its tasks are placed on another. Once it has failed
// on several machines, only one of its tasks is tried at a time.
TEST_F(PlacementTest, TriesOneTaskOfAJobThatFailsEverywhere) {
  testing::add_machine(cluster, "i-1", "large");
  testing::add_machine(cluster, "i-2", "large");
  Job& job = testing::add_job(cluster, testing::spec("job-1", 8, 1));
  job.failed_machines = {"i-1"};
  const Plan retry = run_cycle();
  ASSERT_EQ(placed_tasks(retry, "job-1"), 8u);
  for (const auto& [task, machine] : retry.assignments[0].tasks) EXPECT_EQ(machine, "i-2");
  job.failed_machines = {"i-1", "i-2", "i-3"};
  EXPECT_TRUE(job.fails_everywhere());
  EXPECT_EQ(placed_tasks(run_cycle_and_place(), "job-1"), 1u);
  cluster.finish(job, 0, 101);  // one task succeeds
  EXPECT_EQ(placed_tasks(run_cycle(), "job-1"), 7u);
}

// A new leader does not know the zone of a machine that has not sent a heartbeat yet. A simulated
// run had placed more than half of a spread job's tasks in one zone for this reason.
TEST_F(PlacementTest, PlacesNothingThatDependsOnAnUnknownZone) {
  for (const bool spread : {false, true}) {
    cluster.clear();
    testing::add_machine(cluster, "i-1", "small", "west");
    auto spec = testing::spec("job-1", 4);
    spec.one_zone = !spread;
    spec.spread = spread;
    Job& job = testing::add_job(cluster, spec);
    Machine& unreported = cluster.machine("i-2");
    cluster.place(job, 0, unreported, 1, 100);
    EXPECT_EQ(placed_tasks(run_cycle(), "job-1"), 0u);
    unreported.zone = "west";
    EXPECT_EQ(placed_tasks(run_cycle(), "job-1"), spread ? 1u : 2u);
  }
}

// Capacity reserved for expected arrivals of an urgent class is withheld from other jobs for at
// most two leases of 12 s. Without the limit, low-priority jobs waited for minutes while machines
// were idle.
TEST_F(PlacementTest, LimitsHowLongReservedCapacityKeepsWorkWaiting) {
  settings.objectives = {{"wait", "short", 1, 0.9, 1}};
  testing::add_machine(cluster, "i-1", "small");
  for (int i = 0; i < 40; ++i) {
    auto arrival = testing::spec("job-" + std::to_string(100 + i), 1, 4);
    arrival.job_class = "short";
    arrival.priority = protocol::Priority::high;
    cluster.learn_arrival(testing::add_job(cluster, arrival, 60 + i));
    cluster.remove_job(arrival.id);
  }
  auto low = testing::spec("job-1");
  low.priority = protocol::Priority::low;
  testing::add_job(cluster, low, 100);
  EXPECT_EQ(placed_tasks(run_cycle(101), "job-1"), 0u);
  EXPECT_EQ(placed_tasks(run_cycle(123.9), "job-1"), 0u);
  EXPECT_EQ(placed_tasks(run_cycle(124.1), "job-1"), 1u);
}

}  // namespace
}  // namespace larkroad::coordination
