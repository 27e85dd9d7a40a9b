// A whole run with troubles at set times, and what must hold of every one of them.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <ostream>
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

// Plays it and fails for every broken rule and for a job that is not over in the end.
void keeps_the_rules(const Scenario& scenario, std::uint64_t seed);

}  // namespace larkroad::sim
