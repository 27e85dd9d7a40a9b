#include "sim/scenario.hpp"

#include <cstdlib>

#include "log.hpp"

namespace larkroad::sim {

void with_leader(World& world, Seconds when, std::function<void(size_t)> action) {
  world.events.schedule_at(when, [&world, action = std::move(action)] {
    const size_t leader = world.leader();
    if (leader < kControllers) action(leader);
  });
}

void for_random_workers(World& world, double probability,
                        const std::function<void(FakeWorker&)>& action) {
  for (const auto& worker : world.workers) {
    if (!worker->terminated && world.random_fraction() < probability) action(*worker);
  }
}

void partition_machine(World& world, const std::string& machine, Seconds length) {
  for (size_t controller = 0; controller < kControllers; ++controller) {
    world.network.partition(controller_name(controller), machine, length);
  }
}

void expect_no_violations(const World& world) {
  for (const auto& violation : world.invariants.violations()) ADD_FAILURE() << violation;
}

void run_scenario(World& world, const Scenario& scenario) {
  world.users.submit_random_jobs(scenario.random_jobs, 110);
  scenario.schedule(world);
  world.invariants.faults_end_at(kFaultsEnd);
  world.run(kScenarioLength);
}

void run_and_verify(const Scenario& scenario, std::uint64_t seed) {
  SCOPED_TRACE(std::string(scenario.name) + ", seed " + std::to_string(seed));
  spdlog::set_level(std::getenv("LOG_LEVEL") ? spdlog::level::debug : spdlog::level::err);
  World world(seed, scenario.faults);
  run_scenario(world, scenario);
  world.invariants.finish(kScenarioLength);
  expect_no_violations(world);
  EXPECT_TRUE(world.users.all_jobs_finished()) << world.users.unfinished_jobs();
  EXPECT_GT(world.invariants.started(), 60u);
}

}  // namespace larkroad::sim
