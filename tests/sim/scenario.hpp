// A whole run with troubles at set times, and what must hold of every one of them.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <span>
#include <string>

#include "sim/world.hpp"

namespace larkroad::sim {

struct Scenario {
  const char* name;
  Troubles troubles;
  std::function<void(World&)> plan;
  int random_jobs = 60;
};

inline std::ostream& operator<<(std::ostream& out, const Scenario& scenario) {
  return out << scenario.name;
}

inline std::string node(size_t i) { return "node-" + std::to_string(i); }

// Fails for every broken rule.
void expect_no_breach(const World& world);

// Something done to whoever leads at that time.
void to_leader(World& world, Seconds when, std::function<void(size_t)> fn);

constexpr Seconds kScenarioLength = 450;

// Plays the scenario in a new world, from the start to its end.
void play(World& world, const Scenario& scenario);

// Plays it and fails for every broken rule and for a job that is not over in the end.
void keeps_the_rules(const Scenario& scenario, std::uint64_t seed);

// The tables of sim_test.cpp, meetings_test.cpp, services_test.cpp and upgrade_test.cpp.
std::span<const Scenario> single_trouble_scenarios();
std::span<const Scenario> meeting_scenarios();
std::span<const Scenario> service_scenarios();
std::span<const Scenario> upgrade_scenarios();

}  // namespace larkroad::sim
