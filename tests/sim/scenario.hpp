/// A whole simulated run with faults at set times, and what must hold of every one of them.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <span>
#include <string>

#include "sim/world.hpp"

namespace larkroad::sim {

struct Scenario {
  /// Stays the same for good: digests of runs are compared by it.
  const char* name;
  /// Faults all through the run.
  FaultOptions faults;
  /// Schedules jobs and faults before the run begins.
  std::function<void(World&)> schedule;
  int random_jobs = 60;
};

inline std::ostream& operator<<(std::ostream& out, const Scenario& scenario) {
  return out << scenario.name;
}

/// No scenario has faults for longer.
constexpr Seconds kFaultsEnd = 160;
constexpr Seconds kScenarioLength = 450;

/// Fails for each violation of a rule.
void expect_no_violations(const World& world);

/// Acts at that time on the controller that leads then, if one does.
void with_leader(World& world, Seconds when, std::function<void(size_t leader)> action);

/// Acts on each machine with that probability.
void for_random_workers(World& world, double probability,
                        const std::function<void(FakeWorker&)>& action);

/// Partitions the machine from every controller.
void partition_machine(World& world, const std::string& machine, Seconds length);

/// Plays the scenario in a new world, from the start to its end.
void run_scenario(World& world, const Scenario& scenario);

/// Plays it and fails for each violation of a rule and for a job that is not over in the end.
void run_and_verify(const Scenario& scenario, std::uint64_t seed);

/// Scenarios of the tests, which other programs can play as well.
std::span<const Scenario> single_fault_scenarios();
std::span<const Scenario> relay_scenarios();
std::span<const Scenario> combined_failure_scenarios();
std::span<const Scenario> service_scenarios();
std::span<const Scenario> upgrade_scenarios();

}  // namespace larkroad::sim
