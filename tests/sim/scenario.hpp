/// Full simulated runs with faults at fixed times, and the checks that apply to every run.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <span>
#include <string>

#include "sim/world.hpp"

namespace larkroad::sim {

struct Scenario {
  /// Digests of runs are compared by name, so names that digest.cpp lists must not change.
  const char* name;
  /// Random faults throughout the run.
  FaultOptions faults;
  /// Schedules jobs and faults before the run starts.
  std::function<void(World&)> schedule;
  int random_jobs = 60;
};

inline std::ostream& operator<<(std::ostream& out, const Scenario& scenario) {
  return out << scenario.name;
}

/// All faults of every scenario end by this time.
constexpr Seconds kFaultsEnd = 160;
constexpr Seconds kScenarioLength = 450;

/// Adds a test failure for each invariant violation.
void expect_no_violations(const World& world);

/// Runs the action at `when` with the index of the current leader; does nothing if there is none.
void with_leader(World& world, Seconds when, std::function<void(size_t leader)> action);

/// Runs the action on each live machine with the given probability.
void for_random_workers(World& world, double probability,
                        const std::function<void(FakeWorker&)>& action);

/// Partitions the machine from every controller.
void partition_machine(World& world, const std::string& machine, Seconds length);

/// Runs the scenario from start to end in a newly created world.
void run_scenario(World& world, const Scenario& scenario);

/// Runs the scenario and adds test failures for invariant violations and unfinished jobs.
void run_and_verify(const Scenario& scenario, std::uint64_t seed);

/// Scenario tables of the tests, also used by larkroad_digest.
std::span<const Scenario> single_fault_scenarios();
std::span<const Scenario> relay_scenarios();
std::span<const Scenario> combined_failure_scenarios();
std::span<const Scenario> service_scenarios();
std::span<const Scenario> upgrade_scenarios();

}  // namespace larkroad::sim
