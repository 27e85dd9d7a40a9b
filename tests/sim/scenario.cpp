#include "sim/scenario.hpp"

#include <cstdlib>

#include "log.hpp"

namespace larkroad::sim {

void to_leader(World& world, Seconds when, std::function<void(size_t)> fn) {
  world.events.at(when, [&world, fn = std::move(fn)] {
    const size_t leader = world.leader();
    if (leader < 3) fn(leader);
  });
}

void expect_no_breach(const World& world) {
  for (const auto& line : world.checker.broken()) ADD_FAILURE() << line;
}

void play(World& world, const Scenario& scenario) {
  world.submit_some(scenario.random_jobs, 110);
  scenario.plan(world);
  world.checker.troubles_over(160);  // no scenario goes on for longer
  world.run(kScenarioLength);
}

void keeps_the_rules(const Scenario& scenario, std::uint64_t seed) {
  SCOPED_TRACE(std::string(scenario.name) + ", seed " + std::to_string(seed));
  spdlog::set_level(std::getenv("LOG_LEVEL") ? spdlog::level::debug : spdlog::level::err);
  World world(seed, scenario.troubles);
  play(world, scenario);
  world.checker.end(kScenarioLength);
  expect_no_breach(world);
  EXPECT_TRUE(world.all_over()) << world.unfinished();
  EXPECT_GT(world.checker.started(), 60u);
}

}  // namespace larkroad::sim
